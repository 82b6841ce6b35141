//! The tasks of a replica: fetching configuration, and reporting what is in force.

use {
    super::{
        feed::{ConfigFeed, FRESH_AGE},
        message::{FETCH, FetchReply, FetchRequest, REPORT, ReplicaReport},
        pack::unpack,
        replica::{ConfigReplica, RegionPeers},
        upstreams::UpstreamInputs,
    },
    crate::{change::AcceptedChange, entry::LogIndex},
    bytes::Bytes,
    futures::future::{join_all, poll_fn},
    gullglade_event::{EventDraft, Level},
    gullglade_peer::{FaultKind, PeerError, PeerTransport},
    gullglade_units::{VmName, encode, timeout},
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, task::Poll, time::Duration},
};

/// The interval between rounds of requests after a round without a recently confirmed state.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The time for which changes are collected before they are reported to control.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// The interval of reports to control without changes.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The maximum number of changes in one reply for which an event each is emitted. A gateway that
/// was offline for long receives hundreds at once.
const MAX_CHANGE_EVENTS: usize = 64;

/// The result of a request to one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchOutcome {
    /// A reply from a process whose state was recently confirmed by control, with or without
    /// updates.
    Fresh,
    /// A reply from a process that is itself cut off from control, or behind this one.
    Stale,
    /// No reply.
    Failed,
}

/// The index in force on each gateway.
type AppliedTable = BTreeMap<VmName, Option<LogIndex>>;

impl ConfigReplica {
    pub(super) async fn run_fetches(
        self: Rc<Self>,
        transport: Rc<dyn PeerTransport>,
        peers: Rc<dyn RegionPeers>,
    ) {
        let mut had_none = false;
        loop {
            let is_fresh = self.fetch_round(&*transport, &*peers).await;
            let has_none = self.status().applied.is_none();
            if has_none != had_none {
                had_none = has_none;
                self.emit_availability(has_none);
            }
            if !is_fresh {
                self.set_upstream(None);
                self.context.clock.sleep(RETRY_INTERVAL).await;
            }
        }
    }

    fn emit_availability(&self, has_none: bool) {
        let event = match has_none {
            true => EventDraft::new("config.none")
                .level(Level::Warn)
                .field("remedy", "check that a control process or a gateway of the region answers"),
            false => EventDraft::new("config.loaded")
                .optional("index", self.status().applied.map(|index| index.0)),
        };
        self.emit(event);
    }

    /// Asks upstreams until one replies, and returns whether its state was recently confirmed. The
    /// upstreams are selected again after each failure: the process that failed may have been the
    /// relay, and this one may be next in rank.
    async fn fetch_round(&self, transport: &dyn PeerTransport, peers: &dyn RegionPeers) -> bool {
        loop {
            match self.fetch_from_upstreams(transport, peers).await {
                FetchOutcome::Fresh => return true,
                FetchOutcome::Stale => return false,
                FetchOutcome::Failed => {}
            }
        }
    }

    async fn fetch_from_upstreams(
        &self,
        transport: &dyn PeerTransport,
        peers: &dyn RegionPeers,
    ) -> FetchOutcome {
        let controls = self.controls();
        let inputs = UpstreamInputs {
            own_address: self.config.address,
            region: &self.config.region,
            peers: peers.addresses(),
            controls: &controls,
            backoffs: &self.backoffs,
            now: self.now(),
        };
        let order = inputs.select();
        self.set_is_relay(order.is_relay);
        let hold = if order.is_relay { self.config.relay_hold } else { self.config.follower_hold };
        let mut deferred = Vec::new();
        for address in order.preferred.into_iter().chain(order.fallback) {
            let request = self.fetch_request(hold);
            let outcome = match self.fetch(transport, address, request).await {
                Ok(reply) if self.position().0.is_none() && !is_fresh(&reply.0) => {
                    deferred.push(reply);
                    continue;
                }
                Ok((reply, elapsed)) => {
                    let (from, marks) = (reply.cursor, reply.marks.clone());
                    let outcome = self.apply_and_classify(reply, elapsed);
                    self.fetch_marked_pages(transport, address, from, &marks).await;
                    outcome
                }
                Err(error) => self.handle_error(address, &error),
            };
            if outcome == FetchOutcome::Fresh {
                self.set_upstream(Some(address));
            }
            if outcome != FetchOutcome::Stale {
                return outcome;
            }
        }
        self.apply_newest(deferred);
        FetchOutcome::Stale
    }

    /// Applies the newest of the replies that control has not confirmed recently. An empty replica
    /// uses such a reply only if no process has a confirmed one. Otherwise it could follow a log
    /// that was abandoned and founded anew, while the other gateways of the region still hold the
    /// old one.
    fn apply_newest(&self, deferred: Vec<(FetchReply, Duration)>) {
        let newest =
            deferred.into_iter().max_by_key(|(reply, _)| (reply.complete_at, reply.cursor));
        if let Some((reply, elapsed)) = newest {
            self.apply_and_classify(reply, elapsed);
        }
    }

    /// Builds a request for everything that changed after the cursor.
    fn fetch_request(&self, hold: Duration) -> FetchRequest {
        let (cluster, cursor, places_index) = self.position();
        FetchRequest { cluster, cursor, until: None, places_index, hold, report: self.report() }
    }

