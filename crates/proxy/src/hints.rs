//! Hints to the other gateways of the region: which requests were sent where, and which responses
//! have begun.
//!
//! Without hints each gateway sees only its own sends at once, and several gateways send their
//! longest prompts to the same engine: with four gateways in a region at 60% of the engines'
//! capacity, 14% of long prompts were late, against 6% with a single gateway that knew of all
//! sends.

use {
    crate::{
        Dispatcher,
        compact_hints::{KnownRuns, RunDirectory},
        hint_batching::batch_delay,
        notice::{GatewayNotice, encode_hints},
    },
    gullglade_dispatch::{BackendHint, RequestUpdate},
    gullglade_fleet::FleetFollower,
    gullglade_peer::{MAX_NOTICE_BYTES, NoticeSender},
    gullglade_units::{MonotonicTime, ProcessContext, decode},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Most gateways that get hints. In larger regions each gateway always notifies the same subset.
const MAX_PEERS: usize = 40;

/// Time for which the list of other gateways is cached. Until it is refreshed, notices to departed
/// gateways are wasted and new gateways get none.
const PEER_LIST_MAX_AGE: Duration = Duration::from_millis(500);

/// Batches hints and sends them to the other gateways of the region.
pub(crate) struct HintSender {
    notices: Rc<dyn NoticeSender>,
    fleet: Rc<FleetFollower>,
    context: ProcessContext,
    runs: Rc<KnownRuns>,
    is_scheduled: Cell<bool>,
    peers: RefCell<PeerList>,
}

/// Other gateways of the region.
#[derive(Default)]
struct PeerList {
    addresses: Vec<SocketAddr>,
    /// Time for which hints to them are batched.
    batch_delay: Duration,
    /// Time at which the list was read.
    read_at: Option<MonotonicTime>,
}

impl HintSender {
    pub(crate) fn new(
        notices: Rc<dyn NoticeSender>,
        fleet: Rc<FleetFollower>,
        context: ProcessContext,
        runs: Rc<KnownRuns>,
    ) -> Rc<Self> {
        let (is_scheduled, peers) = (Cell::new(false), RefCell::default());
        Rc::new(Self { notices, fleet, context, runs, is_scheduled, peers })
    }

    /// From now on sends the hints of `dispatcher`.
    pub(crate) fn attach(self: &Rc<Self>, dispatcher: &Rc<Dispatcher>) {
        let (sender, source) = (Rc::clone(self), Rc::downgrade(dispatcher));
        dispatcher.set_on_change(Rc::new(move || {
            let Some(dispatcher) = source.upgrade() else { return };
            if dispatcher.with_scheduler(|scheduler, _| scheduler.has_hints()) {
                sender.schedule(&dispatcher);
            }
        }));
    }

    fn schedule(self: &Rc<Self>, dispatcher: &Rc<Dispatcher>) {
        if self.is_scheduled.replace(true) {
            return;
        }
        self.refresh_peers();
        let (sender, source) = (Rc::clone(self), Rc::downgrade(dispatcher));
        let delay = self.peers.borrow().batch_delay;
        self.context.spawner.spawn(Box::pin(async move {
            sender.context.clock.sleep(delay).await;
            sender.is_scheduled.set(false);
            if let Some(dispatcher) = source.upgrade() {
                sender.send(&dispatcher);
            }
        }));
    }

    fn refresh_peers(&self) {
        let now = self.context.clock.now();
        let mut peers = self.peers.borrow_mut();
        if peers.read_at.is_some_and(|read_at| now.since(read_at) < PEER_LIST_MAX_AGE) {
            return;
        }
        let own = self.fleet.profile();
        *peers = self.fleet.read(|view| {
            let addresses = view.neighbours(own, MAX_PEERS, now);
            let region = view.ready_gateways(&own.region, now).into_iter();
            let region = region.map(|row| row.profile.capacity);
            let batch_delay = batch_delay(addresses.len(), &self.fleet.capacity(), region);
            PeerList { addresses, batch_delay, read_at: Some(now) }
        });
    }

    fn send(&self, dispatcher: &Dispatcher) {
        let hints = dispatcher.with_scheduler(|scheduler, now| scheduler.take_hints(now));
        let peers = self.peers.borrow();
        for body in encode_notices(&hints, &self.runs.directory()) {
            self.notices.notify(&peers.addresses, &body);
        }
    }
}

/// Encodes `hints` into as many notices as are needed to stay within [`MAX_NOTICE_BYTES`].
pub fn encode_notices(hints: &[BackendHint], runs: &RunDirectory) -> Vec<Vec<u8>> {
    let body = encode_hints(&runs.compact(hints));
    if body.len() <= MAX_NOTICE_BYTES {
        return vec![body];
    }
    match hints {
        // The prompt has more parts than fit into a notice. The load of reading it matters more
        // than its parts, so the hint is sent without them.
        [hint] => vec![encode_hints(&runs.compact(&[without_parts(hint)]))],
        _ => {
            let (first, second) = hints.split_at(hints.len() / 2);
            [encode_notices(first, runs), encode_notices(second, runs)].concat()
        }
    }
}

/// Decodes the hints of a notice, omitting those for runs that are neither in `runs` nor listed in
/// the notice; `None` if it is no notice with hints.
pub fn decode_notice(body: &[u8], runs: &RunDirectory) -> Option<Vec<BackendHint>> {
    match decode(body) {
        Ok(GatewayNotice::Hints(hints)) => Some(runs.restore(hints)),
        _ => None,
    }
}

fn without_parts(hint: &BackendHint) -> BackendHint {
    let mut hint = hint.clone();
    if let RequestUpdate::Sent { parts, .. } = &mut hint.news {
        parts.clear();
    }
    hint
}
