//! Backend servers that say with their answers that they leave.

mod support;

use {
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BedSettings, Deed, Script, TestBed},
};

const TOGETHER: usize = 24;
const ROUNDS: usize = 5;

/// The statement went out to the caller, and the gateway went on to send new requests there.
#[test]
fn a_gateway_that_passed_a_departure_on_sends_nothing_new_there() {
    let mut settings = BedSettings::of(RequestKind::AtMostOnce);
    settings.has_neighbour = true;
    let bed = TestBed::new(&settings);
    let good = Script::signed(200, &["yes"]);
    bed.script(0, &[Deed::Answer(good.clone().header("leaving", "1"))]);
    bed.script(0, &vec![Deed::Answer(good.clone()); ROUNDS * TOGETHER]);
    bed.script(2, &vec![Deed::Answer(good); ROUNDS * TOGETHER]);
    let served = bed.serve(bed.call());
    assert_eq!((served.status, served.body.as_str()), (200, "yes"));
    assert_eq!(served.headers.get("leaving").map(|v| v.as_bytes()), Some(&b"1"[..]), "unchanged");
    bed.run_with_notices(Duration::from_millis(100));
    for gateway in [0, 2] {
        for _ in 0..ROUNDS {
            let served = bed.serve_together(gateway, TOGETHER);
            assert!(served.iter().all(|served| served.status == 200), "{served:?}");
            bed.world.run_for(Duration::from_millis(100));
        }
    }
    let first = bed.backends(0).arrivals.borrow();
    let second = bed.backends(2).arrivals.borrow();
    let leaving = first[0].address;
    let there = first.iter().skip(1).chain(second.iter());
    let there = there.filter(|arrival| arrival.address == leaving).count();
    assert_eq!((there, first.len(), second.len()), (0, ROUNDS * TOGETHER + 1, ROUNDS * TOGETHER));
    let told = bed.events.lines();
    let told = told.iter().filter(|line| line.starts_with("backend.states_leaving ")).count();
    assert_eq!(told, 1);
}
