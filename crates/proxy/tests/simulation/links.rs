//! Links between the gateways of two regions that are slow, cut or lossy for some time.

use {
    super::Window,
    gullglade_peer::fake::{FakePolicy, MessageAction, MessageDirection, MessagePath},
    gullglade_units::{Clock, MonotonicTime, RandomSource, SeededRandom},
    std::{
        cell::{Cell, RefCell},
        net::{IpAddr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
};

/// Fault of the links.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LinkFault {
    /// One-way delay.
    Slow(Duration),
    /// No message is delivered.
    Cut,
    /// Number of messages lost per 1,000.
    Lossy(u64),
}

/// All links between the regions.
pub(crate) struct SimulatedLinks {
    pub(crate) default_delay: Duration,
    pub(crate) faults: Vec<(Window, LinkFault)>,
    pub(crate) random: SeededRandom,
    /// Clock of the simulated world, once it exists.
    pub(crate) clock: RefCell<Option<Rc<dyn Clock>>>,
    /// Time and gateways of each lost message.
    pub(crate) lost: RefCell<Vec<(MonotonicTime, usize, usize)>>,
    /// Number of times that the delivery of a forwarded request was decided.
    pub(crate) forward_count: Cell<usize>,
}

const FORWARD: &str = "proxy.forward";
const LOCAL_DELAY: Duration = Duration::from_millis(1);

/// Returns the index of a gateway in the order of creation; `None` for the control process.
fn gateway(address: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = address.ip() else { return None };
    usize::from(ip.octets()[3]).checked_sub(2)
}

impl SimulatedLinks {
    /// Returns `true` if a message between two gateways was lost shortly before `time`.
    pub(crate) fn has_loss_before(&self, time: MonotonicTime, pair: (usize, usize)) -> bool {
        const LOSS_EFFECT_TIME: Duration = Duration::from_millis(3_700);
        let (a, b) = (pair.0.min(pair.1), pair.0.max(pair.1));
        let lost = self.lost.borrow();
        lost.iter().any(|(at, x, y)| {
            (*x, *y) == (a, b) && *at <= time && time.since(*at) <= LOSS_EFFECT_TIME
        })
    }

    /// Returns `true` if a message from or to a gateway was lost during `time`.
    pub(crate) fn has_loss_during(&self, time: Window, gateway: usize) -> bool {
        let is_there =
            |(at, a, b): &(_, usize, usize)| time.contains(at) && [*a, *b].contains(&gateway);
        self.lost.borrow().iter().any(is_there)
    }
}

impl FakePolicy for SimulatedLinks {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        let (Some(from), Some(to)) = (gateway(path.from), gateway(path.to)) else {
            return MessageAction::Deliver(self.default_delay);
        };
        if from % 2 == to % 2 {
            return MessageAction::Deliver(LOCAL_DELAY);
        }
        if path.method == FORWARD && path.direction == MessageDirection::Request {
            self.forward_count.set(self.forward_count.get() + 1);
        }
        let Some(now) = self.clock.borrow().as_ref().map(|clock| clock.now()) else {
            return MessageAction::Deliver(self.default_delay);
        };
        let fault = self.faults.iter().find(|(window, _)| window.contains(&now));
        let is_lost = match fault {
            Some((_, LinkFault::Slow(delay))) => return MessageAction::Deliver(*delay),
            Some((_, LinkFault::Cut)) => true,
            Some((_, LinkFault::Lossy(per_mille))) => self.random.below(1_000) < *per_mille,
            None => false,
        };
        if !is_lost {
            return MessageAction::Deliver(self.default_delay);
        }
        self.lost.borrow_mut().push((now, from.min(to), from.max(to)));
        MessageAction::Drop
    }
}
