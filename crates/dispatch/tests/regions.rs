//! When work leaves its region, by what is known of the others.

mod support;

use {
    gullglade_dispatch::{
        BackendInfo, Decision, FirstByteTimes, RegionInfo, Scheduler, WorkOutcome,
    },
    std::time::Duration,
    support::{at, facts, item, prompt, region, route, scheduler, service},
};

fn told(millis: &[u32]) -> RegionInfo {
    RegionInfo {
        region: region("columbia"),
        service: service("pool"),
        backends: 3,
        first_byte: FirstByteTimes::from_millis(millis),
    }
}

/// A gateway before one engine that has a second of reading ahead, whatever the priority.
fn busy(there: RegionInfo) -> Scheduler {
    let mut scheduler = scheduler(0, 1, 1, 0.0);
    let urgent = route(0, 5_000, 10_000);
    scheduler.submit(item(&urgent, Some(prompt(1, 5_000, 60_000, 1)), at(0)), at(0));
    scheduler.poll(at(0));
    scheduler.set_regions(vec![there]);
    scheduler
}

/// Whether a request of `priority` that comes at `ms` leaves.
fn leaves(scheduler: &mut Scheduler, priority: u8, ms: u64) -> bool {
    let work = item(&route(priority, 800, 10_000), Some(prompt(9, 500, 500, 9)), at(ms));
    let ticket = scheduler.submit(work, at(ms));
    let verdicts = scheduler.poll(at(ms));
    let is_away =
        verdicts.iter().any(|(t, v)| *t == ticket && matches!(v, Decision::Forward { .. }));
    scheduler.withdraw(ticket);
    is_away
}

#[test]
fn less_urgent_work_stays_away_from_a_region_that_is_full_of_urgent_work() {
    // Symptom: at a peak long prompts were sent to a region that had no room for them either, and
    // came back refused half a second later. Cause: what a region offered was told for the most
    // urgent work alone, which waits behind nothing.
    let mut scheduler = busy(told(&[10, 3_000]));
    assert!(leaves(&mut scheduler, 0, 1), "the urgent one has room there");
    assert!(!leaves(&mut scheduler, 1, 1), "the other one would wait there too");
}

#[test]
fn what_came_with_a_forward_goes_before_what_was_told_until_it_is_old() {
    // Symptom: all gateways of a region at its peak filled another one within the second in which
    // nobody had told them yet that it was full.
    let mut scheduler = busy(told(&[10]));
    let full = FirstByteTimes::from_millis(&[4_000]);
    scheduler.note_region_offer(&region("columbia"), &service("pool"), full, at(2));
    assert!(!leaves(&mut scheduler, 1, 3));
    assert!(!leaves(&mut scheduler, 1, 200));
    let mut later = busy(told(&[10]));
    later.note_region_offer(&region("columbia"), &service("pool"), full, at(2));
    let long = item(&route(0, 5_000, 10_000), Some(prompt(2, 5_000, 80_000, 2)), at(1_090));
    later.submit(long, at(1_090));
    later.poll(at(1_090));
    assert!(leaves(&mut later, 1, 1_100), "a second later it may have room again");
}

#[test]
fn a_region_that_turns_one_service_away_still_gets_the_others() {
    // Symptom: long prompts waited here for engines while another region's engines were free.
    // Sequence: that region turned away a plain request, and got nothing at all for 0.2 s, again
    // and again. Cause: one pause for all services.
    struct Case {
        refused: &'static str,
        leaves: bool,
    }
    let cases = [Case { refused: "desk", leaves: true }, Case { refused: "pool", leaves: false }];
    for case in cases {
        let mut scheduler = busy(told(&[10]));
        let pause = Duration::from_millis(200);
        scheduler.pause_service(&region("columbia"), &service(case.refused), pause, at(1));
        assert_eq!(leaves(&mut scheduler, 1, 2), case.leaves, "{} refused", case.refused);
    }
}

#[test]
fn backend_servers_that_would_get_no_work_are_not_offered() {
    // Symptom: a region whose only backend server of a service was suspect still offered it, and
    // turned away what came.
    struct Case {
        name: &'static str,
        change: fn(&mut Scheduler),
        offered: u32,
    }
    let cases = [
        Case { name: "all sound", change: |_| {}, offered: 2 },
        Case {
            name: "one silent",
            change: |s| {
                let silent = BackendInfo { is_silent: true, ..facts(0) };
                s.set_backends([silent, facts(1)], at(0));
            },
            offered: 1,
        },
        Case {
            name: "one suspect",
            change: |s| {
                let ticket = s.submit(item(&route(1, 800, 10_000), None, at(0)), at(0));
                s.poll(at(0));
                s.end(ticket, WorkOutcome::Broken, at(0));
            },
            offered: 1,
        },
        Case {
            name: "one cold",
            change: |s| {
                let cold = BackendInfo { cold_until: at(9_000), ..facts(0) };
                s.set_backends([cold, facts(1)], at(0));
            },
            offered: 1,
        },
        Case { name: "none", change: |s| s.set_backends([], at(0)), offered: 0 },
    ];
    for Case { name, change, offered } in cases {
        let mut scheduler = scheduler(0, 1, 2, 3.0);
        change(&mut scheduler);
        let found = scheduler.offer(&service("pool"), at(1)).map_or(0, |offer| offer.backends);
        assert_eq!(found, offered, "{name}");
    }
}

#[test]
fn times_are_told_in_whole_milliseconds_and_read_by_processes_of_another_version() {
    struct Case {
        millis: &'static [u32],
        read: [f64; 5],
    }
    let cases = [
        Case { millis: &[1, 2, 3, 4], read: [1.0, 2.0, 3.0, 4.0, 4.0] },
        Case { millis: &[1, 2], read: [1.0, 2.0, 2.0, 2.0, 2.0] },
        Case { millis: &[1, 2, 3, 4, 5], read: [1.0, 2.0, 3.0, 4.0, 4.0] },
        Case { millis: &[], read: [0.0; 5] },
    ];
    for Case { millis, read } in cases {
        let times = FirstByteTimes::from_millis(millis);
        let found = [0, 1, 2, 3, 9].map(|priority| times.of(priority));
        assert_eq!(found, read, "{millis:?}");
    }
    assert_eq!(FirstByteTimes::from_millis(&[7, 8, 9, 10]).to_millis(), [7, 8, 9, 10]);
}
