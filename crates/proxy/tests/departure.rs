//! Backend servers that announce in a response that they leave.

mod support;

use {
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed},
};

const CONCURRENT_REQUESTS: usize = 24;
const ROUNDS: usize = 5;

/// Guards against a gateway that relays the announcement to the caller but keeps sending requests
/// to the leaving backend server.
#[test]
fn leaving_backend_gets_no_new_requests() {
    let mut settings = BedSettings::of(RequestKind::AtMostOnce);
    settings.has_neighbour = true;
    let bed = TestBed::new(&settings);
    let good = ScriptedResponse::signed(200, &["yes"]);
    bed.script(0, &[BackendAction::Answer(good.clone().header("leaving", "1"))]);
    bed.script(0, &vec![BackendAction::Answer(good.clone()); ROUNDS * CONCURRENT_REQUESTS]);
    bed.script(2, &vec![BackendAction::Answer(good); ROUNDS * CONCURRENT_REQUESTS]);
    let response = bed.serve(bed.request());
    assert_eq!((response.status, response.body.as_str()), (200, "yes"));
    assert_eq!(response.headers.get("leaving").map(|v| v.as_bytes()), Some(&b"1"[..]), "unchanged");
    bed.run_with_notices(Duration::from_millis(100));
    for gateway in [0, 2] {
        for _ in 0..ROUNDS {
            let response = bed.serve_concurrently(gateway, CONCURRENT_REQUESTS);
            assert!(response.iter().all(|response| response.status == 200), "{response:?}");
            bed.world.run_for(Duration::from_millis(100));
        }
    }
    let first = bed.backends(0).arrivals.borrow();
    let second = bed.backends(2).arrivals.borrow();
    let leaving = first[0].address;
    let there = first.iter().skip(1).chain(second.iter());
    let there = there.filter(|arrival| arrival.address == leaving).count();
    assert_eq!(
        (there, first.len(), second.len()),
        (0, ROUNDS * CONCURRENT_REQUESTS + 1, ROUNDS * CONCURRENT_REQUESTS)
    );
    let logged = bed.events.lines();
    let logged = logged.iter().filter(|line| line.starts_with("backend.states_leaving ")).count();
    assert_eq!(logged, 1);
}
