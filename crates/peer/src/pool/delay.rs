//! Delay queues that apply a [`LinkPolicy`]. Each direction of a link has a FIFO queue, which
//! preserves the order of messages. The delay of a message starts when it is enqueued, so latency
//! does not reduce throughput.

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

/// Interval at which the state of a partitioned link is polled.
const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of messages of one reply that are in flight on a delayed link.
const MAX_IN_FLIGHT_MESSAGES: usize = 1_024;

/// Delay queues of both directions of a session.
pub(super) struct ShapedLink {
    /// Queue of calls.
    pub(super) outbound: Rc<DelayQueue>,
    /// Queue of replies.
    pub(super) inbound: Rc<DelayQueue>,
}

impl ShapedLink {
    /// Starts both queues for a session that ends when `closed` is raised.
    pub(super) fn new(
        address: SocketAddr,
        link: &Rc<dyn LinkPolicy>,
        context: &ProcessContext,
        closed: &Signal,
    ) -> Self {
        let queue = || DelayQueue::start(address, link.clone(), context, closed.clone());
        Self { outbound: queue(), inbound: queue() }
    }
}

/// Error: the session was closed while the message was held back by a partition.
#[derive(Debug)]
pub(super) struct QueueClosed;

/// Message that waits for its delay to pass.
struct QueuedMessage {
    due: MonotonicTime,
    delivery: oneshot::Sender<()>,
}

/// Delay queue of one direction of a link.
pub(super) struct DelayQueue {
    address: SocketAddr,
    link: Rc<dyn LinkPolicy>,
    clock: Rc<dyn Clock>,
    messages: mpsc::UnboundedSender<QueuedMessage>,
}

impl DelayQueue {
    fn start(
        address: SocketAddr,
        link: Rc<dyn LinkPolicy>,
        context: &ProcessContext,
        closed: Signal,
    ) -> Rc<Self> {
        let (messages, queued) = mpsc::unbounded();
        let clock = context.clock.clone();
        let delivering = deliver_messages(queued, address, link.clone(), clock.clone(), closed);
        context.spawner.spawn(Box::pin(delivering));
        Rc::new(Self { address, link, clock, messages })
    }

    /// Adds a message to the queue. The returned receiver completes when the message is delivered,
    /// and fails if the queue is closed first.
    fn enqueue(&self) -> oneshot::Receiver<()> {
        let (delivery, delivered) = oneshot::channel();
        let due = self.clock.now() + self.link.one_way_delay(self.address);
        let _ = self.messages.unbounded_send(QueuedMessage { due, delivery });
        delivered
    }

    /// Adds a message to the queue and waits until it is delivered.
    pub(super) async fn traverse(&self) -> Result<(), QueueClosed> {
        self.enqueue().await.map_err(|_| QueueClosed)
    }
}

/// Delivers queued messages until the queue is dropped. Messages in flight when the session ends
/// are still delivered, like bytes before the FIN of a TCP connection, because a peer that stops
/// gracefully has sent its last replies completely. They are lost only if a partition still holds
/// them back after the session has ended.
async fn deliver_messages(
    mut queued: mpsc::UnboundedReceiver<QueuedMessage>,
    address: SocketAddr,
    link: Rc<dyn LinkPolicy>,
    clock: Rc<dyn Clock>,
    closed: Signal,
) {
    while let Some(message) = queued.next().await {
        let wait = message.due.since(clock.now());
        if !wait.is_zero() {
            clock.sleep(wait).await;
        }
        let healed = pin!(wait_until_healed(&*link, address, &*clock));
        if let Either::Right(_) = select(healed, pin!(closed.raised())).await {
            return;
        }
        let _ = message.delivery.send(());
    }
}

/// Completes as soon as the link is not partitioned.
pub(super) async fn wait_until_healed(
    link: &dyn LinkPolicy,
    address: SocketAddr,
    clock: &dyn Clock,
) {
    while link.is_partitioned(address) {
        clock.sleep(PARTITION_POLL_INTERVAL).await;
    }
}

/// Completes once the link has been partitioned for `limit` without interruption, which is when a
/// ping over it would have timed out.
pub(super) async fn wait_until_partitioned_for(
    limit: Duration,
    link: &dyn LinkPolicy,
    address: SocketAddr,
    clock: &dyn Clock,
) {
    let mut last_connected = clock.now();
    while clock.now().since(last_connected) < limit {
        clock.sleep(PARTITION_POLL_INTERVAL).await;
        if !link.is_partitioned(address) {
            last_connected = clock.now();
        }
    }
}

/// Delays each item of `messages`, starting at its arrival. `closed` creates the error of a reply
/// that a partition holds back when its session is closed.
pub(super) fn delay_stream(
    mut messages: PeerStream,
    queue: Rc<DelayQueue>,
    context: &ProcessContext,
    closed: impl Fn() -> PeerError + Clone + 'static,
) -> PeerStream {
    let (mut sender, receiver) = mpsc::channel(MAX_IN_FLIGHT_MESSAGES);
    let (drop_guard, dropped) = oneshot::channel::<()>();
    let reading = async move {
        while let Some(item) = messages.next().await {
            let failed = item.is_err();
            if sender.send((queue.enqueue(), Some(item))).await.is_err() || failed {
                return;
            }
        }
        let _ = sender.send((queue.enqueue(), None)).await;
    };
    context.spawner.spawn(Box::pin(async move {
        select(pin!(reading), dropped).await;
    }));
    PeerStream::new(stream::unfold((receiver, drop_guard), move |(mut receiver, drop_guard)| {
        let closed = closed.clone();
        async move {
            let arrived = match receiver.next().await {
                Some((delivered, item)) => delivered.await.map(|()| item),
                None => Err(oneshot::Canceled),
            };
            // A partition that outlives the session drops its last messages; the reader gets an
            // error instead of waiting forever.
            let item = arrived.unwrap_or_else(|_| Some(Err(closed())));
            item.map(|item| (item, (receiver, drop_guard)))
        }
    }))
}
