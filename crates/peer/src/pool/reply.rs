//! Reading the reply of a call.

use {
    super::{PoolShared, delay::delay_stream, session::ActiveCall},
    crate::{
        PeerError, PeerStream,
        wire::{FrameError, FrameReader, ReplyFrame, decode_reply_frame},
    },
    bytes::Bytes,
    futures::stream,
    h2::client::ResponseFuture,
    std::rc::Rc,
};

/// Reads a reply. Dropping it resets the HTTP/2 stream if the reply is not complete.
pub(super) struct ReplyReader {
    call: ActiveCall,
    state: ReplyState,
    shared: Rc<PoolShared>,
}

enum ReplyState {
    Waiting(ResponseFuture),
    Reading(FrameReader),
}

impl ReplyReader {
    pub(super) fn new(call: ActiveCall, response: ResponseFuture, shared: Rc<PoolShared>) -> Self {
        Self { call, state: ReplyState::Waiting(response), shared }
    }

    /// Reads a reply that must have exactly one message, and returns the message.
    pub(super) async fn single(mut self) -> Result<Bytes, PeerError> {
        let answer = self.read_single().await;
        if let Some(link) = &self.call.session.link {
            link.inbound.traverse().await.map_err(|_| self.broken("the session was closed"))?;
        }
        answer
    }

    async fn read_single(&mut self) -> Result<Bytes, PeerError> {
        let Some(message) = self.next().await? else {
            return Err(self.broken("the reply has no message"));
        };
        match self.next().await? {
            None => Ok(message),
            Some(_) => Err(self.broken("the reply has more than one message")),
        }
    }

    /// Converts the reply to a stream that ends without an error only after the trailer.
    pub(super) fn into_stream(self) -> PeerStream {
        let session = self.call.session.clone();
        let context = self.shared.context.clone();
        let stream = PeerStream::new(stream::try_unfold(self, |mut reply| async move {
            Ok(reply.next().await?.map(|message| (message, reply)))
        }));
        match &session.link {
            None => stream,
            Some(link) => {
                let queue = link.inbound.clone();
                let session = session.clone();
                delay_stream(stream, queue, &context, move || {
                    session.broken("the session was closed")
                })
            }
        }
    }

    /// Returns the next message, or `None` after the trailer.
    async fn next(&mut self) -> Result<Option<Bytes>, PeerError> {
        loop {
            match self.next_frame().await.map_err(|error| self.broken(error))? {
                ReplyFrame::Header(stamp) => self.shared.clock.observe(stamp),
                ReplyFrame::Message(message) => return Ok(Some(message)),
                ReplyFrame::Trailer(trailer) => {
                    self.shared.clock.observe(trailer.stamp);
                    return trailer.outcome.map(|()| None).map_err(PeerError::from);
                }
            }
        }
    }

    async fn next_frame(&mut self) -> Result<ReplyFrame, FrameError> {
        if let ReplyState::Waiting(response) = &mut self.state {
            let response = response.await.map_err(|source| FrameError::Lost { source })?;
            let limit = self.shared.config.message_limit;
            self.state = ReplyState::Reading(FrameReader::new(response.into_body(), limit));
        }
        match &mut self.state {
            ReplyState::Reading(reader) => {
                decode_reply_frame(reader.next_required("with the trailer of the reply").await?)
            }
            ReplyState::Waiting(_) => unreachable!("the response has been received"),
        }
    }

    fn broken(&self, reason: impl ToString) -> PeerError {
        self.call.session.broken(reason)
    }
}
