//! The stream below `hyper`: hands on one checked head at a time.
//!
//! `hyper` answers a head that it cannot parse with a bare status, a slow head with silence, and
//! takes heads with two readings. Here each head is collected under bounds and checked first. A
//! head that fails is replaced by a harmless one, and the service above answers that with the
//! refusal; so the refusal is written by `hyper`, in order after the replies before it.

use {
    super::{
        chunk_decoder::ChunkDecoder,
        connection_table::ConnectionStage,
        exchange::ExchangeState,
        head::{BodyFraming, check_head},
        linger_slots::{LingerSlot, LingerSlots},
        refusal,
        reply_buffers::ReplyShare,
        scratch::ScratchBuffer,
        stop::OnceSignal,
    },
    crate::{ApiError, RequestLimits, ServerConfig, read_turn::ReadTurn},
    bytes::{Buf, BytesMut},
    gullglade_units::{Clock, LocalFuture},
    hyper::rt::{Read, ReadBufCursor, Write},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
};

/// What `hyper` reads in place of a refused head.
const SUBSTITUTE_HEAD: &[u8] = b"GET / HTTP/1.1\r\nhost: refused\r\nconnection: close\r\n\r\n";

/// The most bytes discarded while a connection lingers.
const LINGER_BYTES: usize = 16 << 20;

/// The most bytes held of requests that were sent ahead of a reply. A connection with more is closed
/// after the reply: the caller does not read, and each of its requests would be served for nothing.
const PIPELINE_BYTES: usize = 8 << 10;

/// A body makes progress when this many bytes of it have arrived.
const PROGRESS_BYTES: usize = 16 << 10;

/// The most bytes of empty lines before a head. They are not kept, so without a count a caller
/// could send them for ever and no bound would see it.
const EMPTY_LINE_BYTES: usize = 256;

/// What a guarded stream needs besides its socket.
pub(crate) struct GuardParts {
    pub(crate) config: ServerConfig,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) scratch: ScratchBuffer,
    pub(crate) stop: OnceSignal,
    pub(crate) exchange: Rc<ExchangeState>,
    pub(crate) share: Rc<ReplyShare>,
    pub(crate) lingers: LingerSlots,
}

/// A socket whose reads are checked and whose waits are bounded.
pub(crate) struct GuardedStream<S> {
    stream: S,
    parts: GuardParts,
    stopping: LocalFuture<'static, ()>,
    stopped: bool,
    phase: ReadPhase,
    /// Received and not handed on.
    buffer: BytesMut,
    /// How many bytes at the front of `buffer` may be handed on.
    cleared: usize,
    /// How many bytes of `buffer` were searched for the end of a head.
    searched: usize,
    /// Bytes of empty lines skipped before the head.
    skipped: usize,
    turn: ReadTurn,
    /// True if the head in the buffer has been counted.
    is_weighed: bool,
    /// Bytes of a body since its last progress.
    unmarked: usize,
    read_timer: Option<ReadTimer>,
    write_timer: Option<LocalFuture<'static, ()>>,
    linger: LingerState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadPhase {
    /// A head is awaited or collected.
    Head,
    /// This many bytes of a body are still to come.
    Body(u64),
    /// A chunked body, after which no second head is read.
    Chunked(ChunkDecoder),
    /// Nothing more is handed on: a head was refused, or the last request has arrived.
    Ended,
}

struct ReadTimer {
    wait: ReadWait,
    sleep: LocalFuture<'static, ()>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadWait {
    Idle,
    Head,
}

enum LingerState {
    Open,
    Closing { sleep: LocalFuture<'static, ()>, discarded: usize, _slot: LingerSlot },
}

impl<S> GuardedStream<S> {
    pub(crate) fn new(stream: S, parts: GuardParts) -> Self {
        let stop = parts.stop.clone();
        let turn = ReadTurn::new(parts.config.work_lane.clone());
        Self {
            stream,
            parts,
            stopping: Box::pin(async move { stop.wait().await }),
            stopped: false,
            phase: ReadPhase::Head,
            buffer: BytesMut::new(),
            cleared: 0,
            searched: 0,
            skipped: 0,
            turn,
            is_weighed: false,
            unmarked: 0,
            read_timer: None,
            write_timer: None,
            linger: LingerState::Open,
        }
    }

