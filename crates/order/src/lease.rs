//! The right to give orders.

use {
    crate::OrderSettings,
    gullglade_units::{LocalFuture, MonotonicTime, ProcessContext, VmName, WallMillis},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, time::Duration},
};

/// Grows with each holder of the lease; of two holders the higher is the newer.
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

/// A lease as its source gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The number to give orders under: higher than any given before, and given once.
    pub fence: FenceNumber,
    /// How long it lasts, from a moment that is not before the call was made.
    pub duration: Duration,
    /// How long, from the moment of the grant, the lease of any predecessor may still last by that
    /// holder's own count: zero where the source knows that none does.
    pub predecessor_left: Duration,
}

/// Why there is no lease.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LeaseError {
    /// Another VM has it.
    #[snafu(display("VM {holder} holds the lease for orders under fencing number {fence}"))]
    Held {
        /// The holder.
        holder: VmName,
        /// Its number.
        fence: FenceNumber,
    },
    /// The number is not the current one any more.
    #[snafu(display("fencing number {fence} is no longer the current one"))]
    Lost {
        /// The number given.
        fence: FenceNumber,
    },
    /// The control log does not answer.
    #[snafu(display(
        "the control log gives no lease now ({reason}): see `gladectl status` for its voters"
    ))]
    Unavailable {
        /// What failed.
        reason: String,
    },
}

/// Gives the lease: the control log, which decides on each call in its one order.
pub trait LeaseSource {
    /// Takes the lease, where nobody else has it. Each success gives a new fencing number, also
    /// to a VM that has the lease already: a restarted process cannot know what it gave before.
    fn acquire<'a>(&'a self, holder: &'a VmName)
    -> LocalFuture<'a, Result<LeaseGrant, LeaseError>>;

    /// Lengthens the lease of `fence`; its duration from a moment not before the call was made.
    fn renew(&self, fence: FenceNumber) -> LocalFuture<'_, Result<Duration, LeaseError>>;
}

/// A lease in its holder's hands. It ends for the holder before it ends for anybody else.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    fence: FenceNumber,
    /// Both clocks when the last call that gave or renewed it was *made*.
    since: MonotonicTime,
    since_wall: WallMillis,
    usable: Duration,
    /// When no predecessor's order can reach an engine any more.
    predecessor_ends_at: MonotonicTime,
}

impl HeldLease {
    /// The lease of `grant`, for which the source was asked at `asked` and `asked_wall` and which
    /// arrived now.
    pub fn new(
        grant: &LeaseGrant,
        asked: MonotonicTime,
        asked_wall: WallMillis,
        context: &ProcessContext,
        settings: &OrderSettings,
    ) -> Self {
        let wait = settings.predecessor_wait(grant.predecessor_left);
        Self {
            fence: grant.fence,
            since: asked,
            since_wall: asked_wall,
            usable: settings.usable(grant.duration),
            predecessor_ends_at: context.clock.now() + wait,
        }
    }

    /// The same lease, renewed by a call made at `asked` and `asked_wall`.
    pub fn renewed(
        self,
        duration: Duration,
        asked: MonotonicTime,
        asked_wall: WallMillis,
        settings: &OrderSettings,
    ) -> Self {
        let usable = settings.usable(duration);
        Self { since: asked, since_wall: asked_wall, usable, ..self }
    }

    /// The number to give orders under.
    pub fn fence(&self) -> FenceNumber {
        self.fence
    }

    /// How long orders may still be sent.
    ///
    /// By both clocks, because the monotonic clock stands still while a VM is suspended: the
    /// holder would wake up hours later, find its lease young, and give orders beside its
    /// successor. The wall clock shows the gap. One that steps ahead ends the lease too early,
    /// which costs a renewal.
    pub fn left(&self, context: &ProcessContext) -> Duration {
        let by_monotonic = context.clock.now().since(self.since);
        let wall = context.clock.wall().0.saturating_sub(self.since_wall.0);
        let spent = by_monotonic.max(Duration::from_millis(wall));
        self.usable.saturating_sub(spent)
    }

    /// How long until engines that ignore fencing may be given orders.
    pub fn predecessor_left(&self, context: &ProcessContext) -> Duration {
        self.predecessor_ends_at.since(context.clock.now())
    }
}
