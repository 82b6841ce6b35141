//! Tells the other gateways of the region what was sent where.
//!
//! Without it each gateway sees only its own sends at once, and several send their longest prompts
//! to the same engine: with four gateways in a region, 14% of long prompts came late at three
//! fifths of the engines' capacity, against 6% where one gateway knew of all.

use {
    crate::{Dispatcher, forward::HINTS},
    bytes::Bytes,
    gullglade_dispatch::PlacementHint,
    gullglade_fleet::{FleetFollower, GatewayRow},
    gullglade_peer::PeerTransport,
    gullglade_units::{ProcessContext, encode},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// Hints are gathered for this long before they are sent: a tenth of the time that reading a
/// usual prompt takes.
const GATHER: Duration = Duration::from_millis(8);

/// In a region of more gateways than [`FEW_PEERS`] each message costs more in all, so more hints
/// go into one.
const LONG_GATHER: Duration = Duration::from_millis(20);

/// Up to so many other gateways hints are sent on at once.
const FEW_PEERS: usize = 8;

/// A hint that has not arrived by then is worth nothing any more.
const HINT_LIMIT: Duration = Duration::from_millis(300);

/// The most gateways that are told. At 22 requests a second a gateway tells 24 others at a cost of
/// about 0.03 of a core; in larger regions it tells a random part of them each time.
const MOST_PEERS: usize = 24;

/// Sends hints, gathered.
pub(crate) struct HintSender {
    pub(crate) transport: Rc<dyn PeerTransport>,
    pub(crate) fleet: Rc<FleetFollower>,
    pub(crate) context: ProcessContext,
    pending: RefCell<Vec<PlacementHint>>,
    is_due: Cell<bool>,
}

impl HintSender {
    pub(crate) fn new(
        transport: Rc<dyn PeerTransport>,
        fleet: Rc<FleetFollower>,
        context: ProcessContext,
    ) -> Rc<Self> {
        let (pending, is_due) = (RefCell::default(), Cell::new(false));
        Rc::new(Self { transport, fleet, context, pending, is_due })
    }

    /// Sends what `dispatcher` places from now on.
    pub(crate) fn attach(self: &Rc<Self>, dispatcher: &Rc<Dispatcher>) {
        let (sender, source) = (Rc::clone(self), Rc::downgrade(dispatcher));
        dispatcher.set_after_pump(Rc::new(move || {
            let Some(dispatcher) = source.upgrade() else { return };
            let hints = dispatcher.ask(|scheduler, _| scheduler.take_hints());
            if !hints.is_empty() {
                sender.pending.borrow_mut().extend(hints);
                sender.schedule();
            }
        }));
    }

    fn schedule(self: &Rc<Self>) {
        if self.is_due.replace(true) {
            return;
        }
        let sender = Rc::clone(self);
        let gather = if self.others().len() > FEW_PEERS { LONG_GATHER } else { GATHER };
        self.context.spawner.spawn(Box::pin(async move {
            sender.context.clock.sleep(gather).await;
            sender.is_due.set(false);
            sender.send();
        }));
    }

    /// The other gateways of the region.
    fn others(&self) -> Vec<GatewayRow> {
        let own = self.fleet.profile();
        let now = self.context.clock.now();
        let mut rows = self.fleet.read(|view| view.ready_gateways(&own.region, now));
        rows.retain(|row| row.profile.vm != own.vm);
        rows
    }

    fn send(self: &Rc<Self>) {
        let hints = self.pending.take();
        let mut others = self.others();
        while others.len() > MOST_PEERS {
            others.swap_remove(self.context.random.below(others.len() as u64) as usize);
        }
        let body = Bytes::from(encode(&hints));
        for peer in others {
            let (sender, body) = (Rc::clone(self), body.clone());
            self.context.spawner.spawn(Box::pin(async move {
                let to = peer.profile.peer_address;
                // A lost hint costs a worse placement and nothing else.
                let _: Result<Bytes, _> = sender.transport.call(to, HINTS, body, HINT_LIMIT).await;
            }));
        }
    }
}
