//! What a folder holds at start, and how the remains of interrupted writes are mended.

use {
    super::{
        error::LogError,
        frame::{FileEnd, FrameScan, scan},
        store::{
            LogRecord, RecoveredLog, SEGMENT_PREFIX, SNAPSHOT_PREFIX, SnapshotImage, numbered,
            segment_frames, segment_name, snapshot_from,
        },
    },
    crate::{
        disk::{DRAFT_SUFFIX, DataFolder, FileStat, read_checked, write_atomic},
        entry::{Ballot, LogEntry, LogIndex, MemberId},
    },
    gullglade_units::decode,
};

/// The folder at start.
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
        let reason = "there is an identity but no log segment".to_owned();
        LogError::Incomplete { reason }
    })?;
    let bytes = read_checked(folder, stat).await?;
    let damaged = |offset| LogError::Damaged { name: stat.name.clone(), offset };
    let frames = scan(&bytes).map_err(|e| damaged(e.offset))?;
    let mut log = replay(&frames, member, snapshot)
        .map_err(|fault| fault.into_error(&stat.name, frames.valid_bytes))?;
    let segment_bytes = match frames.end {
        FileEnd::Whole => {
            // A process that was killed between an append and its sync leaves a whole frame that
            // the next loss of power may still take away. From here on this member vouches for it.
            folder.sync(&stat.name).await?;
            folder.sync_folder().await?;
            bytes.len() as u64
        }
        end => {
            log.doubtful |= end == FileEnd::Doubtful && !trusts_disk;
            cut_tail(folder, sequence, member, &log).await?
        }
    };
    Ok(FolderRecovery { sequence, segment_bytes, log })
}

fn newest<'a>(files: &'a [FileStat], prefix: &str) -> Option<(u64, &'a FileStat)> {
    files
        .iter()
        .filter_map(|stat| Some((numbered(&stat.name, prefix)?, stat)))
        .max_by_key(|(number, _)| *number)
}

async fn read_snapshot(
    folder: &dyn DataFolder,
    stat: &FileStat,
) -> Result<SnapshotImage, LogError> {
    let bytes = read_checked(folder, stat).await?;
    let damaged = |offset| LogError::Damaged { name: stat.name.clone(), offset };
    let frames = scan(&bytes).map_err(|e| damaged(e.offset))?;
    snapshot_from(&frames.payloads).ok_or_else(|| damaged(frames.valid_bytes))
}

/// Writes the segment anew without what follows its last whole frame.
///
/// Leaving the tail and appending behind it would make it a damaged middle at the next start.
async fn cut_tail(
    folder: &dyn DataFolder,
    sequence: u64,
    member: MemberId,
    log: &RecoveredLog,
) -> Result<u64, LogError> {
    let chunks = segment_frames(member, log);
    let bytes = chunks.iter().map(|c| c.len() as u64).sum();
    write_atomic(folder, &segment_name(sequence), chunks).await?;
    Ok(bytes)
}

/// Why whole frames do not make a log.
enum ReplayFault {
    /// A record does not decode, or the head is missing.
    Unreadable,
    /// The segment was written for another folder.
    OtherFolder(MemberId),
    /// Entries are missing between the snapshot and this one.
    Gap(LogIndex),
}

impl ReplayFault {
    fn into_error(self, name: &str, offset: usize) -> LogError {
        let reason = match self {
            Self::Unreadable => return LogError::Damaged { name: name.to_owned(), offset },
            Self::OtherFolder(member) => {
                format!("{name} was written by member {member}, not by this folder's")
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
) -> Result<RecoveredLog, ReplayFault> {
    let (base, base_term) = snapshot.as_ref().map_or_else(Default::default, |s| (s.index, s.term));
    let mut log = RecoveredLog { snapshot, ..RecoveredLog::default() };
    let mut has_head = false;
    let mut is_diverged = false;
    for payload in &frames.payloads {
        let records: Vec<LogRecord> = decode(payload).map_err(|_| ReplayFault::Unreadable)?;
        for record in records {
            match record {
                LogRecord::Head { member: found } if found == member => has_head = true,
                LogRecord::Head { member: found } => return Err(ReplayFault::OtherFolder(found)),
                LogRecord::Ballot(ballot) => log.ballot = ballot,
                LogRecord::Doubt(doubtful) => log.doubtful = doubtful,
                LogRecord::Entry(entry) => {
                    if entry.index == base {
                        is_diverged = entry.term != base_term;
                    }
                    place(&mut log.entries, base, entry)?;
                }
            }
        }
    }
    // A snapshot from the leader that replaced entries of an older leader, and then a crash before
    // the segment was replaced as well: what follows in the segment continues the replaced entry.
    if is_diverged {
        log.entries.clear();
    }
    if has_head { Ok(log) } else { Err(ReplayFault::Unreadable) }
}

/// Whether `bytes` are a segment in which nothing has happened yet.
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

/// Puts an entry in its place; what stood there and behind it is gone.
fn place(entries: &mut Vec<LogEntry>, base: LogIndex, entry: LogEntry) -> Result<(), ReplayFault> {
    if entry.index <= base {
        return Ok(());
    }
    let position = (entry.index.0 - base.0 - 1) as usize;
    if position > entries.len() {
        return Err(ReplayFault::Gap(entry.index));
    }
    entries.truncate(position);
    entries.push(entry);
    Ok(())
}
