//! What the tasks of one relay share.

use {
    super::{LocalGateway, RelayConfig, RelayDependencies, peer_task},
    crate::{
        AgedRecord, Announcement, BackendRecord, BackendTable, GatewayRecord, Origin, RelayPlan,
        ServingState, StatusChange, SubsetPlan,
        change_log::{ChangeLog, ChangedKey, LoggedChange},
        members::MemberTable,
        news_bell::NewsBell,
        regions::RegionBook,
        row_totals::RowTotals,
    },
    gullglade_event::EventDraft,
    gullglade_units::{BackendName, MonotonicTime, RegionName, VmName, timeout},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// What this gateway owes a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerDuty {
    /// A member of the own row.
    Row,
    /// A gateway of another row that this one relays to.
    Across,
    /// Another gateway of the region: only what is urgent.
    Urgent,
}

pub(super) struct RelayShared {
    pub(super) table: Rc<BackendTable>,
    pub(super) members: MemberTable,
    pub(super) config: RelayConfig,
    pub(super) seams: RelayDependencies,
    pub(super) regions: RegionBook,
    pub(super) row_totals: RowTotals,
    pub(super) log: ChangeLog,
    /// Rings when something is to be told or the plan changed.
    pub(super) news: NewsBell,
    /// Rings when a peer has taken a message.
    pub(super) progress: NewsBell,
    pub(super) joined: Cell<bool>,
    /// The log position up to which each peer with a task has been told.
    pub(super) told: RefCell<BTreeMap<VmName, u64>>,
    /// When this gateway may declare a peer dead again.
    accused: RefCell<HashMap<VmName, MonotonicTime>>,
    plan: RefCell<(u64, Rc<RelayPlan>)>,
    subset: RefCell<((u64, u64), Rc<SubsetPlan>)>,
    digest: Cell<((u64, u64), [u8; 4])>,
    /// Since when the digests of peers differ from the own one.
    pub(super) differing: RefCell<HashMap<VmName, MonotonicTime>>,
    /// A peer to sync with.
    pub(super) sync_with: RefCell<Option<VmName>>,
    /// The regions of the seeds that stand in others.
    pub(super) foreign_seeds: RefCell<HashMap<SocketAddr, RegionName>>,
    /// Addresses at which other regions know gateways of this one.
    pub(super) hints: RefCell<BTreeSet<SocketAddr>>,
    /// The regions that a task of this gateway speaks to.
    pub(super) spoken_to: RefCell<BTreeSet<RegionName>>,
}

impl RelayShared {
    pub(super) fn new(
        own: LocalGateway,
        table: Rc<BackendTable>,
        config: RelayConfig,
        seams: RelayDependencies,
    ) -> Self {
        let clock = seams.context.clock.clone();
        let members =
            MemberTable::new(own.vm, own.incarnation, own.profile, clock.clone(), table.pace());
        Self {
            members,
            regions: RegionBook::new(clock.clone(), table.pace()),
            row_totals: RowTotals::new(clock, table.pace()),
            table,
            config,
            seams,
            log: ChangeLog::default(),
            news: NewsBell::default(),
            progress: NewsBell::default(),
            joined: Cell::new(false),
            told: RefCell::default(),
            accused: RefCell::default(),
            plan: RefCell::default(),
            subset: RefCell::default(),
            digest: Cell::default(),
            differing: RefCell::default(),
            sync_with: RefCell::default(),
            foreign_seeds: RefCell::default(),
            hints: RefCell::default(),
            spoken_to: RefCell::default(),
        }
    }

    pub(super) fn now(&self) -> MonotonicTime {
        self.seams.context.clock.now()
    }

    /// The plan for the gateways alive now.
    pub(super) fn plan(&self) -> Rc<RelayPlan> {
        let generation = self.members.generation();
        if self.plan.borrow().0 != generation {
            let alive = self.members.alive_domains();
            self.table.pace().set_gateways(alive.len());
            let plan = RelayPlan::new(self.members.own(), &alive);
            *self.plan.borrow_mut() = (generation, Rc::new(plan));
        }
        self.plan.borrow().1.clone()
    }

    /// The subsets for the gateways and backend servers alive now.
    pub(super) fn subset(&self) -> Rc<SubsetPlan> {
        let generations = (self.members.generation(), self.table.generation());
        if self.subset.borrow().0 != generations {
            let engines = self.table.subset_members();
            let plan = SubsetPlan::new(&self.members.alive(), &engines, self.config.subset);
            self.table.follow(&plan.followed_by(self.members.own()));
            *self.subset.borrow_mut() = (generations, Rc::new(plan));
        }
        self.subset.borrow().1.clone()
    }

    /// What this gateway owes `vm`; `None`: it is dead, or this gateway itself.
    pub(super) fn duty_to(&self, vm: &VmName) -> Option<PeerDuty> {
        let plan = self.plan();
        if plan.row_peers.contains(vm) {
            return Some(PeerDuty::Row);
        }
        if plan.relay_targets.contains(vm) {
            return Some(PeerDuty::Across);
        }
        let alive = self.members.record(vm).is_some_and(|r| !r.status.is_expired());
        (alive && vm != self.members.own()).then_some(PeerDuty::Urgent)
    }

