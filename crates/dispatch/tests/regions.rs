//! Forwarding to other regions based on their known capacity.

mod support;

use {
    gullglade_dispatch::{
        BackendInfo, Decision, FirstByteTimes, RegionInfo, Scheduler, WorkItem, WorkOutcome,
    },
    std::time::Duration,
    support::{
        at, backend, backend_info, gateway, item, prompt, region, route, scheduler, service,
    },
};

fn reported(millis: &[u32]) -> RegionInfo {
    RegionInfo {
        region: region("columbia"),
        service: service("pool"),
        backends: 3,
        first_byte: FirstByteTimes::from_millis(millis),
    }
}

/// Returns a gateway with one engine that has a second of prefill ahead for every priority.
fn busy_scheduler(remote: RegionInfo) -> Scheduler {
    let mut scheduler = scheduler(0, 1, 1, 0.0);
    let urgent = route(0, 5_000, 10_000);
    scheduler.submit(item(&urgent, Some(prompt(1, 5_000, 60_000, 1)), at(0)), at(0));
    scheduler.poll(at(0));
    scheduler.set_regions(vec![remote]);
    scheduler
}

/// Returns whether a request of `priority` that arrives at `ms` is forwarded.
fn is_forwarded(scheduler: &mut Scheduler, priority: u8, ms: u64) -> bool {
    let work = item(&route(priority, 800, 10_000), Some(prompt(9, 500, 500, 9)), at(ms));
    let ticket = scheduler.submit(work, at(ms));
    let decisions = scheduler.poll(at(ms));
    let was_forwarded =
        decisions.iter().any(|(t, v)| *t == ticket && matches!(v, Decision::Forward { .. }));
    scheduler.withdraw(ticket);
    was_forwarded
}

#[test]
fn less_urgent_requests_are_not_forwarded_to_a_region_full_of_urgent_ones() {
    // Guards against forwarding long prompts to a region without capacity for them, which refused
    // them half a second later. It occurs if a region reports its time only for the most urgent
    // priority, which waits behind nothing.
    let mut scheduler = busy_scheduler(reported(&[10, 3_000]));
    assert!(is_forwarded(&mut scheduler, 0, 1), "the urgent one has room there");
    assert!(!is_forwarded(&mut scheduler, 1, 1), "the other one would wait there too");
}

#[test]
fn offer_of_a_forward_overrides_reports_until_it_expires() {
    // Guards against all gateways of a region at its peak filling another one within the second
    // before a report shows that it is full.
    let mut scheduler = busy_scheduler(reported(&[10]));
    let full = FirstByteTimes::from_millis(&[4_000]);
    scheduler.note_region_offer(&region("columbia"), &service("pool"), full, at(2));
    assert!(!is_forwarded(&mut scheduler, 1, 3));
    assert!(!is_forwarded(&mut scheduler, 1, 200));
    let mut later = busy_scheduler(reported(&[10]));
    later.note_region_offer(&region("columbia"), &service("pool"), full, at(2));
    let long = item(&route(0, 5_000, 10_000), Some(prompt(2, 5_000, 80_000, 2)), at(1_090));
    later.submit(long, at(1_090));
    later.poll(at(1_090));
    assert!(is_forwarded(&mut later, 1, 1_100), "a second later it may have room again");
}

#[test]
fn refusal_of_one_service_does_not_pause_the_others() {
    // Guards against one pause for all services: a region that refused a plain request got no
    // requests at all for 0.2 s, again and again, and long prompts waited here while its engines
    // were idle.
    struct Case {
        refused: &'static str,
        is_forwarded: bool,
    }
    let cases = [
        Case { refused: "desk", is_forwarded: true },
        Case { refused: "pool", is_forwarded: false },
    ];
    for case in cases {
        let mut scheduler = busy_scheduler(reported(&[10]));
        let pause = Duration::from_millis(200);
        scheduler.pause_service(&region("columbia"), &service(case.refused), pause, at(1));
        assert_eq!(
            is_forwarded(&mut scheduler, 1, 2),
            case.is_forwarded,
            "{} refused",
            case.refused
        );
    }
}

