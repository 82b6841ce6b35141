//! A disk without space: the member stays up without what needs the disk, and comes back by itself.
//!
//! A full disk refuses a write and damages nothing that it holds. A process that ended there would
//! be started again, find the disk as full and end again, and would serve nobody meanwhile. So the
//! member only gives up what it cannot make durable: the lead, its vote, entries. Its segment may
//! end in a torn frame; the segment is replaced by a new one, written from memory, as soon as the
//! disk takes that.

use {
    super::{
        core::{ControlCore, NotWritten},
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

/// How often a full disk is tried again. An election takes longer, so a shorter time brings
/// nothing back sooner.
pub(super) const SPACE_INTERVAL: Duration = Duration::from_millis(500);

impl ControlCore {
    /// Writes nothing more until the disk has space; the lead goes to a member that can write.
    pub(super) fn pause_writes(&self, error: &LogError) -> NotWritten {
        tell_full(&*self.events, error);
        let mut state = self.state.borrow_mut();
        state.end_leadership("the leader's disk is full");
        state.is_disk_full = true;
        drop(state);
        self.signal.notify();
        NotWritten
    }

    /// Brings the member back whenever its disk was full and has space again.
    pub(super) async fn run_space_watch(self: Rc<Self>) {
        loop {
            self.until(|s| s.is_disk_full.then_some(())).await;
            self.sleep(SPACE_INTERVAL).await;
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

    /// Writes all that this member holds behind its snapshot into a new segment.
    async fn renew_segment(&self) -> Result<(), LogError> {
        let mut store = self.store.lock().await;
        let base = self.state.borrow().tail.base();
        let snapshot = (base.0 > 0).then_some(base);
        let log = self.log_behind(base);
        store.start_behind(snapshot, &log).await
    }
}

/// Opens the folder; where the disk has no space to mend what a crash left, waits for it.
pub(super) async fn open_with_space(
    config: &ControlConfig,
    context: &ProcessContext,
    folder: &Rc<dyn DataFolder>,
    events: &dyn EventSink,
) -> Result<(FolderIdentity, LogStore, RecoveredLog), ControlError> {
    let mut is_told = false;
    loop {
        match open(config, context, folder).await {
            Err(error) if error.is_disk_full() => {
                if !std::mem::replace(&mut is_told, true) {
                    tell_full(events, &error);
                }
                context.clock.sleep(SPACE_INTERVAL).await;
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

fn tell_full(events: &dyn EventSink, error: &LogError) {
    let event = EventDraft::new("control.disk.full").level(Level::Error);
    events.emit(event.error("reason", error));
}
