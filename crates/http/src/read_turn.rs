//! Turns of reading: a connection that always has more to read lets the others go on.

use {
    crate::WorkLane,
    gullglade_units::{Clock, LocalFuture, MonotonicTime},
    std::{
        task::{Context, Poll, ready},
        time::Duration,
    },
};

/// Bytes read in one turn.
const TURN_BYTES: usize = 128 << 10;

/// A byte of a head costs about as much as this many of a body.
const HEAD_BYTE_WEIGHT: usize = 16;

/// A piece of a body costs about as much as this many of its bytes.
const PIECE_WEIGHT: usize = 128;

/// A connection that has read this much without a wait is busy.
const BUSY_BYTES: usize = 8 * PIECE_WEIGHT;

/// Shortest pause between two turns. It is a timer because the runtime runs its timers only when no
/// task is ready: a task that just wakes itself would hold up all time limits.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// What a connection has read since it last had nothing to read.
pub(crate) struct ReadTurn {
    lane: WorkLane,
    spent: usize,
    /// Whether turns before this one were used up.
    is_bulk: bool,
    pause: Option<LocalFuture<'static, ()>>,
}

impl ReadTurn {
    pub(crate) fn new(lane: WorkLane) -> Self {
        Self { lane, spent: 0, is_bulk: false, pause: None }
    }

    /// Counts bytes of a body, or bytes that are discarded.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.spent = self.spent.saturating_add(bytes);
    }

    /// Counts a piece of a body that may be small.
    pub(crate) fn spend_piece(&mut self, bytes: usize) {
        self.spend(bytes.saturating_add(PIECE_WEIGHT));
    }

    /// Counts bytes of a head.
    pub(crate) fn spend_head(&mut self, bytes: usize) {
        self.spend(bytes.saturating_mul(HEAD_BYTE_WEIGHT));
    }

    /// Counts a request: a second one that was sent ahead has to wait for the next turn.
    pub(crate) fn spend_request(&mut self) {
        self.spend(TURN_BYTES / 2);
    }

    /// Ends the turn, as there is nothing to read.
    pub(crate) fn end(&mut self) {
        self.spent = 0;
        self.is_bulk = false;
        self.pause = None;
    }

    /// Whether the connection has had more to read several times without a wait.
    pub(crate) fn is_busy(&self) -> bool {
        self.is_bulk || self.spent >= BUSY_BYTES
    }

    /// Charges the lane with `elapsed` of work until `now`.
    pub(crate) fn charge(&self, elapsed: Duration, now: MonotonicTime) {
        self.lane.charge(elapsed, now);
    }

    /// Whether turns before this one were used up.
    pub(crate) fn is_bulk(&self) -> bool {
        self.is_bulk
    }

    /// Whether the turn is used up.
    pub(crate) fn is_over(&self) -> bool {
        self.spent >= TURN_BYTES
    }

    /// Completes when the connection may read: at once, or after a pause if the turn is used up.
    pub(crate) fn poll_begin(&mut self, clock: &dyn Clock, context: &mut Context<'_>) -> Poll<()> {
        if !self.is_over() {
            return Poll::Ready(());
        }
        let lane = &self.lane;
        let pause =
            self.pause.get_or_insert_with(|| clock.sleep(lane.book(clock.now()).max(TURN_PAUSE)));
        ready!(pause.as_mut().poll(context));
        self.pause = None;
        self.spent = 0;
        self.is_bulk = true;
        Poll::Ready(())
    }
}
