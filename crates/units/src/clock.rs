//! Time. Leases and timeouts use [`MonotonicTime`], which never steps back; [`WallMillis`] is for
//! people, for stamps and for keys that must be old or new on every VM.

use {
    crate::LocalFuture,
    futures::future::{Either, select},
    rustix::time::{ClockId, clock_gettime},
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        future::Future,
        pin::pin,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Time since an arbitrary start of this process; means nothing to another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(pub Duration);

impl MonotonicTime {
    /// The time from `earlier` to this, or zero where `earlier` is later.
    pub fn since(self, earlier: MonotonicTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl std::ops::Add<Duration> for MonotonicTime {
    type Output = MonotonicTime;

    fn add(self, duration: Duration) -> MonotonicTime {
        MonotonicTime(self.0 + duration)
    }
}

/// Time since the start of a VM, including the time for which the VM was suspended. The monotonic
/// clock stands still meanwhile, so what must not be used for longer than promised is measured with
/// this one. Means nothing to another process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BootTime(pub Duration);

impl BootTime {
    /// The time from `earlier` to this, or zero where `earlier` is later.
    pub fn since(self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// This much earlier; `None` where that lies before the start of the VM.
    pub fn earlier(self, duration: Duration) -> Option<BootTime> {
        self.0.checked_sub(duration).map(BootTime)
    }
}

impl std::ops::Add<Duration> for BootTime {
    type Output = BootTime;

    fn add(self, duration: Duration) -> BootTime {
        BootTime(self.0 + duration)
    }
}

/// A reading of another process's clock, to be handed back to that process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockStamp {
    /// The run of the process; its next run must not mistake the reading for one of its own.
    pub run: u64,
    /// The reading.
    pub time: BootTime,
}

/// Milliseconds since the Unix epoch, as this VM believes; may step.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallMillis(pub u64);

impl fmt::Display for WallMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The clocks and the timer of a process.
pub trait Clock {
    /// The monotonic time now.
    fn now(&self) -> MonotonicTime;

    /// The time since the start of the VM. A clock that is never suspended is the monotonic one.
    fn boot(&self) -> BootTime {
        BootTime(self.now().0)
    }

    /// The wall time now.
    fn wall(&self) -> WallMillis;

    /// Completes after `duration` of monotonic time.
    fn sleep(&self, duration: Duration) -> LocalFuture<'static, ()>;
}

/// The operating system's clocks and monoio's timer.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// A clock whose monotonic time starts now.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.start.elapsed())
    }

    fn boot(&self) -> BootTime {
        let reading = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(reading.tv_sec).unwrap_or_default();
        BootTime(Duration::new(seconds, u32::try_from(reading.tv_nsec).unwrap_or_default()))
    }

    fn wall(&self) -> WallMillis {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallMillis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    fn sleep(&self, duration: Duration) -> LocalFuture<'static, ()> {
        Box::pin(monoio::time::sleep(duration))
    }
}

/// Runs `future` for at most `limit`; `None` says that the limit came first, and `future` is
/// dropped.
pub async fn timeout<F: Future>(
    clock: &dyn Clock,
    limit: Duration,
    future: F,
) -> Option<F::Output> {
    match select(pin!(future), clock.sleep(limit)).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(((), _)) => None,
    }
}
