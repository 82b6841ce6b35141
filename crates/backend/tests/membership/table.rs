//! Table of a single gateway: leases, incarnations and the correction of reported load.

use {
    crate::common::{announcement, candidates, model, name, table},
    gullglade_backend::{
        BackendHealth, BackendTarget,
        ServingState::{self, Leaving, Serving},
    },
    gullglade_units::Incarnation,
};

struct OrderCase {
    name: &'static str,
    /// Incarnation, sequence number and state of each announcement, in the order of arrival.
    announcements: &'static [(u64, u64, ServingState)],
    incarnation: u64,
    sequence: u64,
    health: BackendHealth,
}

// Guards against dispatching requests to an engine that has left or restarted. Announcements arrive
// twice, late or out of order, and the last one received is not always the newest.
#[test]
fn late_and_repeated_announcements_are_ignored() {
    let cases = [
        OrderCase {
            name: "in order",
            announcements: &[(1, 1, Serving), (1, 2, Serving)],
            incarnation: 1,
            sequence: 2,
            health: BackendHealth::Serving,
        },
        OrderCase {
            name: "out of order",
            announcements: &[(1, 2, Serving), (1, 1, Serving)],
            incarnation: 1,
            sequence: 2,
            health: BackendHealth::Serving,
        },
        OrderCase {
            name: "repeated",
            announcements: &[(1, 2, Serving), (1, 2, Serving)],
            incarnation: 1,
            sequence: 2,
            health: BackendHealth::Serving,
        },
        OrderCase {
            name: "leaving arrives first",
            announcements: &[(1, 3, Leaving), (1, 2, Serving)],
            incarnation: 1,
            sequence: 3,
            health: BackendHealth::Leaving,
        },
        OrderCase {
            name: "leaving is final",
            announcements: &[(1, 3, Leaving), (1, 4, Serving)],
            incarnation: 1,
            sequence: 4,
            health: BackendHealth::Leaving,
        },
        OrderCase {
            name: "serving after restart",
            announcements: &[(1, 3, Leaving), (2, 1, Serving)],
            incarnation: 2,
            sequence: 1,
            health: BackendHealth::Serving,
        },
        OrderCase {
            name: "old run after restart",
            announcements: &[(2, 1, Serving), (1, 9, Leaving)],
            incarnation: 2,
            sequence: 1,
            health: BackendHealth::Serving,
        },
    ];
    for case in cases {
        let (_, table) = table();
        for (incarnation, sequence, state) in case.announcements {
            table.announce(&announcement(*incarnation, *sequence, *state)).unwrap();
        }
        let record = table.record(&name("e1")).unwrap();
        assert_eq!(record.status.incarnation, Incarnation(case.incarnation), "{}", case.name);
        assert_eq!(record.status.sequence, case.sequence, "{}", case.name);
        assert_eq!(table.health(&name("e1")), Some(case.health), "{}", case.name);
    }
}

// Guards against requests that wait for an engine whose VM has failed. The engine sends no notice,
// so its lease must expire locally, and late reports must not renew it.
#[test]
fn silent_backend_becomes_suspect_then_expires() {
    let (clock, table) = table();
    table.announce(&announcement(1, 5, Serving)).unwrap();
    clock.advance(4_999);
    assert_eq!(candidates(&table), ["e1"]);
    clock.advance(1);
    assert_eq!(candidates(&table), ["e1?"]);
    table.announce(&announcement(1, 4, Serving)).unwrap();
    clock.advance(5_000);
    assert_eq!(candidates(&table), [""; 0]);
    table.announce(&announcement(1, 6, Serving)).unwrap();
    assert_eq!(candidates(&table), ["e1"], "the announcement renews the lease");
}

