//! What the tasks of one relay share.

use {
    super::{LocalGateway, RelayConfig, RelayDependencies, peer_task},
    crate::{
        AgedRecord, Announcement, BackendRecord, BackendTable, GatewayRecord, Origin, RelayPlan,
        ServingState, StatusChange, SubsetPlan,
        change_log::{ChangeLog, ChangedKey, LoggedChange},
        member_table::MemberTable,
        notifier::Notifier,
        region_table::RegionTable,
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
pub(super) enum PeerScope {
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
    pub(super) dependencies: RelayDependencies,
    pub(super) regions: RegionTable,
    pub(super) row_totals: RowTotals,
    pub(super) log: ChangeLog,
    /// Rings when something is to be told or the plan changed.
    pub(super) updates: Notifier,
    /// Rings when a peer has taken a message.
    pub(super) progress: Notifier,
    pub(super) joined: Cell<bool>,
    /// The log position up to which each peer with a task has been told.
    pub(super) delivered: RefCell<BTreeMap<VmName, u64>>,
    /// When this gateway may declare a peer dead again.
    next_declaration: RefCell<HashMap<VmName, MonotonicTime>>,
    plan: RefCell<(u64, Rc<RelayPlan>)>,
    subset: RefCell<((u64, u64), Rc<SubsetPlan>)>,
    digest: Cell<((u64, u64), [u8; 4])>,
    /// Since when the digests of peers differ from the own one.
    pub(super) diverged_since: RefCell<HashMap<VmName, MonotonicTime>>,
    /// A peer to sync with.
    pub(super) sync_peer: RefCell<Option<VmName>>,
    /// The regions of the seeds that stand in others.
    pub(super) remote_seeds: RefCell<HashMap<SocketAddr, RegionName>>,
    /// Addresses at which other regions know gateways of this one.
    pub(super) peer_hints: RefCell<BTreeSet<SocketAddr>>,
    /// The regions that a task of this gateway speaks to.
    pub(super) reported_regions: RefCell<BTreeSet<RegionName>>,
}

impl RelayShared {
    pub(super) fn new(
        local: LocalGateway,
        table: Rc<BackendTable>,
        config: RelayConfig,
        dependencies: RelayDependencies,
    ) -> Self {
        let clock = dependencies.context.clock.clone();
        let members = MemberTable::new(
            local.vm,
            local.incarnation,
            local.profile,
            clock.clone(),
            table.interval_scale(),
        );
        Self {
            members,
            regions: RegionTable::new(clock.clone(), table.interval_scale()),
            row_totals: RowTotals::new(clock, table.interval_scale()),
            table,
            config,
            dependencies,
            log: ChangeLog::default(),
            updates: Notifier::default(),
            progress: Notifier::default(),
            joined: Cell::new(false),
            delivered: RefCell::default(),
            next_declaration: RefCell::default(),
            plan: RefCell::default(),
            subset: RefCell::default(),
            digest: Cell::default(),
            diverged_since: RefCell::default(),
            sync_peer: RefCell::default(),
            remote_seeds: RefCell::default(),
            peer_hints: RefCell::default(),
            reported_regions: RefCell::default(),
        }
    }

    pub(super) fn now(&self) -> MonotonicTime {
        self.dependencies.context.clock.now()
    }

    /// The plan for the gateways alive now.
    pub(super) fn plan(&self) -> Rc<RelayPlan> {
        let generation = self.members.generation();
        if self.plan.borrow().0 != generation {
            let alive = self.members.alive_domains();
            self.table.interval_scale().set_gateway_count(alive.len());
            let plan = RelayPlan::new(self.members.local_vm(), &alive);
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
            self.table.follow(&plan.followed_by(self.members.local_vm()));
            *self.subset.borrow_mut() = (generations, Rc::new(plan));
        }
        self.subset.borrow().1.clone()
    }

    /// What this gateway owes `vm`; `None`: it is dead, or this gateway itself.
    pub(super) fn scope_of(&self, vm: &VmName) -> Option<PeerScope> {
        let plan = self.plan();
        if plan.row_peers.contains(vm) {
            return Some(PeerScope::Row);
        }
        if plan.relay_targets.contains(vm) {
            return Some(PeerScope::Across);
        }
        let alive = self.members.record(vm).is_some_and(|r| !r.status.is_expired());
        (alive && vm != self.members.local_vm()).then_some(PeerScope::Urgent)
    }

    /// Starts a task for every live peer that has none.
    pub(super) fn ensure_tasks(self: &Rc<Self>) {
        for vm in self.members.alive() {
            if vm == *self.members.local_vm() || self.delivered.borrow().contains_key(&vm) {
                continue;
            }
            self.delivered.borrow_mut().insert(vm.clone(), self.log.end());
            let task = peer_task::run(self.clone(), vm);
            self.dependencies.context.spawner.spawn(Box::pin(task));
        }
    }

    /// The hash of everything that should be equal on all gateways of the region.
    pub(super) fn digest(&self) -> [u8; 4] {
        let generations = (self.members.generation(), self.table.generation());
        let (known, digest) = self.digest.get();
        if known == generations {
            return digest;
        }
        let content = (self.members.hash(), self.table.bucket_hashes());
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
    pub(super) fn merge_backend(&self, aged: &AgedRecord<BackendRecord>, origin: Origin) {
        match self.table.merge_record(aged, origin) {
            Ok(change) => self.note_backend(&aged.record.name, change, origin),
            Err(error) => {
                let event = EventDraft::new("backend.refused").field("backend", &aged.record.name);
                self.dependencies.events.emit(event.error("reason", &error));
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
        self.dependencies.events.emit(event.optional("incarnation", incarnation));
    }

    /// Takes in a gateway's record that a peer told.
    pub(super) fn merge_gateway(&self, aged: &AgedRecord<GatewayRecord>, origin: Origin) {
        let vm = &aged.record.vm;
        if aged.record.profile.region != self.local_region() {
            return;
        }
        if vm == self.members.local_vm() {
            if self.members.refute_stale_copy(&aged.record) {
                self.note_gateway(vm, Origin::Direct);
            }
            return;
        }
        if self.members.merge_record(aged, origin).membership {
            self.note_gateway(vm, origin);
        }
    }

    pub(super) fn local_region(&self) -> RegionName {
        let local = self.members.record(self.members.local_vm());
        local.expect("the own row is made first and never removed").profile.region
    }

    /// Tells on what changed about the gateway `vm`.
    pub(super) fn note_gateway(&self, vm: &VmName, origin: Origin) {
        let Some(record) = self.members.record(vm) else { return };
        let event = EventDraft::new(gateway_event(&record)).field("gateway", vm);
        self.dependencies.events.emit(event.field("incarnation", record.status.incarnation));
        // Plans follow from who is alive: all must change theirs at the same time.
        let urgent = true;
        self.push(LoggedChange { key: ChangedKey::Gateway(vm.clone()), origin, urgent });
    }

    fn push(&self, change: LoggedChange) {
        self.log.push(change);
        self.updates.notify_all();
    }

    /// A member of the own row failed to answer twice: declares it dead, unless it was found alive
    /// after the last time.
    pub(super) fn declare_dead(&self, vm: &VmName) {
        let now = self.now();
        let allowed = self.next_declaration.borrow().get(vm).is_none_or(|until| now >= *until);
        if !allowed || !self.members.expire(vm) {
            return;
        }
        self.next_declaration
            .borrow_mut()
            .insert(vm.clone(), now + self.config.dead_declaration_cooldown);
        self.note_gateway(vm, Origin::Direct);
    }

    /// The own gateway drains.
    pub(super) fn drain(&self) {
        self.members.drain();
        self.note_gateway(&self.members.local_vm().clone(), Origin::Direct);
    }

    /// Completes when every peer has been told all there is now, or after the limit.
    pub(super) async fn wait_delivered(&self) {
        let end = self.log.end();
        let all_delivered = async {
            while self.delivered.borrow().values().any(|delivered| *delivered < end) {
                // The bell is never dropped before the relay, so this fails never.
                let _ = self.progress.notified().await;
            }
        };
        let limit: Duration = self.config.urgent_timeout;
        if timeout(&*self.dependencies.context.clock, limit, all_delivered).await.is_none() {
            self.dependencies
                .events
                .emit(EventDraft::new("backend.relay_slow").millis("limit", limit));
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
