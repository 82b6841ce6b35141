//! Timing of the handover from a silent run to its replacement.

use {
    gullglade_dispatch::{HandoverDelays, HandoverTimes},
    std::time::Duration,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The longest time for which two runs of a request may exist.
const MAX_CONCURRENT: Duration = ms(400);

#[test]
fn old_run_is_kept_until_its_replacement_could_have_failed() {
    // Guards against ending the old run before a rejection of the new one can arrive.
    struct Case {
        name: &'static str,
        cancel_ms: u64,
        begin_ms: u64,
        /// The number of probes, or `None` if the old run has to end first.
        probes: Option<u32>,
    }
    let case = |name, cancel_ms, begin_ms, probes| Case { name, cancel_ms, begin_ms, probes };
    let cases = [
        case("both here", 0, 0, Some(0)),
        case("to another region", 0, 55, Some(2)),
        case("to a far region", 0, 150, Some(1)),
        case("to the farthest region", 0, 300, Some(1)),
        case("back here", 55, 0, Some(0)),
        case("back here from far", 150, 0, None),
        case("within another region", 55, 55, Some(1)),
        case("within a far region", 150, 150, None),
        case("within the farthest region", 300, 300, None),
        case("farther than any", 0, 2_000, None),
    ];
    for Case { name, cancel_ms, begin_ms, probes } in cases {
        let times = HandoverDelays { cancel: ms(cancel_ms), begin: ms(begin_ms) }.times();
        assert_eq!(times.map(|times| times.probes), probes, "{name}");
    }
}

#[test]
fn all_handover_times_stay_within_their_bounds() {
    // Guards against two runs that continue concurrently, and against a lease of the new run that
    // ends before it can be confirmed.
    for cancel_ms in (0..400).step_by(5) {
        for begin_ms in (0..400).step_by(5) {
            let (cancel, begin) = (ms(cancel_ms), ms(begin_ms));
            let Some(times) = (HandoverDelays { cancel, begin }).times() else { continue };
            let HandoverTimes { overlap, probes, probe_timeout, lease, .. } = times;
            let name = format!("{cancel_ms} ms, {begin_ms} ms: {times:?}");
            assert!(overlap.saturating_sub(begin) + cancel <= MAX_CONCURRENT, "{name}");
            assert!(begin * 2 * probes <= overlap, "no time for the probes: {name}");
            assert!(probe_timeout >= begin * 2, "no time for one probe: {name}");
            // The confirmation is sent at the end of the overlap, and once more if it is lost.
            assert!(lease >= overlap + times.commit_timeout, "{name}");
        }
    }
}
