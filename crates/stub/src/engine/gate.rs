//! Permits handed out by priority, then by arrival: the slots of an engine and its prefill.

use {
    futures::channel::oneshot,
    std::{
        cell::{Cell, RefCell},
        cmp::Reverse,
        collections::BTreeMap,
        rc::Rc,
    },
};

/// How urgent a request is: a higher number is served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestPriority(pub i32);

/// The order of waiting: the highest priority, then the earliest arrival.
type WaitRank = (Reverse<RequestPriority>, u64);

#[derive(Debug)]
struct GateState {
    free: Cell<usize>,
    arrivals: Cell<u64>,
    waiting: RefCell<BTreeMap<WaitRank, oneshot::Sender<GatePermit>>>,
}

/// A fixed number of permits and the queue for them.
#[derive(Clone, Debug)]
pub struct PriorityGate {
    state: Rc<GateState>,
}

impl PriorityGate {
    /// A gate with `permits` permits, all free.
    pub fn new(permits: usize) -> Self {
        let state = GateState {
            free: Cell::new(permits),
            arrivals: Cell::new(0),
            waiting: RefCell::new(BTreeMap::new()),
        };
        Self { state: Rc::new(state) }
    }

    /// Permits that nobody holds.
    pub fn free(&self) -> usize {
        self.state.free.get()
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.state.waiting.borrow().len()
    }

    /// Waits for a permit. Dropping the future gives the place in the queue up.
    pub async fn enter(&self, priority: RequestPriority) -> GatePermit {
        if self.state.free.get() > 0 {
            self.state.free.set(self.state.free.get() - 1);
            return GatePermit { state: self.state.clone() };
        }
        let arrival = self.state.arrivals.get();
        self.state.arrivals.set(arrival + 1);
        let rank = (Reverse(priority), arrival);
        let (sender, receiver) = oneshot::channel();
        self.state.waiting.borrow_mut().insert(rank, sender);
        let _place = QueuePlace { state: &self.state, rank };
        receiver.await.expect("a sender leaves the queue only with a permit or with its place")
    }
}

/// Takes a waiter that gave up out of the queue.
struct QueuePlace<'a> {
    state: &'a GateState,
    rank: WaitRank,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let sender = self.state.waiting.borrow_mut().remove(&self.rank);
        drop(sender);
    }
}

/// One permit; dropping it hands it to the first in the queue.
#[derive(Debug)]
pub struct GatePermit {
    state: Rc<GateState>,
}

impl Drop for GatePermit {
    fn drop(&mut self) {
        let next = self.state.waiting.borrow_mut().pop_first();
        match next {
            // A waiter that went away between the two lines drops the permit it is sent, which
            // comes back here and goes to the next one.
            Some((_, sender)) => drop(sender.send(GatePermit { state: self.state.clone() })),
            None => self.state.free.set(self.state.free.get() + 1),
        }
    }
}
