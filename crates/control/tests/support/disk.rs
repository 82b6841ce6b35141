//! An in-memory disk that guarantees exactly what [`DataFolder`] states, with fault injection.

use {
    gullglade_control::{DataFolder, DiskError, FileStat},
    gullglade_units::{Clock, LocalFuture, RandomSource},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::Duration,
    },
};

#[derive(Clone, Default)]
struct Inode {
    bytes: Vec<u8>,
    synced: usize,
}

/// Faults that are in effect until they are reset.
#[derive(Default)]
pub struct DiskFaults {
    /// Syncs return at once without effect.
    pub ignore_syncs: Cell<bool>,
    /// Syncs fail.
    pub fail_syncs: Cell<bool>,
    /// Reads of the named file omit this number of bytes at the end.
    pub short_read: RefCell<Option<(String, usize)>>,
    /// The number of bytes that may still be written, if limited.
    pub free_space: Cell<Option<usize>>,
}

/// The disk of one VM. It outlives the VM's processes.
#[derive(Default)]
pub struct FakeDisk {
    inodes: RefCell<Vec<Inode>>,
    names: RefCell<BTreeMap<String, usize>>,
    synced_names: RefCell<BTreeMap<String, usize>>,
    /// The faults in effect.
    pub faults: DiskFaults,
    delay: RefCell<Option<(Rc<dyn Clock>, Duration)>>,
}

impl FakeDisk {
    /// Creates an empty disk.
    pub fn new() -> Rc<Self> {
        Rc::new(Self::default())
    }

    /// Makes syncs take `delay` on `clock` from now on.
    pub fn set_delay(&self, clock: Rc<dyn Clock>, delay: Duration) {
        *self.delay.borrow_mut() = Some((clock, delay));
    }

    /// Simulates a power loss. Unsynced names are lost. Of the unsynced bytes of each file, none, a
    /// prefix, or a prefix followed by zeros remain.
    pub fn lose_power(&self, random: &dyn RandomSource) {
        *self.names.borrow_mut() = self.synced_names.borrow().clone();
        for inode in self.inodes.borrow_mut().iter_mut() {
            let unsynced = (inode.bytes.len() - inode.synced) as u64;
            let kept = random.below(unsynced + 1) as usize;
            let torn = inode.synced + kept;
            match random.below(3) {
                0 => inode.bytes.truncate(inode.synced),
                1 => inode.bytes.truncate(torn),
                _ => inode.bytes[torn..].fill(0),
            }
            inode.synced = inode.bytes.len();
        }
    }

    /// Flips a bit of a file.
    pub fn flip_bit(&self, name: &str, offset: usize) {
        let inode = self.names.borrow()[name];
        self.inodes.borrow_mut()[inode].bytes[offset] ^= 0x10;
    }

    /// Removes a file, durably.
    pub fn remove_file(&self, name: &str) {
        self.names.borrow_mut().remove(name);
        self.synced_names.borrow_mut().remove(name);
    }

    /// Appends unsynced bytes, as an interrupted append leaves them.
    pub fn append_unsynced(&self, name: &str, bytes: &[u8]) {
        let inode = self.names.borrow()[name];
        self.inodes.borrow_mut()[inode].bytes.extend_from_slice(bytes);
    }

    /// Returns the only file whose name begins with `prefix`.
    pub fn file(&self, prefix: &str) -> FileStat {
        let mut found = self.stats().into_iter().filter(|f| f.name.starts_with(prefix));
        let stat = found.next().expect("the file is there");
        assert_eq!(found.next(), None, "one file begins with {prefix}");
        stat
    }

    /// Returns all files.
    pub fn stats(&self) -> Vec<FileStat> {
        let inodes = self.inodes.borrow();
        let stat = |(name, inode): (&String, &usize)| FileStat {
            name: name.clone(),
            size: inodes[*inode].bytes.len() as u64,
        };
        self.names.borrow().iter().map(stat).collect()
    }

    /// Copies the disk without its faults.
    pub fn copy(&self) -> Rc<Self> {
        Rc::new(Self {
            inodes: self.inodes.clone(),
            names: self.names.clone(),
            synced_names: self.synced_names.clone(),
            ..Self::default()
        })
    }

    fn inode(&self, name: &str) -> Result<usize, DiskError> {
        let missing = || DiskError::Missing { name: name.to_owned() };
        self.names.borrow().get(name).copied().ok_or_else(missing)
    }

    fn write(&self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let existing = self.names.borrow().get(name).copied();
        let inode = existing.unwrap_or_else(|| {
            self.inodes.borrow_mut().push(Inode::default());
            let inode = self.inodes.borrow().len() - 1;
            self.names.borrow_mut().insert(name.to_owned(), inode);
            inode
        });
        let capacity = self.faults.free_space.get().unwrap_or(usize::MAX);
        let written = capacity.min(bytes.len());
        self.inodes.borrow_mut()[inode].bytes.extend_from_slice(&bytes[..written]);
        self.faults.free_space.set(self.faults.free_space.get().map(|s| s - written));
        if written == bytes.len() {
            return Ok(());
        }
        Err(DiskError::Full { name: name.to_owned() })
    }

    async fn wait(&self) {
        let delay = self.delay.borrow().clone();
        if let Some((clock, delay)) = delay {
            clock.sleep(delay).await;
        }
    }

    async fn sync_file(&self, name: &str) -> Result<(), DiskError> {
        let inode = self.inode(name)?;
        let length = self.inodes.borrow()[inode].bytes.len();
        self.wait().await;
        if self.faults.fail_syncs.get() {
            let reason = "input/output error".to_owned();
            return Err(DiskError::Failed { action: "syncing", name: name.to_owned(), reason });
        }
        if !self.faults.ignore_syncs.get() {
            let mut inodes = self.inodes.borrow_mut();
            inodes[inode].synced = inodes[inode].synced.max(length);
        }
        Ok(())
    }
}

impl DataFolder for FakeDisk {
    fn list(&self) -> LocalFuture<'_, Result<Vec<FileStat>, DiskError>> {
        Box::pin(async { Ok(self.stats()) })
    }

    fn read<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Vec<u8>, DiskError>> {
        Box::pin(async move {
            let mut bytes = self.inodes.borrow()[self.inode(name)?].bytes.clone();
            if let Some((short, missing)) = &*self.faults.short_read.borrow()
                && short == name
            {
                bytes.truncate(bytes.len() - missing);
            }
            Ok(bytes)
        })
    }

    fn append<'a>(
        &'a self,
        name: &'a str,
        bytes: Vec<u8>,
    ) -> LocalFuture<'a, Result<(), DiskError>> {
        Box::pin(async move { self.write(name, &bytes) })
    }

    fn sync<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        Box::pin(self.sync_file(name))
    }

    fn rename<'a>(&'a self, from: &'a str, to: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        Box::pin(async move {
            let inode = self.inode(from)?;
            let mut names = self.names.borrow_mut();
            names.remove(from);
            names.insert(to.to_owned(), inode);
            Ok(())
        })
    }

    fn remove<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        Box::pin(async move {
            self.names.borrow_mut().remove(name);
            Ok(())
        })
    }

    fn sync_folder(&self) -> LocalFuture<'_, Result<(), DiskError>> {
        Box::pin(async move {
            self.wait().await;
            if !self.faults.ignore_syncs.get() {
                *self.synced_names.borrow_mut() = self.names.borrow().clone();
            }
            Ok(())
        })
    }
}
