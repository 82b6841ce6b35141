//! The body of a reply as `hyper` takes it.

use {
    super::{exchange::ExchangeState, reply_buffers::ReplyShare},
    crate::{BodyError, ReplyBody},
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
};

/// The most bytes of a whole reply that are taken at once: `hyper` copies what it takes.
const SLICE_BYTES: usize = 16 << 10;

/// Hands a [`ReplyBody`] to `hyper` piece by piece; its drop is the end of the exchange.
pub(crate) struct WireBody {
    body: ReplyBody,
    exchange: Rc<ExchangeState>,
    share: Rc<ReplyShare>,
}

impl WireBody {
    pub(crate) fn new(body: ReplyBody, exchange: Rc<ExchangeState>, share: Rc<ReplyShare>) -> Self {
        Self { body, exchange, share }
    }
}

impl Drop for WireBody {
    fn drop(&mut self) {
        self.exchange.end();
    }
}

impl Body for WireBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Self { body, share, .. } = &mut *self;
        let piece = match body {
            ReplyBody::Full(bytes) if bytes.is_empty() => None,
            _ if !share.may_take(context) => return Poll::Pending,
            ReplyBody::Full(bytes) => Some(Ok(bytes.split_to(bytes.len().min(SLICE_BYTES)))),
            ReplyBody::Stream(stream) => ready!(stream.as_mut().poll_next(context)),
        };
        if let Some(Ok(bytes)) = &piece {
            share.take(bytes.len());
        }
        Poll::Ready(piece.map(|result| result.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.body, ReplyBody::Full(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ReplyBody::Full(bytes) => {
                SizeHint::with_exact(u64::try_from(bytes.len()).unwrap_or(u64::MAX))
            }
            ReplyBody::Stream(_) => SizeHint::default(),
        }
    }
}
