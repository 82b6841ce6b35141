//! Bounds on the send time of requests that are read after a stall.

use {gullglade_dispatch::StallDetector, gullglade_units::MonotonicTime, std::time::Duration};

/// Guards against treating requests that waited for a stalled gateway as sent at the time of
/// reading.
#[test]
fn requests_read_after_a_stall_may_be_as_old_as_the_stall() {
    struct Case {
        name: &'static str,
        checks: &'static [u64],
        /// Times at which requests are read, with the earliest time at which they may have been
        /// sent.
        reads: &'static [(u64, u64)],
    }
    let cases = [
        Case { name: "never checked", checks: &[], reads: &[(5_000, 5_000)] },
        Case {
            name: "no stall",
            checks: &[0, 250, 500, 900],
            reads: &[(901, 901), (1_300, 1_300)],
        },
        Case {
            name: "read before the check notices",
            checks: &[0, 250],
            reads: &[(700, 700), (4_000, 250)],
        },
        Case {
            name: "read until the process has run for as long",
            checks: &[0, 250, 4_250],
            reads: &[(4_251, 250), (4_600, 250)],
        },
        Case {
            name: "all of it is read",
            checks: &[0, 250, 1_250, 1_500, 1_750, 2_000, 2_250],
            reads: &[(2_249, 250), (2_250, 2_250)],
        },
        Case {
            name: "another stall before all of it is read",
            checks: &[0, 250, 4_250, 4_500, 6_500],
            reads: &[(6_600, 250), (12_749, 250)],
        },
    ];
    let at = |millis: &u64| MonotonicTime(Duration::from_millis(*millis));
    for Case { name, checks, reads } in cases {
        let mut watch = StallDetector::new(Duration::from_millis(250));
        for check in checks {
            let _stall: Option<Duration> = watch.check(at(check));
        }
        for (read, sent) in reads {
            assert_eq!(watch.sent_since(at(read)), at(sent), "{name}, read at {read}");
        }
    }
}
