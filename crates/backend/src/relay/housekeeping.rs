//! Background task that checks leases, subsets and peer tasks.

use {
    super::{anti_entropy, region_reporter, shared::RelayShared},
    crate::{Origin, StatusChange},
    gullglade_event::{EventDraft, Level},
    std::{rc::Rc, time::Duration},
};

/// Delay of a check beyond which the process is assumed to have stalled. By then, a gateway of the
/// same row may have had two calls unanswered and declared this gateway dead.
const STALL_LIMIT: Duration = Duration::from_millis(700);

/// Joins the region and then runs the checks for the lifetime of the process.
pub(super) async fn run(shared: Rc<RelayShared>) {
    anti_entropy::join(&shared).await;
    let heal = anti_entropy::run(shared.clone());
    shared.dependencies.context.spawner.spawn(Box::pin(heal));
    loop {
        let started = shared.now();
        shared.dependencies.context.clock.sleep(shared.config.check_interval).await;
        if shared.now().since(started) >= shared.config.check_interval + STALL_LIMIT {
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
        shared.propagate_backend(&name, change, Origin::Direct);
    }
    shared.table.sweep();
    shared.members.sweep();
}