    /// Starts a task for every live peer that has none.
    pub(super) fn ensure_tasks(self: &Rc<Self>) {
        for vm in self.members.alive() {
            if vm == *self.members.own() || self.told.borrow().contains_key(&vm) {
                continue;
            }
            self.told.borrow_mut().insert(vm.clone(), self.log.end());
            let task = peer_task::run(self.clone(), vm);
            self.seams.context.spawner.spawn(Box::pin(task));
        }
    }

    /// The hash of everything that should be equal on all gateways of the region.
    pub(super) fn digest(&self) -> [u8; 4] {
        let generations = (self.members.generation(), self.table.generation());
        let (known, digest) = self.digest.get();
        if known == generations {
            return digest;
        }
        let content = (self.members.hash(), self.table.part_hashes());
        let hash = xxh3_64(&gullglade_units::encode(&content)) as u32;
        self.digest.set((generations, hash.to_le_bytes()));
        hash.to_le_bytes()
    }

    /// Follows up an announcement that this gateway heard itself.
    pub(super) fn note_announcement(&self, announcement: &Announcement, change: StatusChange) {
        if change.superseded {
            self.emit_backend("backend.superseded", &announcement.name);
        }
        self.note_backend(&announcement.name, change, Origin::Direct);
    }

    /// Takes in a backend server's record that a peer told.
    pub(super) fn take_backend(&self, aged: &AgedRecord<BackendRecord>, origin: Origin) {
        match self.table.merge_record(aged, origin) {
            Ok(change) => self.note_backend(&aged.record.name, change, origin),
            Err(error) => {
                let event = EventDraft::new("backend.refused").field("backend", &aged.record.name);
                self.seams.events.emit(event.error("reason", &error));
            }
        }
    }

    /// Tells on what changed about `name`.
    pub(super) fn note_backend(&self, name: &BackendName, change: StatusChange, origin: Origin) {
        let origin = if change.refuted { Origin::Direct } else { origin };
        if !change.membership && !change.refuted {
            return;
        }
        let Some(record) = self.table.record(name) else { return };
        self.emit_backend(backend_event(&record), name);
        let key = ChangedKey::Backend(name.clone());
        self.push(LoggedChange { key, origin, urgent: !record.status.is_live() });
    }

    fn emit_backend(&self, kind: &'static str, name: &BackendName) {
        let incarnation = self.table.record(name).map(|r| r.status.incarnation);
        let event = EventDraft::new(kind).field("backend", name);
        self.seams.events.emit(event.optional("incarnation", incarnation));
    }

    /// Takes in a gateway's record that a peer told.
    pub(super) fn take_gateway(&self, aged: &AgedRecord<GatewayRecord>, origin: Origin) {
        let vm = &aged.record.vm;
        if aged.record.profile.region != self.own_region() {
            return;
        }
        if vm == self.members.own() {
            if self.members.take_echo(&aged.record) {
                self.note_gateway(vm, Origin::Direct);
            }
            return;
        }
        if self.members.take(aged, origin).membership {
            self.note_gateway(vm, origin);
        }
    }

    pub(super) fn own_region(&self) -> RegionName {
        let own = self.members.record(self.members.own());
        own.expect("the own row is made first and never removed").profile.region
    }

    /// Tells on what changed about the gateway `vm`.
    pub(super) fn note_gateway(&self, vm: &VmName, origin: Origin) {
        let Some(record) = self.members.record(vm) else { return };
        let event = EventDraft::new(gateway_event(&record)).field("gateway", vm);
        self.seams.events.emit(event.field("incarnation", record.status.incarnation));
        // Plans follow from who is alive: all must change theirs at the same time.
        let urgent = true;
        self.push(LoggedChange { key: ChangedKey::Gateway(vm.clone()), origin, urgent });
    }

    fn push(&self, change: LoggedChange) {
        self.log.push(change);
        self.news.ring();
    }

    /// A member of the own row failed to answer twice: declares it dead, unless it was found alive
    /// after the last time.
    pub(super) fn accuse(&self, vm: &VmName) {
        let now = self.now();
        let allowed = self.accused.borrow().get(vm).is_none_or(|until| now >= *until);
        if !allowed || !self.members.expire(vm) {
            return;
        }
        self.accused.borrow_mut().insert(vm.clone(), now + self.config.dead_declaration_cooldown);
        self.note_gateway(vm, Origin::Direct);
    }

    /// The own gateway drains.
    pub(super) fn drain(&self) {
        self.members.drain();
        self.note_gateway(&self.members.own().clone(), Origin::Direct);
    }

    /// Completes when every peer has been told all there is now, or after the limit.
    pub(super) async fn told(&self) {
        let end = self.log.end();
        let all_told = async {
            while self.told.borrow().values().any(|told| *told < end) {
                // The bell is never dropped before the relay, so this fails never.
                let _ = self.progress.wait().await;
            }
        };
        let limit: Duration = self.config.urgent_timeout;
        if timeout(&*self.seams.context.clock, limit, all_told).await.is_none() {
            self.seams.events.emit(EventDraft::new("backend.relay_slow").millis("limit", limit));
        }
    }
}

fn backend_event(record: &BackendRecord) -> &'static str {
    match record.status.state {
        ServingState::Leaving => "backend.leaving",
        ServingState::Serving if record.status.is_expired() => "backend.expired",
        ServingState::Serving => "backend.serving",
    }
}

fn gateway_event(record: &GatewayRecord) -> &'static str {
    match record.status.state {
        _ if record.status.is_expired() => "gateway.down",
        ServingState::Leaving => "gateway.draining",
        ServingState::Serving => "gateway.serving",
    }
}
