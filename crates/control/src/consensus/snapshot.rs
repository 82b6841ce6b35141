//! Snapshots, which bound the length of the log and bring members up to date that lag too far
//! behind it.

use {
    super::{
        core::{ControlCore, restore},
        disk_full::DISK_RETRY_INTERVAL,
        error::ControlError,
        message::{SNAPSHOT, SnapshotReply, SnapshotRequest},
        voting::write_unavailable,
    },
    crate::{
        entry::{LogIndex, Member, Term},
        log::{LogError, RecoveredLog, SnapshotImage, save_snapshot},
    },
    bytes::Bytes,
    gullglade_event::{EventDraft, Level},
    gullglade_peer::PeerFault,
    gullglade_units::{decode, encode},
    std::rc::Rc,
};

/// The maximum size of a received snapshot in bytes: ten times the state of 8,900 documents of 2
/// KB.
const MAX_SNAPSHOT_BYTES: u64 = 192 << 20;

/// A snapshot of which some chunks have been received.
pub(crate) struct IncomingSnapshot {
    index: LogIndex,
    total: u64,
    bytes: Vec<u8>,
}

impl ControlCore {
    /// Starts a compaction if the log has grown enough and none is running.
    pub(super) fn maybe_compact(self: &Rc<Self>) {
        let state = self.state.borrow();
        let applied = (state.config.applied().0 - state.tail.base().0) as usize;
        let is_long = applied >= self.config.compact_entries
            || (state.tail.bytes() >= self.config.compact_bytes && applied > 0);
        if is_long && self.snapshots.try_lock().is_some() {
            self.spawn(Rc::clone(self).compact());
        }
    }

    async fn compact(self: Rc<Self>) {
        let Some(_guard) = self.snapshots.try_lock() else { return };
        let Some(snapshot) = self.take_snapshot() else { return };
        match self.compact_to(&snapshot).await {
            Ok(()) => {}
            Err(error) if error.is_disk_full() => {
                // The log is complete without the snapshot, and the next compaction retries.
                let event = EventDraft::new("control.log.uncompacted").level(Level::Warn);
                self.events.emit(event.error("reason", &error));
                self.sleep(DISK_RETRY_INTERVAL).await;
            }
            Err(error) => {
                self.stop(error.into());
            }
        }
    }

    async fn compact_to(&self, snapshot: &SnapshotImage) -> Result<(), LogError> {
        save_snapshot(&*self.folder, snapshot).await?;
        let mut store = self.store.lock().await;
        let log = self.log_after(snapshot.index);
        store.start_segment_after(Some(snapshot.index), &log).await?;
        self.state.borrow_mut().tail.compact(snapshot.index);
        self.events.emit(EventDraft::new("control.log.compacted").field("index", snapshot.index.0));
        Ok(())
    }

    /// Builds a snapshot of the applied state.
    fn take_snapshot(&self) -> Option<SnapshotImage> {
        let state = self.state.borrow();
        let index = state.config.applied();
        let term = state.tail.term_at(index)?;
        let membership = (**state.tail.membership_at(index)?).clone();
        Some(SnapshotImage { index, term, membership, image: state.config.image() })
    }

    /// Returns the contents of a segment that follows a snapshot at `index`.
    pub(super) fn log_after(&self, index: LogIndex) -> RecoveredLog {
        let state = self.state.borrow();
        RecoveredLog {
            ballot: state.ballot,
            snapshot: None,
            entries: state.tail.entries_from(index.next()).cloned().collect(),
            doubtful: state.is_doubtful,
        }
    }

    /// Sends a snapshot to a member whose next entry has been compacted away. Returns the last
    /// index of the snapshot, or `None` if the member did not answer or the leadership has ended.
    pub(super) async fn send_snapshot(&self, member: &Member, term: Term) -> Option<LogIndex> {
        let snapshot = self.take_snapshot()?;
        let bytes = Bytes::from(encode(&snapshot));
        let total = bytes.len() as u64;
        let mut offset = 0;
        while offset < total {
            self.state.borrow().leadership(term)?;
            let end = (offset as usize + self.config.chunk_bytes).min(bytes.len());
            let request = SnapshotRequest {
                envelope: self.envelope(member.id)?,
                term,
                index: snapshot.index,
                offset,
                total,
                chunk: bytes.slice(offset as usize..end),
            };
            let limit = self.config.snapshot_limit;
            let reply: SnapshotReply =
                self.call(member.address, SNAPSHOT, &request, limit).await.ok()?;
            if reply.term > term {
                self.observe_term(reply.term).await;
                return None;
            }
            offset = reply.next;
        }
        let event = EventDraft::new("control.snapshot.sent").field("member", &member.vm);
        self.events.emit(event.field("index", snapshot.index.0).field("bytes", total));
        Some(snapshot.index)
    }

