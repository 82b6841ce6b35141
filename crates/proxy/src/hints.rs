//! Tells the other gateways of the region what was sent where, and which answers have begun.
//!
//! Without it each gateway sees only its own sends at once, and several send their longest prompts
//! to the same engine: with four gateways in a region, 14% of long prompts came late at three
//! fifths of the engines' capacity, against 6% where one gateway knew of all.

use {
    crate::{Dispatcher, notice::encode_hints},
    gullglade_dispatch::{BackendHint, RequestUpdate},
    gullglade_fleet::FleetFollower,
    gullglade_peer::{MAX_NOTICE_BYTES, NoticeSender},
    gullglade_units::{MonotonicTime, ProcessContext},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Hints are gathered for this long before they are sent: a tenth of the time that reading a
/// usual prompt takes.
const GATHER: Duration = Duration::from_millis(8);

/// In a region of more gateways than [`FEW_PEERS`] each notice costs more in all, so more hints
/// go into one.
const LONG_GATHER: Duration = Duration::from_millis(20);

/// Up to so many other gateways hints are sent on at once.
const FEW_PEERS: usize = 8;

/// The most gateways that are told. In larger regions each gateway tells the same part of them.
const MOST_PEERS: usize = 40;

/// How long the list of the other gateways is used before it is read again. One that has gone
/// meanwhile is told in vain, and one that is new learns a little later.
const PEERS_AGE: Duration = Duration::from_millis(500);

/// Sends hints, gathered.
pub(crate) struct HintSender {
    notices: Rc<dyn NoticeSender>,
    fleet: Rc<FleetFollower>,
    context: ProcessContext,
    is_due: Cell<bool>,
    peers: RefCell<PeerList>,
}

/// The other gateways of the region.
#[derive(Default)]
struct PeerList {
    addresses: Vec<SocketAddr>,
    /// When they were read.
    read: Option<MonotonicTime>,
}

impl HintSender {
    pub(crate) fn new(
        notices: Rc<dyn NoticeSender>,
        fleet: Rc<FleetFollower>,
        context: ProcessContext,
    ) -> Rc<Self> {
        let (is_due, peers) = (Cell::new(false), RefCell::default());
        Rc::new(Self { notices, fleet, context, is_due, peers })
    }

    /// Sends what `dispatcher` has to tell from now on.
    pub(crate) fn attach(self: &Rc<Self>, dispatcher: &Rc<Dispatcher>) {
        let (sender, source) = (Rc::clone(self), Rc::downgrade(dispatcher));
        dispatcher.set_on_news(Rc::new(move || {
            let Some(dispatcher) = source.upgrade() else { return };
            if dispatcher.with_scheduler(|scheduler, _| scheduler.has_hints()) {
                sender.schedule(&dispatcher);
            }
        }));
    }

    fn schedule(self: &Rc<Self>, dispatcher: &Rc<Dispatcher>) {
        if self.is_due.replace(true) {
            return;
        }
        self.refresh_peers();
        let (sender, source) = (Rc::clone(self), Rc::downgrade(dispatcher));
        let is_large = self.peers.borrow().addresses.len() > FEW_PEERS;
        let gather = if is_large { LONG_GATHER } else { GATHER };
        self.context.spawner.spawn(Box::pin(async move {
            sender.context.clock.sleep(gather).await;
            sender.is_due.set(false);
            if let Some(dispatcher) = source.upgrade() {
                sender.send(&dispatcher);
            }
        }));
    }

    fn refresh_peers(&self) {
        let now = self.context.clock.now();
        let mut peers = self.peers.borrow_mut();
        if peers.read.is_some_and(|read| now.since(read) < PEERS_AGE) {
            return;
        }
        let own = self.fleet.profile();
        let addresses = self.fleet.read(|view| view.neighbours(own, MOST_PEERS, now));
        *peers = PeerList { addresses, read: Some(now) };
    }

    fn send(&self, dispatcher: &Dispatcher) {
        let hints = dispatcher.with_scheduler(|scheduler, now| scheduler.take_hints(now));
        let peers = self.peers.borrow();
        for body in bodies(&hints) {
            self.notices.notify(&peers.addresses, &body);
        }
    }
}

/// The bodies of notices that tell all of `hints`.
fn bodies(hints: &[BackendHint]) -> Vec<Vec<u8>> {
    let whole = encode_hints(hints);
    if whole.len() <= MAX_NOTICE_BYTES {
        return vec![whole];
    }
    match hints {
        // Its prompt has more parts than fit. The reading that it causes is what matters more.
        [hint] => vec![encode_hints(&[without_parts(hint)])],
        _ => {
            let (first, second) = hints.split_at(hints.len() / 2);
            [bodies(first), bodies(second)].concat()
        }
    }
}

fn without_parts(hint: &BackendHint) -> BackendHint {
    let mut hint = hint.clone();
    if let RequestUpdate::Sent { parts, .. } = &mut hint.news {
        parts.clear();
    }
    hint
}
