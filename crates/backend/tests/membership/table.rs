//! One gateway's table: leases, incarnations and the correction of reported load.

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
    /// Incarnation, sequence, state of each announcement in the order of arrival.
    heard: &'static [(u64, u64, ServingState)],
    incarnation: u64,
    sequence: u64,
    health: BackendHealth,
}

// Symptom: an engine that left or restarted gets work again, which nobody answers.
// Events: announcements arrive twice, late, or out of order.
// Cause: the last one heard is taken for the newest one written.
#[test]
fn late_and_repeated_announcements_change_nothing() {
    let cases = [
        OrderCase {
            name: "in order",
            heard: &[(1, 1, Serving), (1, 2, Serving)],
            incarnation: 1,
            sequence: 2,
            health: BackendHealth::Serving,
        },
        OrderCase {
            name: "swapped",
            heard: &[(1, 2, Serving), (1, 1, Serving)],
            incarnation: 1,
            sequence: 2,
            health: BackendHealth::Serving,
        },
        OrderCase {
            name: "repeated",
            heard: &[(1, 2, Serving), (1, 2, Serving)],
            incarnation: 1,
            sequence: 2,
            health: BackendHealth::Serving,
        },
        OrderCase {
            name: "leaving overtakes",
            heard: &[(1, 3, Leaving), (1, 2, Serving)],
            incarnation: 1,
            sequence: 3,
            health: BackendHealth::Leaving,
        },
        OrderCase {
            name: "leaving is final",
            heard: &[(1, 3, Leaving), (1, 4, Serving)],
            incarnation: 1,
            sequence: 4,
            health: BackendHealth::Leaving,
        },
        OrderCase {
            name: "restart serves again",
            heard: &[(1, 3, Leaving), (2, 1, Serving)],
            incarnation: 2,
            sequence: 1,
            health: BackendHealth::Serving,
        },
        OrderCase {
            name: "old run after restart",
            heard: &[(2, 1, Serving), (1, 9, Leaving)],
            incarnation: 2,
            sequence: 1,
            health: BackendHealth::Serving,
        },
    ];
    for case in cases {
        let (_, table) = table();
        for (incarnation, sequence, state) in case.heard {
            table.announce(&announcement(*incarnation, *sequence, *state)).unwrap();
        }
        let record = table.record(&name("e1")).unwrap();
        assert_eq!(record.status.incarnation, Incarnation(case.incarnation), "{}", case.name);
        assert_eq!(record.status.sequence, case.sequence, "{}", case.name);
        assert_eq!(table.health(&name("e1")), Some(case.health), "{}", case.name);
    }
}

// Symptom: requests wait for an engine whose VM is gone.
// Events: the engine announces, then its VM dies without a word.
// Cause: nothing but silence tells; the lease must run out here, and late reports don't renew it.
#[test]
fn silence_makes_suspect_then_out() {
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
    assert_eq!(candidates(&table), ["e1"], "it was only cut off");
}

// Symptom: an engine never gets work after its VM was replaced.
// Events: it restarts on a VM whose clock is behind, so its new incarnation is the lower one.
// Cause: incarnations come from wall clocks; the reply must say which one to exceed.
#[test]
fn a_stepped_back_clock_is_told_the_incarnation_to_exceed() {
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
fn a_renewal_of_an_unknown_profile_is_asked_for_it() {
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

// Symptom: an idle engine is flooded while others stand idle.
// Events: it reports 1 request; before the next report this gateway sends it 3 more.
// Cause: the report is older than the dispatches.
#[test]
fn own_dispatches_correct_the_report() {
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
    assert_eq!((requests(), prefill()), (3, 100), "the report counts the two in progress");
    clock.advance(10);
    guards.clear();
    assert_eq!(requests(), 1, "two that the report counts have ended");
}

#[test]
fn a_failed_dispatch_makes_suspect_until_the_next_report() {
    let (clock, table) = table();
    table.announce(&announcement(1, 1, Serving)).unwrap();
    clock.advance(10);
    table.note_failure(&name("e1"));
    assert_eq!(candidates(&table), ["e1?"]);
    clock.advance(10);
    table.announce(&announcement(1, 2, Serving)).unwrap();
    assert_eq!(candidates(&table), ["e1"]);
}

// Symptom: an engine that was cut off for a while gets its full share at once, with a cold cache.
// Events: it is silent for longer than its lease, then announces again in the same incarnation.
// Cause: the time it has served is counted from its start instead of from its return.
#[test]
fn a_return_starts_the_time_served_anew() {
    let (clock, table) = table();
    let served =
        || table.with_candidates(BackendTarget::Model(&model()), |v| v[0].serving_for.as_secs());
    for sequence in 1..=16 {
        table.announce(&announcement(1, sequence, Serving)).unwrap();
        clock.advance(2_000);
    }
    assert_eq!(served(), 32);
    clock.advance(10_000);
    table.announce(&announcement(1, 17, Serving)).unwrap();
    assert_eq!(served(), 0);
}

// Symptom: work is lost again and again at an engine that crashes under it.
// Events: it restarts every few seconds and each time looks new and idle.
// Cause: each restart clears what was known of it.
#[test]
fn an_engine_that_keeps_restarting_is_suspect() {
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
