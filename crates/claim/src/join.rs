//! State transfer to a replica that has lost its records or enters a new epoch.
//!
//! Before such a replica votes on all keys, it copies the claims of enough other members that every
//! quorum that it may have been part of, or that the previous epoch had, shares a member with them.

use {
    crate::{
        ReplicaGroup, ReplicaMember,
        group::{blocking_size_of, position_in, seal_size_of},
        message::{COPY_METHOD, CopyCall, CopyPage},
        replica::{ClaimReplica, ReplicaState},
        table::StepTime,
    },
    bytes::Bytes,
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_peer::{FaultKind, PeerError, PeerTransport},
    gullglade_units::{Incarnation, VmName, decode, encode},
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// Initial delay between copy rounds while too few members can provide a copy. The delay doubles
/// after each round.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay between copy rounds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Progress of the state transfer since the replica entered its epoch.
#[derive(Default)]
pub(crate) struct JoinProgress {
    /// Members of this epoch and the previous one that have answered, with the latest epoch for
    /// which each held all claims when it was copied.
    copied: BTreeMap<VmName, u64>,
    /// Time at which enough members of the previous epoch were known to no longer vote in it.
    sealed_at: Option<StepTime>,
}

impl JoinProgress {
    /// Time at which enough members of the previous epoch were sealed, if they are.
    pub(crate) fn sealed_at(&self) -> Option<StepTime> {
        self.sealed_at
    }

    /// Returns true if enough other members of the epoch have answered that one of them would know
    /// of a later epoch if one had begun.
    pub(crate) fn has_asked_enough(&self, group: &ReplicaGroup) -> bool {
        let answered = self.count_copied(&group.members, 0);
        answered >= group.blocking_size().min(group.members.len() - 1)
    }

    fn count_copied(&self, members: &[ReplicaMember], epoch: u64) -> usize {
        let copied =
            |member: &&ReplicaMember| self.copied.get(&member.vm).is_some_and(|e| *e >= epoch);
        members.iter().filter(copied).count()
    }

    fn update_seal(&mut self, group: &ReplicaGroup, own: &VmName, time: StepTime) {
        let sealed = |member: &&ReplicaMember| {
            let vm = &member.vm;
            vm == own || self.copied.contains_key(vm) || group.retired.contains(vm)
        };
        let count = group.previous.iter().filter(sealed).count();
        if self.sealed_at.is_none() && count >= seal_size_of(group.previous.len()) {
            self.sealed_at = Some(time);
        }
    }

    /// Returns true if the copies include every decision of a quorum of the previous epoch.
    fn covers_previous_epoch(&self, replica: &ClaimReplica, group: &ReplicaGroup) -> bool {
        let needed = group.epoch - 1;
        let was_member = position_in(&group.previous, &replica.identity.vm).is_some();
        let own = usize::from(was_member && replica.complete_epoch() >= needed);
        let others = self.count_copied(&group.previous, needed);
        let copied = own + others >= blocking_size_of(group.previous.len());
        // In the first epoch there is no previous member to copy from, but the other members are
        // still asked. A clock that was set back during a restart makes this run look older than
        // the group; only another member's clock, or its knowledge of a later run, reveals this.
        let asked = !group.previous.is_empty() || self.has_asked_enough(group);
        self.sealed_at.is_some() && copied && asked
    }

    /// Returns true if the copies include every decision that an earlier run of this replica took
    /// part in.
    fn covers_earlier_runs(&self, group: &ReplicaGroup) -> bool {
        self.count_copied(&group.members, group.epoch) >= group.blocking_size()
    }
}

/// Copies claims from the other members until the replica is complete in its epoch, is stale, or
/// has entered another epoch.
pub(crate) async fn join_group(
    replica: Rc<ClaimReplica>,
    transport: Rc<dyn PeerTransport>,
    events: Rc<dyn EventSink>,
) {
    let epoch = replica.group().epoch;
    let mut pause = MIN_RETRY_DELAY;
    if !replica.started_before_epoch() {
        events.emit(replica_event("claim.replica.blind", &replica).level(Level::Warn));
    }
    loop {
        let group = replica.group();
        if group.epoch != epoch {
            return;
        }
        copy_round(&replica, &*transport, &group).await;
        if replica.state() == ReplicaState::Stale {
            events.emit(replica_event("claim.replica.stale", &replica).level(Level::Error));
            return;
        }
        if replica.group().epoch == epoch && may_complete(&replica, &group) {
            match group.previous.is_empty() && replica.started_before_epoch() {
                true => replica.set_initial(),
                false => replica.set_complete(),
            }
            let complete = replica_event("claim.replica.complete", &replica);
            events.emit(complete.field("held", replica.record_count()));
            return;
        }
        replica.context.clock.sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_DELAY);
    }
}

