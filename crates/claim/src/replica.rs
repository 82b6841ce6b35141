//! One replica of a group. It answers protocol steps and copy requests from memory.

use {
    crate::{
        ClaimSettings, ReplicaGroup,
        join::JoinProgress,
        message::{ClaimStep, CopyCall, CopyPage, StepCall, StepOutcome, StepReply},
        record::RecordVote,
        table::{AbstainReason, ClaimTable, CopiedRecord, KeyScope, StepTime, millis},
    },
    gullglade_peer::{PeerFault, PeerIdentity},
    gullglade_units::{Incarnation, MonotonicTime, ProcessContext, VmName, WallMillis},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
    },
};

/// Approximate maximum size in bytes of one page of a copy.
const PAGE_BYTES: usize = 128 << 10;

/// The keys that a replica can vote on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// The replica votes on every key.
    Complete,
    /// The replica has not copied the older claims, so it votes only on keys created well after its
    /// start.
    Blind,
    /// Another member knows a later run under this VM's name: the VM's clock was set back, or two
    /// processes use one name. The replica never becomes complete.
    Stale,
}

/// One replica of one group.
pub struct ClaimReplica {
    pub(crate) context: ProcessContext,
    pub(crate) settings: ClaimSettings,
    pub(crate) identity: PeerIdentity,
    pub(crate) group: RefCell<Rc<ReplicaGroup>>,
    table: RefCell<ClaimTable>,
    /// The latest known incarnation of each VM.
    known_incarnations: RefCell<BTreeMap<VmName, Incarnation>>,
    /// The latest epoch for which all claims are held; zero for none.
    complete_epoch: Cell<u64>,
    /// The latest epoch known to have been decided. The replica does not vote in earlier epochs.
    sealed_epoch: Cell<u64>,
    /// Progress of the state transfer in this epoch.
    pub(crate) progress: RefCell<JoinProgress>,
    stale: Cell<bool>,
    start: Cell<StepTime>,
    /// Start of this run or of its membership in this epoch. `None` if neither an earlier run nor
    /// an earlier epoch existed.
    membership_start: Cell<Option<MonotonicTime>>,
}

impl ClaimReplica {
    /// Creates an empty replica of a process that started at `start`.
    pub(crate) fn new(
        context: ProcessContext,
        settings: ClaimSettings,
        identity: PeerIdentity,
        group: Rc<ReplicaGroup>,
        start: StepTime,
    ) -> Self {
        Self {
            context,
            settings,
            identity,
            table: RefCell::new(ClaimTable::new(settings)),
            known_incarnations: RefCell::default(),
            complete_epoch: Cell::new(0),
            sealed_epoch: Cell::new(group.epoch),
            progress: RefCell::default(),
            stale: Cell::new(false),
            start: Cell::new(start),
            membership_start: Cell::new(Some(start.now)),
            group: RefCell::new(group),
        }
    }

    /// Returns the keys that the replica can vote on.
    pub fn state(&self) -> ReplicaState {
        match (self.stale.get(), self.is_complete()) {
            (true, _) => ReplicaState::Stale,
            (false, true) => ReplicaState::Complete,
            (false, false) => ReplicaState::Blind,
        }
    }

    /// Number of keys with a record.
    pub fn record_count(&self) -> usize {
        self.table.borrow().len()
    }

    /// Returns the latest epoch of the group that this replica has adopted.
    pub fn group(&self) -> Rc<ReplicaGroup> {
        Rc::clone(&self.group.borrow())
    }

    /// Enters a later epoch of the group; votes in the earlier one end here. Returns false if
    /// `group` is not a later epoch.
    pub(crate) fn adopt(&self, group: Rc<ReplicaGroup>) -> bool {
        if group.epoch <= self.group().epoch {
            return false;
        }
        self.sealed_epoch.set(self.sealed_epoch.get().max(group.epoch));
        self.progress.take();
        self.membership_start.set(Some(self.context.clock.now()));
        *self.group.borrow_mut() = group;
        true
    }

    pub(crate) fn time(&self) -> StepTime {
        StepTime { now: self.context.clock.now(), wall: self.context.clock.wall() }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.complete_epoch.get() >= self.group().epoch
    }

    pub(crate) fn complete_epoch(&self) -> u64 {
        self.complete_epoch.get()
    }

    /// Records that all claims of the current epoch are held.
    pub(crate) fn set_complete(&self) {
        self.complete_epoch.set(self.group().epoch);
    }

