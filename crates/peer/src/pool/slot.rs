//! Connection state of an address: open session, dial in progress, or backoff after a failure.

use {
    super::{PoolShared, dial::dial, session::ClientSession},
    crate::{
        PeerError,
        signal::{Signal, signal},
    },
    gullglade_event::EventDraft,
    gullglade_units::{MonotonicTime, RandomSource},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Time after the end of the last backoff until the state of an address may be removed.
const STALE_AFTER: Duration = Duration::from_secs(60);

/// Connection state of one address.
pub(super) struct PeerSlot {
    address: SocketAddr,
    state: RefCell<SlotState>,
    failures: Cell<u32>,
}

enum SlotState {
    Empty,
    Dialing(Signal),
    Connected(Rc<ClientSession>),
    Failed { until: MonotonicTime, error: PeerError },
}

/// Result of looking up the session for a call.
enum SessionLookup {
    Session(Rc<ClientSession>),
    Wait(Signal),
    Failed(PeerError),
    Dial,
}

impl PeerSlot {
    pub(super) fn new(address: SocketAddr) -> Rc<Self> {
        let state = RefCell::new(SlotState::Empty);
        Rc::new(Self { address, state, failures: Cell::new(0) })
    }

    /// Returns true if this state can be removed: its session is closed, or its last failure is
    /// older than [`STALE_AFTER`].
    pub(super) fn is_stale(&self, now: MonotonicTime) -> bool {
        match &*self.state.borrow() {
            SlotState::Empty | SlotState::Dialing(_) => false,
            SlotState::Connected(session) => !session.is_open(),
            SlotState::Failed { until, .. } => now.since(*until) > STALE_AFTER,
        }
    }

    /// Returns the open session, if any.
    pub(super) fn connected(&self) -> Option<Rc<ClientSession>> {
        match &*self.state.borrow() {
            SlotState::Connected(session) if session.is_open() => Some(session.clone()),
            _ => None,
        }
    }

    /// Returns the open session, or dials one. Concurrent callers share a single dial, which
    /// continues if the callers give up.
    pub(super) async fn session(
        self: &Rc<Self>,
        shared: &Rc<PoolShared>,
    ) -> Result<Rc<ClientSession>, PeerError> {
        loop {
            match self.lookup(shared.context.clock.now()) {
                SessionLookup::Session(session) => return Ok(session),
                SessionLookup::Failed(error) => return Err(error),
                SessionLookup::Wait(dialed) => dialed.raised().await,
                SessionLookup::Dial => self.start_dial(shared),
            }
        }
    }

    fn lookup(&self, now: MonotonicTime) -> SessionLookup {
        match &*self.state.borrow() {
            SlotState::Connected(session) if session.is_open() => {
                SessionLookup::Session(session.clone())
            }
            SlotState::Dialing(dialed) => SessionLookup::Wait(dialed.clone()),
            SlotState::Failed { until, error } if now < *until => {
                SessionLookup::Failed(error.clone())
            }
            _ => SessionLookup::Dial,
        }
    }

    fn start_dial(self: &Rc<Self>, shared: &Rc<PoolShared>) {
        let (source, dialed) = signal();
        self.state.replace(SlotState::Dialing(dialed));
        let slot = self.clone();
        let pool = shared.clone();
        shared.context.spawner.spawn(Box::pin(async move {
            let outcome = dial(slot.address, &pool).await;
            slot.record_dial_result(outcome, &pool);
            source.raise();
        }));
    }

    fn record_dial_result(
        &self,
        outcome: Result<Rc<ClientSession>, PeerError>,
        shared: &PoolShared,
    ) {
        let state = match outcome {
            Ok(session) => {
                self.failures.set(0);
                SlotState::Connected(session)
            }
            Err(error) => {
                let wait = self.next_backoff(shared);
                let event = EventDraft::new("peer.unreachable").field("address", self.address);
                let event = event.error("error", &error).millis("next_dial_ms", wait);
                shared.config.events.emit(event);
                let until = shared.context.clock.now() + wait;
                SlotState::Failed { until, error }
            }
        };
        self.state.replace(state);
    }

    fn next_backoff(&self, shared: &PoolShared) -> Duration {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        let config = &shared.config;
        backoff(config.backoff_initial, config.backoff_max, failures, &*shared.context.random)
    }
}

/// Returns the delay after `failures` earlier consecutive failures: exponential, limited to `max`,
/// with jitter between half and all of it, so that the peers of a restarted process do not redial
/// simultaneously.
pub(crate) fn backoff(
    initial: Duration,
    max: Duration,
    failures: u32,
    random: &dyn RandomSource,
) -> Duration {
    let factor = 1_u32.checked_shl(failures).unwrap_or(u32::MAX);
    let full = initial.saturating_mul(factor).min(max);
    full.mul_f64(0.5 + random.unit() / 2.0)
}
