//! One replica of a group: answers steps and copies, in memory.

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

/// About the most bytes of one page of a copy.
const PAGE_BYTES: usize = 128 << 10;

/// What a replica can vote on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Every key.
    Complete,
    /// Keys made well after the replica's start; it has not copied the older claims.
    Blind,
    /// Another member knows a later run under this VM's name: the VM's clock went back, or two
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
    /// Latest run of each VM, as it presented itself when it copied.
    known: RefCell<BTreeMap<VmName, Incarnation>>,
    /// The latest epoch whose claims are all held; zero for none.
    complete: Cell<u64>,
    /// The latest epoch known to be decided upon: no vote is given in an earlier one.
    sealed: Cell<u64>,
    /// What has been gathered from others in this epoch.
    pub(crate) progress: RefCell<JoinProgress>,
    stale: Cell<bool>,
    start: Cell<StepTime>,
    /// When this run, or its part in this epoch, began; `None` where nothing was before it.
    since: Cell<Option<MonotonicTime>>,
}

impl ClaimReplica {
    /// A replica that holds nothing yet, of a process that started at `start`.
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
            known: RefCell::default(),
            complete: Cell::new(0),
            sealed: Cell::new(group.epoch),
            progress: RefCell::default(),
            stale: Cell::new(false),
            start: Cell::new(start),
            since: Cell::new(Some(start.now)),
            group: RefCell::new(group),
        }
    }

    /// What the replica can vote on.
    pub fn state(&self) -> ReplicaState {
        match (self.stale.get(), self.is_complete()) {
            (true, _) => ReplicaState::Stale,
            (false, true) => ReplicaState::Complete,
            (false, false) => ReplicaState::Blind,
        }
    }

    /// Keys held.
    pub fn record_count(&self) -> usize {
        self.table.borrow().len()
    }

    /// The group as this replica knows it.
    pub fn group(&self) -> Rc<ReplicaGroup> {
        Rc::clone(&self.group.borrow())
    }

    /// Goes over to a later epoch of the group; votes in the earlier one end here.
    pub(crate) fn adopt(&self, group: Rc<ReplicaGroup>) -> bool {
        if group.epoch <= self.group().epoch {
            return false;
        }
        self.sealed.set(self.sealed.get().max(group.epoch));
        self.progress.take();
        self.since.set(Some(self.context.clock.now()));
        *self.group.borrow_mut() = group;
        true
    }

    pub(crate) fn time(&self) -> StepTime {
        StepTime { now: self.context.clock.now(), wall: self.context.clock.wall() }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.complete.get() >= self.group().epoch
    }

    pub(crate) fn complete_epoch(&self) -> u64 {
        self.complete.get()
    }

    /// All claims of the present epoch are held.
    pub(crate) fn set_complete(&self) {
        self.complete.set(self.group().epoch);
    }

    /// There was no run of this replica, and no epoch, before.
    pub(crate) fn set_initial(&self) {
        self.since.set(None);
        self.set_complete();
    }

    /// Whether a later epoch is known to be decided upon.
    pub(crate) fn is_sealed(&self) -> bool {
        self.sealed.get() > self.group().epoch
    }

    pub(crate) fn set_stale(&self) {
        self.stale.set(true);
    }

    /// Whether the process ran before its epoch was decided upon, by the clocks' bound: no earlier
    /// run of it can have voted in the epoch, or been told of a later one.
    ///
    /// That it has held a configuration without the epoch would not show that: after a restart it
    /// may have been given an old one.
    pub(crate) fn started_before_epoch(&self) -> bool {
        let group = self.group();
        let started = self.start.get().wall.0 + millis(self.settings.clock_error * 2);
        let ran_before = group.created.is_some_and(|created| started <= created.0);
        ran_before || self.continues_previous_epoch()
    }

    /// Whether this very run held all claims of the epoch before, since a time when this epoch had
    /// not begun: a replica becomes complete in no epoch that it knows to be over.
    fn continues_previous_epoch(&self) -> bool {
        self.complete.get() > 0 && self.complete.get() + 1 >= self.group().epoch
    }

    /// Whether this epoch is the one that counts: the one before can gather no quorum any more,
    /// and had there been a seal on this one, it would be known.
    fn epoch_is_confirmed(&self) -> bool {
        let group = self.group();
        let progress = self.progress.borrow();
        let current = self.continues_previous_epoch() || progress.has_asked_enough(&group);
        current && progress.sealed_at().is_some()
    }

    /// Answers one step.
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
                // A replica without a say proves nothing, so it holds back no other send either.
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

    /// Counts the replica's own beginning as a "not run". One may have been told on the word of an
    /// earlier run, or of a member that has left, whose memory is gone: a send received before
    /// would find no trace of it here, and run.
    fn vote(&self, mut vote: RecordVote, time: StepTime) -> StepOutcome {
        if let Some(since) = self.since.get() {
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

    /// Whether neither an earlier run of this replica nor the epoch before can have voted on the
    /// key: it was made after they ended, or is past the window anyway.
    fn cannot_have_votes(&self, scope: &KeyScope, time: StepTime) -> bool {
        let Some(since) = self.blind_since() else { return false };
        let blind_until = since.wall.0 + millis(self.settings.blind_time());
        let young = scope.made.is_some_and(|made| made.0 > blind_until);
        young || time.now.since(since.now) >= self.settings.retention()
    }

    /// When the last votes were given that this replica may know nothing of.
    fn blind_since(&self) -> Option<StepTime> {
        let (start, sealed) = (self.start.get(), self.progress.borrow().sealed_at()?);
        Some(StepTime { now: start.now.max(sealed.now), wall: start.wall.max(sealed.wall) })
    }

    /// Whether every key that it may know nothing of is past the window.
    pub(crate) fn unknown_keys_expired(&self) -> bool {
        let now = self.context.clock.now();
        let passed = |since: StepTime| now.since(since.now) >= self.settings.retention();
        self.epoch_is_confirmed() && self.blind_since().is_some_and(passed)
    }

    fn known_incarnation(&self, vm: &VmName) -> Incarnation {
        if *vm == self.identity.vm {
            return self.identity.incarnation;
        }
        self.known.borrow().get(vm).copied().unwrap_or_default()
    }

    /// Learns of a run of `vm`; false where a later one is known.
    pub(crate) fn record_incarnation(&self, vm: &VmName, incarnation: Incarnation) -> bool {
        let mut known = self.known.borrow_mut();
        let latest = known.entry(vm.clone()).or_default();
        *latest = (*latest).max(incarnation);
        *latest == incarnation
    }

    /// Answers a copy. From the first page on, votes of earlier runs of the copying replica are
    /// void, and votes in earlier epochs end: whatever was decided with this replica's vote is
    /// either in the pages or will not count.
    pub(crate) fn copy(&self, from: &PeerIdentity, call: &CopyCall) -> Result<CopyPage, PeerFault> {
        if !self.record_incarnation(&from.vm, from.incarnation) {
            return Err(PeerFault::refused(format_args!(
                "a later run of VM {} is known: set its clock, or give each VM its own name",
                from.vm
            )));
        }
        self.sealed.set(self.sealed.get().max(call.epoch));
        let time = self.time();
        let table = self.table.borrow();
        let (records, next) = match self.complete.get() >= call.needed {
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
            complete: self.complete.get(),
            sealed: self.sealed.get(),
            wall: time.wall,
            forgotten: table.forgotten(),
            known: self.known.borrow().iter().map(|(vm, run)| (vm.clone(), *run)).collect(),
            records,
            next,
        })
    }

    /// Takes over a page.
    pub(crate) fn merge(&self, vm: &VmName, page: CopyPage) {
        let now = self.context.clock.now();
        self.record_incarnation(vm, page.incarnation);
        self.advance_start(page.wall);
        self.sealed.set(self.sealed.get().max(page.sealed));
        let others = page.known.iter().filter(|(other, _)| *other != self.identity.vm);
        others.for_each(|(other, run)| {
            self.record_incarnation(other, *run);
        });
        let mut table = self.table.borrow_mut();
        table.raise_forgotten(page.forgotten);
        page.records.into_iter().for_each(|record| table.merge(record, now));
    }

    /// Another member's clock is ahead of this one's: count the start as that much later. A clock
    /// that was set back during the restart would else make keys voted on before look younger than
    /// the start, and they would run again.
    fn advance_start(&self, wall: WallMillis) {
        let start = self.start.get();
        let elapsed = millis(self.context.clock.now().since(start.now));
        let theirs = WallMillis(wall.0.saturating_sub(elapsed));
        self.start.set(StepTime { wall: start.wall.max(theirs), ..start });
    }
}
