//! Session settings.

use {
    crate::{PeerIdentity, PeerSecret, keepalive::KeepaliveTimeouts},
    gullglade_event::{EventSink, NullSink},
    gullglade_units::ClusterName,
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::{rc::Rc, time::Duration},
};

/// Settings of a [`PeerServer`](crate::PeerServer) or a [`PeerPool`](crate::PeerPool). Both take
/// the same type and ignore the settings of the other side.
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
    pub(crate) backoff_initial: Duration,
    pub(crate) backoff_max: Duration,
    pub(crate) events: Rc<dyn EventSink>,
}

impl PeerConfig {
    /// Creates settings with the defaults documented on the methods below.
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
            backoff_initial: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
            events: Rc::new(NullSink),
        }
    }

    /// Derives a 256-bit key from the cluster's secret for one `purpose`. All processes of the
    /// cluster derive the same key. It reveals neither the secret nor the keys of other purposes.
    pub fn derived_key(&self, purpose: &str) -> [u8; 32] {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.as_bytes())
            .expect("HMAC takes keys of any length");
        for part in ["gullglade key 1", purpose, self.cluster.as_str()] {
            mac.update(part.as_bytes());
            mac.update(&[0]);
        }
        mac.finalize().into_bytes().into()
    }

    /// Sets the maximum size of a message in bytes, sent or received. Default: 16 MiB.
    pub fn message_limit(mut self, bytes: usize) -> Self {
        self.message_limit = bytes;
        self
    }

    /// Sets the maximum number of concurrent calls per session. Default: 16,384.
    pub fn stream_limit(mut self, streams: u32) -> Self {
        self.stream_limit = streams;
        self
    }

    /// Sets the maximum number of sessions that a server accepts. Default: 1,024.
    pub fn session_limit(mut self, sessions: usize) -> Self {
        self.session_limit = sessions;
        self
    }

    /// Sets the HTTP/2 flow-control window per stream in bytes, on either side. Default: 64 KiB.
    /// Over a round trip of 110 ms this allows 0.5 MB/s, far more than a token stream needs.
    pub fn stream_window(mut self, bytes: u32) -> Self {
        self.stream_window = bytes;
        self
    }

    /// Sets the HTTP/2 flow-control window per session in bytes. Default: 32 MiB.
    pub fn session_window(mut self, bytes: u32) -> Self {
        self.session_window = bytes;
        self
    }

    /// Sets the time limit on connecting, including the handshake. Default: 2 s.
    pub fn connect_timeout(mut self, limit: Duration) -> Self {
        self.connect_timeout = limit;
        self
    }

    /// Sets the time without received data after which a dialer pings its peer. The server waits
    /// 1.5 times as long, so it pings only when the dialer no longer does. Default: 2 s. An
    /// unresponsive peer is detected after this interval plus the ping timeout, 4 s by default.
    pub fn ping_interval(mut self, interval: Duration) -> Self {
        self.ping_interval = interval;
        self
    }

    /// Sets the time to wait for a ping acknowledgement before closing the session. Default: 2 s.
    pub fn ping_timeout(mut self, limit: Duration) -> Self {
        self.ping_timeout = limit;
        self
    }

    /// Sets the time after which a dialer closes a session without calls. Default: 300 s.
    pub fn idle_timeout(mut self, limit: Duration) -> Self {
        self.idle_timeout = limit;
        self
    }

    /// Sets the exponential backoff after failed dials: `initial` after the first failure, doubled
    /// by each further one up to `max`, with jitter between half and all of the delay. Calls fail
    /// immediately during the backoff. Defaults: 50 ms and 2 s.
    pub fn backoff(mut self, initial: Duration, max: Duration) -> Self {
        self.backoff_initial = initial;
        self.backoff_max = max;
        self
    }

    /// Sets the sink for session events (`peer.*`). Default: events are discarded.
    pub fn events(mut self, events: Rc<dyn EventSink>) -> Self {
        self.events = events;
        self
    }

    /// Keepalive timeouts of the dialing side.
    pub(crate) fn dialer_keepalive(&self) -> KeepaliveTimeouts {
        KeepaliveTimeouts { ping_interval: self.ping_interval, ping_timeout: self.ping_timeout }
    }

    /// Keepalive timeouts of the accepting side; see [`ping_interval`](Self::ping_interval).
    pub(crate) fn server_keepalive(&self) -> KeepaliveTimeouts {
        KeepaliveTimeouts {
            ping_interval: self.ping_interval * 3 / 2,
            ping_timeout: self.ping_timeout,
        }
    }
}
