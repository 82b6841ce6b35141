//! The seam to the disk. A control process keeps its state in flat files of one folder.
//!
//! What a file holds lasts only once [`DataFolder::sync`] has returned, and a name (a new file, a
//! rename, a removal) only once [`DataFolder::sync_folder`] has. Code above this trait must be
//! right under exactly these promises; the tests' fake keeps no more than them.

mod files;

pub use files::FileFolder;

use {gullglade_units::LocalFuture, snafu::Snafu};

/// A file of the folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileStat {
    /// Its name, without a path.
    pub name: String,
    /// Its size in bytes.
    pub size: u64,
}

/// Why the disk did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum DiskError {
    /// No space is left.
    #[snafu(display(
        "the disk of the data folder is full while writing {name}; free space on it: this process \
         takes part again by itself, and nothing accepted is lost"
    ))]
    Full {
        /// The file.
        name: String,
    },
    /// The file is not there.
    #[snafu(display(
        "{name} is missing from the data folder; restore the folder or replace this voter with \
         `gladectl control replace`"
    ))]
    Missing {
        /// The file.
        name: String,
    },
    /// A file reads shorter than its size.
    #[snafu(display(
        "{name} has {size} bytes but only {read} could be read; check the disk, then restart, or \
         replace this voter with `gladectl control replace`"
    ))]
    ShortRead {
        /// The file.
        name: String,
        /// Its size.
        size: u64,
        /// The bytes that came.
        read: u64,
    },
    /// Another process uses the folder.
    #[snafu(display(
        "data folder {name} is in use by another process; stop that one first, or give this one \
         its own --data-dir"
    ))]
    InUse {
        /// The folder.
        name: String,
    },
    /// The system refused.
    #[snafu(display(
        "{action} {name} failed: {reason}; check the disk and the folder's permissions, then \
         restart this process"
    ))]
    Failed {
        /// What was attempted.
        action: &'static str,
        /// The file.
        name: String,
        /// The system's words.
        reason: String,
    },
}

/// One folder of flat files.
pub trait DataFolder {
    /// The files there are.
    fn list(&self) -> LocalFuture<'_, Result<Vec<FileStat>, DiskError>>;

    /// The whole of a file, as far as the disk gives it.
    fn read<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Vec<u8>, DiskError>>;

    /// Adds `bytes` at the end of a file, which is created where it is missing. After an error
    /// any part of `bytes` may have been written.
    fn append<'a>(
        &'a self,
        name: &'a str,
        bytes: Vec<u8>,
    ) -> LocalFuture<'a, Result<(), DiskError>>;

    /// Returns once everything appended to the file will outlast a power loss.
    fn sync<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<(), DiskError>>;

    /// Gives a file another name, replacing a file of that name, in one step.
    fn rename<'a>(&'a self, from: &'a str, to: &'a str) -> LocalFuture<'a, Result<(), DiskError>>;

    /// Removes a file; no error where it is missing.
    fn remove<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<(), DiskError>>;

    /// Returns once all names will outlast a power loss.
    fn sync_folder(&self) -> LocalFuture<'_, Result<(), DiskError>>;
}

/// Reads a file and compares its length with the folder's list.
///
/// A read that ends early on the border of two records looks exactly like a shorter log, and the
/// records behind it, which may be accepted changes, would be overwritten. The size in the list is
/// the second witness.
pub async fn read_checked(folder: &dyn DataFolder, stat: &FileStat) -> Result<Vec<u8>, DiskError> {
    let bytes = folder.read(&stat.name).await?;
    let read = bytes.len() as u64;
    if read == stat.size {
        return Ok(bytes);
    }
    Err(DiskError::ShortRead { name: stat.name.clone(), size: stat.size, read })
}

/// Writes a file so that it is there whole or not at all, whatever happens meanwhile.
pub async fn write_atomic(
    folder: &dyn DataFolder,
    name: &str,
    chunks: Vec<Vec<u8>>,
) -> Result<(), DiskError> {
    let draft = format!("{name}{DRAFT_SUFFIX}");
    folder.remove(&draft).await?;
    let written = write_draft(folder, &draft, chunks).await;
    if matches!(written, Err(DiskError::Full { .. })) {
        // What a full disk took of it would keep the space from what is smaller.
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

/// Ends the names of files that are being written; what a crash leaves of them means nothing.
pub(crate) const DRAFT_SUFFIX: &str = ".draft";
