//! Keepalive timing, in virtual time.

use {
    crate::{
        activity::LastReceived,
        keepalive::{KeepaliveTimeouts, PeerProbe, monitor_peer},
    },
    gullglade_units::{LocalFuture, MonotonicTime, fake::FakeWorld},
    std::{cell::Cell, rc::Rc, time::Duration},
};

const TIMEOUTS: KeepaliveTimeouts = KeepaliveTimeouts {
    ping_interval: Duration::from_secs(2),
    ping_timeout: Duration::from_secs(1),
};

/// Probe that succeeds immediately `answers` times; later probes report a lost connection if `lost`
/// is set, and never complete otherwise.
struct FakeProbe {
    answers: u32,
    lost: bool,
    pings: Rc<Cell<u32>>,
}

impl PeerProbe for FakeProbe {
    fn probe(&mut self) -> LocalFuture<'_, bool> {
        self.pings.set(self.pings.get() + 1);
        let answered = self.answers > 0;
        self.answers = self.answers.saturating_sub(1);
        match (answered, self.lost) {
            (true, _) => Box::pin(std::future::ready(true)),
            (false, true) => Box::pin(std::future::ready(false)),
            (false, false) => Box::pin(std::future::pending()),
        }
    }
}

#[test]
fn idle_peer_is_pinged_and_dropped_without_an_acknowledgement() {
    struct Case {
        answers: u32,
        lost: bool,
        pings: u32,
        seconds: u64,
    }
    let cases = [
        Case { answers: 0, lost: false, pings: 1, seconds: 3 },
        Case { answers: 0, lost: true, pings: 1, seconds: 2 },
        Case { answers: 4, lost: false, pings: 5, seconds: 11 },
    ];
    for case in cases {
        let (world, context) = FakeWorld::new(3);
        let pings = Rc::default();
        let probe = FakeProbe { answers: case.answers, lost: case.lost, pings: Rc::clone(&pings) };
        let last_received = LastReceived::default();
        world.run_until(monitor_peer(probe, last_received, TIMEOUTS, &*context.clock));
        let seen = (pings.get(), world.now());
        assert_eq!(seen, (case.pings, MonotonicTime(Duration::from_secs(case.seconds))));
    }
}

#[test]
fn peer_that_sends_data_is_not_pinged() {
    // Guards against pings at fixed intervals regardless of received data. With 370 nodes, pings on
    // sessions that carry traffic, or that the other side already pings, use up the whole network
    // budget of 4 KB/s.
    let (world, context) = FakeWorld::new(3);
    let pings = Rc::default();
    let probe = FakeProbe { answers: 0, lost: false, pings: Rc::clone(&pings) };
    let last_received = LastReceived::default();
    let (updated_time, clock) = (last_received.clone(), context.clock.clone());
    context.spawner.spawn(Box::pin(async move {
        for _ in 0..100 {
            clock.sleep(TIMEOUTS.ping_interval / 2).await;
            updated_time.set(clock.now());
        }
    }));
    world.run_until(monitor_peer(probe, last_received, TIMEOUTS, &*context.clock));
    let expected_end =
        100 * TIMEOUTS.ping_interval / 2 + TIMEOUTS.ping_interval + TIMEOUTS.ping_timeout;
    assert_eq!((pings.get(), world.now()), (1, MonotonicTime(expected_end)));
}