#[test]
fn refusal_for_lack_of_a_path_pauses_only_that_gateway() {
    // Guards against a region that gets no requests because one of its gateways is partitioned.
    struct Case {
        name: &'static str,
        /// Times of refusals by the gateway, milliseconds.
        refusals: &'static [u64],
        /// When it served a request, milliseconds.
        served: Option<u64>,
        checked: u64,
        is_open: bool,
    }
    let cases = [
        Case { name: "none", refusals: &[], served: None, checked: 0, is_open: true },
        Case { name: "just refused", refusals: &[0], served: None, checked: 200, is_open: false },
        Case { name: "later", refusals: &[0], served: None, checked: 260, is_open: true },
        Case {
            name: "refused again",
            refusals: &[0, 260],
            served: None,
            checked: 600,
            is_open: false,
        },
        Case {
            name: "several requests at once",
            refusals: &[0, 1, 2, 3],
            served: None,
            checked: 260,
            is_open: true,
        },
        Case {
            name: "refused for long",
            refusals: &[0, 300, 900, 2_000, 4_100, 6_200],
            served: None,
            checked: 8_300,
            is_open: true,
        },
        Case {
            name: "served",
            refusals: &[0, 260],
            served: Some(270),
            checked: 280,
            is_open: true,
        },
    ];
    let (partitioned, neighbour) = (gateway(7), gateway(8));
    for case in cases {
        let mut scheduler = busy_scheduler(reported(&[10]));
        for refusal in case.refusals {
            scheduler.note_gateway_without_path(&partitioned, &service("pool"), at(*refusal));
        }
        if case.served.is_some() {
            scheduler.note_gateway_with_path(&partitioned, &service("pool"));
        }
        let may_forward = |vm, name| scheduler.may_forward_to(vm, &service(name), at(case.checked));
        assert_eq!(may_forward(&partitioned, "pool"), case.is_open, "{}", case.name);
        assert!(may_forward(&partitioned, "desk"), "{}: another service", case.name);
        assert!(may_forward(&neighbour, "pool"), "{}: another gateway", case.name);
        assert!(is_forwarded(&mut scheduler, 1, case.checked), "{}: the region", case.name);
    }
}

#[test]
fn region_is_paused_only_when_two_of_its_gateways_are_lost() {
    // Guards against a region that gets no requests because one of its gateways was killed.
    const PAUSE: Duration = Duration::from_millis(1_500);
    enum Event {
        Lost(usize),
        Contact(usize),
    }
    use Event::{Contact, Lost};
    struct Case {
        name: &'static str,
        gateways: usize,
        events: &'static [Event],
        is_region_open: bool,
        /// Gateways that get no requests.
        lost: &'static [usize],
    }
    let cases = [
        Case {
            name: "the only one",
            gateways: 1,
            events: &[Lost(7)],
            is_region_open: false,
            lost: &[7],
        },
        Case { name: "one", gateways: 3, events: &[Lost(7)], is_region_open: true, lost: &[7] },
        Case {
            name: "one again",
            gateways: 3,
            events: &[Lost(7), Lost(7)],
            is_region_open: true,
            lost: &[7],
        },
        Case {
            name: "two",
            gateways: 3,
            events: &[Lost(7), Lost(8)],
            is_region_open: false,
            lost: &[7, 8],
        },
        Case {
            name: "contact between",
            gateways: 3,
            events: &[Lost(7), Contact(9), Lost(8)],
            is_region_open: true,
            lost: &[7, 8],
        },
        Case {
            name: "contact after",
            gateways: 3,
            events: &[Lost(7), Lost(8), Contact(8)],
            is_region_open: true,
            lost: &[7],
        },
    ];
    for case in cases {
        let mut scheduler = busy_scheduler(reported(&[10]));
        let columbia = region("columbia");
        for event in case.events {
            match event {
                Lost(index) => {
                    let vm = gateway(*index);
                    scheduler.note_gateway_lost(&columbia, &vm, case.gateways, PAUSE, at(1));
                }
                Contact(index) => scheduler.note_gateway_contact(&columbia, &gateway(*index)),
            }
        }
        assert_eq!(is_forwarded(&mut scheduler, 1, 2), case.is_region_open, "{}", case.name);
        for index in [7, 8, 9] {
            let is_open = scheduler.may_forward_to(&gateway(index), &service("pool"), at(2));
            assert_eq!(is_open, !case.lost.contains(&index), "{}: {index}", case.name);
        }
        assert!(!scheduler.is_path_broken(&columbia, at(1_502)), "{}: after the pause", case.name);
    }
}

