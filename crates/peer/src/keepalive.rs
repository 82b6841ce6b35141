//! Keepalive: detects a peer that hangs or is partitioned.
//!
//! A hung process, or a link that silently drops packets, leaves the TCP connection open, and calls
//! would wait for minutes. HTTP/2 pings detect this within seconds. A session that has received
//! data within the ping interval is not pinged, so busy sessions carry no pings.

use {
    crate::activity::LastReceived,
    gullglade_units::{Clock, LocalFuture, timeout},
    h2::{Ping, PingPong},
    std::time::Duration,
};

/// Sends liveness probes to the peer.
pub(crate) trait PeerProbe {
    /// Sends a probe and completes with true when the peer acknowledges it, or with false if the
    /// connection is lost.
    fn probe(&mut self) -> LocalFuture<'_, bool>;
}

impl PeerProbe for PingPong {
    fn probe(&mut self) -> LocalFuture<'_, bool> {
        Box::pin(async { self.ping(Ping::opaque()).await.is_ok() })
    }
}

/// Timeouts of the keepalive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepaliveTimeouts {
    /// Time without received data after which the peer is pinged.
    pub(crate) ping_interval: Duration,
    /// Time to wait for the acknowledgement of a ping.
    pub(crate) ping_timeout: Duration,
}

/// Pings the peer whenever no data arrives within the ping interval. Returns once a ping is not
/// acknowledged in time or the connection is lost; the caller then drops the session.
pub(crate) async fn monitor_peer(
    mut probe: impl PeerProbe,
    last_received: LastReceived,
    timeouts: KeepaliveTimeouts,
    clock: &dyn Clock,
) {
    loop {
        let idle = clock.now().since(last_received.get());
        if idle < timeouts.ping_interval {
            clock.sleep(timeouts.ping_interval - idle).await;
            continue;
        }
        if timeout(clock, timeouts.ping_timeout, probe.probe()).await != Some(true) {
            return;
        }
        last_received.set(clock.now());
    }
}
