//! Abstraction of the disk. A control process keeps its state in flat files of one folder.
//!
//! The contents of a file are durable only once [`DataFolder::sync`] has returned, and a directory
//! change (a new file, a rename, a removal) only once [`DataFolder::sync_folder`] has. Code that
//! uses this trait must be correct under exactly these guarantees; the in-memory disk of the tests
//! provides no more than them.

mod files;

pub use files::FileFolder;

use {gullglade_units::LocalFuture, snafu::Snafu};

/// A file in the data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileStat {
    /// Its name, without a path.
    pub name: String,
    /// Its size in bytes.
    pub size: u64,
}

/// Errors of disk operations.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum DiskError {
    /// No space is left on the device.
    #[snafu(display(
        "the disk of the data folder is full: {name} could not be written; free space on it: this \
         process then resumes without a restart, and no accepted change is lost"
    ))]
    Full {
        /// The file being written.
        name: String,
    },
    /// The file does not exist.
    #[snafu(display(
        "{name} is missing from the data folder; restore the folder or replace this voter with \
         `gladectl control replace`"
    ))]
    Missing {
        /// The missing file.
        name: String,
    },
    /// Fewer bytes could be read than the file has.
    #[snafu(display(
        "{name} has {size} bytes but only {read} could be read; check the disk, then restart, or \
         replace this voter with `gladectl control replace`"
    ))]
    ShortRead {
        /// The file that was read.
        name: String,
        /// Its size in bytes.
        size: u64,
        /// The number of bytes read.
        read: u64,
    },
    /// Another process uses the folder.
    #[snafu(display(
        "data folder {name} is in use by another process; stop that one first, or give this one \
         its own --data-dir"
    ))]
    InUse {
        /// The path of the folder.
        name: String,
    },
    /// The operating system reported another error.
    #[snafu(display(
        "{action} {name} failed: {reason}; check the disk and the folder's permissions, then \
         restart this process"
    ))]
    Failed {
        /// The operation that failed.
        action: &'static str,
        /// The file or folder concerned.
        name: String,
        /// The message of the operating system.
        reason: String,
    },
}

/// A folder of flat files.
pub trait DataFolder {
    /// Lists the files.
    fn list(&self) -> LocalFuture<'_, Result<Vec<FileStat>, DiskError>>;

    /// Reads the contents of a file. The result may be shorter than the file: see [`read_checked`].
    fn read<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Vec<u8>, DiskError>>;

    /// Appends `bytes` to a file, which is created if it does not exist. After an error, any prefix
    /// of `bytes` may have been written.
    fn append<'a>(
        &'a self,
        name: &'a str,
        bytes: Vec<u8>,
    ) -> LocalFuture<'a, Result<(), DiskError>>;

    /// Returns once everything appended to the file survives a power loss.
    fn sync<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<(), DiskError>>;

    /// Atomically renames a file, replacing any file that has the new name.
    fn rename<'a>(&'a self, from: &'a str, to: &'a str) -> LocalFuture<'a, Result<(), DiskError>>;

    /// Removes a file; succeeds if the file does not exist.
    fn remove<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<(), DiskError>>;

    /// Returns once all file creations, renames and removals survive a power loss.
    fn sync_folder(&self) -> LocalFuture<'_, Result<(), DiskError>>;
}

/// Reads a file and verifies its length against the folder's listing.
///
/// A short read that ends exactly between two records is indistinguishable from a shorter log, and
/// the records after it, which may be accepted changes, would be overwritten. The size in the
/// listing provides an independent check.
pub async fn read_checked(folder: &dyn DataFolder, stat: &FileStat) -> Result<Vec<u8>, DiskError> {
    let bytes = folder.read(&stat.name).await?;
    let read = bytes.len() as u64;
    if read == stat.size {
        return Ok(bytes);
    }
    Err(DiskError::ShortRead { name: stat.name.clone(), size: stat.size, read })
}

/// Writes a file atomically: after a crash at any point the file is either complete or unchanged.
pub async fn write_atomic(
    folder: &dyn DataFolder,
    name: &str,
    chunks: Vec<Vec<u8>>,
) -> Result<(), DiskError> {
    let draft = format!("{name}{DRAFT_SUFFIX}");
    folder.remove(&draft).await?;
    let written = write_draft(folder, &draft, chunks).await;
    if matches!(written, Err(DiskError::Full { .. })) {
        // A partial file on a full disk would occupy space that smaller writes could use.
        folder.remove(&draft).await?;
    }
    written?;
    folder.rename(&draft, name).await?;
    folder.sync_folder().await
}

async fn write_draft(
    folder: &dyn DataFolder,
    draft: &str,
    chunks: Vec<Vec<u8>>,
) -> Result<(), DiskError> {
    for chunk in chunks {
        folder.append(draft, chunk).await?;
    }
    folder.sync(draft).await
}

/// The suffix of files that are still being written. Files with this suffix that remain after a
/// crash are discarded.
pub(crate) const DRAFT_SUFFIX: &str = ".draft";
