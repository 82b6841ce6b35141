//! What a control process heard of backend servers and of requests that end them, kept on its disk
//! for its next run.
//!
//! The load pattern: all control processes are restarted at once, after a loss of power, and with
//! them all gateways. Backend servers run on and announce themselves every second or so, each to
//! one control process. Until then gateways knew some of them and gave these everything that came;
//! the rest stood idle, and shared parts of prompts were read again where they were not held.
//!
//! It is a hint and no more: the file is written behind the changes, and what it names may be gone.
//! A gateway takes it only for backend servers of which nobody has told it anything, and for no
//! longer than a silence lasts; each request says which run it is for.

use {
    crate::{BackendRecord, DepartedRun},
    gullglade_control::{DataFolder, DiskError, read_checked, write_atomic},
    gullglade_poison::CrashUpdate,
    gullglade_units::{CodecError, decode, encode},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
};

/// The file in the data folder.
const FILE_NAME: &str = "fleet";

/// The format of the file. Another version's is not read: it is only a hint.
const FORMAT: u32 = 2;

/// Why the file is of no use.
#[derive(Debug, Snafu)]
pub(crate) enum MemoryError {
    /// The disk failed.
    #[snafu(display("{source}"), context(false))]
    Disk {
        /// How.
        source: DiskError,
    },
    /// It does not decode.
    #[snafu(display(
        "{FILE_NAME} in the data folder does not decode ({source}); it is replaced with the next \
         announcement"
    ))]
    Unreadable {
        /// The decoder's words.
        source: CodecError,
    },
}

/// What is kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// The backend servers, with how much longer they were cold.
    pub backends: Vec<BackendRecord>,
    /// The goodbyes.
    pub departed: Vec<DepartedRun>,
    /// Requests under which two or more backend servers ended. After a loss of power everywhere
    /// nobody else knows of them, and each would end three more before it is held back again.
    pub crashes: CrashUpdate,
}

impl FleetSnapshot {
    /// Replaces the file.
    pub(crate) async fn save(&self, folder: &dyn DataFolder) -> Result<(), MemoryError> {
        let bytes = encode(&(FORMAT, self));
        Ok(write_atomic(folder, FILE_NAME, vec![bytes]).await?)
    }

    /// What the file holds; nothing where there is none, or one of another format.
    pub(crate) async fn load(folder: &dyn DataFolder) -> Result<Self, MemoryError> {
        let files = folder.list().await?;
        let Some(stat) = files.iter().find(|file| file.name == FILE_NAME) else {
            return Ok(Self::default());
        };
        let bytes = read_checked(folder, stat).await?;
        let unreadable = |source| MemoryError::Unreadable { source };
        let (format, memory) = decode::<(u32, Self)>(&bytes).map_err(unreadable)?;
        Ok(if format == FORMAT { memory } else { Self::default() })
    }
}
