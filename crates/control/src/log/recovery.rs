//! Recovery: reads a data folder at start and repairs the effects of interrupted writes.

use {
    super::{
        error::LogError,
        frame::{FileEnd, FrameScan, scan},
        store::{
            LogRecord, RecoveredLog, SEGMENT_PREFIX, SNAPSHOT_PREFIX, SnapshotImage,
            decode_snapshot, encode_segment, file_number, segment_name,
        },
    },
    crate::{
        disk::{DRAFT_SUFFIX, DataFolder, FileStat, read_checked, write_atomic},
        entry::{Ballot, LogEntry, LogIndex, MemberId},
    },
    gullglade_units::decode,
};

/// The recovered contents of a data folder.
pub(super) struct FolderRecovery {
    pub(super) sequence: u64,
    pub(super) segment_bytes: u64,
    pub(super) log: RecoveredLog,
}

pub(super) async fn recover(
    folder: &dyn DataFolder,
    member: MemberId,
    trusts_disk: bool,
) -> Result<FolderRecovery, LogError> {
    let files = folder.list().await?;
    for draft in files.iter().filter(|f| f.name.ends_with(DRAFT_SUFFIX)) {
        folder.remove(&draft.name).await?;
    }
    let snapshot = match newest(&files, SNAPSHOT_PREFIX) {
        Some((_, stat)) => Some(read_snapshot(folder, stat).await?),
        None => None,
    };
    let (sequence, stat) = newest(&files, SEGMENT_PREFIX).ok_or_else(|| {
        let reason = "the identity file exists but there is no log segment".to_owned();
        LogError::Incomplete { reason }
    })?;
    let bytes = read_checked(folder, stat).await?;
    let damaged = |offset| LogError::Damaged { name: stat.name.clone(), offset };
    let frames = scan(&bytes).map_err(|e| damaged(e.offset))?;
    let mut log = replay(&frames, member, snapshot)
        .map_err(|error| error.into_error(&stat.name, frames.valid_bytes))?;
    let segment_bytes = match frames.end {
        FileEnd::Complete => {
            // A process that was killed between an append and its sync leaves a complete frame that
            // a power loss can still remove. This member acknowledges the frame from now on, so it
            // is synced here.
            folder.sync(&stat.name).await?;
            folder.sync_folder().await?;
            bytes.len() as u64
        }
        end => {
            log.doubtful |= end == FileEnd::Ambiguous && !trusts_disk;
            rewrite_without_tail(folder, sequence, member, &log).await?
        }
    };
    Ok(FolderRecovery { sequence, segment_bytes, log })
}

fn newest<'a>(files: &'a [FileStat], prefix: &str) -> Option<(u64, &'a FileStat)> {
    files
        .iter()
        .filter_map(|stat| Some((file_number(&stat.name, prefix)?, stat)))
        .max_by_key(|(number, _)| *number)
}

async fn read_snapshot(
    folder: &dyn DataFolder,
    stat: &FileStat,
) -> Result<SnapshotImage, LogError> {
    let bytes = read_checked(folder, stat).await?;
    let damaged = |offset| LogError::Damaged { name: stat.name.clone(), offset };
    let frames = scan(&bytes).map_err(|e| damaged(e.offset))?;
    decode_snapshot(&frames.payloads).ok_or_else(|| damaged(frames.valid_bytes))
}

/// Rewrites the segment without the bytes after its last valid frame.
///
/// Appending after those bytes would turn them into a damaged frame followed by valid ones, which
/// the next start treats as lost state.
async fn rewrite_without_tail(
    folder: &dyn DataFolder,
    sequence: u64,
    member: MemberId,
    log: &RecoveredLog,
) -> Result<u64, LogError> {
    let chunks = encode_segment(member, log);
    let bytes = chunks.iter().map(|c| c.len() as u64).sum();
    write_atomic(folder, &segment_name(sequence), chunks).await?;
    Ok(bytes)
}

/// Reasons for which valid frames do not form a log.
enum ReplayError {
    /// A record does not decode, or the head record is missing.
    Unreadable,
    /// The segment was written for another data folder.
    OtherMember(MemberId),
    /// Entries between the snapshot and this index are missing.
    Gap(LogIndex),
}

impl ReplayError {
    fn into_error(self, name: &str, offset: usize) -> LogError {
        let reason = match self {
            Self::Unreadable => return LogError::Damaged { name: name.to_owned(), offset },
            Self::OtherMember(member) => {
                format!("{name} was written by member {member}, not by the member of this folder")
            }
            Self::Gap(index) => format!("entries before {} are missing in {name}", index.0),
        };
        LogError::Incomplete { reason }
    }
}

fn replay(
    frames: &FrameScan<'_>,
    member: MemberId,
    snapshot: Option<SnapshotImage>,
) -> Result<RecoveredLog, ReplayError> {
    let (base, base_term) = snapshot.as_ref().map_or_else(Default::default, |s| (s.index, s.term));
    let mut log = RecoveredLog { snapshot, ..RecoveredLog::default() };
    let mut has_head = false;
    let mut is_diverged = false;
    for payload in &frames.payloads {
        let records: Vec<LogRecord> = decode(payload).map_err(|_| ReplayError::Unreadable)?;
        for record in records {
            match record {
                LogRecord::Head { member: found } if found == member => has_head = true,
                LogRecord::Head { member: found } => return Err(ReplayError::OtherMember(found)),
                LogRecord::Ballot(ballot) => log.ballot = ballot,
                LogRecord::Doubt(doubtful) => log.doubtful = doubtful,
                LogRecord::Entry(entry) => {
                    if entry.index == base {
                        is_diverged = entry.term != base_term;
                    }
                    put_entry(&mut log.entries, base, entry)?;
                }
            }
        }
    }
    // The segment precedes a snapshot from a leader that replaced entries of an earlier term: a
    // crash occurred after the snapshot was saved and before the segment was replaced. The entries
    // after the snapshot then continue the replaced entry and must be discarded.
    if is_diverged {
        log.entries.clear();
    }
    if has_head { Ok(log) } else { Err(ReplayError::Unreadable) }
}

/// Returns whether `bytes` are a segment that holds no vote and no entry.
pub(super) fn is_unused_segment(bytes: &[u8]) -> bool {
    let Ok(frames) = scan(bytes) else { return false };
    let [payload] = frames.payloads.as_slice() else { return false };
    let Ok(records) = decode::<Vec<LogRecord>>(payload) else { return false };
    records.iter().all(|record| match record {
        LogRecord::Head { .. } => true,
        LogRecord::Ballot(ballot) => *ballot == Ballot::default(),
        LogRecord::Doubt(doubtful) => !doubtful,
        LogRecord::Entry(_) => false,
    })
}

/// Stores an entry at its index and discards all entries from that index on.
fn put_entry(
    entries: &mut Vec<LogEntry>,
    base: LogIndex,
    entry: LogEntry,
) -> Result<(), ReplayError> {
    if entry.index <= base {
        return Ok(());
    }
    let position = (entry.index.0 - base.0 - 1) as usize;
    if position > entries.len() {
        return Err(ReplayError::Gap(entry.index));
    }
    entries.truncate(position);
    entries.push(entry);
    Ok(())
}