    /// Stores a chunk of a snapshot, and installs the snapshot with its last chunk.
    pub(super) async fn handle_snapshot(
        self: Rc<Self>,
        request: SnapshotRequest,
    ) -> Result<SnapshotReply, PeerFault> {
        self.check_envelope(&request.envelope)?;
        self.observe_term(request.term).await;
        let term = self.state.borrow().ballot.term;
        if request.term < term {
            return Ok(SnapshotReply { term, next: 0 });
        }
        {
            let mut state = self.state.borrow_mut();
            state.note_leader_contact(self.now());
            state.leader = Some(request.envelope.from);
        }
        let (next, complete) = self.append_chunk(&request)?;
        if let Some(bytes) = complete {
            self.install(request.term, &bytes).await?;
        }
        Ok(SnapshotReply { term, next })
    }

    /// Appends a chunk. Returns the next expected offset, and the bytes of the snapshot once they
    /// are complete.
    fn append_chunk(&self, request: &SnapshotRequest) -> Result<(u64, Option<Vec<u8>>), PeerFault> {
        if request.total > MAX_SNAPSHOT_BYTES {
            return Err(PeerFault::refused(format_args!(
                "a snapshot of {} bytes is too large; the limit is {MAX_SNAPSHOT_BYTES}",
                request.total
            )));
        }
        let mut incoming = self.incoming_snapshot.borrow_mut();
        let (index, total) = (request.index, request.total);
        let is_same_snapshot =
            incoming.as_ref().is_some_and(|i| i.index == index && i.total == total);
        if !is_same_snapshot || request.offset == 0 {
            *incoming = Some(IncomingSnapshot { index, total, bytes: Vec::new() });
        }
        let Some(snapshot) = incoming.as_mut() else { return Ok((0, None)) };
        if snapshot.bytes.len() as u64 == request.offset {
            snapshot.bytes.extend_from_slice(&request.chunk);
        }
        let next = snapshot.bytes.len() as u64;
        let complete = if next == total { incoming.take().map(|i| i.bytes) } else { None };
        Ok((next, complete))
    }

    async fn install(&self, term: Term, bytes: &[u8]) -> Result<(), PeerFault> {
        let snapshot: SnapshotImage = decode(bytes).map_err(PeerFault::malformed)?;
        let _guard = self.snapshots.lock().await;
        if snapshot.index <= self.state.borrow().commit {
            return Ok(());
        }
        let saved = save_snapshot(&*self.folder, &snapshot).await;
        saved.map_err(|e| self.save_failed(e))?;
        let mut store = self.store.lock().await;
        let is_superseded = {
            let state = self.state.borrow();
            state.ballot.term != term || snapshot.index <= state.commit
        };
        if is_superseded {
            return Ok(());
        }
        let mut log = self.log_after(snapshot.index);
        if self.state.borrow().tail.term_at(snapshot.index) != Some(snapshot.term) {
            log.entries.clear();
        }
        let started = store.start_segment_after(Some(snapshot.index), &log).await;
        started.map_err(|e| self.save_failed(e))?;
        log.snapshot = Some(snapshot);
        self.replace_state(log).map_err(|e| write_unavailable(self.stop(e)))
    }

    /// Handles a failure to save a snapshot. If it did not fit on the disk, the leader sends it
    /// again; any other failure stops the member.
    fn save_failed(&self, error: LogError) -> PeerFault {
        write_unavailable(match error.is_disk_full() {
            true => self.pause_writes(&error),
            false => self.stop(error.into()),
        })
    }

    fn replace_state(&self, log: RecoveredLog) -> Result<(), ControlError> {
        let new = restore(self.now(), log)?;
        let mut state = self.state.borrow_mut();
        state.tail = new.tail;
        state.config = new.config;
        state.commit = new.commit;
        state.known_commit = state.known_commit.max(new.commit);
        drop(state);
        self.signal.notify();
        Ok(())
    }
}
