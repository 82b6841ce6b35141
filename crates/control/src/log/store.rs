//! The log of this member, open for writing.

use {
    super::{
        error::LogError,
        frame::{MAX_PAYLOAD_BYTES, frame},
        identity::FolderIdentity,
        recovery::recover,
    },
    crate::{
        disk::{DRAFT_SUFFIX, DataFolder, write_atomic},
        entry::{Ballot, LogEntry, LogIndex, MemberId, Membership, Term},
    },
    bytes::Bytes,
    gullglade_units::{decode, encode},
    serde::{Deserialize, Serialize},
    std::rc::Rc,
};

pub(crate) const SEGMENT_PREFIX: &str = "log-";
pub(crate) const SNAPSHOT_PREFIX: &str = "snapshot-";

/// The size in bytes of one frame of a snapshot.
const SNAPSHOT_CHUNK_BYTES: usize = 1 << 20;

/// A durable record of a segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// The first record of a segment.
    Head {
        /// The member for whose folder the segment was written.
        member: MemberId,
    },
    /// The term and vote, superseding earlier ballots.
    Ballot(Ballot),
    /// An entry, superseding all entries from its index on.
    Entry(LogEntry),
    /// Whether this member may have lost entries that it had acknowledged, superseding earlier
    /// values.
    Doubt(bool),
}

/// A snapshot: the state at one index as an opaque image, and the membership in force there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotImage {
    /// The last entry included in the image.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The membership in force at that entry.
    pub membership: Membership,
    /// The encoded state machine.
    pub image: Bytes,
}

/// The contents of a data folder when it was opened.
#[derive(Debug, Clone, Default)]
pub struct RecoveredLog {
    /// The last ballot.
    pub ballot: Ballot,
    /// The snapshot, if one was taken.
    pub snapshot: Option<SnapshotImage>,
    /// The contiguous entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Whether acknowledged entries may be missing at the end.
    pub doubtful: bool,
}

/// The log of one member, open for writing.
pub struct LogStore {
    folder: Rc<dyn DataFolder>,
    member: MemberId,
    sequence: u64,
    segment_bytes: u64,
}

impl LogStore {
    /// Opens the log of `identity`, repairs the effects of interrupted writes, and returns the
    /// recovered contents. With `trusts_disk`, a damaged tail is known never to have been
    /// acknowledged; see [`ControlConfig::trust_disk`](crate::ControlConfig::trust_disk).
    pub async fn open(
        folder: Rc<dyn DataFolder>,
        identity: &FolderIdentity,
        trusts_disk: bool,
    ) -> Result<(Self, RecoveredLog), LogError> {
        let recovery = recover(&*folder, identity.member, trusts_disk).await?;
        let store = Self {
            folder,
            member: identity.member,
            sequence: recovery.sequence,
            segment_bytes: recovery.segment_bytes,
        };
        Ok((store, recovery.log))
    }

    /// Returns the size of the current segment, in bytes.
    pub fn segment_bytes(&self) -> u64 {
        self.segment_bytes
    }

    /// Appends records and returns once they are synced. After an error the segment may end in a
    /// torn frame, and nothing more may be appended to it: the next start repairs the segment, or a
    /// new segment replaces it.
    pub async fn append(&mut self, records: &[LogRecord]) -> Result<(), LogError> {
        let bytes = frame(&encode(&records));
        let name = segment_name(self.sequence);
        self.segment_bytes += bytes.len() as u64;
        self.folder.append(&name, bytes).await?;
        self.folder.sync(&name).await?;
        Ok(())
    }

    /// Replaces the snapshot and the segment, so that the folder contains exactly `log`.
    ///
    /// The folder is consistent after every step. The snapshot is durable before the segment that
    /// builds on it, and that segment before older files are removed; the next start ignores and
    /// removes files that a crash in between leaves.
    pub async fn replace(&mut self, log: &RecoveredLog) -> Result<(), LogError> {
        if let Some(snapshot) = &log.snapshot {
            save_snapshot(&*self.folder, snapshot).await?;
        }
        self.start_segment_after(log.snapshot.as_ref().map(|s| s.index), log).await
    }

