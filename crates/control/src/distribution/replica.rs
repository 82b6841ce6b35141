//! A gateway's in-memory replica of the configuration.

use {
    super::{
        feed::{
            ConfigFeed, ConfigHandler, FeedPage, FeedRange, FeedSummary, build_page, groups_between,
        },
        message::{CONFIG_PREFIX, ControlEndpoint, ControlEndpoints, FetchReply, ReplicaReport},
        reports::ReportTable,
        upstreams::BackoffTable,
    },
    crate::{
        entry::{ClusterId, LogIndex},
        groups::GroupRecord,
        signal::WakeSignal,
        state::ServiceRecord,
    },
    futures::future::poll_fn,
    gullglade_document::{ConfigSource, ConfigView, DocumentError, ServiceDocument},
    gullglade_event::{EventDraft, EventSink, NullSink},
    gullglade_peer::{HandlerTable, PeerTransport},
    gullglade_units::{Clock, MonotonicTime, ProcessContext, RegionName, ServiceName, VmName},
    std::{
        cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, task::Poll, time::Duration,
    },
};

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaConfig {
    pub(super) vm: VmName,
    pub(super) region: RegionName,
    pub(super) address: SocketAddr,
    pub(super) controls: Vec<SocketAddr>,
    pub(super) relay_hold: Duration,
    pub(super) follower_hold: Duration,
    pub(super) call_limit: Duration,
    pub(super) stale_after: Duration,
}

impl ReplicaConfig {
    /// Creates the settings of the replica on the gateway on `vm`, whose peer address is `address`.
    /// `controls` are peer addresses of control processes, from which later changes of the control
    /// membership are learned.
    pub fn new(
        vm: VmName,
        region: RegionName,
        address: SocketAddr,
        controls: Vec<SocketAddr>,
    ) -> Self {
        Self {
            vm,
            region,
            address,
            controls,
            relay_hold: Duration::from_secs(2),
            follower_hold: Duration::from_secs(4),
            call_limit: Duration::from_secs(1),
            stale_after: Duration::from_secs(10),
        }
    }

    /// Sets the long-poll timeouts: of a relay's requests to control, and of the other gateways'
    /// requests to the relay. The defaults are 2 s and 4 s.
    pub fn hold(mut self, relay: Duration, follower: Duration) -> Self {
        self.relay_hold = relay;
        self.follower_hold = follower;
        self
    }

    /// Sets the time that a reply may take beyond the long-poll timeout. The default is 1 s.
    pub fn call_limit(mut self, limit: Duration) -> Self {
        self.call_limit = limit;
        self
    }

    /// Sets the age from which the configuration counts as stale. The default is 10 s, which covers
    /// both long-poll timeouts, a failed call and a heartbeat.
    pub fn stale_after(mut self, age: Duration) -> Self {
        self.stale_after = age;
        self
    }
}

/// Provides the gateways of a replica's own region.
pub trait RegionPeers {
    /// Returns their peer addresses, with or without the replica's own.
    fn addresses(&self) -> Vec<SocketAddr>;
}

/// The status of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The index of the published configuration, or `None` if there is none.
    pub applied: Option<LogIndex>,
    /// The time since the configuration was known to include every accepted change.
    pub age: Option<Duration>,
    /// Whether the configuration may lack accepted changes.
    pub is_stale: bool,
    /// Whether this process is a relay of its region.
    pub is_relay: bool,
    /// The upstream that answered last.
    pub upstream: Option<SocketAddr>,
}

/// A service record and its parsed document.
struct ReplicaRecord {
    record: ServiceRecord,
    document: Option<Rc<ServiceDocument>>,
}

/// The state of a replica. While a transfer of several pages is in progress, `cursor` is ahead of
/// the published view.
#[derive(Default)]
struct ReplicaState {
    cluster: Option<ClusterId>,
    records: BTreeMap<ServiceName, ReplicaRecord>,
    by_index: BTreeMap<LogIndex, ServiceName>,
    groups: BTreeMap<RegionName, GroupRecord>,
    cursor: LogIndex,
    view: Option<Rc<ConfigView>>,
    confirmed: Option<MonotonicTime>,
    control_endpoints: ControlEndpoints,
    is_relay: bool,
    upstream: Option<SocketAddr>,
}

/// The configuration of a gateway. The index of the published configuration never decreases.
///
/// To use it, create it with [`new`](Self::new), pass it to the gateway as its [`ConfigSource`],
/// then [`start`](Self::start) it with the process's peer transport. Register its handlers with
/// [`serve`](Self::serve), except in a process that also runs a
/// [`ControlNode`](crate::ControlNode), which serves the same methods from the log itself.
pub struct ConfigReplica {
    pub(super) config: ReplicaConfig,
    pub(super) context: ProcessContext,
    events: RefCell<Rc<dyn EventSink>>,
    pub(super) backoffs: BackoffTable,
    state: RefCell<ReplicaState>,
    signal: WakeSignal,
    reports: ReportTable,
}

