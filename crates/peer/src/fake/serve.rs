//! The serving side: runs a handler in a task of its process and carries the reply back.

use {
    super::{
        endpoint::LOST_AFTER,
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

/// The most messages of a streamed reply on their way or unread, in place of a window of bytes.
const UNREAD_LIMIT: usize = 256;

/// One message of a reply; `Ok(None)` is the end marker.
pub(super) struct ReplyItem {
    due: MonotonicTime,
    pub(super) stamp: HybridStamp,
    pub(super) outcome: Result<Option<Bytes>, PeerFault>,
}

/// The caller's end of a reply; dropping it cancels the handler.
pub(super) struct ReplyPipe {
    items: mpsc::Receiver<ReplyItem>,
    _alive: oneshot::Receiver<()>,
}

impl ReplyPipe {
    /// The next item at its time of arrival; `None` where the far side is gone.
    pub(super) async fn next(&mut self, clock: &dyn Clock) -> Option<ReplyItem> {
        let item = self.items.next().await?;
        clock.sleep(item.due.since(clock.now())).await;
        Some(item)
    }
}

/// The serving end of a reply.
pub(super) struct ReplyInlet {
    items: mpsc::Sender<ReplyItem>,
    alive: oneshot::Sender<()>,
}

/// A reply's two ends.
pub(super) fn reply_pipe() -> (ReplyInlet, ReplyPipe) {
    let (sender, items) = mpsc::channel(UNREAD_LIMIT);
    let (alive, held) = oneshot::channel();
    (ReplyInlet { items: sender, alive }, ReplyPipe { items, _alive: held })
}

/// A call on its way to its handler.
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
    /// Runs the call in a task of the target, `delay` from now.
    pub(super) fn start(self, delay: Duration, inlet: ReplyInlet) {
        let spawner = self.target.context.spawner.clone();
        spawner.spawn(Box::pin(self.run(delay, inlet)));
    }

    /// Runs the call and throws its reply away.
    pub(super) fn start_unheard(self, delay: Duration) {
        let spawner = self.target.context.spawner.clone();
        spawner.spawn(Box::pin(async move {
            let (inlet, mut pipe) = reply_pipe();
            let reading = async { while pipe.items.next().await.is_some() {} };
            futures::future::join(self.run(delay, inlet), reading).await;
        }));
    }

    async fn run(self, delay: Duration, inlet: ReplyInlet) {
        let ReplyInlet { items, mut alive } = inlet;
        let items = Rc::new(RefCell::new(items));
        let network = self.network.clone();
        let clock = Rc::clone(&self.target.context.clock);
        let writer = FakeWriter { call: Rc::new(self), items, lost: Rc::default() };
        let cancelled = async {
            alive.cancellation().await;
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

/// Carries the messages of one reply back, in their order.
#[derive(Clone)]
struct FakeWriter {
    call: Rc<FakeCall>,
    items: Rc<RefCell<mpsc::Sender<ReplyItem>>>,
    lost: Rc<Cell<bool>>,
}

impl FakeWriter {
    async fn deliver(&self, outcome: Result<Option<Bytes>, PeerFault>) -> Result<(), PeerFault> {
        // Nothing arrives after a lost message: a connection keeps its order.
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
                clock.sleep(LOST_AFTER).await;
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
            // The handler does not know yet that nobody waits for it.
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
