//! A disk in memory that never fails; syncs take virtual time.

use {
    gullglade_control::{DataFolder, DiskError, FileStat},
    gullglade_units::{Clock, LocalFuture},
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
};

/// A usual time for a sync on a small VM's disk.
const SYNC: Duration = Duration::from_millis(2);

pub(crate) struct MemoryFolder {
    clock: Rc<dyn Clock>,
    files: RefCell<BTreeMap<String, Vec<u8>>>,
}

impl MemoryFolder {
    pub(crate) fn new(clock: Rc<dyn Clock>) -> Self {
        Self { clock, files: RefCell::default() }
    }
}

impl DataFolder for MemoryFolder {
    fn list(&self) -> LocalFuture<'_, Result<Vec<FileStat>, DiskError>> {
        let files = self.files.borrow();
        let stat = |(name, bytes): (&String, &Vec<u8>)| FileStat {
            name: name.clone(),
            size: bytes.len() as u64,
        };
        let stats = files.iter().map(stat).collect();
        Box::pin(std::future::ready(Ok(stats)))
    }

    fn read<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Vec<u8>, DiskError>> {
        let missing = || DiskError::Missing { name: name.to_owned() };
        let found = self.files.borrow().get(name).cloned().ok_or_else(missing);
        Box::pin(std::future::ready(found))
    }

    fn append<'a>(
        &'a self,
        name: &'a str,
        bytes: Vec<u8>,
    ) -> LocalFuture<'a, Result<(), DiskError>> {
        self.files.borrow_mut().entry(name.to_owned()).or_default().extend(bytes);
        Box::pin(std::future::ready(Ok(())))
    }

    fn sync<'a>(&'a self, _name: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        Box::pin(async move {
            self.clock.sleep(SYNC).await;
            Ok(())
        })
    }

    fn rename<'a>(&'a self, from: &'a str, to: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        let bytes = self.files.borrow_mut().remove(from);
        self.files.borrow_mut().extend(bytes.map(|bytes| (to.to_owned(), bytes)));
        Box::pin(std::future::ready(Ok(())))
    }

    fn remove<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        self.files.borrow_mut().remove(name);
        Box::pin(std::future::ready(Ok(())))
    }

    fn sync_folder(&self) -> LocalFuture<'_, Result<(), DiskError>> {
        self.sync("")
    }
}
