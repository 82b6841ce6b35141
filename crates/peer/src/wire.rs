//! Wire format: length-prefixed frames in the DATA of an HTTP/2 stream.
//!
//! A call is `POST /{method}` with two frames: a [`CallHeader`] and the body. A reply is a sequence
//! of frames whose first byte is the frame kind: one header with a timestamp, the messages, and one
//! [`ReplyTrailer`]. A reply without a trailer is broken, even if the HTTP/2 stream ended normally.
//! `tests/golden.rs` pins the encoding.

use {
    crate::PeerFault,
    bytes::{BufMut, Bytes, BytesMut},
    futures::future::poll_fn,
    gullglade_units::{CodecError, HybridStamp, decode, encode},
    h2::RecvStream,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    snafu::{ResultExt, Snafu},
    std::io,
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Protocol version; must be incremented by every change of the wire format.
pub(crate) const PROTOCOL_VERSION: u32 = 1;

/// Kind of reply that a caller expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CallKind {
    /// Exactly one message.
    Single,
    /// Any number of messages.
    Stream,
}

/// First frame of a call, before the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallHeader {
    pub(crate) stamp: HybridStamp,
    pub(crate) kind: CallKind,
}

/// Last frame of a reply, after the messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplyTrailer {
    pub(crate) stamp: HybridStamp,
    pub(crate) outcome: Result<(), PeerFault>,
}

/// Frame of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReplyFrame {
    /// First frame, with the time at which the reply started.
    Header(HybridStamp),
    /// Message of the handler.
    Message(Bytes),
    /// Last frame, with the outcome of the call.
    Trailer(ReplyTrailer),
}

const HEADER: u8 = 0;
const MESSAGE: u8 = 1;
const TRAILER: u8 = 2;

/// Error of reading or decoding a frame.
#[derive(Debug, Snafu)]
pub(crate) enum FrameError {
    #[snafu(display("the stream was cut off ({source})"))]
    Lost { source: h2::Error },
    #[snafu(display("the stream ended inside a frame"))]
    Early,
    #[snafu(display("a message is longer than the limit of {limit} bytes"))]
    TooLong { limit: usize, source: io::Error },
    #[snafu(display("{source}"), context(false))]
    Codec { source: CodecError },
    #[snafu(display("a frame has the unknown kind {kind:?}; are both ends the same version?"))]
    UnknownKind { kind: Option<u8> },
    #[snafu(display("the stream ended before the frame {expected}"))]
    Missing { expected: &'static str },
}

/// Size of a frame without its body: the length prefix (4 bytes) and the kind (1 byte).
pub(crate) const FRAME_OVERHEAD_BYTES: usize = 5;

fn length_codec(limit: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(limit).new_codec()
}

fn append_frame(body: Bytes, buffer: &mut BytesMut) {
    length_codec(u32::MAX as usize)
        .encode(body, buffer)
        .expect("the callers check the length of bodies against the message limit, below 4 GiB");
}

/// Encodes a call.
pub(crate) fn encode_call(header: &CallHeader, body: Bytes) -> Bytes {
    let header = Bytes::from(encode(header));
    let mut bytes = BytesMut::with_capacity(header.len() + body.len() + 2 * FRAME_OVERHEAD_BYTES);
    append_frame(header, &mut bytes);
    append_frame(body, &mut bytes);
    bytes.freeze()
}

/// Encodes `value` as a frame without a kind byte, for the handshake.
pub(crate) fn encode_handshake_frame<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = BytesMut::new();
    append_frame(Bytes::from(encode(value)), &mut bytes);
    bytes.freeze()
}

/// Appends the encoding of a reply frame to `buffer`.
pub(crate) fn append_reply_frame(frame: &ReplyFrame, buffer: &mut BytesMut) {
    let (kind, body) = match frame {
        ReplyFrame::Header(stamp) => (HEADER, Bytes::from(encode(stamp))),
        ReplyFrame::Message(message) => (MESSAGE, message.clone()),
        ReplyFrame::Trailer(trailer) => (TRAILER, Bytes::from(encode(trailer))),
    };
    let length = u32::try_from(body.len() + 1).expect("messages are checked against their limit");
    buffer.reserve(body.len() + FRAME_OVERHEAD_BYTES);
    buffer.put_u32(length);
    buffer.put_u8(kind);
    buffer.put(body);
}

/// Decodes a reply frame whose length prefix has been removed.
pub(crate) fn decode_reply_frame(mut frame: Bytes) -> Result<ReplyFrame, FrameError> {
    let kind = frame.first().copied();
    let body = frame.split_off(1.min(frame.len()));
    match kind {
        Some(HEADER) => Ok(ReplyFrame::Header(decode(&body)?)),
        Some(MESSAGE) => Ok(ReplyFrame::Message(body)),
        Some(TRAILER) => Ok(ReplyFrame::Trailer(decode(&body)?)),
        _ => UnknownKindSnafu { kind }.fail(),
    }
}

/// Reads frames from an HTTP/2 stream. Receives more data, and releases flow-control capacity, only
/// when no complete frame is buffered, so that unread data stays within the stream's window.
pub(crate) struct FrameReader {
    body: RecvStream,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
    limit: usize,
}

impl FrameReader {
    /// Creates a reader that rejects frames whose message is longer than `limit` bytes.
    pub(crate) fn new(body: RecvStream, limit: usize) -> Self {
        Self { body, codec: length_codec(limit + 1), buffer: BytesMut::new(), limit }
    }

    /// Returns the next frame, or `None` at the end of the stream.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, FrameError> {
        loop {
            let limit = self.limit;
            let frame = self.codec.decode(&mut self.buffer).context(TooLongSnafu { limit })?;
            if let Some(frame) = frame {
                return Ok(Some(frame.freeze()));
            }
            match poll_fn(|cx| self.body.poll_data(cx)).await {
                None if self.buffer.is_empty() => return Ok(None),
                None => return EarlySnafu.fail(),
                Some(data) => self.receive(data.context(LostSnafu)?)?,
            }
        }
    }

    fn receive(&mut self, data: Bytes) -> Result<(), FrameError> {
        self.buffer.extend_from_slice(&data);
        self.body.flow_control().release_capacity(data.len()).context(LostSnafu)
    }

    /// Returns the next frame, or an error naming `expected` if the stream has ended.
    pub(crate) async fn next_required(
        &mut self,
        expected: &'static str,
    ) -> Result<Bytes, FrameError> {
        self.next().await?.ok_or(FrameError::Missing { expected })
    }

    /// Reads the next frame and decodes it as a `T`.
    pub(crate) async fn next_as<T: DeserializeOwned>(
        &mut self,
        expected: &'static str,
    ) -> Result<T, FrameError> {
        Ok(decode(&self.next_required(expected).await?)?)
    }
}