// Guards against an engine that gets no requests after its VM was replaced. The clock of the new VM
// is behind, and incarnations are derived from wall clocks, so the new incarnation is lower. The
// reply must state the incarnation to exceed.
#[test]
fn reply_to_a_lower_incarnation_states_the_one_to_exceed() {
    let (_, table) = table();
    table.announce(&announcement(900, 5, Serving)).unwrap();
    let reply = table.announce(&announcement(100, 1, Serving)).unwrap().reply;
    assert_eq!(reply.superseded_by, Some(Incarnation(900)));
    assert_eq!(reply.lease_millis, 0);
    let reply = table.announce(&announcement(901, 2, Serving)).unwrap().reply;
    assert_eq!(reply.superseded_by, None);
    assert_eq!(table.record(&name("e1")).unwrap().status.incarnation, Incarnation(901));
}

#[test]
fn renewal_without_a_known_profile_requests_the_profile() {
    let (_, table) = table();
    let mut renewal = announcement(1, 2, Serving);
    let profile = renewal.profile.take();
    assert!(table.announce(&renewal).unwrap().reply.profile_wanted);
    assert_eq!(candidates(&table), [""; 0]);
    renewal.sequence = 3;
    renewal.profile = profile;
    assert!(!table.announce(&renewal).unwrap().reply.profile_wanted);
    assert_eq!(candidates(&table), ["e1"]);
}

// Guards against overloading an idle engine. It reports one request, and this gateway dispatches
// three more before the next report, which are missing from the report.
#[test]
fn load_report_is_corrected_by_own_dispatches() {
    let (clock, table) = table();
    let requests = || table.with_candidates(BackendTarget::Model(&model()), |v| v[0].requests());
    let prefill =
        || table.with_candidates(BackendTarget::Model(&model()), |v| v[0].queued_prefill_tokens());
    table.announce(&announcement(1, 1, Serving)).unwrap();
    clock.advance(10);
    let mut guards: Vec<_> =
        (0..3).map(|_| table.dispatch(&name("e1"), 100, &[]).unwrap()).collect();
    assert_eq!((requests(), prefill()), (4, 300));
    guards[0].first_token();
    assert_eq!(prefill(), 200);
    guards.pop();
    assert_eq!((requests(), prefill()), (3, 100));
    clock.advance(10);
    let mut report = announcement(1, 2, Serving);
    report.load.running = 3;
    report.load.queued_prefill_tokens = 100;
    table.announce(&report).unwrap();
    assert_eq!((requests(), prefill()), (3, 100), "the report includes the two in progress");
    clock.advance(10);
    guards.clear();
    assert_eq!(requests(), 1, "two requests of the report have ended");
}

#[test]
fn failed_dispatch_makes_backend_suspect_until_the_next_report() {
    let (clock, table) = table();
    table.announce(&announcement(1, 1, Serving)).unwrap();
    clock.advance(10);
    table.note_failure(&name("e1"));
    assert_eq!(candidates(&table), ["e1?"]);
    clock.advance(10);
    table.announce(&announcement(1, 2, Serving)).unwrap();
    assert_eq!(candidates(&table), ["e1"]);
}

// Guards against sending the full share of requests to an engine with a cold cache. The engine is
// silent for longer than its lease and returns in the same incarnation. Its serving time must count
// from its return.
#[test]
fn serving_time_restarts_after_the_lease_expired() {
    let (clock, table) = table();
    let serving_seconds =
        || table.with_candidates(BackendTarget::Model(&model()), |v| v[0].serving_for.as_secs());
    for sequence in 1..=16 {
        table.announce(&announcement(1, sequence, Serving)).unwrap();
        clock.advance(2_000);
    }
    assert_eq!(serving_seconds(), 32);
    clock.advance(10_000);
    table.announce(&announcement(1, 17, Serving)).unwrap();
    assert_eq!(serving_seconds(), 0);
}

// Guards against losing requests repeatedly at an engine in a crash loop. The engine restarts every
// few seconds and looks new and idle each time.
#[test]
fn crash_looping_engine_is_suspect() {
    let (clock, table) = table();
    for incarnation in 1..=4 {
        table.announce(&announcement(incarnation, 1, Serving)).unwrap();
        clock.advance(3_000);
    }
    assert_eq!(candidates(&table), ["e1?"]);
    for sequence in 2..=32 {
        table.announce(&announcement(4, sequence, Serving)).unwrap();
        clock.advance(2_000);
    }
    assert_eq!(candidates(&table), ["e1"]);
}
