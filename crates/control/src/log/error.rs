//! Why a data folder cannot be used.

use {crate::disk::DiskError, snafu::Snafu};

/// What is wrong with the folder, and what to do about it.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The disk failed.
    #[snafu(display("{source}"), context(false))]
    Disk {
        /// How.
        source: DiskError,
    },
    /// The folder belongs to another VM or another deployment.
    #[snafu(display(
        "the data folder belongs to {what} {found}, but this process is {expected}; point \
         --data-dir at this VM's own folder, or at an empty one and run `gladectl control replace`"
    ))]
    Foreign {
        /// What differs.
        what: &'static str,
        /// The folder's.
        found: String,
        /// This process's.
        expected: String,
    },
    /// A newer program wrote the folder.
    #[snafu(display(
        "the data folder has format {found} and this program reads up to {known}; start the newer \
         version of gullglade that wrote it"
    ))]
    Newer {
        /// The folder's format.
        found: u32,
        /// The newest format known here.
        known: u32,
    },
    /// A file is damaged where accepted state stands.
    #[snafu(display(
        "{name} is damaged at byte {offset}, in state that was accepted, so this voter cannot be \
         trusted; check the disk, empty the data folder, start again and run `gladectl control \
         replace`: the other voters hold everything"
    ))]
    Damaged {
        /// The file.
        name: String,
        /// Where.
        offset: usize,
    },
    /// The files do not fit each other.
    #[snafu(display(
        "the data folder is incomplete: {reason}; restore it whole, or empty it, start again and \
         run `gladectl control replace`: the other voters hold everything"
    ))]
    Incomplete {
        /// What is missing or does not fit.
        reason: String,
    },
}

impl LogError {
    /// Whether the disk refused it for lack of space: nothing is damaged, and it can be tried again.
    pub(crate) fn is_disk_full(&self) -> bool {
        matches!(self, Self::Disk { source: DiskError::Full { .. } })
    }
}