    /// Records that neither an earlier run of this replica nor an earlier epoch existed.
    pub(crate) fn set_initial(&self) {
        self.membership_start.set(None);
        self.set_complete();
    }

    /// Returns true if a later epoch is known to have been decided.
    pub(crate) fn is_sealed(&self) -> bool {
        self.sealed_epoch.get() > self.group().epoch
    }

    pub(crate) fn set_stale(&self) {
        self.stale.set(true);
    }

    /// Returns true if the process started before its epoch was decided, within the bound on clock
    /// errors. No earlier run of it can then have voted in the epoch or learned of a later one.
    ///
    /// That the process has held a configuration without the epoch does not prove this, because a
    /// restarted process may have been given an old one.
    pub(crate) fn started_before_epoch(&self) -> bool {
        let group = self.group();
        let started = self.start.get().wall.0 + millis(self.settings.clock_error * 2);
        let ran_before = group.created.is_some_and(|created| started <= created.0);
        ran_before || self.continues_previous_epoch()
    }

    /// Returns true if this run already held all claims of the previous epoch before the current
    /// epoch began. A replica never becomes complete in an epoch that it knows to be over.
    fn continues_previous_epoch(&self) -> bool {
        self.complete_epoch.get() > 0 && self.complete_epoch.get() + 1 >= self.group().epoch
    }

    /// Returns true if this is the epoch in force: the previous one can no longer gather a quorum,
    /// and a seal on this one would be known.
    fn epoch_is_confirmed(&self) -> bool {
        let group = self.group();
        let progress = self.progress.borrow();
        let current = self.continues_previous_epoch() || progress.has_asked_enough(&group);
        current && progress.sealed_at().is_some()
    }

    /// Handles one protocol step.
    pub(crate) fn step(&self, call: StepCall) -> StepReply {
        let outcome = self.outcome(&call).unwrap_or_else(StepOutcome::Abstained);
        let group = self.group();
        let known = group.members.iter().map(|member| self.known_incarnation(&member.vm)).collect();
        StepReply { incarnation: self.identity.incarnation, known, outcome }
    }

    fn outcome(&self, call: &StepCall) -> Result<StepOutcome, AbstainReason> {
        let time = self.time();
        let scope = &call.scope;
        let mut table = self.table.borrow_mut();
        match call.step.clone() {
            ClaimStep::Prepare(ballot) => {
                self.check_vote(call, time)?;
                Ok(self.vote(table.prepare(scope, ballot, time)?, time))
            }
            ClaimStep::Accept { acceptance, promised_by } => {
                self.check_vote(call, time)?;
                self.check_incarnation(promised_by)?;
                Ok(self.vote(table.accept(scope, acceptance, time)?, time))
            }
            ClaimStep::Release { attempt, deny } => {
                // A replica that may not vote proves nothing, so it does not block other sends
                // either.
                let vote = self.check_vote(call, time);
                let clean = table.release(scope, attempt, deny && vote.is_ok(), time)?;
                vote.map(|()| StepOutcome::Released { clean })
            }
            ClaimStep::Finish { acceptance, result } => {
                table.finish(scope, acceptance, result, time)?;
                Ok(StepOutcome::Stored)
            }
        }
    }

    /// Adds the start of the replica to the vote as a possible "not run". A caller may have been
    /// told so because of a reply from an earlier run, or from a former member, whose state is
    /// lost. A send received before that would find no trace of it here, and would run.
    fn vote(&self, mut vote: RecordVote, time: StepTime) -> StepOutcome {
        if let Some(since) = self.membership_start.get() {
            let age = time.now.since(since);
            vote.view.denied_age = Some(vote.view.denied_age.map_or(age, |denied| denied.min(age)));
        }
        StepOutcome::Vote(vote)
    }

    fn check_incarnation(&self, promised_by: Incarnation) -> Result<(), AbstainReason> {
        match promised_by == self.identity.incarnation {
            true => Ok(()),
            false => Err(AbstainReason::Restarted),
        }
    }

    fn check_vote(&self, call: &StepCall, time: StepTime) -> Result<(), AbstainReason> {
        let epoch = self.group().epoch;
        if call.epoch != epoch || self.is_sealed() {
            return Err(AbstainReason::WrongGroup);
        }
        let undecided = self.epoch_is_confirmed() && self.cannot_have_votes(&call.scope, time);
        if undecided || self.is_complete() {
            return Ok(());
        }
        Err(AbstainReason::Blind)
    }

