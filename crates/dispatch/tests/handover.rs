//! How long a silent run is kept beside the one that replaces it.

use {
    gullglade_dispatch::{HandoverDelays, HandoverTimes},
    std::time::Duration,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The longest that two runs of a request may be at work together.
const MOST_TOGETHER: Duration = ms(400);

#[test]
fn a_run_is_kept_for_as_long_as_its_replacement_may_still_fail_at_once() {
    // The old run was ended before the new one could say that it was turned away.
    struct Case {
        what: &'static str,
        cancel_ms: u64,
        begin_ms: u64,
        /// The words to be answered; `None` where the old run has to end first.
        probes: Option<u32>,
    }
    let case = |what, cancel_ms, begin_ms, probes| Case { what, cancel_ms, begin_ms, probes };
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
    for Case { what, cancel_ms, begin_ms, probes } in cases {
        let times = HandoverDelays { cancel: ms(cancel_ms), begin: ms(begin_ms) }.times();
        assert_eq!(times.map(|times| times.probes), probes, "{what}");
    }
}

#[test]
fn every_handover_of_a_day_with_lost_links_keeps_its_bounds() {
    // Both runs went on beside each other, or the new one ended before it could be kept.
    for cancel_ms in (0..400).step_by(5) {
        for begin_ms in (0..400).step_by(5) {
            let (cancel, begin) = (ms(cancel_ms), ms(begin_ms));
            let Some(times) = (HandoverDelays { cancel, begin }).times() else { continue };
            let HandoverTimes { overlap, probes, probe_timeout, lease, .. } = times;
            let what = format!("{cancel_ms} ms, {begin_ms} ms: {times:?}");
            assert!(overlap.saturating_sub(begin) + cancel <= MOST_TOGETHER, "{what}");
            assert!(begin * 2 * probes <= overlap, "no time for the words: {what}");
            assert!(probe_timeout >= begin * 2, "no time for one word: {what}");
            // Told at the end of the overlap, and once more where that is lost.
            assert!(lease >= overlap + times.commit_timeout, "{what}");
        }
    }
}
