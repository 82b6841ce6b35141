//! A data folder in the file system of the operating system.
//!
//! A sync takes milliseconds and sometimes seconds. The event loop must not block on it, since it
//! also answers heartbeats, so all file operations run on a dedicated thread.

use {
    super::{DataFolder, DiskError, FileStat},
    futures::channel::oneshot,
    gullglade_units::LocalFuture,
    std::{
        fs::{self, File, OpenOptions},
        io::{self, ErrorKind, Write},
        os::unix::fs::DirBuilderExt,
        path::{Path, PathBuf},
        sync::mpsc,
        thread,
    },
};

/// The lock file, held locked while a process uses the folder.
const LOCK_NAME: &str = "lock";

/// The mode of a directory that only its owner can access.
const OWNER_ONLY: u32 = 0o700;

/// A file operation for the disk thread.
type DiskJob = Box<dyn FnOnce(&Path) + Send>;

/// A directory of the operating system, locked for exclusive use by this process.
#[derive(Debug)]
pub struct FileFolder {
    jobs: mpsc::Sender<DiskJob>,
    _lock: File,
}

impl FileFolder {
    /// Opens the folder at `path` and creates it if it does not exist.
    pub fn open(path: &Path) -> Result<Self, DiskError> {
        let displayed_path = path.display().to_string();
        // The folder contains the configuration, which includes callers' keys.
        fs::DirBuilder::new()
            .recursive(true)
            .mode(OWNER_ONLY)
            .create(path)
            .map_err(|e| to_disk_error("creating", &displayed_path, &e))?;
        let lock = File::create(path.join(LOCK_NAME))
            .map_err(|e| to_disk_error("locking", &displayed_path, &e))?;
        lock.try_lock().map_err(|_| DiskError::InUse { name: displayed_path.clone() })?;
        let (jobs, queue) = mpsc::channel::<DiskJob>();
        let root = path.to_owned();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run_jobs(&root, &queue))
            .map_err(|e| to_disk_error("starting the thread for", &displayed_path, &e))?;
        Ok(Self { jobs, _lock: lock })
    }

    fn run<T: Send + 'static>(
        &self,
        action: &'static str,
        name: &str,
        work: impl FnOnce(&Path) -> io::Result<T> + Send + 'static,
    ) -> LocalFuture<'static, Result<T, DiskError>> {
        let (done, outcome) = oneshot::channel();
        let job: DiskJob = Box::new(move |root| drop(done.send(work(root))));
        let sent = self.jobs.send(job);
        let name = name.to_owned();
        Box::pin(async move {
            let thread_ended = || DiskError::Failed {
                action,
                name: name.clone(),
                reason: "the disk thread has ended".to_owned(),
            };
            sent.map_err(|_| thread_ended())?;
            let result = outcome.await.map_err(|_| thread_ended())?;
            result.map_err(|e| to_disk_error(action, &name, &e))
        })
    }
}

fn run_jobs(root: &Path, queue: &mpsc::Receiver<DiskJob>) {
    while let Ok(job) = queue.recv() {
        job(root);
    }
}

fn to_disk_error(action: &'static str, name: &str, error: &io::Error) -> DiskError {
    let name = name.to_owned();
    match error.kind() {
        ErrorKind::NotFound => DiskError::Missing { name },
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => DiskError::Full { name },
        _ => DiskError::Failed { action, name, reason: error.to_string() },
    }
}

fn list_files(root: &Path) -> io::Result<Vec<FileStat>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(root)? {
        let entry = entry?;
        let stat = entry.metadata()?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if stat.is_file() && name != LOCK_NAME {
            files.push(FileStat { name, size: stat.len() });
        }
    }
    Ok(files)
}

impl DataFolder for FileFolder {
    fn list(&self) -> LocalFuture<'_, Result<Vec<FileStat>, DiskError>> {
        self.run("listing", "the data folder", list_files)
    }

    fn read<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Vec<u8>, DiskError>> {
        let file = PathBuf::from(name);
        self.run("reading", name, move |root| fs::read(root.join(file)))
    }

    fn append<'a>(
        &'a self,
        name: &'a str,
        bytes: Vec<u8>,
    ) -> LocalFuture<'a, Result<(), DiskError>> {
        let file = PathBuf::from(name);
        self.run("appending to", name, move |root| {
            OpenOptions::new().create(true).append(true).open(root.join(file))?.write_all(&bytes)
        })
    }

    fn sync<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        let file = PathBuf::from(name);
        self.run("syncing", name, move |root| {
            OpenOptions::new().append(true).open(root.join(file))?.sync_all()
        })
    }

    fn rename<'a>(&'a self, from: &'a str, to: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        let (source, target) = (PathBuf::from(from), PathBuf::from(to));
        self.run("renaming", from, move |root| fs::rename(root.join(source), root.join(target)))
    }

    fn remove<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        let file = PathBuf::from(name);
        self.run("removing", name, move |root| match fs::remove_file(root.join(file)) {
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(()),
            result => result,
        })
    }

    fn sync_folder(&self) -> LocalFuture<'_, Result<(), DiskError>> {
        self.run("syncing", "the data folder", |root| File::open(root)?.sync_all())
    }
}