    /// A stream whose first and only request is refused, whatever it is.
    pub(crate) fn refusing(stream: S, parts: GuardParts, error: ApiError) -> Self {
        let mut guarded = Self::new(stream, parts);
        guarded.refuse(error);
        guarded
    }

    fn refuse(&mut self, error: ApiError) {
        self.parts.exchange.refuse(error);
        self.phase = ReadPhase::Ended;
        self.buffer = BytesMut::from(SUBSTITUTE_HEAD);
        self.cleared = SUBSTITUTE_HEAD.len();
        self.read_timer = None;
    }

    fn limits(&self) -> RequestLimits {
        self.parts.config.request_limits()
    }

    /// Clears for handing on what the buffer holds of the phase's message.
    fn clear(&mut self) {
        match self.phase {
            ReadPhase::Head if !self.parts.exchange.is_active() => self.clear_head(),
            ReadPhase::Head | ReadPhase::Ended => (),
            ReadPhase::Body(remaining) => {
                let available = u64::try_from(self.buffer.len()).unwrap_or(u64::MAX);
                let cleared = remaining.min(available);
                self.cleared = usize::try_from(cleared).unwrap_or(self.buffer.len());
                self.phase = after_body(remaining - cleared);
                self.note_body(self.cleared, self.phase == ReadPhase::Head);
            }
            ReadPhase::Chunked(mut decoder) => {
                let length = self.buffer.len();
                self.buffer = decoder.merge(&self.buffer);
                self.cleared = self.buffer.len();
                let is_done = decoder.is_done();
                self.phase = if is_done { ReadPhase::Ended } else { ReadPhase::Chunked(decoder) };
                self.note_body(length, is_done);
            }
        }
    }

    /// Notes that `length` bytes of a body have arrived.
    fn note_body(&mut self, length: usize, is_whole: bool) {
        self.unmarked += length;
        if is_whole {
            self.parts.exchange.enter(ConnectionStage::Serving);
        } else if self.unmarked >= PROGRESS_BYTES {
            self.unmarked = 0;
            self.parts.exchange.enter(ConnectionStage::Receiving);
        }
    }

    fn clear_head(&mut self) {
        self.skip_empty_lines();
        let limit = self.limits().head_bytes;
        if self.skipped > EMPTY_LINE_BYTES {
            return self.refuse(refusal::empty_lines(EMPTY_LINE_BYTES));
        }
        match self.find_head_end() {
            Some(end) if end <= limit => self.check(end),
            None if self.buffer.len() <= limit => (),
            _ => self.refuse(refusal::head_too_large(limit)),
        }
    }

    fn check(&mut self, end: usize) {
        match check_head(&self.buffer[..end], self.limits().body_bytes) {
            Ok(checked) => {
                let is_last = checked.framing == BodyFraming::Chunked
                    || self.buffer.len() - end > PIPELINE_BYTES
                        && checked.framing == BodyFraming::Length(0);
                self.parts.exchange.begin(is_last);
                self.cleared = end;
                if let Some(split) = checked.split {
                    self.parts.exchange.set_headers(split.headers);
                    let rest = self.buffer.split_off(end);
                    self.buffer = split.essential;
                    self.cleared = self.buffer.len();
                    self.buffer.unsplit(rest);
                }
                self.searched = 0;
                self.skipped = 0;
                self.unmarked = 0;
                self.read_timer = None;
                self.is_weighed = false;
                self.turn.spend_request();
                self.phase = match checked.framing {
                    BodyFraming::Length(length) => after_body(length),
                    BodyFraming::Chunked => ReadPhase::Chunked(ChunkDecoder::default()),
                };
                if self.phase != ReadPhase::Head {
                    self.parts.exchange.enter(ConnectionStage::Receiving);
                }
            }
            Err(error) => self.refuse(error),
        }
    }

    /// Drops empty lines before a head, as RFC 9112, section 2.2 asks.
    fn skip_empty_lines(&mut self) {
        if self.searched == 0 {
            let empty = self.buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
            self.buffer.advance(empty);
            self.skipped += empty;
        }
    }