impl ConfigReplica {
    /// Creates a replica without configuration.
    pub fn new(config: ReplicaConfig, context: ProcessContext) -> Rc<Self> {
        Rc::new(Self {
            config,
            context,
            events: RefCell::new(Rc::new(NullSink)),
            backoffs: BackoffTable::default(),
            state: RefCell::default(),
            signal: WakeSignal::default(),
            reports: ReportTable::default(),
        })
    }

    /// Starts to follow the log by way of `peers` and the control processes, and emits events to
    /// `events`.
    pub fn start(
        self: &Rc<Self>,
        transport: Rc<dyn PeerTransport>,
        peers: Rc<dyn RegionPeers>,
        events: Rc<dyn EventSink>,
    ) {
        *self.events.borrow_mut() = events;
        let spawner = &self.context.spawner;
        spawner.spawn(Box::pin(Rc::clone(self).run_fetches(Rc::clone(&transport), peers)));
        spawner.spawn(Box::pin(Rc::clone(self).run_reports(transport)));
    }

    /// Registers the handlers that serve the other gateways of the region.
    pub fn serve(self: &Rc<Self>, handlers: &HandlerTable) {
        let feed: Rc<dyn ConfigFeed> = Rc::clone(self) as _;
        handlers.register(CONFIG_PREFIX, Rc::new(ConfigHandler(feed)));
    }

    /// Returns the status of this replica.
    pub fn status(&self) -> ReplicaStatus {
        let state = self.state.borrow();
        let age = state.confirmed.map(|time| self.now().since(time));
        ReplicaStatus {
            applied: state.view.as_ref().map(|view| LogIndex(view.index())),
            age,
            is_stale: age.is_none_or(|age| age > self.config.stale_after),
            is_relay: state.is_relay,
            upstream: state.upstream,
        }
    }

    /// Returns the current state of a service, including the text of its document.
    pub fn service(&self, name: &ServiceName) -> Option<ServiceRecord> {
        self.state.borrow().records.get(name).map(|r| r.record.clone())
    }

    /// Returns the current state of all services, including removed ones.
    pub fn services(&self) -> Vec<ServiceRecord> {
        self.state.borrow().records.values().map(|r| r.record.clone()).collect()
    }

    /// Returns the claim groups in force.
    pub fn groups(&self) -> Vec<GroupRecord> {
        self.state.borrow().groups_in_force().cloned().collect()
    }

    /// Waits until claim groups changed after `seen` are in force. A group of a transfer in
    /// progress is not, since the documents of its index are not known yet.
    pub async fn next_groups(&self, seen: LogIndex) -> Vec<GroupRecord> {
        poll_fn(|cx| {
            let state = self.state.borrow();
            let newer = state.groups_in_force().filter(|group| group.index > seen);
            let groups: Vec<_> = newer.cloned().collect();
            if !groups.is_empty() {
                return Poll::Ready(groups);
            }
            self.signal.register(cx.waker());
            Poll::Pending
        })
        .await
    }

    pub(super) fn emit(&self, event: EventDraft) {
        let events = Rc::clone(&self.events.borrow());
        events.emit(event);
    }

    pub(super) fn now(&self) -> MonotonicTime {
        self.context.clock.now()
    }

    pub(super) fn report(&self) -> ReplicaReport {
        let status = self.status();
        ReplicaReport {
            vm: self.config.vm.clone(),
            region: self.config.region.clone(),
            applied: status.applied,
            age: status.age,
        }
    }

    /// Returns the log, the cursor and the membership index for the next request.
    pub(super) fn position(&self) -> (Option<ClusterId>, LogIndex, LogIndex) {
        let state = self.state.borrow();
        (state.cluster, state.cursor, state.control_endpoints.index)
    }

    pub(super) fn set_is_relay(&self, is_relay: bool) {
        self.state.borrow_mut().is_relay = is_relay;
    }

    pub(super) fn set_upstream(&self, upstream: Option<SocketAddr>) {
        let old = std::mem::replace(&mut self.state.borrow_mut().upstream, upstream);
        if old != upstream {
            self.signal.notify();
        }
    }

    /// Returns the endpoints of the control processes: those of the membership, or those in the
    /// settings until a membership is known.
    pub(super) fn controls(&self) -> Vec<ControlEndpoint> {
        let state = self.state.borrow();
        if !state.control_endpoints.members.is_empty() {
            return state.control_endpoints.members.clone();
        }
        let to_endpoint = |address: &SocketAddr| ControlEndpoint {
            region: self.config.region.clone(),
            address: *address,
        };
        self.config.controls.iter().map(to_endpoint).collect()
    }