    /// The second half of [`replace`](Self::replace): starts a segment after a snapshot that has
    /// already been saved. Saving the snapshot takes longer and does not need the store.
    pub(crate) async fn start_segment_after(
        &mut self,
        snapshot: Option<LogIndex>,
        log: &RecoveredLog,
    ) -> Result<(), LogError> {
        self.start_segment(log).await?;
        self.remove_older(snapshot).await
    }

    /// Starts a new segment. The old one remains current until the new one is durable.
    async fn start_segment(&mut self, log: &RecoveredLog) -> Result<(), LogError> {
        let next = self.sequence + 1;
        let chunks = encode_segment(self.member, log);
        let segment_bytes = chunks.iter().map(|c| c.len() as u64).sum();
        write_atomic(&*self.folder, &segment_name(next), chunks).await?;
        (self.sequence, self.segment_bytes) = (next, segment_bytes);
        Ok(())
    }

    async fn remove_older(&self, snapshot: Option<LogIndex>) -> Result<(), LogError> {
        let segment = segment_name(self.sequence);
        let kept = snapshot.map(snapshot_name);
        for stat in self.folder.list().await? {
            let is_old_segment = stat.name.starts_with(SEGMENT_PREFIX) && stat.name != segment;
            let is_old_snapshot =
                stat.name.starts_with(SNAPSHOT_PREFIX) && Some(&stat.name) != kept.as_ref();
            if is_old_segment || is_old_snapshot {
                self.folder.remove(&stat.name).await?;
            }
        }
        Ok(self.folder.sync_folder().await?)
    }
}

/// Saves a snapshot. The log does not depend on it until a segment is started after it.
pub(crate) async fn save_snapshot(
    folder: &dyn DataFolder,
    snapshot: &SnapshotImage,
) -> Result<(), LogError> {
    Ok(write_atomic(folder, &snapshot_name(snapshot.index), encode_snapshot(snapshot)).await?)
}

pub(crate) fn segment_name(sequence: u64) -> String {
    format!("{SEGMENT_PREFIX}{sequence:016}")
}

pub(crate) fn snapshot_name(index: LogIndex) -> String {
    format!("{SNAPSHOT_PREFIX}{:016}", index.0)
}

/// Parses the number in the name of a segment or snapshot; returns `None` for unfinished files.
pub(crate) fn file_number(name: &str, prefix: &str) -> Option<u64> {
    if name.ends_with(DRAFT_SUFFIX) {
        return None;
    }
    name.strip_prefix(prefix)?.parse().ok()
}

/// Encodes a new segment with the contents of `log` other than its snapshot.
pub(crate) fn encode_segment(member: MemberId, log: &RecoveredLog) -> Vec<Vec<u8>> {
    let head = vec![
        LogRecord::Head { member },
        LogRecord::Ballot(log.ballot),
        LogRecord::Doubt(log.doubtful),
    ];
    let mut frames = vec![frame(&encode(&head))];
    for batch in log.entries.chunks(ENTRIES_PER_FRAME) {
        let records: Vec<_> = batch.iter().cloned().map(LogRecord::Entry).collect();
        frames.push(frame(&encode(&records)));
    }
    frames
}

/// The number of entries in a frame of a new segment. Entries have at most 256 KB, so a frame holds
/// them.
const ENTRIES_PER_FRAME: usize = 64;

fn encode_snapshot(snapshot: &SnapshotImage) -> Vec<Vec<u8>> {
    let bytes = encode(snapshot);
    let mut frames = vec![frame(&encode(&(bytes.len() as u64)))];
    frames.extend(bytes.chunks(SNAPSHOT_CHUNK_BYTES.min(MAX_PAYLOAD_BYTES)).map(frame));
    frames
}

/// Decodes a snapshot, or returns `None` if frames are missing.
pub(crate) fn decode_snapshot(payloads: &[&[u8]]) -> Option<SnapshotImage> {
    let (length, chunks) = payloads.split_first()?;
    let length: u64 = decode(length).ok()?;
    let bytes = chunks.concat();
    if bytes.len() as u64 != length {
        return None;
    }
    decode(&bytes).ok()
}
