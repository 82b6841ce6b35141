//! The task that tells one peer what it has to know.

use {
    super::{
        healing,
        shared::{PeerDuty, RelayShared},
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

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A peer that fails to answer so often in a row is declared dead, unless its own row still
/// vouches for it.
const FAILURE_LIMIT: u32 = 2;

/// Up to where a peer has been told.
#[derive(Clone, Copy)]
struct PeerMarks {
    log: u64,
    loads: u64,
    pulses: u64,
    regions: u64,
}

/// What a speaker of the region has been told of this row.
#[derive(Default)]
struct RowMemory {
    told: TotalsMap,
    messages: u32,
    incarnation: Incarnation,
}

impl RowMemory {
    fn delta(&mut self, shared: &RelayShared, vm: &VmName) -> TotalsDelta {
        let record = shared.members.record(vm);
        let incarnation = record.map(|r| r.status.incarnation).unwrap_or_default();
        self.messages += 1;
        if incarnation != self.incarnation || self.messages >= shared.config.full_refresh_messages {
            *self = Self { incarnation, ..Self::default() };
        }
        let totals = shared.table.totals(&[Origin::Direct, Origin::Row]);
        TotalsDelta::between(&mut self.told, &totals)
    }
}

/// Tells `vm` until it is dead.
pub(super) async fn run(shared: Rc<RelayShared>, vm: VmName) {
    let mut marks = PeerMarks { log: told_so_far(&shared, &vm), loads: 0, pulses: 0, regions: 0 };
    let mut failures = 0;
    let mut memory = RowMemory::default();
    while let Some(duty) = wait_turn(&shared, &vm, &marks, failures).await {
        let next = current_marks(&shared);
        let mut delta = make_delta(&shared, &vm, duty, &marks);
        if duty == PeerDuty::Across && shared.is_speaker(&vm) {
            delta.row_totals = memory.delta(&shared, &vm);
        }
        match send(&shared, &vm, &delta).await {
            Ok(()) => {
                failures = 0;
                marks = next;
                shared.told.borrow_mut().insert(vm.clone(), marks.log);
                shared.progress.ring();
            }
            Err(_) => {
                memory.told.clear();
                failures += 1;
                let vouched = duty != PeerDuty::Row && !shared.members.is_silent(&vm);
                if failures >= FAILURE_LIMIT && !vouched {
                    shared.accuse(&vm);
                }
            }
        }
    }
    shared.told.borrow_mut().remove(&vm);
    shared.progress.ring();
}

fn told_so_far(shared: &RelayShared, vm: &VmName) -> u64 {
    shared.told.borrow().get(vm).copied().unwrap_or_else(|| shared.log.end())
}

fn current_marks(shared: &RelayShared) -> PeerMarks {
    PeerMarks {
        log: shared.log.end(),
        loads: shared.table.load_mark(),
        pulses: shared.members.pulse_mark(),
        regions: shared.regions.mark(),
    }
}

/// Waits until it is time to tell `vm` something; `None`: it is dead.
async fn wait_turn(
    shared: &RelayShared,
    vm: &VmName,
    marks: &PeerMarks,
    failures: u32,
) -> Option<PeerDuty> {
    let clock = &shared.seams.context.clock;
    if failures > 0 {
        clock.sleep(RETRY_PAUSE).await;
        if failures < FAILURE_LIMIT {
            return shared.duty_to(vm);
        }
    }
    let mut tick = clock.sleep(tick_of(shared, vm, shared.duty_to(vm)?));
    loop {
        let news = shared.news.wait();
        let duty = shared.duty_to(vm)?;
        if has_urgent(shared, duty, marks) {
            return Some(duty);
        }
        match select(tick, news).await {
            Either::Left(_) => {
                let duty = shared.duty_to(vm)?;
                if duty != PeerDuty::Urgent || shared.members.is_silent(vm) {
                    return Some(duty);
                }
                tick = clock.sleep(tick_of(shared, vm, duty));
            }
            Either::Right((_, unfinished)) => tick = unfinished,
        }
    }
}

/// The tick of a duty, shortened at random by up to a tenth, so that the region's messages do not
/// fall into step.
fn tick_of(shared: &RelayShared, vm: &VmName, duty: PeerDuty) -> Duration {
    let tick = match duty {
        PeerDuty::Row if shared.plan().watched.contains(vm) => shared.config.watch_interval,
        _ => shared.table.pace().stretch(shared.config.relay_interval),
    };
    tick.mul_f64(1.0 - 0.1 * shared.seams.context.random.unit())
}

fn has_urgent(shared: &RelayShared, duty: PeerDuty, marks: &PeerMarks) -> bool {
    shared.log.since(marks.log).iter().any(|change| change.urgent && is_owed(duty, change))
}

/// Whether a peer of `duty` is to be told `change` by this gateway. What is urgent goes to every
/// peer of the plan, whoever told it: a gateway that dies in the middle of telling would otherwise
/// leave out those whom only it was to tell, and they would send work to a backend server that
/// has left.
fn is_owed(duty: PeerDuty, change: &LoggedChange) -> bool {
    match (change.origin, duty) {
        (Origin::Direct, PeerDuty::Urgent) => change.urgent,
        (_, PeerDuty::Urgent) => false,
        _ if change.urgent => true,
        (Origin::Direct, _) | (Origin::Row, PeerDuty::Across) => true,
        (Origin::Row | Origin::OtherRow | Origin::Sync, _) => false,
    }
}

fn make_delta(shared: &RelayShared, vm: &VmName, duty: PeerDuty, marks: &PeerMarks) -> GossipDelta {
    let mut delta = GossipDelta {
        step: if duty == PeerDuty::Row { RelayStep::Row } else { RelayStep::Across },
        pulse: shared.members.beat(),
        digest: shared.digest(),
        backends: Vec::new(),
        gateways: Vec::new(),
        loads: Vec::new(),
        pulses: Vec::new(),
        row_totals: TotalsDelta::default(),
        regions: Vec::new(),
    };
    add_changes(shared, duty, marks, &mut delta);
    match duty {
        PeerDuty::Row => {
            delta.loads = shared.table.loads_after(marks.loads, &[Origin::Direct], None);
            delta.regions = shared.regions.deltas_after(marks.regions, &[Origin::Direct]);
        }
        PeerDuty::Across => {
            let followed = shared.subset().followed_by(vm);
            let origins = [Origin::Direct, Origin::Row];
            delta.loads = shared.table.loads_after(marks.loads, &origins, Some(&followed));
            delta.regions = shared.regions.deltas_after(marks.regions, &origins);
            delta.pulses = shared.members.row_pulses_after(marks.pulses);
        }
        PeerDuty::Urgent => {}
    }
    delta
}

fn add_changes(shared: &RelayShared, duty: PeerDuty, marks: &PeerMarks, delta: &mut GossipDelta) {
    let mut seen = HashSet::new();
    for change in shared.log.since(marks.log) {
        if !is_owed(duty, &change) || !seen.insert(change.key.clone()) {
            continue;
        }
        match &change.key {
            ChangedKey::Backend(name) => delta.backends.extend(shared.table.aged(name)),
            ChangedKey::Gateway(vm) => delta.gateways.extend(shared.members.aged(vm)),
        }
    }
}

async fn send(shared: &Rc<RelayShared>, vm: &VmName, delta: &GossipDelta) -> Result<(), PeerError> {
    let Some(record) = shared.members.record(vm) else { return Ok(()) };
    let body = Bytes::from(encode(delta));
    let to = record.profile.peer_address;
    let limit = shared.config.call_timeout;
    let answer = shared.seams.transport.call(to, "backend.delta", body, limit).await?;
    if decode(&answer).is_ok_and(|reply: DeltaReply| !reply.known) {
        healing::catch_up(shared, to).await;
    }
    Ok(())
}