    /// Applies a reply that arrived `elapsed` after its request was sent. Returns `false` if the
    /// reply is older than the published configuration.
    ///
    /// All documents are parsed before any of them is stored. A reply that this version cannot
    /// parse therefore changes nothing, and the replica does not report an index whose documents it
    /// cannot apply.
    pub(super) fn apply_reply(
        &self,
        reply: FetchReply,
        elapsed: Duration,
    ) -> Result<bool, DocumentError> {
        let records = reply.records.into_iter().map(parse_record).collect::<Result<Vec<_>, _>>()?;
        let mut state = self.state.borrow_mut();
        let applied = state.view.as_ref().map(|view| LogIndex(view.index()));
        if reply.complete_at.is_some_and(|index| Some(index) < applied) {
            return Ok(false);
        }
        state.cluster = Some(reply.cluster);
        if let Some(endpoints) = reply.places {
            state.control_endpoints = endpoints;
        }
        for record in records {
            state.put_record(record);
        }
        for group in reply.groups {
            state.put_group(group);
        }
        state.cursor = state.cursor.max(reply.cursor);
        if let Some(index) = reply.complete_at {
            state.publish(index);
            // The reply may have been in transit for the whole time during which it was not held.
            let in_transit = elapsed.saturating_sub(reply.held);
            let confirmed = reply.age.and_then(|age| self.now().0.checked_sub(age + in_transit));
            state.confirmed = state.confirmed.max(confirmed.map(MonotonicTime));
        }
        drop(state);
        self.signal.notify();
        Ok(true)
    }
}

impl ReplicaState {
    fn put_record(&mut self, new: ReplicaRecord) {
        let service = new.record.change.service.clone();
        let index = new.record.change.index;
        let old = self.records.get(&service).map(|old| old.record.change.index);
        if old.is_some_and(|old| old >= index) {
            return;
        }
        if let Some(old) = old {
            self.by_index.remove(&old);
        }
        self.by_index.insert(index, service.clone());
        self.records.insert(service, new);
    }

    /// Stores a claim group if its epoch is greater than the stored one.
    fn put_group(&mut self, new: GroupRecord) {
        let old = self.groups.get(&new.region).map(|old| old.epoch);
        if old.is_none_or(|old| old < new.epoch) {
            self.groups.insert(new.region.clone(), new);
        }
    }

    fn groups_in_force(&self) -> impl Iterator<Item = &GroupRecord> {
        let applied = self.view.as_ref().map_or(0, |view| view.index());
        self.groups.values().filter(move |group| group.index.0 <= applied)
    }

    /// Publishes everything received so far as the configuration at `index`.
    fn publish(&mut self, index: LogIndex) {
        if self.view.as_ref().is_some_and(|view| view.index() >= index.0) {
            return;
        }
        let old = self.view.take().unwrap_or_default();
        let changed = self.by_index.range(LogIndex(old.index()).next()..);
        let changed = changed.filter_map(|(_, service)| self.records.get(service));
        let documents = changed.map(|r| (r.record.change.service.clone(), r.document.clone()));
        self.view = Some(Rc::new(old.with_changes(index.0, documents)));
    }
}

fn parse_record(record: ServiceRecord) -> Result<ReplicaRecord, DocumentError> {
    let document = match &record.text {
        Some(text) => Some(Rc::new(ServiceDocument::try_from(&**text)?)),
        None => None,
    };
    Ok(ReplicaRecord { record, document })
}

impl ConfigSource for ConfigReplica {
    fn current(&self) -> Option<Rc<ConfigView>> {
        self.state.borrow().view.clone()
    }

    fn may_be_stale(&self) -> bool {
        self.status().is_stale
    }
}

impl ConfigFeed for ConfigReplica {
    fn summary(&self) -> Option<FeedSummary> {
        let state = self.state.borrow();
        Some(FeedSummary {
            cluster: state.cluster?,
            applied: LogIndex(state.view.as_ref()?.index()),
            confirmed: state.confirmed,
        })
    }

    fn page(&self, range: FeedRange, limit: usize) -> FeedPage {
        let state = self.state.borrow();
        let applied = state.view.as_ref().map(|view| LogIndex(view.index()));
        // While a transfer is in progress, the records correspond to no index.
        let complete_at = applied.filter(|applied| state.cursor <= *applied);
        let changed = state.by_index.range(range.cursor.next()..).map(|(_, service)| service);
        let records = changed.filter_map(|service| state.records.get(service)).map(|r| &r.record);
        build_page(records, range, limit, complete_at)
    }

    fn groups(&self, after: LogIndex, end: LogIndex) -> Vec<GroupRecord> {
        groups_between(self.state.borrow().groups.values(), after, end)
    }

    fn control_endpoints(&self) -> ControlEndpoints {
        self.state.borrow().control_endpoints.clone()
    }

    fn signal(&self) -> &WakeSignal {
        &self.signal
    }

    fn reports(&self) -> &ReportTable {
        &self.reports
    }

    fn clock(&self) -> &dyn Clock {
        &*self.context.clock
    }
}
