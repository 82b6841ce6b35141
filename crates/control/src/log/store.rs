//! The open log of this member.

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

/// The bytes of one frame of a snapshot.
const SNAPSHOT_CHUNK_BYTES: usize = 1 << 20;

/// One durable fact.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// Begins a segment.
    Head {
        /// Whose folder the segment was written for.
        member: MemberId,
    },
    /// The term and vote from here on.
    Ballot(Ballot),
    /// An entry; replaces everything from its index on.
    Entry(LogEntry),
    /// Whether this member may have lost entries that it had acknowledged, from here on.
    Doubt(bool),
}

/// The state at one index, as an opaque image, and the membership in force there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotImage {
    /// The last entry that the image includes.
    pub index: LogIndex,
    /// That entry's term.
    pub term: Term,
    /// The membership in force at that entry.
    pub membership: Membership,
    /// The state machine's image.
    pub image: Bytes,
}

/// What a folder held when it was opened.
#[derive(Debug, Clone, Default)]
pub struct RecoveredLog {
    /// The last ballot.
    pub ballot: Ballot,
    /// The snapshot, if one was taken.
    pub snapshot: Option<SnapshotImage>,
    /// The entries behind the snapshot, without a gap.
    pub entries: Vec<LogEntry>,
    /// Whether entries that were acknowledged may be missing at the end.
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
    /// Opens the log of `identity`, mends the remains of interrupted writes, and returns what it
    /// holds. `trusts_disk`: a damaged end was never acknowledged, see
    /// [`ControlConfig::trust_disk`](crate::ControlConfig::trust_disk).
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

    /// Bytes of the segment in use.
    pub fn segment_bytes(&self) -> u64 {
        self.segment_bytes
    }

    /// Makes records durable: returns once they are synced. After an error the segment may end in
    /// a torn frame, and nothing may be appended behind it: the next start mends the segment, or
    /// a new segment takes its place.
    pub async fn append(&mut self, records: &[LogRecord]) -> Result<(), LogError> {
        let bytes = frame(&encode(&records));
        let name = segment_name(self.sequence);
        self.segment_bytes += bytes.len() as u64;
        self.folder.append(&name, bytes).await?;
        self.folder.sync(&name).await?;
        Ok(())
    }

    /// Replaces snapshot and segment: the folder then holds `log` and nothing else.
    ///
    /// The order of the steps keeps the folder whole at every moment. The snapshot is durable
    /// before a segment that builds on it, and that before the older files go; a crash in between
    /// leaves files that the next start skips and removes.
    pub async fn replace(&mut self, log: &RecoveredLog) -> Result<(), LogError> {
        if let Some(snapshot) = &log.snapshot {
            save_snapshot(&*self.folder, snapshot).await?;
        }
        self.start_behind(log.snapshot.as_ref().map(|s| s.index), log).await
    }

    /// The second half of [`replace`](Self::replace): a new segment behind a snapshot that was
    /// saved before. The first half takes long and needs no store.
    pub(crate) async fn start_behind(
        &mut self,
        snapshot: Option<LogIndex>,
        log: &RecoveredLog,
    ) -> Result<(), LogError> {
        self.start_segment(log).await?;
        self.remove_older(snapshot).await
    }

    /// The old segment stays the one in use until the new one is durable.
    async fn start_segment(&mut self, log: &RecoveredLog) -> Result<(), LogError> {
        let next = self.sequence + 1;
        let chunks = segment_frames(self.member, log);
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

/// Writes a snapshot. The log is still whole without it.
pub(crate) async fn save_snapshot(
    folder: &dyn DataFolder,
    snapshot: &SnapshotImage,
) -> Result<(), LogError> {
    Ok(write_atomic(folder, &snapshot_name(snapshot.index), snapshot_frames(snapshot)).await?)
}

pub(crate) fn segment_name(sequence: u64) -> String {
    format!("{SEGMENT_PREFIX}{sequence:016}")
}

pub(crate) fn snapshot_name(index: LogIndex) -> String {
    format!("{SNAPSHOT_PREFIX}{:016}", index.0)
}

/// The number in the name of a segment or snapshot; drafts have none.
pub(crate) fn numbered(name: &str, prefix: &str) -> Option<u64> {
    if name.ends_with(DRAFT_SUFFIX) {
        return None;
    }
    name.strip_prefix(prefix)?.parse().ok()
}

/// The frames of a new segment that holds everything of `log` but its snapshot.
pub(crate) fn segment_frames(member: MemberId, log: &RecoveredLog) -> Vec<Vec<u8>> {
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

/// Entries written together when a segment starts: at most 256 KB each, they fit a frame.
const ENTRIES_PER_FRAME: usize = 64;

fn snapshot_frames(snapshot: &SnapshotImage) -> Vec<Vec<u8>> {
    let bytes = encode(snapshot);
    let mut frames = vec![frame(&encode(&(bytes.len() as u64)))];
    frames.extend(bytes.chunks(SNAPSHOT_CHUNK_BYTES.min(MAX_PAYLOAD_BYTES)).map(frame));
    frames
}

/// The snapshot in these frames, or `None` where they are not all there.
pub(crate) fn snapshot_from(payloads: &[&[u8]]) -> Option<SnapshotImage> {
    let (length, chunks) = payloads.split_first()?;
    let length: u64 = decode(length).ok()?;
    let bytes = chunks.concat();
    if bytes.len() as u64 != length {
        return None;
    }
    decode(&bytes).ok()
}
