//! Task that sends updates to one peer.

use {
    super::{
        anti_entropy,
        shared::{PeerScope, RelayShared},
    },
    crate::{
        DeltaReply, GossipDelta, Origin, RelayStep, TotalsDelta,
        change_log::{ChangedKey, LoggedChange},
        summary::TotalsMap,
    },
    bytes::Bytes,
    futures::future::{Either, select},
    gullglade_peer::PeerError,
    gullglade_units::{Incarnation, VmName, decode, encode},
    std::{collections::HashSet, rc::Rc, time::Duration},
};

/// Delay before the retry of a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Number of consecutive failed calls after which a peer is declared dead, unless its own row still
/// receives its heartbeats.
const FAILURE_LIMIT: u32 = 2;

/// Position up to which a peer has received the updates.
#[derive(Clone, Copy)]
struct PeerCursor {
    log: u64,
    loads: u64,
    heartbeats: u64,
    regions: u64,
}

/// Totals of this row last sent to a region reporter.
#[derive(Default)]
struct SentRowTotals {
    totals: TotalsMap,
    messages: u32,
    incarnation: Incarnation,
}

impl SentRowTotals {
    fn delta(&mut self, shared: &RelayShared, vm: &VmName) -> TotalsDelta {
        let record = shared.members.record(vm);
        let incarnation = record.map(|r| r.status.incarnation).unwrap_or_default();
        self.messages += 1;
        if incarnation != self.incarnation || self.messages >= shared.config.full_refresh_messages {
            *self = Self { incarnation, ..Self::default() };
        }
        let totals = shared.table.totals(&[Origin::Direct, Origin::Row]);
        TotalsDelta::between(&mut self.totals, &totals)
    }
}

/// Sends updates to `vm` until it is dead.
pub(super) async fn run(shared: Rc<RelayShared>, vm: VmName) {
    let mut cursor =
        PeerCursor { log: delivered_position(&shared, &vm), loads: 0, heartbeats: 0, regions: 0 };
    let mut failures = 0;
    let mut sent_totals = SentRowTotals::default();
    while let Some(scope) = wait_until_due(&shared, &vm, &cursor, failures).await {
        let next = current_cursor(&shared);
        let mut delta = make_delta(&shared, &vm, scope, &cursor);
        if scope == PeerScope::RelayTarget && shared.is_reporter(&vm) {
            delta.row_totals = sent_totals.delta(&shared, &vm);
        }
        match send(&shared, &vm, &delta).await {
            Ok(()) => {
                failures = 0;
                cursor = next;
                shared.delivered.borrow_mut().insert(vm.clone(), cursor.log);
                shared.progress.notify_all();
            }
            Err(_) => {
                sent_totals.totals.clear();
                failures += 1;
                let is_heard_by_row = scope != PeerScope::RowPeer && !shared.members.is_silent(&vm);
                if failures >= FAILURE_LIMIT && !is_heard_by_row {
                    shared.declare_dead(&vm);
                }
            }
        }
    }
    shared.delivered.borrow_mut().remove(&vm);
    shared.progress.notify_all();
}

fn delivered_position(shared: &RelayShared, vm: &VmName) -> u64 {
    shared.delivered.borrow().get(vm).copied().unwrap_or_else(|| shared.log.end())
}

fn current_cursor(shared: &RelayShared) -> PeerCursor {
    PeerCursor {
        log: shared.log.end(),
        loads: shared.table.load_cursor(),
        heartbeats: shared.members.heartbeat_cursor(),
        regions: shared.regions.cursor(),
    }
}

/// Waits until the next message to `vm` is due. Returns `None` if `vm` is dead.
async fn wait_until_due(
    shared: &RelayShared,
    vm: &VmName,
    cursor: &PeerCursor,
    failures: u32,
) -> Option<PeerScope> {
    let clock = &shared.dependencies.context.clock;
    if failures > 0 {
        clock.sleep(RETRY_PAUSE).await;
        if failures < FAILURE_LIMIT {
            return shared.scope_of(vm);
        }
    }
    let mut timer = clock.sleep(send_interval(shared, vm, shared.scope_of(vm)?));
    loop {
        let update = shared.updates.notified();
        let scope = shared.scope_of(vm)?;
        if has_urgent_change(shared, scope, cursor) {
            return Some(scope);
        }
        match select(timer, update).await {
            Either::Left(_) => {
                let scope = shared.scope_of(vm)?;
                if scope != PeerScope::UrgentOnly || shared.members.is_silent(vm) {
                    return Some(scope);
                }
                timer = clock.sleep(send_interval(shared, vm, scope));
            }
            Either::Right((_, unfinished)) => timer = unfinished,
        }
    }
}

