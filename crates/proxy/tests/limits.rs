//! Rate limits that backend servers state in responses.

mod support;

use {
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed},
};

/// Guards against a stated limit that is relayed to the caller but not applied.
#[test]
fn stated_limit_holds_until_withdrawn() {
    const PAUSE: Duration = Duration::from_millis(100);
    const ROUNDS: usize = 40;
    // More requests than one of the two backend servers has slots for.
    const CONCURRENT_REQUESTS: usize = 24;
    let bed = TestBed::new(&BedSettings::of(RequestKind::AtMostOnce));
    let good = ScriptedResponse::signed(200, &["yes"]);
    bed.script(0, &[BackendAction::Answer(good.clone().header("limit", "0.5"))]);
    bed.script(0, &vec![BackendAction::Answer(good); ROUNDS * CONCURRENT_REQUESTS]);
    assert_eq!(bed.serve(bed.request()).status, 200);
    for _ in 0..ROUNDS {
        let response = bed.serve_concurrently(0, CONCURRENT_REQUESTS);
        assert!(response.iter().all(|response| response.status == 200));
        bed.world.run_for(PAUSE);
    }
    let lines = bed.events.lines();
    let count = |kind| lines.iter().filter(|line| line.starts_with(kind)).count();
    assert_eq!((count("backend.limited "), count("backend.unlimited ")), (1, 1));
    let arrivals = bed.backends(0).arrivals.borrow();
    let (limited, began) = (arrivals[0].address, arrivals[0].at);
    let there = arrivals.iter().filter(|arrival| arrival.address == limited);
    let sent_there: Vec<_> = there.map(|arrival| arrival.at.since(began)).collect();
    let pause = sent_there.get(1).expect("its share of the requests");
    assert!(*pause >= Duration::from_secs(2), "one request in two seconds: {sent_there:?}");
    assert!(
        sent_there.len() >= ROUNDS,
        "requests as before once no limit is stated: {sent_there:?}"
    );
}
