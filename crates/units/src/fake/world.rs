//! The executor of a world.

use {
    super::{process::FakeProcess, time::FakeTime},
    crate::{MonotonicTime, ProcessContext},
    futures::{
        executor::LocalPool,
        task::{ArcWake, waker},
    },
    std::{
        cell::{Cell, RefCell},
        future::Future,
        pin::pin,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
};

/// Spreads the seeds of processes (the golden ratio's fraction of 2^64, as in splitmix64).
const SEED_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Runs the processes of a test. Same seed, same code: same schedule.
pub struct FakeWorld {
    pool: RefCell<LocalPool>,
    time: Rc<FakeTime>,
    seed: u64,
    made: Cell<u64>,
}

/// Remembers that the main future was woken.
struct WakeFlag(AtomicBool);

impl ArcWake for WakeFlag {
    fn wake_by_ref(flag: &Arc<Self>) {
        flag.0.store(true, Ordering::Relaxed);
    }
}

impl FakeWorld {
    /// A world at time zero, and the context of its first process.
    pub fn new(seed: u64) -> (Self, ProcessContext) {
        let world = Self {
            pool: RefCell::new(LocalPool::new()),
            time: Rc::default(),
            seed,
            made: Cell::new(0),
        };
        let context = world.process().context().clone();
        (world, context)
    }

    /// A further process; its random numbers follow from the world's seed.
    pub fn process(&self) -> FakeProcess {
        self.made.set(self.made.get() + 1);
        let seed = self.seed ^ self.made.get().wrapping_mul(SEED_STEP);
        FakeProcess::new(self.time.clone(), self.pool.borrow().spawner(), seed)
    }

    /// The time now.
    pub fn now(&self) -> MonotonicTime {
        self.time.now()
    }

    /// Runs all tasks, and `future` beside them, until `future` completes.
    ///
    /// # Panics
    /// When every task waits and no timer is set: the test would hang.
    pub fn run_until<F: Future>(&self, future: F) -> F::Output {
        let end = MonotonicTime(Duration::MAX);
        self.run(future, end).unwrap_or_else(|| {
            panic!("all tasks wait and no timer is set; seed {}, at {:?}", self.seed, self.now().0)
        })
    }

    /// Runs all tasks for `duration` of virtual time.
    pub fn run_for(&self, duration: Duration) {
        let end = self.now() + duration;
        let never = self.run(std::future::pending::<()>(), end);
        debug_assert!(never.is_none());
        self.time.set_now(end);
        self.pool.borrow_mut().run_until_stalled();
    }

    /// `None`: no timer is due by `end`.
    fn run<F: Future>(&self, future: F, end: MonotonicTime) -> Option<F::Output> {
        let mut future = pin!(future);
        let flag = Arc::new(WakeFlag(AtomicBool::new(true)));
        let waker = waker(flag.clone());
        loop {
            if flag.0.swap(false, Ordering::Relaxed)
                && let Poll::Ready(output) = future.as_mut().poll(&mut Context::from_waker(&waker))
            {
                return Some(output);
            }
            self.pool.borrow_mut().run_until_stalled();
            let woken = flag.0.load(Ordering::Relaxed);
            if !woken && !self.time.advance(end) {
                return None;
            }
        }
    }
}