    /// The end of the head in the buffer. Searches each byte once: a caller that sends a long
    /// head byte by byte would otherwise cost the square of its length.
    fn find_head_end(&mut self) -> Option<usize> {
        let buffer = &self.buffer[..];
        let end = (self.searched..buffer.len()).find(|&at| {
            let line = &buffer[..at];
            buffer[at] == b'\n' && (line.ends_with(b"\n\r") || line.ends_with(b"\n"))
        });
        self.searched = end.unwrap_or(buffer.len());
        end.map(|at| at + 1)
    }

    fn hand_on(&mut self, mut target: ReadBufCursor<'_>) {
        let length = self.cleared.min(target.remaining());
        target.put_slice(&self.buffer[..length]);
        self.buffer.advance(length);
        self.cleared -= length;
        if self.buffer.is_empty() {
            // An idle connection keeps no buffer.
            self.buffer = BytesMut::new();
        }
    }

    /// Handles a wait for more of a head. `Ready(true)` says that the connection is to be closed.
    fn poll_wait(&mut self, context: &mut Context<'_>) -> Poll<bool> {
        // A reply whose bytes still wait in `hyper` is not complete either: closing now would
        // cut it off.
        if self.parts.exchange.is_active() || self.write_timer.is_some() {
            self.read_timer = None;
            self.parts.exchange.wake_at_end(context);
            return Poll::Pending;
        }
        let wait = if self.buffer.is_empty() { ReadWait::Idle } else { ReadWait::Head };
        if self.poll_stopped(context) {
            return Poll::Ready(self.end_wait(wait, refusal::stopping()));
        }
        ready!(self.poll_read_timer(wait, context));
        Poll::Ready(self.end_wait(wait, refusal::head_timeout(self.limits().head_timeout)))
    }

    fn end_wait(&mut self, wait: ReadWait, error: ApiError) -> bool {
        match wait {
            ReadWait::Idle => true,
            ReadWait::Head => {
                self.refuse(error);
                false
            }
        }
    }

    fn poll_stopped(&mut self, context: &mut Context<'_>) -> bool {
        self.stopped = self.stopped || self.stopping.as_mut().poll(context).is_ready();
        self.stopped
    }

    fn poll_read_timer(&mut self, wait: ReadWait, context: &mut Context<'_>) -> Poll<()> {
        let started = self.read_timer.take().filter(|timer| timer.wait == wait);
        let timer = started.unwrap_or_else(|| {
            let limit = match wait {
                ReadWait::Idle => self.limits().idle_timeout,
                ReadWait::Head => self.limits().head_timeout,
            };
            ReadTimer { wait, sleep: self.parts.clock.sleep(limit) }
        });
        self.read_timer.insert(timer).sleep.as_mut().poll(context)
    }

    /// Whether the buffer may take more: beyond a whole head only so much that a hang-up is seen.
    fn has_room(&self) -> bool {
        let limit = match self.phase {
            ReadPhase::Ended => 0,
            ReadPhase::Head if self.parts.exchange.is_active() => PIPELINE_BYTES,
            _ => self.limits().head_bytes,
        };
        self.buffer.len() <= limit
    }

    /// Whether a request that was sent ahead is the next one.
    fn waits_for_turn(&self) -> bool {
        self.phase == ReadPhase::Head && !self.buffer.is_empty() && !self.parts.exchange.is_active()
    }

    /// Counts the head in the buffer, once it is whole, before it is handed on.
    fn weigh_head(&mut self) {
        self.skip_empty_lines();
        if !self.is_weighed
            && let Some(end) = self.find_head_end()
        {
            self.turn.spend_head(end);
            self.is_weighed = true;
        }
    }

    /// Waits for the next turn if this one is used up.
    fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Self { turn, parts, .. } = self;
        if turn.is_over() {
            parts.exchange.set_bulk(true);
        }
        turn.poll_begin(&*parts.clock, context)
    }

