//! Turns of reading a reply's body that always has more.

use {
    crate::{WorkLane, read_turn::ReadTurn},
    gullglade_units::Clock,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        task::{Context, Poll, Waker},
    },
};

/// The turn of one connection, shared by the task that reads from its socket and the body that takes
/// pieces from that task.
pub(super) struct BodyTurn {
    turn: RefCell<ReadTurn>,
    clock: Rc<dyn Clock>,
    /// Woken when the socket has nothing more to read.
    drain_waker: Cell<Option<Waker>>,
}

impl BodyTurn {
    pub(super) fn new(lane: WorkLane, clock: Rc<dyn Clock>) -> Self {
        let turn = RefCell::new(ReadTurn::new(lane));
        Self { turn, clock, drain_waker: Cell::new(None) }
    }

    /// Runs `work` for the connection, and charges the lane for it where that is due.
    pub(super) fn run<T>(&self, work: impl FnOnce() -> T) -> T {
        if !self.turn.borrow().is_bulk() {
            return work();
        }
        let began = self.clock.now();
        let result = work();
        let now = self.clock.now();
        self.turn.borrow().charge(now.since(began), now);
        result
    }

    /// Completes when a piece may be taken.
    pub(super) fn poll_begin(&self, context: &mut Context<'_>) -> Poll<()> {
        self.turn.borrow_mut().poll_begin(&*self.clock, context)
    }

    /// Counts a piece.
    pub(super) fn spend(&self, bytes: usize) {
        self.turn.borrow_mut().spend_piece(bytes);
    }

    /// Notes that the socket has nothing to read.
    pub(super) fn note_drained(&self) {
        self.turn.borrow_mut().end();
        if let Some(waker) = self.drain_waker.take() {
            waker.wake();
        }
    }

    /// Has the task of `context` woken when the socket has nothing to read.
    pub(super) fn wake_when_drained(&self, context: &Context<'_>) {
        self.drain_waker.set(Some(context.waker().clone()));
    }

    /// Whether many pieces came without a pause.
    pub(super) fn is_busy(&self) -> bool {
        self.turn.borrow().is_busy()
    }

    /// Whether the next piece waits for the connection's turn.
    pub(super) fn is_paused(&self) -> bool {
        self.turn.borrow().is_over()
    }
}
