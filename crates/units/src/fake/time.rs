//! Virtual time and its timers.

use {
    crate::{BootTime, Clock, LocalFuture, MonotonicTime, WallMillis},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        future::Future,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, Waker},
        time::Duration,
    },
};

/// The wall time at the start of every world: some moment in 2025.
const WALL_START: i64 = 1_750_000_000_000;

/// Orders timers by their time, and those of one time by their making.
type TimerKey = (MonotonicTime, u64);

/// The time of a world, the same for all of its processes.
#[derive(Default)]
pub(super) struct FakeTime {
    now: Cell<MonotonicTime>,
    made: Cell<u64>,
    timers: RefCell<BTreeMap<TimerKey, Waker>>,
}

impl FakeTime {
    pub(super) fn now(&self) -> MonotonicTime {
        self.now.get()
    }

    /// Moves on to the next timer, if it is due by `limit`, and wakes its task.
    pub(super) fn advance(&self, limit: MonotonicTime) -> bool {
        let first = self.timers.borrow().first_key_value().map(|(key, _)| *key);
        let Some(key) = first.filter(|(due, _)| *due <= limit) else {
            return false;
        };
        let waker = self.timers.borrow_mut().remove(&key);
        self.set_now(key.0);
        waker.into_iter().for_each(Waker::wake);
        true
    }

    /// Moves on to `time`, unless it is past.
    pub(super) fn set_now(&self, time: MonotonicTime) {
        self.now.set(self.now.get().max(time));
    }

    fn new_key(&self, due: MonotonicTime) -> TimerKey {
        self.made.set(self.made.get() + 1);
        (due, self.made.get())
    }
}

/// One process's view of the time: its wall clock may be wrong.
pub(super) struct FakeClock {
    pub(super) time: Rc<FakeTime>,
    /// Milliseconds that the wall clock is ahead of the truth.
    pub(super) offset: Cell<i64>,
    /// For how long its VM was suspended.
    pub(super) suspended: Cell<Duration>,
}

impl Clock for FakeClock {
    fn now(&self) -> MonotonicTime {
        self.time.now()
    }

    fn boot(&self) -> BootTime {
        BootTime(self.time.now().0 + self.suspended.get())
    }

    fn wall(&self) -> WallMillis {
        let passed = i64::try_from(self.time.now().0.as_millis()).unwrap_or(i64::MAX);
        let wall = WALL_START.saturating_add(passed).saturating_add(self.offset.get());
        WallMillis(u64::try_from(wall).unwrap_or(0))
    }

    fn sleep(&self, duration: Duration) -> LocalFuture<'static, ()> {
        let key = self.time.new_key(self.time.now() + duration);
        Box::pin(FakeSleep { time: self.time.clone(), key })
    }
}

/// Completes at its key's time.
struct FakeSleep {
    time: Rc<FakeTime>,
    key: TimerKey,
}

impl Future for FakeSleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.time.now() >= self.key.0 {
            return Poll::Ready(());
        }
        self.time.timers.borrow_mut().insert(self.key, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for FakeSleep {
    fn drop(&mut self) {
        self.time.timers.borrow_mut().remove(&self.key);
    }
}
