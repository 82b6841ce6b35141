//! The lease that entitles one VM at a time to send orders.

use {
    crate::OrderSettings,
    gullglade_units::{LocalFuture, MonotonicTime, ProcessContext, VmName, WallMillis},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, time::Duration},
};

/// Fencing number of a lease. Each new lease has a higher number than all before it, so engines can
/// refuse orders under an earlier lease.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FenceNumber(pub u64);

impl fmt::Display for FenceNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A lease as granted by its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The fencing number: unique, and higher than any granted before.
    pub fence: FenceNumber,
    /// Duration of the lease, counted from a time that is not before the call was made.
    pub duration: Duration,
    /// Time after the grant for which the lease of any predecessor may still last by that holder's
    /// own clock. Zero if the source knows that no lease remains.
    pub predecessor_left: Duration,
}

/// A lease was not granted or not renewed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LeaseError {
    /// Another VM holds the lease.
    #[snafu(display("VM {holder} holds the lease for orders under fencing number {fence}"))]
    Held {
        /// The holder.
        holder: VmName,
        /// Fencing number of the holder.
        fence: FenceNumber,
    },
    /// The fencing number is no longer the current one.
    #[snafu(display("fencing number {fence} is no longer the current one"))]
    Lost {
        /// The given fencing number.
        fence: FenceNumber,
    },
    /// The control log is unavailable.
    #[snafu(display(
        "the control log cannot grant a lease now ({reason}): see `gladectl status` for its voters"
    ))]
    Unavailable {
        /// Description of the failure.
        reason: String,
    },
}

/// Grants the lease. Implemented by the control log, which decides all calls in one total order.
pub trait LeaseSource {
    /// Acquires the lease if no other VM holds it. Each success returns a new fencing number, even
    /// if the VM already holds the lease: a restarted process does not know which orders it sent
    /// before.
    fn acquire<'a>(&'a self, holder: &'a VmName)
    -> LocalFuture<'a, Result<LeaseGrant, LeaseError>>;

    /// Renews the lease of `fence`. Returns its new duration, counted from a time that is not
    /// before the call was made.
    fn renew(&self, fence: FenceNumber) -> LocalFuture<'_, Result<Duration, LeaseError>>;
}

/// A lease as seen by its holder. It ends for the holder before it ends for any other process.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    fence: FenceNumber,
    /// Monotonic and wall clock when the last successful call to acquire or renew the lease was
    /// *made*.
    last_request: MonotonicTime,
    last_request_wall: WallMillis,
    usable: Duration,
    /// Time after which no order of a predecessor can reach an engine.
    predecessor_ends_at: MonotonicTime,
}

impl HeldLease {
    /// Creates the lease of a `grant` that was requested at `requested_at` and `requested_at_wall`
    /// and has just arrived.
    pub fn new(
        grant: &LeaseGrant,
        requested_at: MonotonicTime,
        requested_at_wall: WallMillis,
        context: &ProcessContext,
        settings: &OrderSettings,
    ) -> Self {
        let wait = settings.predecessor_wait(grant.predecessor_left);
        Self {
            fence: grant.fence,
            last_request: requested_at,
            last_request_wall: requested_at_wall,
            usable: settings.usable(grant.duration),
            predecessor_ends_at: context.clock.now() + wait,
        }
    }

    /// Returns the lease as renewed by a call that was made at `requested_at` and
    /// `requested_at_wall`.
    pub fn renewed(
        self,
        duration: Duration,
        requested_at: MonotonicTime,
        requested_at_wall: WallMillis,
        settings: &OrderSettings,
    ) -> Self {
        let usable = settings.usable(duration);
        Self { last_request: requested_at, last_request_wall: requested_at_wall, usable, ..self }
    }

    /// Returns the fencing number.
    pub fn fence(&self) -> FenceNumber {
        self.fence
    }

    /// Returns the remaining time in which orders may be sent.
    ///
    /// Both clocks are used, because the monotonic clock stops while a VM is suspended: hours
    /// later, the holder would resume with a seemingly recent lease and send orders alongside its
    /// successor. The wall clock reveals the gap. If the wall clock steps ahead, the lease ends too
    /// early, which costs a renewal.
    pub fn left(&self, context: &ProcessContext) -> Duration {
        let by_monotonic = context.clock.now().since(self.last_request);
        let wall = context.clock.wall().0.saturating_sub(self.last_request_wall.0);
        let spent = by_monotonic.max(Duration::from_millis(wall));
        self.usable.saturating_sub(spent)
    }

    /// Returns the time until orders may be sent to engines that ignore fencing.
    pub fn predecessor_left(&self, context: &ProcessContext) -> Duration {
        self.predecessor_ends_at.since(context.clock.now())
    }
}
