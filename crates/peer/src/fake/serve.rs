//! Server side of the simulated network: runs handlers in tasks of their process and delivers the
//! replies.

use {
    super::{
        endpoint::KEEPALIVE_TIMEOUT,
        network::{FakeNetwork, FakeNode},
        policy::{MessageAction, MessageDirection, MessagePath},
    },
    crate::{FaultKind, PeerFault, PeerReplySink, ReplySender, wire::CallKind},
    bytes::Bytes,
    futures::{
        channel::{mpsc, oneshot},
        future::{poll_fn, select},
        stream::StreamExt,
    },
    gullglade_units::{Clock, HybridStamp, LocalFuture, MonotonicTime},
    std::{
        cell::{Cell, RefCell},
        pin::pin,
        rc::Rc,
        time::Duration,
    },
};

/// Maximum number of undelivered or unread messages of a streamed reply; stands in for the
/// flow-control window.
const MAX_UNREAD_MESSAGES: usize = 256;

/// Item of a reply; `Ok(None)` is the end marker.
pub(super) struct ReplyItem {
    due: MonotonicTime,
    pub(super) stamp: HybridStamp,
    pub(super) outcome: Result<Option<Bytes>, PeerFault>,
}

/// Receiver of a reply. Dropping it cancels the handler.
pub(super) struct ReplyConsumer {
    items: mpsc::Receiver<ReplyItem>,
    _drop_guard: oneshot::Receiver<()>,
}

impl ReplyConsumer {
    /// Waits until the next item is due and returns it. Returns `None` if the serving process was
    /// killed or has cancelled the reply.
    pub(super) async fn next(&mut self, clock: &dyn Clock) -> Option<ReplyItem> {
        let item = self.items.next().await?;
        clock.sleep(item.due.since(clock.now())).await;
        Some(item)
    }
}

/// Sender of a reply.
pub(super) struct ReplyProducer {
    items: mpsc::Sender<ReplyItem>,
    consumer_dropped: oneshot::Sender<()>,
}

/// Creates the channel of a reply.
pub(super) fn reply_channel() -> (ReplyProducer, ReplyConsumer) {
    let (sender, items) = mpsc::channel(MAX_UNREAD_MESSAGES);
    let (consumer_dropped, drop_guard) = oneshot::channel();
    (
        ReplyProducer { items: sender, consumer_dropped },
        ReplyConsumer { items, _drop_guard: drop_guard },
    )
}

/// Call in transit to its handler.
#[derive(Clone)]
pub(super) struct FakeCall {
    pub(super) network: FakeNetwork,
    pub(super) caller: Rc<FakeNode>,
    pub(super) target: Rc<FakeNode>,
    pub(super) method: String,
    pub(super) kind: CallKind,
    pub(super) body: Bytes,
    pub(super) stamp: HybridStamp,
}

impl FakeCall {
    /// Runs the call in a task of the target process after `delay`.
    pub(super) fn start(self, delay: Duration, producer: ReplyProducer) {
        let spawner = self.target.context.spawner.clone();
        spawner.spawn(Box::pin(self.run(delay, producer)));
    }

    /// Runs the call after `delay` and discards its reply.
    pub(super) fn start_discarding_reply(self, delay: Duration) {
        let spawner = self.target.context.spawner.clone();
        spawner.spawn(Box::pin(async move {
            let (producer, mut consumer) = reply_channel();
            let reading = async { while consumer.items.next().await.is_some() {} };
            futures::future::join(self.run(delay, producer), reading).await;
        }));
    }

    async fn run(self, delay: Duration, producer: ReplyProducer) {
        let ReplyProducer { items, mut consumer_dropped } = producer;
        let items = Rc::new(RefCell::new(items));
        let network = self.network.clone();
        let clock = Rc::clone(&self.target.context.clock);
        let writer = FakeWriter { call: Rc::new(self), items, lost: Rc::default() };
        let cancelled = async {
            consumer_dropped.cancellation().await;
            clock.sleep(network.cancel_delay()).await;
        };
        select(pin!(serve(writer, delay)), pin!(cancelled)).await;
    }

    async fn answer(&self, writer: &FakeWriter) -> Result<(), PeerFault> {
        let handler = self.target.handlers.find(&self.method);
        let handler = handler.ok_or_else(|| PeerFault::unknown_method(&self.method))?;
        let (from, body) = (&self.caller.identity, self.body.clone());
        match self.kind {
            CallKind::Single => {
                let answer = handler.call(from, &self.method, body).await?;
                writer.deliver(Ok(Some(answer))).await
            }
            CallKind::Stream => {
                let sink = PeerReplySink::new(writer.clone());
                handler.stream(from, &self.method, body, sink).await
            }
        }
    }
}

async fn serve(writer: FakeWriter, delay: Duration) {
    let call = writer.call.clone();
    call.target.context.clock.sleep(delay).await;
    call.target.clock.observe(call.stamp);
    let outcome = call.answer(&writer).await.map(|()| None);
    if !matches!(&outcome, Err(fault) if fault.kind == FaultKind::Cancelled) {
        let _ = writer.deliver(outcome).await;
    }
}

/// Delivers the messages of a reply in order.
#[derive(Clone)]
struct FakeWriter {
    call: Rc<FakeCall>,
    items: Rc<RefCell<mpsc::Sender<ReplyItem>>>,
    lost: Rc<Cell<bool>>,
}

impl FakeWriter {
    async fn deliver(&self, outcome: Result<Option<Bytes>, PeerFault>) -> Result<(), PeerFault> {
        // A connection delivers in order, so nothing arrives after a lost message.
        if self.lost.get() {
            return Err(PeerFault::cancelled());
        }
        let target = &self.call.target;
        let clock = &target.context.clock;
        match self.action() {
            MessageAction::Deliver(delay) | MessageAction::Duplicate(delay, _) => {
                let stamp = target.clock.stamp(clock.wall());
                self.send(ReplyItem { due: clock.now() + delay, stamp, outcome }).await
            }
            MessageAction::Drop => {
                self.lost.set(true);
                clock.sleep(KEEPALIVE_TIMEOUT).await;
                Err(PeerFault::cancelled())
            }
            MessageAction::Refuse => {
                self.lost.set(true);
                Err(PeerFault::cancelled())
            }
        }
    }

    fn action(&self) -> MessageAction {
        let FakeCall { network, caller, target, method, .. } = &*self.call;
        let (from, to) = (target.address, caller.address);
        network.action(MessagePath { from, to, method, direction: MessageDirection::Reply })
    }

    async fn send(&self, item: ReplyItem) -> Result<(), PeerFault> {
        let ready = poll_fn(|cx| self.items.borrow_mut().poll_ready(cx)).await;
        let sent = ready.and_then(|()| self.items.borrow_mut().start_send(item));
        match sent {
            // The cancellation has not reached the handler yet, so the send appears to succeed.
            Err(_) if !self.call.network.cancel_delay().is_zero() => Ok(()),
            sent => sent.map_err(|_| PeerFault::cancelled()),
        }
    }
}

impl ReplySender for FakeWriter {
    fn send(&mut self, message: Bytes) -> LocalFuture<'_, Result<(), PeerFault>> {
        Box::pin(self.deliver(Ok(Some(message))))
    }
}
