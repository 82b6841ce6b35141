//! The body of a reply as it comes over a connection.

use {
    super::{
        body_turn::BodyTurn,
        connection::{ConnectionLease, ReplyAftermath},
    },
    crate::BodyError,
    bytes::{Bytes, BytesMut},
    futures::future::poll_fn,
    gullglade_units::{Clock, LocalFuture, MonotonicTime},
    hyper::body::{Body, Frame, Incoming},
    std::{
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Duration,
    },
};

/// Small pieces are merged up to this size while a connection is busy.
const MERGED_BYTES: usize = 16 << 10;

pub(super) struct WireSource {
    incoming: Incoming,
    lease: Option<ConnectionLease>,
    aftermath: ReplyAftermath,
    /// Bytes that must have been written to the connection by the end of a whole body.
    needed: u64,
    turn: Rc<BodyTurn>,
    clock: Rc<dyn Clock>,
    pause: Duration,
    /// Set for an earlier piece, so it is due too early for a later one and then set again: a
    /// timer of its own for each piece of a stream of tokens would cost more than the piece.
    timer: Option<LocalFuture<'static, ()>>,
    /// Pieces that were merged so far.
    merged: BytesMut,
    /// The end, if it came behind merged pieces: `None` inside for that of a whole body.
    ended: Option<Option<BodyError>>,
}

impl WireSource {
    /// `needed` bytes must have been written to the connection by the end of a whole body; `pause` is
    /// the longest one between two pieces.
    pub(super) fn new(
        incoming: Incoming,
        lease: ConnectionLease,
        needed: u64,
        clock: Rc<dyn Clock>,
        pause: Duration,
    ) -> Self {
        let (aftermath, turn) = (lease.connection.aftermath(), lease.connection.body_turn());
        let mut source = Self {
            incoming,
            lease: Some(lease),
            aftermath,
            needed,
            turn,
            clock,
            pause,
            timer: None,
            merged: BytesMut::new(),
            ended: None,
        };
        if source.incoming.is_end_stream() {
            source.finish();
        }
        source
    }

    /// The next piece; `None` after the last one of a whole body.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let mut deadline = None;
        poll_fn(|context| self.poll_next(&mut deadline, context)).await
    }

    pub(super) fn aftermath(&self) -> &ReplyAftermath {
        &self.aftermath
    }

    /// Whether the next piece waits for the connection's turn and not for the other side.
    pub(super) fn is_paused(&self) -> bool {
        self.turn.is_paused()
    }

    fn poll_next(
        &mut self,
        deadline: &mut Option<MonotonicTime>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(end) = self.ended.take() {
            return Poll::Ready(end.map(Err));
        }
        let turn = Rc::clone(&self.turn);
        match turn.run(|| self.poll_piece(context)) {
            Poll::Ready(piece) => Poll::Ready(piece),
            Poll::Pending if self.turn.is_paused() => Poll::Pending,
            Poll::Pending => self.poll_timer(deadline, context).map(|()| {
                drop(self.lease.take());
                Some(Err(BodyError::Timeout { limit: self.pause }))
            }),
        }
    }

    /// Takes the next piece. While the connection is busy, small ones are merged until it has nothing
    /// more to read or its turn is over: each would cost those who relay it as much as a large one.
    fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            if self.turn.poll_begin(context).is_pending() {
                return self.take_merged().map_or(Poll::Pending, Poll::Ready);
            }
            match Pin::new(&mut self.incoming).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Some(bytes) = self.take_data(frame) else { continue };
                    if self.merged.is_empty()
                        && (bytes.len() >= MERGED_BYTES || !self.turn.is_busy())
                    {
                        return Poll::Ready(Some(Ok(bytes)));
                    }
                    self.merged.extend_from_slice(&bytes);
                    if self.merged.len() >= MERGED_BYTES {
                        return Poll::Ready(self.take_merged().flatten());
                    }
                }
                Poll::Ready(end) => return Poll::Ready(self.end(end.and_then(Result::err))),
                Poll::Pending if self.merged.is_empty() => return Poll::Pending,
                Poll::Pending if !self.turn.is_busy() => {
                    return Poll::Ready(self.take_merged().flatten());
                }
                Poll::Pending => {
                    self.turn.wake_when_drained(context);
                    return Poll::Pending;
                }
            }
        }
    }

    /// Counts a frame and returns its data. Trailers carry nothing that the system uses.
    fn take_data(&mut self, frame: Frame<Bytes>) -> Option<Bytes> {
        let bytes = frame.into_data().ok()?;
        self.turn.spend(bytes.len());
        if self.incoming.is_end_stream() {
            self.finish();
        }
        Some(bytes)
    }

    /// The error of a body that ends with its connection, where the request was not written whole.
    fn early_end(&self) -> Option<BodyError> {
        let written = self.lease.as_ref().map(|lease| lease.connection.written())?;
        let missing = self.needed.checked_sub(written).filter(|missing| *missing > 0)?;
        let reason = format!("the connection ended with {missing} bytes of the request unsent");
        Some(BodyError::Incomplete { reason })
    }

    fn take_merged(&mut self) -> Option<Option<Result<Bytes, BodyError>>> {
        let merged = std::mem::take(&mut self.merged);
        (!merged.is_empty()).then(|| Some(Ok(merged.freeze())))
    }

    /// Ends the body, with an error unless it is whole. Merged pieces come first.
    fn end(&mut self, error: Option<hyper::Error>) -> Option<Result<Bytes, BodyError>> {
        let error = error.as_ref().map(BodyError::from_hyper).or_else(|| self.early_end());
        if error.is_none() {
            self.finish();
        }
        match self.take_merged() {
            Some(merged) => {
                self.ended = Some(error);
                merged
            }
            None => error.map(Err),
        }
    }

    /// Completes when the sender has paused too long.
    fn poll_timer(
        &mut self,
        deadline: &mut Option<MonotonicTime>,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        let deadline = *deadline.get_or_insert_with(|| self.clock.now() + self.pause);
        loop {
            let timer = self.timer.get_or_insert_with(|| self.clock.sleep(self.pause));
            ready!(timer.as_mut().poll(context));
            let left = deadline.since(self.clock.now());
            if left.is_zero() {
                return Poll::Ready(());
            }
            self.timer = Some(self.clock.sleep(left));
        }
    }

    fn finish(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.keep();
        }
    }
}
