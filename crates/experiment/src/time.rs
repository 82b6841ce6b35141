//! Virtual time: the clock jumps to the next timer when every task waits.

use {
    futures::{
        executor::{LocalPool, LocalSpawner},
        task::LocalSpawnExt,
    },
    gullglade_units::{
        Clock, LocalFuture, MonotonicTime, ProcessContext, SeededRandom, TaskSpawner, WallMillis,
    },
    std::{
        cell::{Cell, RefCell},
        cmp::Reverse,
        collections::BinaryHeap,
        future::Future,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, Waker},
        time::Duration,
    },
};

struct Timer {
    end: MonotonicTime,
    sequence: u64,
    waker: Waker,
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Timer {}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.end, self.sequence).cmp(&(other.end, other.sequence))
    }
}

#[derive(Default)]
struct ClockState {
    now: Cell<MonotonicTime>,
    sequence: Cell<u64>,
    timers: RefCell<BinaryHeap<Reverse<Timer>>>,
}

/// A clock that stands still until [`VirtualRun`] moves it. Clones are one clock.
#[derive(Clone, Default)]
pub struct VirtualClock {
    state: Rc<ClockState>,
}

impl VirtualClock {
    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.now().0.as_secs_f64()
    }

    /// Completes when the clock shows `end`.
    pub fn until(&self, end: MonotonicTime) -> impl Future<Output = ()> + use<> {
        VirtualSleep { state: self.state.clone(), end, registered: false }
    }

    /// The next timers that end together, woken; false where there is none up to `limit`.
    fn step(&self, limit: MonotonicTime) -> bool {
        let mut timers = self.state.timers.borrow_mut();
        let Some(end) = timers.peek().map(|timer| timer.0.end).filter(|end| *end <= limit) else {
            return false;
        };
        self.state.now.set(end.max(self.state.now.get()));
        while timers.peek().is_some_and(|timer| timer.0.end == end) {
            if let Some(Reverse(timer)) = timers.pop() {
                timer.waker.wake();
            }
        }
        true
    }
}

impl Clock for VirtualClock {
    fn now(&self) -> MonotonicTime {
        self.state.now.get()
    }

    fn wall(&self) -> WallMillis {
        WallMillis(u64::try_from(self.now().0.as_millis()).unwrap_or(u64::MAX))
    }

    fn sleep(&self, duration: Duration) -> LocalFuture<'static, ()> {
        Box::pin(self.until(self.now() + duration))
    }
}

struct VirtualSleep {
    state: Rc<ClockState>,
    end: MonotonicTime,
    registered: bool,
}

impl Future for VirtualSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.state.now.get() >= self.end {
            return Poll::Ready(());
        }
        if !self.registered {
            self.registered = true;
            let sequence = self.state.sequence.get();
            self.state.sequence.set(sequence + 1);
            let timer = Timer { end: self.end, sequence, waker: context.waker().clone() };
            self.state.timers.borrow_mut().push(Reverse(timer));
        }
        Poll::Pending
    }
}

struct PoolSpawner {
    spawner: LocalSpawner,
}

impl TaskSpawner for PoolSpawner {
    fn spawn(&self, task: LocalFuture<'static, ()>) {
        self.spawner.spawn_local(task).expect("the pool lives as long as the run");
    }
}

/// Tasks over a virtual clock.
pub struct VirtualRun {
    pool: LocalPool,
    clock: VirtualClock,
}

impl Default for VirtualRun {
    fn default() -> Self {
        Self::new()
    }
}

impl VirtualRun {
    /// A run without tasks at time zero.
    pub fn new() -> Self {
        Self { pool: LocalPool::new(), clock: VirtualClock::default() }
    }

    /// The clock.
    pub fn clock(&self) -> VirtualClock {
        self.clock.clone()
    }

    /// The context for tasks of this run.
    pub fn context(&self, seed: u64) -> ProcessContext {
        ProcessContext {
            clock: Rc::new(self.clock()),
            random: Rc::new(SeededRandom::new(seed)),
            spawner: Rc::new(PoolSpawner { spawner: self.pool.spawner() }),
        }
    }

    /// Runs all tasks until `limit`, or until no timer is left.
    pub fn run_until(&mut self, limit: MonotonicTime) {
        self.pool.run_until_stalled();
        while self.clock.step(limit) {
            self.pool.run_until_stalled();
        }
    }
}
