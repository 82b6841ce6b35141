//! Snapshot of the backend servers and crashes that a control process observed, persisted for its
//! next run.
//!
//! Failure scenario: all control processes and gateways restart at once, after a loss of power.
//! Backend servers keep running and announce themselves every second or so, each to one control
//! process. Until then, gateways would know only some of them and send those all requests, while
//! the others stay idle and shared prompt prefixes are prefilled again on servers that do not cache
//! them.
//!
//! The snapshot is only a hint: it is written after the changes, and its members may be gone. A
//! gateway uses it only for backend servers that no control process has reported otherwise, and for
//! no longer than the silence timeout; each request names the run that it is meant for.

use {
    crate::{BackendRecord, DepartedRun},
    gullglade_control::{DataFolder, DiskError, read_checked, write_atomic},
    gullglade_poison::CrashUpdate,
    gullglade_units::{CodecError, decode, encode},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
};

/// Name of the file in the data folder.
const FILE_NAME: &str = "fleet";

/// Format version of the file. Files of other versions are ignored, because the content is only a
/// hint.
const FORMAT_VERSION: u32 = 2;

/// Reading or writing the snapshot failed.
#[derive(Debug, Snafu)]
pub(crate) enum SnapshotError {
    /// The disk failed.
    #[snafu(display("{source}"), context(false))]
    Disk {
        /// The disk error.
        source: DiskError,
    },
    /// The file cannot be decoded.
    #[snafu(display(
        "{FILE_NAME} in the data folder does not decode ({source}); it is replaced with the next \
         announcement"
    ))]
    Unreadable {
        /// The decoder error.
        source: CodecError,
    },
}

/// Content of the snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// The backend servers, with their remaining cold time.
    pub backends: Vec<BackendRecord>,
    /// Departures of backend servers.
    pub departed: Vec<DepartedRun>,
    /// Requests with two or more crashes. After a complete restart no other process knows them, and
    /// each would crash three more backend servers before it is held again.
    pub crashes: CrashUpdate,
}

impl FleetSnapshot {
    /// Writes the snapshot, replacing the file.
    pub(crate) async fn save(&self, folder: &dyn DataFolder) -> Result<(), SnapshotError> {
        let bytes = encode(&(FORMAT_VERSION, self));
        Ok(write_atomic(folder, FILE_NAME, vec![bytes]).await?)
    }

    /// Reads the snapshot; empty if there is no file, or one of another format version.
    pub(crate) async fn load(folder: &dyn DataFolder) -> Result<Self, SnapshotError> {
        let files = folder.list().await?;
        let Some(stat) = files.iter().find(|file| file.name == FILE_NAME) else {
            return Ok(Self::default());
        };
        let bytes = read_checked(folder, stat).await?;
        let unreadable = |source| SnapshotError::Unreadable { source };
        let (format, snapshot) = decode::<(u32, Self)>(&bytes).map_err(unreadable)?;
        Ok(if format == FORMAT_VERSION { snapshot } else { Self::default() })
    }
}
