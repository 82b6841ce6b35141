//! Replies in the hands of whoever sent the request.

use {
    super::connection::{ConnectionLease, ReplyAftermath},
    crate::{BodyError, LocalStream},
    bytes::{Bytes, BytesMut},
    futures::{Stream, StreamExt, future::poll_fn},
    gullglade_units::{Clock, LocalFuture},
    http::response::Parts,
    hyper::body::{Body, Frame, Incoming},
    std::{
        fmt,
        pin::Pin,
        rc::Rc,
        task::{Poll, ready},
        time::Duration,
    },
};

/// A reply: its head, and its body as it comes.
#[derive(Debug)]
pub struct ClientReply {
    /// Status and headers, without the hop-by-hop ones.
    pub head: Parts,
    /// The body.
    pub body: ClientBody,
}

/// Extension of the head of a reply whose body has neither a length nor chunks: it ends with its
/// connection, so its end says nothing about whether it is whole.
#[derive(Clone, Copy, Debug)]
pub struct UnframedBody;

/// The body of a reply. It ends in `None` only where the sender's own end of the body was seen;
/// any other end is an error. Dropped before its end, it closes the connection, which cancels the
/// work on the other side.
pub struct ClientBody {
    source: BodySource,
    ended: bool,
}

enum BodySource {
    Wire(Box<WireSource>),
    Stream(LocalStream),
}

pub(super) struct WireSource {
    pub(super) incoming: Incoming,
    pub(super) lease: Option<ConnectionLease>,
    pub(super) aftermath: ReplyAftermath,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) pause: Duration,
    /// Set for an earlier piece, so it is due too early for a later one and then set again: a
    /// timer of its own for each piece of a stream of tokens would cost more than the piece.
    pub(super) timer: Option<LocalFuture<'static, ()>>,
}

impl ClientBody {
    /// A body of the stream's pieces, for fakes of [`HttpClient`](crate::HttpClient).
    pub fn from_stream(stream: impl Stream<Item = Result<Bytes, BodyError>> + 'static) -> Self {
        Self { source: BodySource::Stream(Box::pin(stream)), ended: false }
    }

    /// A body of these bytes, for fakes of [`HttpClient`](crate::HttpClient).
    pub fn from_bytes(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::from_stream(futures::stream::once(async { Ok(bytes) }))
    }

    pub(super) fn from_wire(mut source: WireSource) -> Self {
        if source.incoming.is_end_stream() {
            source.finish();
        }
        Self { source: BodySource::Wire(Box::new(source)), ended: false }
    }

    /// The next piece; `None` after the last one of a whole body.
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.ended {
            return None;
        }
        let piece = match &mut self.source {
            BodySource::Wire(wire) => wire.next().await,
            BodySource::Stream(stream) => stream.next().await,
        };
        self.ended = !matches!(piece, Some(Ok(_)));
        piece
    }

    /// Whether bytes that belong to no reply came with the end of this one. The connection is closed
    /// then, and the sender does not follow the protocol, though the reply is whole.
    pub fn has_stray_bytes(&self) -> bool {
        match &self.source {
            BodySource::Wire(wire) => wire.aftermath.has_stray_bytes(),
            BodySource::Stream(_) => false,
        }
    }

    /// Has `callback` called if such bytes arrive after the end of this reply and before the next
    /// request on its connection.
    pub fn on_stray_bytes(&self, callback: Box<dyn FnOnce()>) {
        if let BodySource::Wire(wire) = &self.source {
            wire.aftermath.on_stray_bytes(callback);
        }
    }

    /// The whole body, which must have at most `limit` bytes.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes, BodyError> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next().await {
            let piece = piece?;
            if whole.len() + piece.len() > limit {
                return Err(BodyError::TooLarge {
                    limit: u64::try_from(limit).unwrap_or(u64::MAX),
                });
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    /// The pieces as a stream, to be relayed in a [`ReplyBody`](crate::ReplyBody).
    pub fn into_stream(self) -> LocalStream {
        // Boxed: the stream moves its state with each piece.
        Box::pin(futures::stream::unfold(Box::new(self), |mut body| async move {
            let piece = body.next().await?;
            Some((piece, body))
        }))
    }
}

impl fmt::Debug for ClientBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientBody").field("ended", &self.ended).finish_non_exhaustive()
    }
}

impl WireSource {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let Some(outcome) = self.frame_in_time().await else {
                drop(self.lease.take());
                return Some(Err(BodyError::Timeout { limit: self.pause }));
            };
            let frame = match outcome {
                None => {
                    self.finish();
                    return None;
                }
                Some(Err(e)) => return Some(Err(BodyError::from_hyper(&e))),
                Some(Ok(frame)) => frame,
            };
            // Trailers carry nothing that the system uses.
            let Ok(bytes) = frame.into_data() else { continue };
            if self.incoming.is_end_stream() {
                self.finish();
            }
            return Some(Ok(bytes));
        }
    }

    /// The next frame; `None` where the sender paused too long.
    async fn frame_in_time(&mut self) -> Option<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let mut deadline = None;
        poll_fn(|context| {
            if let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(context) {
                return Poll::Ready(Some(frame));
            }
            let deadline = *deadline.get_or_insert_with(|| self.clock.now() + self.pause);
            loop {
                let timer = self.timer.get_or_insert_with(|| self.clock.sleep(self.pause));
                ready!(timer.as_mut().poll(context));
                let left = deadline.since(self.clock.now());
                if left.is_zero() {
                    return Poll::Ready(None);
                }
                self.timer = Some(self.clock.sleep(left));
            }
        })
        .await
    }

    fn finish(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.keep();
        }
    }
}