#[test]
fn requests_are_relayed_by_neighbours_while_no_backend_is_reached() {
    // Guards against a gateway that refuses its callers, or sends them to a distant region, while
    // other gateways of its region reach the backend servers.
    struct Case {
        name: &'static str,
        gateways: usize,
        engines: usize,
        /// Engines to which connections failed.
        unreachable: &'static [usize],
        /// Whether the neighbour refused a request for lack of a path.
        is_neighbour_partitioned: bool,
        change: fn(&mut WorkItem),
        forwarded_to: Option<&'static str>,
    }
    let partitioned = Case {
        name: "all unreachable",
        gateways: 2,
        engines: 2,
        unreachable: &[0, 1],
        is_neighbour_partitioned: false,
        change: |_| {},
        forwarded_to: Some("puget"),
    };
    let cases = [
        Case { name: "one reachable", unreachable: &[0], forwarded_to: None, ..partitioned },
        Case { name: "no neighbour", gateways: 1, forwarded_to: Some("columbia"), ..partitioned },
        Case {
            name: "neighbour partitioned too",
            is_neighbour_partitioned: true,
            forwarded_to: Some("columbia"),
            ..partitioned
        },
        Case {
            name: "forwarded before",
            change: |item| item.may_forward = false,
            forwarded_to: None,
            ..partitioned
        },
        Case {
            name: "unreachable for this request",
            unreachable: &[0],
            change: |item| item.unreachable = vec![backend(0), backend(1)],
            ..partitioned
        },
        Case {
            name: "two unreachable for this request",
            engines: 4,
            unreachable: &[],
            change: |item| item.unreachable = vec![backend(0), backend(1)],
            ..partitioned
        },
        Case {
            name: "one unreachable for this request",
            engines: 4,
            unreachable: &[],
            change: |item| item.unreachable = vec![backend(0)],
            forwarded_to: None,
            ..partitioned
        },
        Case {
            name: "tried everywhere",
            change: |item| item.tried = vec![backend(0), backend(1)],
            forwarded_to: Some("columbia"),
            ..partitioned
        },
        Case {
            name: "returns to a backend server",
            change: |item| item.returns_to = Some(backend(1)),
            ..partitioned
        },
        partitioned,
    ];
    for case in cases {
        let mut scheduler = scheduler(0, case.gateways, case.engines, 0.0);
        scheduler.set_regions(vec![reported(&[10])]);
        for _ in case.unreachable {
            let ticket = scheduler.submit(item(&route(0, 800, 10_000), None, at(0)), at(0));
            scheduler.poll(at(0));
            scheduler.end(ticket, WorkOutcome::Unreachable, at(1));
        }
        if case.is_neighbour_partitioned {
            scheduler.note_gateway_without_path(&gateway(1), &service("pool"), at(1));
        }
        let mut work = item(&route(0, 800, 10_000), None, at(2));
        (case.change)(&mut work);
        let ticket = scheduler.submit(work, at(2));
        let decisions = scheduler.poll(at(2));
        let region = decisions.into_iter().find(|(t, _)| *t == ticket).and_then(|(_, decision)| {
            match decision {
                Decision::Forward { region, .. } => Some(region.to_string()),
                _ => None,
            }
        });
        assert_eq!(region.as_deref(), case.forwarded_to, "{}", case.name);
    }
}

#[test]
fn unusable_backend_servers_are_not_offered() {
    // Guards against a region that offers a service whose only backend server is suspect, and
    // refuses the forwarded requests.
    struct Case {
        name: &'static str,
        change: fn(&mut Scheduler),
        offered: u32,
    }
    let cases = [
        Case { name: "all healthy", change: |_| {}, offered: 2 },
        Case {
            name: "one silent",
            change: |s| {
                let silent = BackendInfo { is_silent: true, ..backend_info(0) };
                s.set_backends([silent, backend_info(1)], at(0));
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
                let cold = BackendInfo { cold_until: at(9_000), ..backend_info(0) };
                s.set_backends([cold, backend_info(1)], at(0));
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
fn first_byte_times_are_compatible_across_versions() {
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
