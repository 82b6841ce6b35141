//! The task that watches leases and plans.

use {
    super::{anti_entropy, region_reporter, shared::RelayShared},
    crate::{Origin, StatusChange},
    gullglade_event::{EventDraft, Level},
    std::{rc::Rc, time::Duration},
};

/// A check that comes so late means that the process stood still: by then a member of the row may
/// have found two calls unanswered.
const STALL_LIMIT: Duration = Duration::from_millis(700);

/// Runs as long as the process.
pub(super) async fn run(shared: Rc<RelayShared>) {
    anti_entropy::join(&shared).await;
    let heal = anti_entropy::run(shared.clone());
    shared.dependencies.context.spawner.spawn(Box::pin(heal));
    loop {
        let begun = shared.now();
        shared.dependencies.context.clock.sleep(shared.config.check_interval).await;
        if shared.now().since(begun) >= shared.config.check_interval + STALL_LIMIT {
            shared.dependencies.events.emit(EventDraft::new("gateway.stalled").level(Level::Warn));
            anti_entropy::catch_up_after_stall(&shared).await;
        }
        check_leases(&shared);
        shared.subset();
        shared.ensure_tasks();
        region_reporter::ensure_tasks(&shared);
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
