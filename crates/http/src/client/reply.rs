//! Replies in the hands of whoever sent the request.

use {
    super::wire_source::WireSource,
    crate::{BodyError, LocalStream},
    bytes::{Bytes, BytesMut},
    futures::{Stream, StreamExt},
    http::response::Parts,
    std::fmt,
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

    pub(super) fn from_wire(source: WireSource) -> Self {
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
            BodySource::Wire(wire) => wire.aftermath().has_stray_bytes(),
            BodySource::Stream(_) => false,
        }
    }

    /// Has `callback` called if such bytes arrive after the end of this reply and before the next
    /// request on its connection.
    pub fn on_stray_bytes(&self, callback: Box<dyn FnOnce()>) {
        if let BodySource::Wire(wire) = &self.source {
            wire.aftermath().on_stray_bytes(callback);
        }
    }

    /// Whether the next piece waits for the turn of a connection that always has more to read, and
    /// not for the sender.
    pub fn is_paused(&self) -> bool {
        match &self.source {
            BodySource::Wire(wire) => wire.is_paused(),
            BodySource::Stream(_) => false,
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
