//! Carries out a [`LinkPolicy`]: messages wait in one queue for each direction of a link, so their
//! order is kept, and each waits from its own arrival, so throughput is that of the link.

use {
    crate::{LinkPolicy, PeerError, PeerStream, signal::Signal},
    futures::{
        SinkExt,
        channel::{mpsc, oneshot},
        future::{Either, select},
        stream::{self, StreamExt},
    },
    gullglade_units::{Clock, MonotonicTime, ProcessContext},
    std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration},
};

/// How often a cut link is looked at again.
const CUT_POLL: Duration = Duration::from_millis(5);

/// The most messages of one reply on their way through a delayed link.
const IN_FLIGHT: usize = 1_024;

/// The two directions of one session over a shaped link.
pub(super) struct SessionLink {
    /// Calls.
    pub(super) outward: Rc<DelayLine>,
    /// Replies.
    pub(super) inward: Rc<DelayLine>,
}

impl SessionLink {
    /// A link whose session ends when `closed` is raised.
    pub(super) fn new(
        address: SocketAddr,
        link: &Rc<dyn LinkPolicy>,
        context: &ProcessContext,
        closed: &Signal,
    ) -> Self {
        let line = || DelayLine::start(address, link.clone(), context, closed.clone());
        Self { outward: line(), inward: line() }
    }
}

/// The session was closed while a cut held a message.
#[derive(Debug)]
pub(super) struct LineClosed;

/// One waiting message.
struct Ticket {
    due: MonotonicTime,
    released: oneshot::Sender<()>,
}

/// One direction of a shaped link.
pub(super) struct DelayLine {
    address: SocketAddr,
    link: Rc<dyn LinkPolicy>,
    clock: Rc<dyn Clock>,
    tickets: mpsc::UnboundedSender<Ticket>,
}

impl DelayLine {
    fn start(
        address: SocketAddr,
        link: Rc<dyn LinkPolicy>,
        context: &ProcessContext,
        closed: Signal,
    ) -> Rc<Self> {
        let (tickets, waiting) = mpsc::unbounded();
        let clock = context.clock.clone();
        let releasing = release(waiting, address, link.clone(), clock.clone(), closed);
        context.spawner.spawn(Box::pin(releasing));
        Rc::new(Self { address, link, clock, tickets })
    }

    /// Enters the line now; the future completes when the message has come through.
    fn enter(&self) -> oneshot::Receiver<()> {
        let (released, leaving) = oneshot::channel();
        let due = self.clock.now() + self.link.one_way_delay(self.address);
        let _ = self.tickets.unbounded_send(Ticket { due, released });
        leaving
    }

    /// Completes when a message that enters now has come through.
    pub(super) async fn pass(&self) -> Result<(), LineClosed> {
        self.enter().await.map_err(|_| LineClosed)
    }
}

/// Lets messages through until the line is dropped. What was on its way when the session ended
/// still comes through, as bytes before the end of a TCP connection do: a peer that stops
/// gracefully has sent its last answers whole. Only a cut that outlives the session loses them.
async fn release(
    mut waiting: mpsc::UnboundedReceiver<Ticket>,
    address: SocketAddr,
    link: Rc<dyn LinkPolicy>,
    clock: Rc<dyn Clock>,
    closed: Signal,
) {
    while let Some(ticket) = waiting.next().await {
        let wait = ticket.due.since(clock.now());
        if !wait.is_zero() {
            clock.sleep(wait).await;
        }
        let uncut = pin!(wait_uncut(&*link, address, &*clock));
        if let Either::Right(_) = select(uncut, pin!(closed.raised())).await {
            return;
        }
        let _ = ticket.released.send(());
    }
}

/// Completes while the link is not cut.
pub(super) async fn wait_uncut(link: &dyn LinkPolicy, address: SocketAddr, clock: &dyn Clock) {
    while link.is_partitioned(address) {
        clock.sleep(CUT_POLL).await;
    }
}

/// Completes once the link has been cut for `limit` without a break: when a ping would have
/// found it.
pub(super) async fn cut_for(
    limit: Duration,
    link: &dyn LinkPolicy,
    address: SocketAddr,
    clock: &dyn Clock,
) {
    let mut whole = clock.now();
    while clock.now().since(whole) < limit {
        clock.sleep(CUT_POLL).await;
        if !link.is_partitioned(address) {
            whole = clock.now();
        }
    }
}

/// `messages`, each delayed from its arrival on. `closed` makes the error of a reply that was on
/// its way when its session was closed.
pub(super) fn delayed(
    mut messages: PeerStream,
    line: Rc<DelayLine>,
    context: &ProcessContext,
    closed: impl Fn() -> PeerError + Clone + 'static,
) -> PeerStream {
    let (mut sender, receiver) = mpsc::channel(IN_FLIGHT);
    let (alive, dropped) = oneshot::channel::<()>();
    let reading = async move {
        while let Some(item) = messages.next().await {
            let failed = item.is_err();
            if sender.send((line.enter(), Some(item))).await.is_err() || failed {
                return;
            }
        }
        let _ = sender.send((line.enter(), None)).await;
    };
    context.spawner.spawn(Box::pin(async move {
        select(pin!(reading), dropped).await;
    }));
    PeerStream::new(stream::unfold((receiver, alive), move |(mut receiver, alive)| {
        let closed = closed.clone();
        async move {
            let arrived = match receiver.next().await {
                Some((leaving, item)) => leaving.await.map(|()| item),
                None => Err(oneshot::Canceled),
            };
            // Without this a cut that outlives the session would hold its last messages, and the
            // reader, for ever.
            let item = arrived.unwrap_or_else(|_| Some(Err(closed())));
            item.map(|item| (item, (receiver, alive)))
        }
    }))
}
