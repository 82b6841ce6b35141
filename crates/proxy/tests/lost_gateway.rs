//! Loss of one gateway of another region.

mod support;

use {
    futures::future::{join, join_all},
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BackendAction, BedSettings, Overrides, ScriptedResponse, TestBed, address, fetch},
};

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Number of requests.
const REQUESTS: u32 = 50;

#[test]
fn region_is_used_although_one_of_its_gateways_is_lost() {
    // Guards against a region that gets no requests for 1.5 s whenever one meets a lost gateway.
    struct Case {
        what: &'static str,
        /// Gateways of the second region that the first gateway does not reach.
        lost: &'static [usize],
        min_served: usize,
    }
    let cases = [
        Case { what: "none", lost: &[], min_served: 50 },
        Case { what: "one of three", lost: &[1], min_served: 50 },
    ];
    for case in cases {
        let bed = TestBed::new(&BedSettings {
            backends: (0, 4),
            overrides: Overrides { gateways: 6, ..Overrides::default() },
            ..BedSettings::of(RequestKind::Idempotent)
        });
        for gateway in [1, 3, 5] {
            let response = BackendAction::Answer(ScriptedResponse::signed(200, &["ok"]));
            bed.script(gateway, &vec![response; 2 * REQUESTS as usize]);
        }
        let clock = bed.clock();
        let cut = async {
            for gateway in case.lost {
                bed.link.partition(address(2), address(2 + *gateway as u8));
            }
        };
        let requests = (0..REQUESTS).map(|at| {
            let (bed, clock) = (&bed, &clock);
            async move {
                clock.sleep(REQUEST_INTERVAL * at).await;
                fetch(bed.proxy(), bed.request()).await.status
            }
        });
        let (statuses, ()) = bed.world.run_until(join(join_all(requests), cut));
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert!(served >= case.min_served, "{}: {served} of {REQUESTS}", case.what);
    }
}
