//! State shared by the tasks of a relay.

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

/// Set of updates that this gateway sends to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerScope {
    /// The peer is in the same row.
    RowPeer,
    /// The peer is in another row, and this gateway is the relay to it.
    RelayTarget,
    /// Any other gateway of the region, which is sent urgent changes only.
    UrgentOnly,
}

pub(super) struct RelayShared {
    pub(super) table: Rc<BackendTable>,
    pub(super) members: MemberTable,
    pub(super) config: RelayConfig,
    pub(super) dependencies: RelayDependencies,
    pub(super) regions: RegionTable,
    pub(super) row_totals: RowTotals,
    pub(super) log: ChangeLog,
    /// Notified when there are updates to send or the plan has changed.
    pub(super) updates: Notifier,
    /// Notified when a peer has acknowledged a message or its task has ended.
    pub(super) progress: Notifier,
    pub(super) joined: Cell<bool>,
    /// Log position up to which each peer with a task has acknowledged the changes.
    pub(super) delivered: RefCell<BTreeMap<VmName, u64>>,
    /// Time from which this gateway may declare a peer dead again.
    next_declaration: RefCell<HashMap<VmName, MonotonicTime>>,
    plan: RefCell<(u64, Rc<RelayPlan>)>,
    subset: RefCell<((u64, u64), Rc<SubsetPlan>)>,
    digest: Cell<((u64, u64), [u8; 4])>,
    /// Time since which the digest of a peer differs from that of this gateway.
    pub(super) diverged_since: RefCell<HashMap<VmName, MonotonicTime>>,
    /// Peer with which a sync is due.
    pub(super) sync_peer: RefCell<Option<VmName>>,
    /// Regions of the seeds that are in other regions.
    pub(super) remote_seeds: RefCell<HashMap<SocketAddr, RegionName>>,
    /// Addresses of gateways of this region that other regions have returned.
    pub(super) address_hints: RefCell<BTreeSet<SocketAddr>>,
    /// Regions to which a task of this gateway reports.
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
            address_hints: RefCell::default(),
            reported_regions: RefCell::default(),
        }
    }

    pub(super) fn now(&self) -> MonotonicTime {
        self.dependencies.context.clock.now()
    }

    /// Returns the plan for the currently live gateways.
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

    /// Returns the subsets for the currently live gateways and backend servers.
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

    /// Returns the scope of updates for `vm`, or `None` if it is dead or this gateway itself.
    pub(super) fn scope_of(&self, vm: &VmName) -> Option<PeerScope> {
        let plan = self.plan();
        if plan.row_peers.contains(vm) {
            return Some(PeerScope::RowPeer);
        }
        if plan.relay_targets.contains(vm) {
            return Some(PeerScope::RelayTarget);
        }
        let alive = self.members.record(vm).is_some_and(|r| !r.status.is_expired());
        (alive && vm != self.members.local_vm()).then_some(PeerScope::UrgentOnly)
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

    /// Returns the digest of the membership state that should be equal on all gateways of the
    /// region.
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

    /// Propagates the effect of an announcement received by this gateway.
    pub(super) fn propagate_announcement(&self, announcement: &Announcement, change: StatusChange) {
        if change.superseded {
            self.emit_backend("backend.superseded", &announcement.name);
        }
        self.propagate_backend(&announcement.name, change, Origin::Direct);
    }

    /// Merges the record of a backend server received from a peer.
    pub(super) fn merge_backend(&self, aged: &AgedRecord<BackendRecord>, origin: Origin) {
        match self.table.merge_record(aged, origin) {
            Ok(change) => self.propagate_backend(&aged.record.name, change, origin),
            Err(error) => {
                let event = EventDraft::new("backend.refused").field("backend", &aged.record.name);
                self.dependencies.events.emit(event.error("reason", &error));
            }
        }
    }

    /// Logs a change of the backend server `name` and queues it for propagation.
    pub(super) fn propagate_backend(
        &self,
        name: &BackendName,
        change: StatusChange,
        origin: Origin,
    ) {
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

    /// Merges the record of a gateway received from a peer.
    pub(super) fn merge_gateway(&self, aged: &AgedRecord<GatewayRecord>, origin: Origin) {
        let vm = &aged.record.vm;
        if aged.record.profile.region != self.local_region() {
            return;
        }
        if vm == self.members.local_vm() {
            if self.members.refute_stale_copy(&aged.record) {
                self.propagate_gateway(vm, Origin::Direct);
            }
            return;
        }
        if self.members.merge_record(aged, origin).membership {
            self.propagate_gateway(vm, origin);
        }
    }

    pub(super) fn local_region(&self) -> RegionName {
        let local = self.members.record(self.members.local_vm());
        local.expect("the entry of this gateway is created first and never removed").profile.region
    }

    /// Logs a change of the gateway `vm` and queues it for propagation.
    pub(super) fn propagate_gateway(&self, vm: &VmName, origin: Origin) {
        let Some(record) = self.members.record(vm) else { return };
        let event = EventDraft::new(gateway_event(&record)).field("gateway", vm);
        self.dependencies.events.emit(event.field("incarnation", record.status.incarnation));
        // Plans depend on the set of live gateways, so all gateways must update theirs at the same
        // time.
        let urgent = true;
        self.push(LoggedChange { key: ChangedKey::Gateway(vm.clone()), origin, urgent });
    }

    fn push(&self, change: LoggedChange) {
        self.log.push(change);
        self.updates.notify_all();
    }

    /// Declares `vm` dead after failed calls and propagates it, unless it was found alive after a
    /// recent declaration.
    pub(super) fn declare_dead(&self, vm: &VmName) {
        let now = self.now();
        let allowed = self.next_declaration.borrow().get(vm).is_none_or(|until| now >= *until);
        if !allowed || !self.members.expire(vm) {
            return;
        }
        self.next_declaration
            .borrow_mut()
            .insert(vm.clone(), now + self.config.dead_declaration_cooldown);
        self.propagate_gateway(vm, Origin::Direct);
    }

    /// Marks this gateway as draining and propagates it.
    pub(super) fn drain(&self) {
        self.members.drain();
        self.propagate_gateway(&self.members.local_vm().clone(), Origin::Direct);
    }

    /// Completes when every peer has acknowledged all changes logged so far, or after
    /// `urgent_timeout`.
    pub(super) async fn wait_delivered(&self) {
        let end = self.log.end();
        let all_delivered = async {
            while self.delivered.borrow().values().any(|delivered| *delivered < end) {
                // The sender cannot be dropped: the notifier lives as long as the relay.
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
