//! Bounds of a server.

use {
    crate::{BodyBudget, RequestLimits, SharedLimits, WorkLane},
    std::time::Duration,
};

/// The bounds of a server; each method sets one of them.
#[derive(Clone)]
pub struct ServerConfig {
    pub(crate) limits: SharedLimits,
    pub(crate) body_budget: Option<BodyBudget>,
    pub(crate) work_lane: WorkLane,
    pub(crate) head_limit: usize,
    pub(crate) head_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) body_limit: u64,
    pub(crate) body_timeout: Duration,
    pub(crate) body_total_timeout: Duration,
    pub(crate) write_timeout: Duration,
    pub(crate) unread_limit: usize,
    pub(crate) connection_limit: usize,
    pub(crate) per_address_limit: usize,
    pub(crate) linger_timeout: Duration,
    pub(crate) reuse_port: bool,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            limits: SharedLimits::default(),
            body_budget: None,
            work_lane: WorkLane::default(),
            head_limit: 64 << 10,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            body_limit: 16 << 20,
            body_timeout: Duration::from_secs(15),
            body_total_timeout: Duration::from_secs(300),
            write_timeout: Duration::from_secs(60),
            unread_limit: 32 << 20,
            connection_limit: 12_000,
            per_address_limit: 4_000,
            linger_timeout: Duration::from_secs(1),
            reuse_port: false,
        }
    }
}

impl ServerConfig {
    /// The defaults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Limits that apply once they are set: the sizes beside those of this configuration, the times
    /// in place of them.
    pub fn shared_limits(mut self, limits: &SharedLimits) -> Self {
        self.limits = limits.clone();
        self
    }

    /// Memory for the bodies that handlers collect, and for replies to HTTP/1.0. Default: no bound
    /// on their sum. Without room for a body: 503.
    pub fn body_budget(mut self, budget: &BodyBudget) -> Self {
        self.body_budget = Some(budget.clone());
        self
    }

    /// The lane in which connections that send much wait for their turns. Default: one of the
    /// server's own.
    pub fn work_lane(mut self, lane: &WorkLane) -> Self {
        self.work_lane = lane.clone();
        self
    }

    /// The limits on requests in force.
    pub(crate) fn request_limits(&self) -> RequestLimits {
        let own = RequestLimits {
            head_bytes: self.head_limit,
            body_bytes: self.body_limit,
            head_timeout: self.head_timeout,
            idle_timeout: self.idle_timeout,
        };
        self.limits.get().map_or(own, |shared| RequestLimits {
            head_bytes: shared.head_bytes.min(own.head_bytes),
            body_bytes: shared.body_bytes.min(own.body_bytes),
            ..shared
        })
    }

    /// The most bytes of a request's head; at least 8,192. Default 64 KiB; over it: 431.
    pub fn head_limit(mut self, bytes: usize) -> Self {
        self.head_limit = bytes.max(8 << 10);
        self
    }

    /// The time from the first byte of a head to its last. Default 10 s; over it: 408.
    pub fn head_timeout(mut self, limit: Duration) -> Self {
        self.head_timeout = limit;
        self
    }

    /// How long a connection may wait for its next request. Default 75 s; over it the
    /// connection is closed without a reply, as there is nothing to reply to.
    pub fn idle_timeout(mut self, limit: Duration) -> Self {
        self.idle_timeout = limit;
        self
    }

    /// The most bytes of a request's body. Default 16 MiB; over it: 413.
    pub fn body_limit(mut self, bytes: u64) -> Self {
        self.body_limit = bytes;
        self
    }

    /// The longest pause between two pieces of a request's body. Default 15 s; over it: 408.
    pub fn body_timeout(mut self, limit: Duration) -> Self {
        self.body_timeout = limit;
        self
    }

    /// The time for a whole request's body, however steadily it trickles. Default 300 s; over
    /// it: 408.
    pub fn body_total_timeout(mut self, limit: Duration) -> Self {
        self.body_total_timeout = limit;
        self
    }

    /// How long the caller may take none of a reply's bytes while some wait. Default 60 s; over
    /// it the connection is closed, which drops the reply's stream.
    pub fn write_timeout(mut self, limit: Duration) -> Self {
        self.write_timeout = limit;
        self
    }

    /// The most bytes of replies that the server holds in sum because callers have not
    /// read them, apart from one piece for each connection. Default 32 MiB, a quarter of the
    /// memory of a small VM; over it no more is taken from the producers of the replies.
    pub fn unread_limit(mut self, bytes: usize) -> Self {
        self.unread_limit = bytes;
        self
    }

    /// The most connections open at once. Default 12,000. Over it, the connection without a request
    /// in progress that has made no progress for the longest time is closed in favour of the new
    /// one; if there is none: a short 503, then close.
    pub fn connection_limit(mut self, connections: usize) -> Self {
        self.connection_limit = connections;
        self
    }

    /// The most connections open at once from one IP address. Default 4,000, as whole sites come
    /// from one address; over it, the same among the connections of that address.
    pub fn per_address_limit(mut self, connections: usize) -> Self {
        self.per_address_limit = connections;
        self
    }

    /// How long a connection that is being closed still discards what the caller sends, so that
    /// the caller can read the last reply. Default 1 s.
    pub fn linger_timeout(mut self, limit: Duration) -> Self {
        self.linger_timeout = limit;
        self
    }

    /// Whether further listeners, one per thread, may share the port (`SO_REUSEPORT`). Default
    /// no, so that a second process on the same port is told of the first.
    pub fn reuse_port(mut self, reuse: bool) -> Self {
        self.reuse_port = reuse;
        self
    }
}
