//! Bounds what a server holds in sum of replies that callers have not read.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    task::{Context, Waker},
};

/// The bytes that a server holds of replies.
///
/// While they exceed the limit, only connections that hold nothing take a further piece, so every
/// caller who reads makes progress, and the sum exceeds the limit by one piece a connection at
/// most.
pub(crate) struct ReplyBuffers {
    limit: usize,
    held: Cell<usize>,
    waiting: RefCell<Vec<Waker>>,
}

impl ReplyBuffers {
    pub(crate) fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, held: Cell::new(0), waiting: RefCell::default() })
    }

    pub(crate) fn held(&self) -> usize {
        self.held.get()
    }

    fn release(&self, length: usize) {
        let was_full = self.held.get() >= self.limit;
        self.held.set(self.held.get() - length);
        if was_full && self.held.get() < self.limit {
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }
}

/// What one connection holds. Released on drop.
pub(crate) struct ReplyShare {
    buffers: Rc<ReplyBuffers>,
    own: Cell<usize>,
}

impl ReplyShare {
    pub(crate) fn new(buffers: &Rc<ReplyBuffers>) -> Rc<Self> {
        Rc::new(Self { buffers: Rc::clone(buffers), own: Cell::new(0) })
    }

    /// Whether a further piece may be taken. If not, the task of `context` is woken when one may.
    pub(crate) fn may_take(&self, context: &Context<'_>) -> bool {
        let may_take = self.own.get() == 0 || self.buffers.held.get() < self.buffers.limit;
        if !may_take {
            let mut waiting = self.buffers.waiting.borrow_mut();
            if !waiting.iter().any(|waker| waker.will_wake(context.waker())) {
                waiting.push(context.waker().clone());
            }
        }
        may_take
    }

    /// Counts a piece that was taken.
    pub(crate) fn take(&self, length: usize) {
        self.own.set(self.own.get() + length);
        self.buffers.held.set(self.buffers.held.get() + length);
    }

    /// Counts bytes that the operating system took. Heads and framing, which are not counted when
    /// they are taken, make the count of a connection a little too small until it is idle.
    pub(crate) fn note_written(&self, length: usize) {
        let length = length.min(self.own.get());
        self.own.set(self.own.get() - length);
        self.buffers.release(length);
    }
}

impl Drop for ReplyShare {
    fn drop(&mut self) {
        self.note_written(self.own.get());
    }
}