    /// Requests the following pages concurrently, and applies them in order up to the first
    /// failure.
    async fn fetch_marked_pages(
        &self,
        transport: &dyn PeerTransport,
        to: SocketAddr,
        from: LogIndex,
        marks: &[LogIndex],
    ) {
        let starts = std::iter::once(from).chain(marks.iter().copied());
        let requests = starts.zip(marks).map(|(cursor, until)| {
            let request = self.fetch_request(Duration::ZERO);
            self.fetch(transport, to, FetchRequest { cursor, until: Some(*until), ..request })
        });
        for (outcome, until) in join_all(requests).await.into_iter().zip(marks) {
            let Ok((reply, elapsed)) = outcome else { return };
            self.apply_and_classify(reply, elapsed);
            // The page was incomplete or could not be parsed. Applying the following ones would
            // leave a gap.
            if self.position().1 < *until {
                return;
            }
        }
    }

    /// Sends a request. Returns the reply and the time it took.
    async fn fetch(
        &self,
        transport: &dyn PeerTransport,
        to: SocketAddr,
        request: FetchRequest,
    ) -> Result<(FetchReply, Duration), PeerError> {
        let sent = self.now();
        let limit = request.hold + self.config.call_limit;
        let body = Bytes::from(encode(&request));
        let reply = transport.call(to, FETCH, body, limit).await?;
        let reply = unpack(&reply)?;
        self.backoffs.note_success(to);
        Ok((reply, self.now().since(sent)))
    }

    /// Handles a failed request. A process that has no configuration yet may have it soon; one that
    /// does not answer, or follows another log, is not asked again until its backoff has elapsed.
    fn handle_error(&self, to: SocketAddr, error: &PeerError) -> FetchOutcome {
        if let PeerError::Fault { source } = error {
            if source.kind != FaultKind::Refused {
                return FetchOutcome::Stale;
            }
            let event = EventDraft::new("config.refused").level(Level::Warn);
            self.emit(event.field("upstream", to).error("reason", source));
        }
        self.backoffs.note_failure(to, self.now());
        FetchOutcome::Failed
    }

    fn apply_and_classify(&self, reply: FetchReply, elapsed: Duration) -> FetchOutcome {
        let is_fresh = reply.age.is_some_and(|age| age <= FRESH_AGE);
        let before = self.status().applied;
        let changes: Vec<AcceptedChange> =
            reply.records.iter().take(MAX_CHANGE_EVENTS).map(|r| r.change.clone()).collect();
        let taken = self.apply_reply(reply, elapsed);
        if before.is_some() && self.status().applied > before {
            changes.iter().for_each(|change| self.emit_in_force(change));
        }
        match taken {
            Ok(true) if is_fresh => FetchOutcome::Fresh,
            Ok(_) => FetchOutcome::Stale,
            Err(error) => {
                let event = EventDraft::new("config.unreadable").level(Level::Error);
                let event = event.field("remedy", "start the newer version of gullglade here");
                self.emit(event.error("reason", &error));
                FetchOutcome::Stale
            }
        }
    }

    fn emit_in_force(&self, change: &AcceptedChange) {
        self.emit(
            EventDraft::new("config.in_force")
                .field("change", &change.id)
                .field("service", &change.service)
                .field("version", change.version)
                .field("index", change.index.0),
        );
    }

    /// Reports to control what the followers of a relay have in force: soon after a change, and at
    /// regular intervals. The relay's own report is part of its requests.
    pub(super) async fn run_reports(self: Rc<Self>, transport: Rc<dyn PeerTransport>) {
        let mut reported = AppliedTable::new();
        loop {
            let clock = &*self.context.clock;
            timeout(clock, REPORT_INTERVAL, self.wait_for_report_changes(&reported)).await;
            clock.sleep(REPORT_DELAY).await;
            let reports = self.current_reports();
            let status = self.status();
            let Some(upstream) = status.upstream.filter(|_| status.is_relay) else { continue };
            let body = Bytes::from(encode(&reports));
            let call = transport.call(upstream, REPORT, body, self.config.call_limit);
            if call.await.is_ok() {
                reported = applied_of(&reports);
            }
        }
    }

    fn current_reports(&self) -> Vec<ReplicaReport> {
        let rows = self.reports().rows(self.now());
        rows.into_iter().map(|row| row.report).chain([self.report()]).collect()
    }

    async fn wait_for_report_changes(&self, reported: &AppliedTable) {
        poll_fn(|cx| {
            let status = self.status();
            let can_report = status.is_relay && status.upstream.is_some();
            if can_report && applied_of(&self.current_reports()) != *reported {
                return Poll::Ready(());
            }
            self.signal().register(cx.waker());
            Poll::Pending
        })
        .await;
    }
}

fn is_fresh(reply: &FetchReply) -> bool {
    reply.age.is_some_and(|age| age <= FRESH_AGE)
}

fn applied_of(reports: &[ReplicaReport]) -> AppliedTable {
    reports.iter().map(|r| (r.vm.clone(), r.applied)).collect()
}