fn replica_event(kind: &'static str, replica: &ClaimReplica) -> EventDraft {
    let group = replica.group();
    EventDraft::new(kind)
        .field("claim_region", &group.id.region)
        .field("group", u32::from(group.id.number))
        .field("epoch", group.epoch)
}

/// Returns true if the replica holds all claims of the epoch and may vote on every key. Returns
/// false if the epoch is over: an earlier run may have voted in the next one, and this run would
/// enter that epoch as if it had lost nothing.
fn may_complete(replica: &ClaimReplica, group: &ReplicaGroup) -> bool {
    if replica.is_sealed() {
        return false;
    }
    let progress = replica.progress.borrow();
    let copied = match replica.started_before_epoch() {
        true => progress.covers_previous_epoch(replica, group),
        false => progress.covers_earlier_runs(group),
    };
    copied || replica.unknown_keys_expired()
}

/// The epoch for which a member must hold all claims for a copy of them to be useful.
fn needed_epoch(replica: &ClaimReplica, group: &ReplicaGroup) -> u64 {
    if replica.started_before_epoch() { group.epoch - 1 } else { group.epoch }
}

async fn copy_round(replica: &ClaimReplica, transport: &dyn PeerTransport, group: &ReplicaGroup) {
    let newcomers = group.members.iter().filter(|m| position_in(&group.previous, &m.vm).is_none());
    for member in group.previous.iter().chain(newcomers) {
        let held = replica.progress.borrow().copied.get(&member.vm).copied();
        let own = member.vm == replica.identity.vm;
        if own || held.is_some_and(|epoch| epoch >= needed_epoch(replica, group)) {
            continue;
        }
        let complete = copy_member(replica, transport, group, member).await;
        if replica.group().epoch != group.epoch {
            return;
        }
        let mut progress = replica.progress.borrow_mut();
        complete.map(|epoch| progress.copied.insert(member.vm.clone(), epoch));
    }
    let (own, time) = (&replica.identity.vm, replica.time());
    replica.progress.borrow_mut().update_seal(group, own, time);
}

/// Copies all pages of one member. Returns the latest epoch for which the member held all claims
/// when the copy began, or `None` if the copy failed or the member restarted meanwhile.
async fn copy_member(
    replica: &ClaimReplica,
    transport: &dyn PeerTransport,
    group: &ReplicaGroup,
    member: &ReplicaMember,
) -> Option<u64> {
    let needed = needed_epoch(replica, group);
    let (id, epoch) = (group.id.clone(), group.epoch);
    let mut call = CopyCall { group: id, epoch, needed, cursor: None };
    let mut first: Option<(Incarnation, u64)> = None;
    loop {
        let page = fetch_page(replica, transport, member, &call).await?;
        let (run, complete) = *first.get_or_insert((page.incarnation, page.complete));
        if run != page.incarnation {
            return None;
        }
        call.cursor = page.next;
        replica.merge(&member.vm, page);
        if call.cursor.is_none() {
            return Some(complete);
        }
    }
}

async fn fetch_page(
    replica: &ClaimReplica,
    transport: &dyn PeerTransport,
    member: &ReplicaMember,
    call: &CopyCall,
) -> Option<CopyPage> {
    let body = Bytes::from(encode(call));
    let limit = replica.settings.call_limit;
    match transport.call(member.address, COPY_METHOD, body, limit).await {
        Ok(bytes) => decode(&bytes).ok(),
        Err(PeerError::Fault { source }) if source.kind == FaultKind::Refused => {
            replica.set_stale();
            None
        }
        Err(_) => None,
    }
}
