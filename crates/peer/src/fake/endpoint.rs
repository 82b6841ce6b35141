//! The calling side of one process.

use {
    super::{
        network::{FakeNetwork, FakeNode},
        policy::{MessageAction, MessageDirection, MessagePath},
        serve::{FakeCall, ReplyPipe, reply_pipe},
    },
    crate::{PeerError, PeerStream, PeerTransport, transport::within_limit, wire::CallKind},
    bytes::Bytes,
    futures::stream,
    gullglade_units::LocalFuture,
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
};

/// After how long a call on a dead link breaks, as the keep-alive of a real session would find.
pub(super) const LOST_AFTER: Duration = Duration::from_secs(3);

/// One process's transport over a [`FakeNetwork`].
#[derive(Clone)]
pub struct FakeTransport {
    network: FakeNetwork,
    node: Rc<FakeNode>,
}

impl FakeTransport {
    pub(super) fn new(network: FakeNetwork, node: Rc<FakeNode>) -> Self {
        Self { network, node }
    }

    /// Hands a call to the process at `to`.
    async fn begin(
        &self,
        to: SocketAddr,
        method: &str,
        kind: CallKind,
        body: Bytes,
        sent: &Cell<bool>,
    ) -> Result<ReplyPipe, PeerError> {
        let refused = || PeerError::Connect { address: to, reason: "connection refused".into() };
        let path = MessagePath {
            from: self.node.address,
            to,
            method,
            direction: MessageDirection::Request,
        };
        let action = self.network.action(path);
        let (delay, again) = match action {
            MessageAction::Refuse => return Err(refused()),
            MessageAction::Drop => {
                sent.set(true);
                self.node.context.clock.sleep(LOST_AFTER).await;
                return Err(broken(to, "no answer to a ping"));
            }
            MessageAction::Deliver(delay) => (delay, None),
            MessageAction::Duplicate(delay, again) => (delay, Some(again)),
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
        if let Some(again) = again {
            call.clone().start_unheard(again);
        }
        let (writer, pipe) = reply_pipe();
        call.start(delay, writer);
        Ok(pipe)
    }

    async fn single(
        &self,
        to: SocketAddr,
        method: &str,
        body: Bytes,
        sent: &Cell<bool>,
    ) -> Result<Bytes, PeerError> {
        let pipe = self.begin(to, method, CallKind::Single, body, sent).await?;
        let mut stream = self.messages(to, pipe);
        let answer = stream.next().await;
        let answer = answer.ok_or_else(|| broken(to, "the reply has no message"))??;
        match stream.next().await {
            None => Ok(answer),
            Some(Err(error)) => Err(error),
            Some(Ok(_)) => Err(broken(to, "the reply has more than one message")),
        }
    }

    /// What a caller gets whose call left on a dead link: the loss shows only later.
    fn lost_stream(&self, to: SocketAddr) -> PeerStream {
        let node = self.node.clone();
        PeerStream::new(stream::once(async move {
            node.context.clock.sleep(LOST_AFTER).await;
            Err(broken(to, "no answer to a ping"))
        }))
    }

    fn messages(&self, to: SocketAddr, pipe: ReplyPipe) -> PeerStream {
        let node = self.node.clone();
        PeerStream::new(stream::try_unfold(pipe, move |mut pipe| {
            let node = node.clone();
            async move {
                let item = pipe.next(&*node.context.clock).await;
                let item = item.ok_or_else(|| broken(to, "the connection was lost"))?;
                node.clock.observe(item.stamp);
                Ok(item.outcome?.map(|message| (message, pipe)))
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
            let calling = self.single(to, method, body, &sent);
            within_limit(&*self.node.context.clock, to, limit, &sent, calling).await
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
            let pipe = self.begin(to, method, CallKind::Stream, body, &sent).await?;
            Ok(self.messages(to, pipe))
        })
    }
}
