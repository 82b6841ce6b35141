//! The task that watches leases and plans.

use {
    super::{healing, shared::RelayShared, speaker},
    crate::{Origin, StatusChange},
    gullglade_event::{EventDraft, Level},
    std::{rc::Rc, time::Duration},
};

/// A check that comes so late means that the process stood still: by then a member of the row may
/// have found two calls unanswered.
const STALL_LIMIT: Duration = Duration::from_millis(700);

/// Runs as long as the process.
pub(super) async fn run(shared: Rc<RelayShared>) {
    healing::join(&shared).await;
    let heal = healing::run(shared.clone());
    shared.seams.context.spawner.spawn(Box::pin(heal));
    loop {
        let begun = shared.now();
        shared.seams.context.clock.sleep(shared.config.check_interval).await;
        if shared.now().since(begun) >= shared.config.check_interval + STALL_LIMIT {
            shared.seams.events.emit(EventDraft::new("gateway.stalled").level(Level::Warn));
            healing::recover(&shared).await;
        }
        check_leases(&shared);
        shared.subset();
        shared.ensure_tasks();
        speaker::ensure_tasks(&shared);
    }
}

fn check_leases(shared: &RelayShared) {
    for name in shared.table.expire_silent() {
        let change = StatusChange { membership: true, ..StatusChange::default() };
        shared.note_backend(&name, change, Origin::Direct);
    }
    shared.table.sweep();
    shared.members.sweep();
}
