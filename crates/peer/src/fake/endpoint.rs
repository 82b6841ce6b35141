//! Client side of the simulated network.

use {
    super::{
        network::{FakeNetwork, FakeNode},
        policy::{MessageAction, MessageDirection, MessagePath},
        serve::{FakeCall, ReplyConsumer, reply_channel},
    },
    crate::{PeerError, PeerStream, PeerTransport, transport::call_with_limit, wire::CallKind},
    bytes::Bytes,
    futures::stream,
    gullglade_units::LocalFuture,
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
};

/// Time after which a call on a dead link breaks; simulates the keepalive of a real session.
pub(super) const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Transport of one process over a [`FakeNetwork`].
#[derive(Clone)]
pub struct FakeTransport {
    network: FakeNetwork,
    node: Rc<FakeNode>,
}

impl FakeTransport {
    pub(super) fn new(network: FakeNetwork, node: Rc<FakeNode>) -> Self {
        Self { network, node }
    }

    /// Starts a call at the process at `to`. Sets `sent` to true if the call may have been sent.
    async fn start_call(
        &self,
        to: SocketAddr,
        method: &str,
        kind: CallKind,
        body: Bytes,
        sent: &Cell<bool>,
    ) -> Result<ReplyConsumer, PeerError> {
        let refused = || PeerError::Connect { address: to, reason: "connection refused".into() };
        let path = MessagePath {
            from: self.node.address,
            to,
            method,
            direction: MessageDirection::Request,
        };
        let action = self.network.action(path);
        let (delay, duplicate_delay) = match action {
            MessageAction::Refuse => return Err(refused()),
            MessageAction::Drop => {
                sent.set(true);
                self.node.context.clock.sleep(KEEPALIVE_TIMEOUT).await;
                return Err(broken(to, "no answer to a ping"));
            }
            MessageAction::Deliver(delay) => (delay, None),
            MessageAction::Duplicate(delay, duplicate_delay) => (delay, Some(duplicate_delay)),
        };
        let target = self.network.node(to).ok_or_else(refused)?;
        sent.set(true);
        let stamp = self.node.clock.stamp(self.node.context.clock.wall());
        let call = FakeCall {
            network: self.network.clone(),
            caller: self.node.clone(),
            target,
            method: method.to_owned(),
            kind,
            body,
            stamp,
        };
        if let Some(duplicate_delay) = duplicate_delay {
            call.clone().start_discarding_reply(duplicate_delay);
        }
        let (producer, consumer) = reply_channel();
        call.start(delay, producer);
        Ok(consumer)
    }

    async fn call_single(
        &self,
        to: SocketAddr,
        method: &str,
        body: Bytes,
        sent: &Cell<bool>,
    ) -> Result<Bytes, PeerError> {
        let consumer = self.start_call(to, method, CallKind::Single, body, sent).await?;
        let mut stream = self.reply_stream(to, consumer);
        let answer = stream.next().await;
        let answer = answer.ok_or_else(|| broken(to, "the reply has no message"))??;
        match stream.next().await {
            None => Ok(answer),
            Some(Err(error)) => Err(error),
            Some(Ok(_)) => Err(broken(to, "the reply has more than one message")),
        }
    }

    /// Returns the reply stream of a dropped call, which breaks after [`KEEPALIVE_TIMEOUT`].
    fn lost_stream(&self, to: SocketAddr) -> PeerStream {
        let node = self.node.clone();
        PeerStream::new(stream::once(async move {
            node.context.clock.sleep(KEEPALIVE_TIMEOUT).await;
            Err(broken(to, "no answer to a ping"))
        }))
    }

    fn reply_stream(&self, to: SocketAddr, consumer: ReplyConsumer) -> PeerStream {
        let node = self.node.clone();
        PeerStream::new(stream::try_unfold(consumer, move |mut consumer| {
            let node = node.clone();
            async move {
                let item = consumer.next(&*node.context.clock).await;
                let item = item.ok_or_else(|| broken(to, "the connection was lost"))?;
                node.clock.observe(item.stamp);
                Ok(item.outcome?.map(|message| (message, consumer)))
            }
        }))
    }
}

fn broken(address: SocketAddr, reason: &str) -> PeerError {
    PeerError::Broken { address, reason: reason.into(), sent: true }
}

impl PeerTransport for FakeTransport {
    fn call<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
        limit: Duration,
    ) -> LocalFuture<'a, Result<Bytes, PeerError>> {
        Box::pin(async move {
            let sent = Cell::new(false);
            let calling = self.call_single(to, method, body, &sent);
            call_with_limit(&*self.node.context.clock, to, limit, &sent, calling).await
        })
    }

    fn open<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<PeerStream, PeerError>> {
        Box::pin(async move {
            let path = MessagePath {
                from: self.node.address,
                to,
                method,
                direction: MessageDirection::Request,
            };
            if matches!(self.network.action(path), MessageAction::Drop) {
                return Ok(self.lost_stream(to));
            }
            let sent = Cell::new(false);
            let consumer = self.start_call(to, method, CallKind::Stream, body, &sent).await?;
            Ok(self.reply_stream(to, consumer))
        })
    }
}
