//! Handling of a full disk: the member keeps running with reduced functions and recovers without an
//! operator.
//!
//! A full disk rejects a write and damages nothing that it stores. If the process exited, it would
//! be restarted, find the disk full again and exit again, and would serve no one meanwhile. The
//! member therefore gives up only what it cannot make durable: leadership, votes and new entries.
//! Its segment may end in a torn frame, so a new segment is written from memory as soon as the disk
//! has space for it.

use {
    super::{
        core::{ControlCore, WriteUnavailable},
        error::ControlError,
    },
    crate::{
        config::ControlConfig,
        disk::DataFolder,
        log::{FolderIdentity, LogError, LogStore, RecoveredLog},
    },
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_units::ProcessContext,
    std::{rc::Rc, time::Duration},
};

/// The interval at which a write to a full disk is retried. An election takes longer, so a shorter
/// interval would not shorten the outage.
pub(super) const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl ControlCore {
    /// Pauses writes until the disk has space, and gives up leadership to a member that can write.
    pub(super) fn pause_writes(&self, error: &LogError) -> WriteUnavailable {
        emit_disk_full(&*self.events, error);
        let mut state = self.state.borrow_mut();
        state.end_leadership("the leader's disk is full");
        state.is_disk_full = true;
        drop(state);
        self.signal.notify();
        WriteUnavailable
    }

    /// Resumes writes whenever a full disk has space again.
    pub(super) async fn run_disk_recovery(self: Rc<Self>) {
        loop {
            self.wait_until(|s| s.is_disk_full.then_some(())).await;
            self.sleep(DISK_RETRY_INTERVAL).await;
            match self.renew_segment().await {
                Ok(()) => {
                    self.state.borrow_mut().is_disk_full = false;
                    self.events.emit(EventDraft::new("control.disk.regained"));
                    self.signal.notify();
                }
                Err(error) if error.is_disk_full() => {}
                Err(error) => {
                    self.stop(error.into());
                    return;
                }
            }
        }
    }

    /// Writes all entries after the snapshot into a new segment.
    async fn renew_segment(&self) -> Result<(), LogError> {
        let mut store = self.store.lock().await;
        let base = self.state.borrow().tail.base();
        let snapshot = (base.0 > 0).then_some(base);
        let log = self.log_after(base);
        store.start_segment_after(snapshot, &log).await
    }
}

/// Opens the folder. If the disk has no space for the repair of interrupted writes, waits until it
/// has.
pub(super) async fn open_when_space(
    config: &ControlConfig,
    context: &ProcessContext,
    folder: &Rc<dyn DataFolder>,
    events: &dyn EventSink,
) -> Result<(FolderIdentity, LogStore, RecoveredLog), ControlError> {
    let mut is_reported = false;
    loop {
        match open(config, context, folder).await {
            Err(error) if error.is_disk_full() => {
                if !std::mem::replace(&mut is_reported, true) {
                    emit_disk_full(events, &error);
                }
                context.clock.sleep(DISK_RETRY_INTERVAL).await;
            }
            opened => return Ok(opened?),
        }
    }
}

async fn open(
    config: &ControlConfig,
    context: &ProcessContext,
    folder: &Rc<dyn DataFolder>,
) -> Result<(FolderIdentity, LogStore, RecoveredLog), LogError> {
    let is_first_start = config.seed_settings().is_some_and(|s| s.is_first_start);
    let (cluster, vm, random) = (&config.cluster, &config.vm, &*context.random);
    let identity = FolderIdentity::open(&**folder, cluster, vm, random, is_first_start).await?;
    let (store, log) = LogStore::open(Rc::clone(folder), &identity, config.trusts_disk).await?;
    Ok((identity, store, log))
}

fn emit_disk_full(events: &dyn EventSink, error: &LogError) {
    let event = EventDraft::new("control.disk.full").level(Level::Error);
    events.emit(event.error("reason", error));
}