/// Returns the send interval for a peer, shortened at random by up to 10 %, so that the messages of
/// a region do not synchronize.
fn send_interval(shared: &RelayShared, vm: &VmName, scope: PeerScope) -> Duration {
    let interval = match scope {
        PeerScope::RowPeer if shared.plan().watched.contains(vm) => shared.config.watch_interval,
        _ => shared.table.interval_scale().scale(shared.config.relay_interval),
    };
    interval.mul_f64(1.0 - 0.1 * shared.dependencies.context.random.unit())
}

fn has_urgent_change(shared: &RelayShared, scope: PeerScope, cursor: &PeerCursor) -> bool {
    shared.log.since(cursor.log).iter().any(|change| change.urgent && is_in_scope(scope, change))
}

/// Returns whether this gateway sends `change` to a peer of `scope`.
///
/// Urgent changes are sent to every peer of the plan regardless of their origin. Otherwise, a
/// gateway that fails while sending would leave out the peers that only it was to notify, and they
/// would continue to dispatch requests to a backend server that has left.
fn is_in_scope(scope: PeerScope, change: &LoggedChange) -> bool {
    match (change.origin, scope) {
        (Origin::Direct, PeerScope::UrgentOnly) => change.urgent,
        (_, PeerScope::UrgentOnly) => false,
        _ if change.urgent => true,
        (Origin::Direct, _) | (Origin::Row, PeerScope::RelayTarget) => true,
        (Origin::Row | Origin::OtherRow | Origin::Sync, _) => false,
    }
}

fn make_delta(
    shared: &RelayShared,
    vm: &VmName,
    scope: PeerScope,
    cursor: &PeerCursor,
) -> GossipDelta {
    let mut delta = GossipDelta {
        step: if scope == PeerScope::RowPeer { RelayStep::Row } else { RelayStep::Across },
        heartbeat: shared.members.next_heartbeat(),
        digest: shared.digest(),
        backends: Vec::new(),
        gateways: Vec::new(),
        loads: Vec::new(),
        row_heartbeats: Vec::new(),
        row_totals: TotalsDelta::default(),
        regions: Vec::new(),
    };
    add_changes(shared, scope, cursor, &mut delta);
    match scope {
        PeerScope::RowPeer => {
            delta.loads = shared.table.loads_after(cursor.loads, &[Origin::Direct], None);
            delta.regions = shared.regions.deltas_after(cursor.regions, &[Origin::Direct]);
        }
        PeerScope::RelayTarget => {
            let followed = shared.subset().followed_by(vm);
            let origins = [Origin::Direct, Origin::Row];
            delta.loads = shared.table.loads_after(cursor.loads, &origins, Some(&followed));
            delta.regions = shared.regions.deltas_after(cursor.regions, &origins);
            delta.row_heartbeats = shared.members.row_heartbeats_after(cursor.heartbeats);
        }
        PeerScope::UrgentOnly => {}
    }
    delta
}

fn add_changes(
    shared: &RelayShared,
    scope: PeerScope,
    cursor: &PeerCursor,
    delta: &mut GossipDelta,
) {
    let mut seen = HashSet::new();
    for change in shared.log.since(cursor.log) {
        if !is_in_scope(scope, &change) || !seen.insert(change.key.clone()) {
            continue;
        }
        match &change.key {
            ChangedKey::Backend(name) => delta.backends.extend(shared.table.aged_record(name)),
            ChangedKey::Gateway(vm) => delta.gateways.extend(shared.members.aged_record(vm)),
        }
    }
}

async fn send(shared: &Rc<RelayShared>, vm: &VmName, delta: &GossipDelta) -> Result<(), PeerError> {
    let Some(record) = shared.members.record(vm) else { return Ok(()) };
    let body = Bytes::from(encode(delta));
    let to = record.profile.peer_address;
    let timeout = shared.config.call_timeout;
    let answer = shared.dependencies.transport.call(to, "backend.delta", body, timeout).await?;
    if decode(&answer).is_ok_and(|reply: DeltaReply| !reply.known) {
        anti_entropy::catch_up(shared, to).await;
    }
    Ok(())
}
