//! Errors of the data folder.

use {crate::disk::DiskError, snafu::Snafu};

/// Reasons for which the data folder cannot be used. Each message states the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// A disk operation failed.
    #[snafu(display("{source}"), context(false))]
    Disk {
        /// The disk error.
        source: DiskError,
    },
    /// The folder belongs to another VM or another deployment.
    #[snafu(display(
        "the data folder belongs to {what} {found}, but this process is {expected}; point \
         --data-dir at this VM's own folder, or at an empty one and run `gladectl control replace`"
    ))]
    Foreign {
        /// The attribute that differs.
        what: &'static str,
        /// The value stored in the folder.
        found: String,
        /// The value expected by this process.
        expected: String,
    },
    /// The folder was written by a newer version of the program.
    #[snafu(display(
        "the data folder has format {found} and this program reads up to {known}; start the newer \
         version of gullglade that wrote it"
    ))]
    Newer {
        /// The format of the folder.
        found: u32,
        /// The newest format that this version supports.
        known: u32,
    },
    /// A file is damaged in a part that had been synced and may hold accepted changes.
    #[snafu(display(
        "{name} is damaged at byte {offset}, in a part that may hold accepted changes, so this \
         voter cannot be trusted; check the disk, empty the data folder, start again and run \
         `gladectl control replace`: the other voters hold everything"
    ))]
    Damaged {
        /// The damaged file.
        name: String,
        /// The offset of the damage, in bytes.
        offset: usize,
    },
    /// The files are inconsistent with each other.
    #[snafu(display(
        "the data folder is incomplete: {reason}; restore it whole, or empty it, start again and \
         run `gladectl control replace`: the other voters hold everything"
    ))]
    Incomplete {
        /// What is missing or inconsistent.
        reason: String,
    },
}

impl LogError {
    /// Returns whether the cause is a lack of disk space: nothing is damaged, and the operation can
    /// be retried.
    pub(crate) fn is_disk_full(&self) -> bool {
        matches!(self, Self::Disk { source: DiskError::Full { .. } })
    }
}