    fn poll_write_timer(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let limit = self.parts.config.write_timeout;
        if self.write_timer.is_none() {
            self.parts.exchange.enter(ConnectionStage::Unread);
        }
        let timer = self.write_timer.get_or_insert_with(|| self.parts.clock.sleep(limit));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, "the caller reads nothing"))
    }

    fn count_written(&self, outcome: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(length)) = outcome {
            self.parts.share.note_written(*length);
        }
    }

    /// Bounds a write that waits; a write that went on ends the bound.
    fn bound_write<T>(
        &mut self,
        outcome: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if outcome.is_pending() {
            return self.poll_write_timer(context).map(Err);
        }
        if self.write_timer.take().is_some() {
            if self.parts.exchange.stage() == ConnectionStage::Unread {
                self.parts.exchange.enter(ConnectionStage::Serving);
            }
            // The reading side gave way to this write; it must look again.
            context.waker().wake_by_ref();
        }
        outcome
    }
}

impl<S: Read + Unpin> GuardedStream<S> {
    /// Reads from the socket into the buffer; 0 is the end of the connection.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        ready!(self.poll_turn(context));
        let is_between_requests =
            self.phase == ReadPhase::Head && matches!(self.linger, LingerState::Open);
        let Self { stream, parts, buffer, turn, .. } = self;
        let take = |bytes: &[u8]| buffer.extend_from_slice(bytes);
        let filled = parts.scratch.poll_read(stream, context, take);
        match &filled {
            Poll::Ready(outcome) => turn.spend(*outcome.as_ref().unwrap_or(&0)),
            // What was sent ahead still waits for its turn.
            Poll::Pending if buffer.is_empty() => {
                turn.end();
                if is_between_requests {
                    parts.exchange.set_bulk(false);
                }
            }
            Poll::Pending => {}
        }
        filled
    }

    /// Discards what the caller still sends, until it closes or the time is up. Closing with
    /// bytes unread would make the operating system reset the connection, and the caller would
    /// lose a reply that it has not read yet.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let LingerState::Closing { sleep, discarded, .. } = &mut self.linger else {
            return Poll::Ready(());
        };
        if sleep.as_mut().poll(context).is_ready() || *discarded >= LINGER_BYTES {
            return Poll::Ready(());
        }
        loop {
            self.buffer.clear();
            let filled = ready!(self.poll_fill(context)).unwrap_or(0);
            if let LingerState::Closing { discarded, .. } = &mut self.linger {
                *discarded += filled;
                if filled == 0 || *discarded >= LINGER_BYTES {
                    return Poll::Ready(());
                }
            }
        }
    }
}

impl<S: Read + Unpin> Read for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.cleared == 0 {
                if self.waits_for_turn() {
                    self.weigh_head();
                    ready!(self.poll_turn(context));
                }
                self.clear();
            }
            if self.cleared > 0 {
                self.hand_on(target);
                return Poll::Ready(Ok(()));
            }
            if self.has_room() {
                match self.poll_fill(context)? {
                    Poll::Ready(0) => return Poll::Ready(Ok(())),
                    Poll::Ready(_) => continue,
                    Poll::Pending => (),
                }
            }
            if self.phase != ReadPhase::Head {
                return Poll::Pending;
            }
            if self.buffer.len() > PIPELINE_BYTES && self.parts.exchange.is_active() {
                self.parts.exchange.set_last();
            }
            if ready!(self.poll_wait(context)) {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<S: Read + Write + Unpin> Write for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count_written(&outcome);
        self.bound_write(outcome, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(context, pieces);
        self.count_written(&outcome);
        self.bound_write(outcome, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if matches!(self.linger, LingerState::Open) {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            if self.phase == ReadPhase::Head && self.buffer.is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.parts.exchange.enter(ConnectionStage::Closing);
            let Some(slot) = self.parts.lingers.take() else { return Poll::Ready(Ok(())) };
            let sleep = self.parts.clock.sleep(self.parts.config.linger_timeout);
            self.linger = LingerState::Closing { sleep, discarded: 0, _slot: slot };
        }
        self.poll_linger(context).map(Ok)
    }
}

fn after_body(remaining: u64) -> ReadPhase {
    if remaining == 0 { ReadPhase::Head } else { ReadPhase::Body(remaining) }
}
