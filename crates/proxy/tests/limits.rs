//! Limits that backend servers state with their answers.

mod support;

use {
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BedSettings, Deed, Script, TestBed},
};

/// The statement of a backend server in need was passed on to the caller and not acted on.
#[test]
fn a_limit_that_an_answer_states_holds_until_an_answer_states_none() {
    const PAUSE: Duration = Duration::from_millis(100);
    const ROUNDS: usize = 40;
    // More than one of the two backend servers has places for.
    const TOGETHER: usize = 24;
    let bed = TestBed::new(&BedSettings::of(RequestKind::AtMostOnce));
    let good = Script::signed(200, &["yes"]);
    bed.script(0, &[Deed::Answer(good.clone().header("limit", "0.5"))]);
    bed.script(0, &vec![Deed::Answer(good); ROUNDS * TOGETHER]);
    assert_eq!(bed.serve(bed.call()).status, 200);
    for _ in 0..ROUNDS {
        let served = bed.serve_together(0, TOGETHER);
        assert!(served.iter().all(|served| served.status == 200));
        bed.world.run_for(PAUSE);
    }
    let lines = bed.events.lines();
    let tells = |kind| lines.iter().filter(|line| line.starts_with(kind)).count();
    assert_eq!((tells("backend.limited "), tells("backend.unlimited ")), (1, 1));
    let arrivals = bed.backends(0).arrivals.borrow();
    let (limited, began) = (arrivals[0].address, arrivals[0].at);
    let there = arrivals.iter().filter(|arrival| arrival.address == limited);
    let sent_there: Vec<_> = there.map(|arrival| arrival.at.since(began)).collect();
    let pause = sent_there.get(1).expect("its part of the work");
    assert!(*pause >= Duration::from_secs(2), "one in two seconds: {sent_there:?}");
    assert!(sent_there.len() >= ROUNDS, "work as before once it states none: {sent_there:?}");
}
