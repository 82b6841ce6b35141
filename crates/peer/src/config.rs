//! Settings of sessions.

use {
    crate::{PeerIdentity, PeerSecret, keepalive::WatchLimits},
    gullglade_event::{EventSink, NullSink},
    gullglade_units::ClusterName,
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::{rc::Rc, time::Duration},
};

/// Settings of a [`PeerServer`](crate::PeerServer) and a [`PeerPool`](crate::PeerPool); both take
/// the same, and each uses what concerns it.
#[derive(Clone)]
pub struct PeerConfig {
    pub(crate) identity: PeerIdentity,
    pub(crate) cluster: ClusterName,
    pub(crate) secret: PeerSecret,
    pub(crate) message_limit: usize,
    pub(crate) stream_limit: u32,
    pub(crate) session_limit: usize,
    pub(crate) stream_window: u32,
    pub(crate) session_window: u32,
    pub(crate) connect_timeout: Duration,
    pub(crate) ping_interval: Duration,
    pub(crate) ping_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) backoff_first: Duration,
    pub(crate) backoff_most: Duration,
    pub(crate) events: Rc<dyn EventSink>,
}

impl PeerConfig {
    /// Settings with the defaults that each method below names.
    pub fn new(identity: PeerIdentity, cluster: ClusterName, secret: PeerSecret) -> Self {
        Self {
            identity,
            cluster,
            secret,
            message_limit: 16 << 20,
            stream_limit: 16_384,
            session_limit: 1_024,
            stream_window: 64 << 10,
            session_window: 32 << 20,
            connect_timeout: Duration::from_secs(2),
            ping_interval: Duration::from_secs(2),
            ping_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(300),
            backoff_first: Duration::from_millis(50),
            backoff_most: Duration::from_secs(2),
            events: Rc::new(NullSink),
        }
    }

    /// A key that all processes of the cluster share, made from their secret for one `purpose`. Keys
    /// of other purposes, and the secret, cannot be told from it.
    pub fn derived_key(&self, purpose: &str) -> [u8; 32] {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.as_bytes())
            .expect("HMAC takes keys of any length");
        for part in ["gullglade key 1", purpose, self.cluster.as_str()] {
            mac.update(part.as_bytes());
            mac.update(&[0]);
        }
        mac.finalize().into_bytes().into()
    }

    /// The most bytes of one message either way. Default 16 MiB.
    pub fn message_limit(mut self, bytes: usize) -> Self {
        self.message_limit = bytes;
        self
    }

    /// The most calls in progress on one session. Default 16,384.
    pub fn stream_limit(mut self, streams: u32) -> Self {
        self.stream_limit = streams;
        self
    }

    /// The most sessions a server holds. Default 1,024.
    pub fn session_limit(mut self, sessions: usize) -> Self {
        self.session_limit = sessions;
        self
    }

    /// The most unread bytes of one stream, on either side. Default 64 KiB: 0.5 MB/s over a round
    /// trip of 110 ms, far above what one answer's tokens need.
    pub fn stream_window(mut self, bytes: u32) -> Self {
        self.stream_window = bytes;
        self
    }

    /// The most unread bytes of one session. Default 32 MiB.
    pub fn session_window(mut self, bytes: u32) -> Self {
        self.session_window = bytes;
        self
    }

    /// The limit on connecting and shaking hands. Default 2 s.
    pub fn connect_timeout(mut self, limit: Duration) -> Self {
        self.connect_timeout = limit;
        self
    }

    /// The silence after which a dialer pings its peer. The server waits half as long again, so
    /// that it pings only a dialer that has ceased to. Default 2 s: a dead peer is noticed after
    /// this and the ping's timeout, 4 s.
    pub fn ping_interval(mut self, interval: Duration) -> Self {
        self.ping_interval = interval;
        self
    }

    /// How long a ping's answer may take before the session counts as lost. Default 2 s.
    pub fn ping_timeout(mut self, limit: Duration) -> Self {
        self.ping_timeout = limit;
        self
    }

    /// How long a dialer keeps a session without calls. Default 300 s.
    pub fn idle_timeout(mut self, limit: Duration) -> Self {
        self.idle_timeout = limit;
        self
    }

    /// The wait after a first failed dial, doubled by each further one up to `most`; the wait is
    /// drawn between half and all of it. Calls meanwhile fail at once. Defaults 50 ms and 2 s.
    pub fn backoff(mut self, first: Duration, most: Duration) -> Self {
        self.backoff_first = first;
        self.backoff_most = most;
        self
    }

    /// Where sessions tell of their beginnings and ends (`peer.*`). Default: nowhere.
    pub fn events(mut self, events: Rc<dyn EventSink>) -> Self {
        self.events = events;
        self
    }

    /// How a dialer watches its peer.
    pub(crate) fn dialer_watch(&self) -> WatchLimits {
        WatchLimits { silence: self.ping_interval, answer: self.ping_timeout }
    }

    /// How a server watches its peer.
    pub(crate) fn server_watch(&self) -> WatchLimits {
        WatchLimits { silence: self.ping_interval * 3 / 2, answer: self.ping_timeout }
    }
}
