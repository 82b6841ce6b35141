//! The on-disk log: an identity file, one snapshot and one segment of records.
//!
//! Each durable fact of a member (term and vote, entries, doubt about its own disk) is a record in
//! a single append-only segment. One append and one sync therefore make any combination of them
//! durable atomically, and a vote can never become durable separately from the entries on which it
//! depends. An entry record supersedes all entries from its index on, so a conflict with a new
//! leader needs no file truncation, which is the operation that disks perform least reliably. A
//! snapshot replaces the segment.

mod error;
mod frame;
mod identity;
mod recovery;
mod store;

pub use error::LogError;
pub use identity::{FOLDER_FORMAT, FolderIdentity};
pub(crate) use store::save_snapshot;
pub use store::{LogRecord, LogStore, RecoveredLog, SnapshotImage};
