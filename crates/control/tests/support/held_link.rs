//! A link that holds calls up, and delivers them although their callers have given up.

use {
    gullglade_peer::fake::{FakePolicy, MessageAction, MessageDirection, MessagePath},
    gullglade_units::{Clock, MonotonicTime, RandomSource, SeededRandom},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// The time for which a call that its caller has dropped may still reach its handler.
const WITHDRAWAL_DELAY: Duration = Duration::from_secs(20);

/// Holds messages between two addresses until a given time. A reply that is held up is lost,
/// as its caller has turned away.
pub struct HeldLink {
    delay: Duration,
    clock: RefCell<Option<Rc<dyn Clock>>>,
    holds: RefCell<BTreeMap<(SocketAddr, SocketAddr), MonotonicTime>>,
    /// The probability that a forwarded change is late by itself, and the maximum lateness.
    late: Cell<(f64, Duration)>,
    random: SeededRandom,
}

impl HeldLink {
    pub fn new(delay: Duration, seed: u64) -> Self {
        Self {
            delay,
            clock: RefCell::default(),
            holds: RefCell::default(),
            late: Cell::new((0.0, Duration::ZERO)),
            random: SeededRandom::new(seed),
        }
    }

    /// Sets the clock by which holds end. Without one, nothing is held.
    pub fn set_clock(&self, clock: Rc<dyn Clock>) {
        *self.clock.borrow_mut() = Some(clock);
    }

    /// Makes forwarded changes late with a probability, by up to `maximum`.
    pub fn set_late(&self, probability: f64, maximum: Duration) {
        self.late.set((probability, maximum));
    }

    /// Holds all messages between `a` and `b` until `end`.
    pub fn hold(&self, a: SocketAddr, b: SocketAddr, end: MonotonicTime) {
        self.holds.borrow_mut().extend([((a, b), end), ((b, a), end)]);
    }

    /// Returns the time for which messages from `from` to `to` are still held.
    fn held_for(&self, from: SocketAddr, to: SocketAddr) -> Duration {
        let clock = self.clock.borrow();
        let end = self.holds.borrow().get(&(from, to)).copied();
        clock.as_ref().zip(end).map_or(Duration::ZERO, |(clock, end)| end.since(clock.now()))
    }

    fn lateness(&self) -> Duration {
        let (probability, maximum) = self.late.get();
        if self.random.unit() >= probability {
            return Duration::ZERO;
        }
        maximum.mul_f64(self.random.unit())
    }
}

impl FakePolicy for HeldLink {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        let MessagePath { from, to, method, direction } = path;
        let held = self.held_for(from, to);
        match direction {
            MessageDirection::Reply if held > Duration::ZERO => MessageAction::Drop,
            MessageDirection::Request if matches!(method, "log.change" | "log.order") => {
                MessageAction::Deliver(held + self.delay + self.lateness())
            }
            _ => MessageAction::Deliver(held + self.delay),
        }
    }

    fn cancel_delay(&self) -> Duration {
        WITHDRAWAL_DELAY
    }
}
