//! Bounds of a client.

use {crate::WorkLane, std::time::Duration};

/// The bounds of a client; each method sets one of them.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    pub(crate) connect_timeout: Duration,
    pub(crate) head_timeout: Duration,
    pub(crate) head_limit: usize,
    pub(crate) body_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) idle_limit: usize,
    pub(crate) keep_alive_margin: Option<Duration>,
    pub(crate) takes_unframed: bool,
    pub(crate) silence_timeout: Option<Duration>,
    pub(crate) work_lane: WorkLane,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            head_timeout: Duration::from_secs(120),
            head_limit: 64 << 10,
            body_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(4),
            idle_limit: 64,
            keep_alive_margin: None,
            takes_unframed: false,
            silence_timeout: None,
            work_lane: WorkLane::default(),
        }
    }
}

impl ClientConfig {
    /// The defaults.
    pub fn new() -> Self {
        Self::default()
    }

    /// The time to connect. Default 1 s.
    pub fn connect_timeout(mut self, limit: Duration) -> Self {
        self.connect_timeout = limit;
        self
    }

    /// The time from sending a request to the head of its reply. Default 120 s, as a reply that
    /// is not streamed has its head only when it is complete.
    pub fn head_timeout(mut self, limit: Duration) -> Self {
        self.head_timeout = limit;
        self
    }

    /// The most bytes of a reply's head; at least 8,192. Default 64 KiB.
    pub fn head_limit(mut self, bytes: usize) -> Self {
        self.head_limit = bytes.max(8 << 10);
        self
    }

    /// The longest pause between two pieces of a reply's body. Default 60 s.
    pub fn body_timeout(mut self, limit: Duration) -> Self {
        self.body_timeout = limit;
        self
    }

    /// How long a connection is kept for the next request. Default 4 s: shorter than the 5 s
    /// after which common servers of model engines close theirs, because a request that meets
    /// such a close has an unknown outcome.
    pub fn idle_timeout(mut self, limit: Duration) -> Self {
        self.idle_timeout = limit;
        self
    }

    /// Uses a connection for as long as the other side's `keep-alive` header allows, less
    /// `margin`, and for [`idle_timeout`](Self::idle_timeout) at most. Default: the header is not
    /// looked at. A request that is sent while the other side closes has an unknown outcome.
    pub fn honour_keep_alive(mut self, margin: Duration) -> Self {
        self.keep_alive_margin = Some(margin);
        self
    }

    /// Takes replies that have neither a length nor chunks and end with their connection, where
    /// it is closed in order. Default no: a server that stops midway may close in order too.
    pub fn take_unframed(mut self) -> Self {
        self.takes_unframed = true;
        self
    }

    /// Breaks a connection whose other side acknowledges nothing for `limit`, by TCP's own timer.
    /// Default: the operating system's, which is many minutes. A link that drops all packets
    /// shows in no other way while a long answer is waited for.
    pub fn silence_timeout(mut self, limit: Duration) -> Self {
        self.silence_timeout = Some(limit);
        self
    }

    /// The lane in which connections with much to read wait for their turns. Default: one of the
    /// client's own; those of a process should share one.
    pub fn work_lane(mut self, lane: &WorkLane) -> Self {
        self.work_lane = lane.clone();
        self
    }

    /// The most idle connections kept for one address. Default 64.
    pub fn idle_limit(mut self, connections: usize) -> Self {
        self.idle_limit = connections;
        self
    }
}
