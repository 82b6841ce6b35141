//! Links between the gateways of two regions that are slow, are cut or lose words for a while.

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

/// What is wrong with the links.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LinkTrouble {
    /// One way takes so long.
    Slow(Duration),
    /// Nothing passes.
    Cut,
    /// So many messages of 1,000 are lost.
    Lossy(u64),
}

/// All links between the regions.
pub(crate) struct PlayLinks {
    pub(crate) usual: Duration,
    pub(crate) troubles: Vec<(Window, LinkTrouble)>,
    pub(crate) random: SeededRandom,
    /// The clock of the world, once it is there.
    pub(crate) clock: RefCell<Option<Rc<dyn Clock>>>,
    /// What was lost, and between which gateways.
    pub(crate) lost: RefCell<Vec<(MonotonicTime, usize, usize)>>,
    /// How often the fate of a request to another gateway was asked for.
    pub(crate) asked: Cell<usize>,
}

const FORWARD: &str = "proxy.forward";
const NEAR: Duration = Duration::from_millis(1);

/// The place of a gateway in the order in which they were added; `None` for the control process.
fn gateway(address: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = address.ip() else { return None };
    usize::from(ip.octets()[3]).checked_sub(2)
}

impl PlayLinks {
    /// Whether something was lost between two gateways not long before `time`.
    pub(crate) fn lost_before(&self, time: MonotonicTime, pair: (usize, usize)) -> bool {
        const LATE: Duration = Duration::from_millis(3_700);
        let (a, b) = (pair.0.min(pair.1), pair.0.max(pair.1));
        let lost = self.lost.borrow();
        lost.iter().any(|(at, x, y)| (*x, *y) == (a, b) && *at <= time && time.since(*at) <= LATE)
    }

    /// Whether something was lost in that time on the way from or to a gateway.
    pub(crate) fn lost_between(&self, time: Window, gateway: usize) -> bool {
        let is_there =
            |(at, a, b): &(_, usize, usize)| time.contains(at) && [*a, *b].contains(&gateway);
        self.lost.borrow().iter().any(is_there)
    }
}

impl FakePolicy for PlayLinks {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        let (Some(from), Some(to)) = (gateway(path.from), gateway(path.to)) else {
            return MessageAction::Deliver(self.usual);
        };
        if from % 2 == to % 2 {
            return MessageAction::Deliver(NEAR);
        }
        if path.method == FORWARD && path.direction == MessageDirection::Request {
            self.asked.set(self.asked.get() + 1);
        }
        let Some(now) = self.clock.borrow().as_ref().map(|clock| clock.now()) else {
            return MessageAction::Deliver(self.usual);
        };
        let trouble = self.troubles.iter().find(|(window, _)| window.contains(&now));
        let is_lost = match trouble {
            Some((_, LinkTrouble::Slow(delay))) => return MessageAction::Deliver(*delay),
            Some((_, LinkTrouble::Cut)) => true,
            Some((_, LinkTrouble::Lossy(per_mille))) => self.random.below(1_000) < *per_mille,
            None => false,
        };
        if !is_lost {
            return MessageAction::Deliver(self.usual);
        }
        self.lost.borrow_mut().push((now, from.min(to), from.max(to)));
        MessageAction::Drop
    }
}
