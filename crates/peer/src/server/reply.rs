//! Server side of a call: reads it, runs its handler and writes the reply.

use {
    super::ServerShared,
    crate::{
        FaultKind, PeerFault, PeerIdentity, PeerReplySink, ReplySender,
        wire::{
            CallHeader, CallKind, FrameError, FrameReader, ReplyFrame, ReplyTrailer,
            append_reply_frame,
        },
    },
    bytes::{Bytes, BytesMut},
    futures::future::{poll_fn, select},
    gullglade_units::{HybridStamp, LocalFuture},
    h2::{Reason, RecvStream, SendStream, server::SendResponse},
    http::{Request, Response},
    std::{
        cell::{Cell, RefCell},
        pin::pin,
        rc::Rc,
    },
};

/// Maximum number of bytes passed to h2 at once, so that a long message does not consume the
/// session's whole flow-control window at the expense of other streams.
const MAX_SEND_CHUNK_BYTES: usize = 64 << 10;

/// Task that serves one call of `peer`.
pub(super) struct CallTask {
    pub(super) shared: Rc<ServerShared>,
    pub(super) peer: Rc<PeerIdentity>,
}

impl CallTask {
    /// Reads the call, runs its handler and writes the reply. Drops the handler's future when the
    /// caller resets the stream or the session is lost.
    pub(super) async fn run(self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let method = request.uri().path().trim_start_matches('/').to_owned();
        let Ok(body) = respond.send_response(Response::new(()), false) else {
            return;
        };
        let shared = self.shared.clone();
        let stamp = move || shared.clock.stamp(shared.context.clock.wall());
        let writer = Rc::new(ReplyWriter {
            body: RefCell::new(body),
            state: Cell::new(WriterState::NotStarted),
            stamp: Box::new(stamp),
            limit: self.shared.config.message_limit,
        });
        let answering = async {
            let outcome = self.answer(&method, request.into_body(), &writer).await;
            writer.finish(outcome).await;
        };
        let reset = poll_fn(|cx| writer.body.borrow_mut().poll_reset(cx));
        select(pin!(answering), reset).await;
    }

    /// Runs the handler. Returns the message of a single reply, or `None` for a streamed reply,
    /// whose messages have already been written.
    async fn answer(
        &self,
        method: &str,
        body: RecvStream,
        writer: &Rc<ReplyWriter>,
    ) -> Result<Option<Bytes>, PeerFault> {
        let (header, body) = self.read_call(body).await.map_err(PeerFault::malformed)?;
        self.shared.clock.observe(header.stamp);
        let handler = self.shared.handlers.find(method);
        let handler = handler.ok_or_else(|| PeerFault::unknown_method(method))?;
        match header.kind {
            CallKind::Single => handler.call(&self.peer, method, body).await.map(Some),
            CallKind::Stream => {
                let sink = PeerReplySink::new(WireSender { writer: writer.clone() });
                handler.stream(&self.peer, method, body, sink).await.map(|()| None)
            }
        }
    }

    async fn read_call(&self, body: RecvStream) -> Result<(CallHeader, Bytes), FrameError> {
        let mut reader = FrameReader::new(body, self.shared.config.message_limit);
        let header = reader.next_as::<CallHeader>("with the header of the call").await?;
        let body = reader.next_required("with the body of the call").await?;
        Ok((header, body))
    }
}

/// State of a [`ReplyWriter`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriterState {
    NotStarted,
    Started,
    Finished,
}

/// Writes the frames of a reply, subject to the caller's flow-control window.
struct ReplyWriter {
    body: RefCell<SendStream<Bytes>>,
    state: Cell<WriterState>,
    stamp: Box<dyn Fn() -> HybridStamp>,
    limit: usize,
}

impl ReplyWriter {
    async fn send_message(&self, message: Bytes) -> Result<(), PeerFault> {
        let mut bytes = BytesMut::new();
        self.put_message(message, &mut bytes)?;
        self.write(bytes.freeze(), false).await
    }

    fn put_message(&self, message: Bytes, bytes: &mut BytesMut) -> Result<(), PeerFault> {
        if message.len() > self.limit {
            return Err(PeerFault::internal(format!(
                "the answer's {} bytes exceed the message limit of {}; raise the limit on every VM",
                message.len(),
                self.limit
            )));
        }
        match self.state.replace(WriterState::Started) {
            WriterState::NotStarted => {
                append_reply_frame(&ReplyFrame::Header((self.stamp)()), bytes)
            }
            WriterState::Started => {}
            WriterState::Finished => return Err(PeerFault::cancelled()),
        }
        append_reply_frame(&ReplyFrame::Message(message), bytes);
        Ok(())
    }

    /// Writes the last message, if any, and the trailer. Resets the stream instead if the outcome
    /// is [`FaultKind::Cancelled`] or the write fails.
    async fn finish(&self, outcome: Result<Option<Bytes>, PeerFault>) {
        let mut bytes = BytesMut::new();
        let outcome = outcome.and_then(|last| match last {
            Some(message) => self.put_message(message, &mut bytes),
            None => Ok(()),
        });
        self.state.set(WriterState::Finished);
        let cancelled = matches!(&outcome, Err(f) if f.kind == FaultKind::Cancelled);
        let trailer = ReplyTrailer { stamp: (self.stamp)(), outcome };
        append_reply_frame(&ReplyFrame::Trailer(trailer), &mut bytes);
        if cancelled || self.write(bytes.freeze(), true).await.is_err() {
            self.body.borrow_mut().send_reset(Reason::CANCEL);
        }
    }

    async fn write(&self, mut bytes: Bytes, end: bool) -> Result<(), PeerFault> {
        while !bytes.is_empty() {
            let send_capacity = self.send_capacity(bytes.len().min(MAX_SEND_CHUNK_BYTES)).await?;
            let chunk = bytes.split_to(send_capacity.min(bytes.len()));
            let sent = self.body.borrow_mut().send_data(chunk, end && bytes.is_empty());
            sent.map_err(|_| PeerFault::cancelled())?;
        }
        Ok(())
    }

    /// Waits for flow-control and send-buffer capacity; returns the number of bytes that may be
    /// sent.
    async fn send_capacity(&self, wanted: usize) -> Result<usize, PeerFault> {
        poll_fn(|cx| {
            let mut body = self.body.borrow_mut();
            body.reserve_capacity(wanted);
            match body.capacity() {
                0 => body.poll_capacity(cx),
                send_capacity => std::task::Poll::Ready(Some(Ok(send_capacity))),
            }
        })
        .await
        .and_then(Result::ok)
        .ok_or_else(PeerFault::cancelled)
    }
}

/// [`ReplySender`] that writes to a [`ReplyWriter`].
struct WireSender {
    writer: Rc<ReplyWriter>,
}

impl ReplySender for WireSender {
    fn send(&mut self, message: Bytes) -> LocalFuture<'_, Result<(), PeerFault>> {
        Box::pin(self.writer.send_message(message))
    }
}