    /// Returns true if neither an earlier run of this replica nor the previous epoch can have voted
    /// on the key: it was created after they ended, or is past the retention window anyway.
    fn cannot_have_votes(&self, scope: &KeyScope, time: StepTime) -> bool {
        let Some(since) = self.blind_since() else { return false };
        let blind_until = since.wall.0 + millis(self.settings.blind_time());
        let young = scope.made.is_some_and(|made| made.0 > blind_until);
        young || time.now.since(since.now) >= self.settings.retention()
    }

    /// Latest time at which votes unknown to this replica can have been given.
    fn blind_since(&self) -> Option<StepTime> {
        let (start, sealed) = (self.start.get(), self.progress.borrow().sealed_at()?);
        Some(StepTime { now: start.now.max(sealed.now), wall: start.wall.max(sealed.wall) })
    }

    /// Returns true if every key that may have votes unknown to this replica is past the retention
    /// window.
    pub(crate) fn unknown_keys_expired(&self) -> bool {
        let now = self.context.clock.now();
        let passed = |since: StepTime| now.since(since.now) >= self.settings.retention();
        self.epoch_is_confirmed() && self.blind_since().is_some_and(passed)
    }

    fn known_incarnation(&self, vm: &VmName) -> Incarnation {
        if *vm == self.identity.vm {
            return self.identity.incarnation;
        }
        self.known_incarnations.borrow().get(vm).copied().unwrap_or_default()
    }

    /// Records an incarnation of `vm`. Returns false if a later one is known.
    pub(crate) fn record_incarnation(&self, vm: &VmName, incarnation: Incarnation) -> bool {
        let mut known = self.known_incarnations.borrow_mut();
        let latest = known.entry(vm.clone()).or_default();
        *latest = (*latest).max(incarnation);
        *latest == incarnation
    }

    /// Handles a copy request. From the first page on, votes of earlier runs of the copying replica
    /// are void, and votes in earlier epochs end: whatever was decided with this replica's vote is
    /// either in the pages or does not count.
    pub(crate) fn copy(&self, from: &PeerIdentity, call: &CopyCall) -> Result<CopyPage, PeerFault> {
        if !self.record_incarnation(&from.vm, from.incarnation) {
            return Err(PeerFault::refused(format_args!(
                "a later run of VM {} is known: correct its clock, or give each VM a unique name",
                from.vm
            )));
        }
        self.sealed_epoch.set(self.sealed_epoch.get().max(call.epoch));
        let time = self.time();
        let table = self.table.borrow();
        let (records, next) = match self.complete_epoch.get() >= call.needed {
            true => table.page(call.cursor, PAGE_BYTES, time.now),
            false => (Vec::new(), None),
        };
        let inside = from.region == self.group().id.region;
        let records = match inside {
            true => records,
            false => records.into_iter().map(CopiedRecord::without_answer).collect(),
        };
        Ok(CopyPage {
            incarnation: self.identity.incarnation,
            complete: self.complete_epoch.get(),
            sealed: self.sealed_epoch.get(),
            wall: time.wall,
            forgotten: table.forgotten(),
            known: self
                .known_incarnations
                .borrow()
                .iter()
                .map(|(vm, run)| (vm.clone(), *run))
                .collect(),
            records,
            next,
        })
    }

    /// Merges a page of another member's records.
    pub(crate) fn merge(&self, vm: &VmName, page: CopyPage) {
        let now = self.context.clock.now();
        self.record_incarnation(vm, page.incarnation);
        self.advance_start(page.wall);
        self.sealed_epoch.set(self.sealed_epoch.get().max(page.sealed));
        let others = page.known.iter().filter(|(other, _)| *other != self.identity.vm);
        others.for_each(|(other, run)| {
            self.record_incarnation(other, *run);
        });
        let mut table = self.table.borrow_mut();
        table.raise_forgotten(page.forgotten);
        page.records.into_iter().for_each(|record| table.merge(record, now));
    }

    /// Moves the start forward if another member's clock is ahead. If this clock was set back
    /// during a restart, keys that were voted on before would otherwise look newer than the start,
    /// and would run again.
    fn advance_start(&self, wall: WallMillis) {
        let start = self.start.get();
        let elapsed = millis(self.context.clock.now().since(start.now));
        let theirs = WallMillis(wall.0.saturating_sub(elapsed));
        self.start.set(StepTime { wall: start.wall.max(theirs), ..start });
    }
}
