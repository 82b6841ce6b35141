//! The compact encoding of hints, and the time for which they are batched.

use {
    gullglade_dispatch::{
        AnswerHint, BackendHint, BackendReport, LimitUpdate, PromptPart, RejectionLimit,
        RequestUpdate, StatedLimit, WorkspaceUse,
    },
    gullglade_fleet::{RawVmCapacity, VmCapacity},
    gullglade_peer::MAX_NOTICE_BYTES,
    gullglade_proxy::{RunDirectory, batch_delay, decode_notice, encode_notices},
    gullglade_units::{BackendName, BackendRun, Incarnation},
    std::time::Duration,
};

fn run(index: u64, incarnation: u64) -> BackendRun {
    BackendRun {
        backend: BackendName::try_from(format!("i-{index}")).expect("a name"),
        incarnation: Incarnation(incarnation),
    }
}

fn hint(run: BackendRun, request: u64, sent_ago_us: u32, news: RequestUpdate) -> BackendHint {
    BackendHint { run, request, priority: (request % 7) as u8, sent_ago_us, news }
}

/// Returns hints with every update and extreme figures.
fn all_updates() -> Vec<BackendHint> {
    let parts = vec![PromptPart { id: u64::MAX, tokens: 5_382 }, PromptPart { id: 0, tokens: 0 }];
    let load =
        Some(BackendReport { running: 64, waiting: 3, slots: 64, slowdown_percent: Some(250) });
    let limit = StatedLimit::try_from(12.5).ok();
    let rejections = RejectionLimit::try_from(9.0).ok();
    [
        RequestUpdate::Sent {
            tokens: None,
            parts: Vec::new(),
            holds_slot: true,
            workspace: None,
            answer: None,
        },
        RequestUpdate::Sent {
            tokens: Some(u32::MAX),
            parts,
            holds_slot: true,
            workspace: Some(WorkspaceUse { workspace: u32::MAX, engine_ms: 120 }),
            answer: Some(AnswerHint { tokens: 382, left_ms: 12_000 }),
        },
        RequestUpdate::Begun {
            ago_us: 7,
            load,
            limit: LimitUpdate { limit, ago_us: u32::MAX },
            pace: [7, 9],
        },
        RequestUpdate::Begun {
            pace: [0; 2],
            ago_us: 0,
            load: None,
            limit: LimitUpdate { limit: None, ago_us: 0 },
        },
        RequestUpdate::Dropped,
        RequestUpdate::Backoff { left_us: 1_000_000 },
        RequestUpdate::Leaving,
        RequestUpdate::RejectionLimit(rejections),
        RequestUpdate::RejectionLimit(None),
    ]
    .into_iter()
    .zip([0, u64::MAX, 1, 1 << 63, 5, 4, u64::MAX - 1, 0, 77])
    .zip([0, 255, 256, 64_255, 64_256, 65_535, 1 << 24, u32::MAX - 1, u32::MAX])
    .enumerate()
    .map(|(index, ((news, request), ago))| hint(run(index as u64 % 3, 17), request, ago, news))
    .collect()
}

fn restored(bodies: &[Vec<u8>], runs: &RunDirectory) -> Vec<BackendHint> {
    let decoded = bodies.iter().map(|body| decode_notice(body, runs).expect("hints"));
    decoded.flatten().collect()
}

/// Guards against a change of what other gateways learn: a receiver that knows the runs gets every
/// hint as it was.
#[test]
fn hints_are_restored_exactly() {
    let hints = all_updates();
    let known = RunDirectory::new((0..70).map(|index| run(index, 17)));
    assert_eq!(restored(&encode_notices(&hints, &known), &known), hints);
    let unknown = RunDirectory::default();
    let in_full = encode_notices(&hints, &unknown);
    assert_eq!(restored(&in_full, &unknown), hints, "a sender that does not know the runs");
}

/// Guards against hints that are attributed to a later run of the same name, and against a
/// departure that is lost because the receiver does not know the run yet.
#[test]
fn unknown_runs_are_omitted_unless_they_leave() {
    let sender = RunDirectory::new([run(1, 17), run(2, 17)]);
    let receiver = RunDirectory::new([run(1, 18)]);
    let hints = [
        hint(run(1, 17), 4, 0, RequestUpdate::Dropped),
        hint(run(2, 17), 5, 0, RequestUpdate::Leaving),
    ];
    assert_eq!(restored(&encode_notices(&hints, &sender), &receiver), hints[1..]);
}

/// Guards against hints of runs with the same hash, one in a hundred large regions, that are
/// attributed to each other: such runs are listed.
#[test]
fn runs_with_the_same_hash_are_told_apart() {
    // Among 20,000 runs about 12 pairs have the same hash of 24 bits.
    let runs: Vec<_> = (0..20_000).map(|index| run(index, 0)).collect();
    let known = RunDirectory::new(runs.iter().cloned());
    for runs in runs.chunks(200) {
        let dropped = |run: &BackendRun| hint(run.clone(), 3, 0, RequestUpdate::Dropped);
        let hints: Vec<_> = runs.iter().map(dropped).collect();
        assert_eq!(restored(&encode_notices(&hints, &known), &known), hints);
    }
}

/// Guards against notices that the socket refuses because they are too long.
#[test]
fn long_batches_are_split_into_notices_of_bounded_size() {
    let known = RunDirectory::new((0..70).map(|index| run(index, 17)));
    let parts =
        |count| (0..count).map(|id| PromptPart { id: u64::MAX - id, tokens: 500 }).collect();
    let sent = |index: u64| {
        hint(
            run(index % 70, 17),
            index,
            9,
            RequestUpdate::Sent {
                tokens: None,
                parts: parts(9),
                holds_slot: true,
                workspace: None,
                answer: None,
            },
        )
    };
    let hints: Vec<_> = (0..100).map(sent).collect();
    let bodies = encode_notices(&hints, &known);
    assert!(bodies.iter().all(|body| body.len() <= MAX_NOTICE_BYTES));
    assert_eq!(restored(&bodies, &known), hints);
}

/// Guards against a return to hints that take a sixth of a link of 7.5 Mbit/s: a hint took 47
/// bytes with the name of its backend server.
#[test]
fn hints_of_known_runs_are_small() {
    let known = RunDirectory::new((0..70).map(|index| run(index, 1_764_720_000_000)));
    let part = PromptPart { id: u64::MAX, tokens: 5_382 };
    let load =
        Some(BackendReport { running: 24, waiting: 2, slots: 64, slowdown_percent: Some(250) });
    let limit = LimitUpdate { limit: None, ago_us: 9_000 };
    let begun = RequestUpdate::Begun { ago_us: 9_000, load, limit, pace: [7, 9] };
    let sent = RequestUpdate::Sent {
        tokens: Some(6_610),
        parts: vec![part],
        holds_slot: true,
        workspace: None,
        answer: None,
    };
    let run = run(3, 1_764_720_000_000);
    let pair = [hint(run.clone(), u64::MAX, 9_000, sent), hint(run, u64::MAX, 600_000, begun)];
    let bytes: usize = encode_notices(&pair, &known).iter().map(Vec::len).sum();
    assert!(bytes <= 64, "{bytes} bytes for the hints of one request");
}

#[test]
fn only_small_links_in_large_regions_of_different_gateways_batch_longer() {
    struct Case {
        name: &'static str,
        peers: usize,
        /// Own link and those of the others, Mbit/s; 0 if not stated.
        links: [f64; 2],
        expected_ms: u64,
    }
    let cases = [
        Case { name: "small region", peers: 8, links: [7.5, 25.0], expected_ms: 8 },
        Case { name: "nothing stated", peers: 9, links: [0.0, 0.0], expected_ms: 20 },
        Case { name: "all alike", peers: 24, links: [7.5, 7.5], expected_ms: 20 },
        Case { name: "own not stated", peers: 24, links: [0.0, 25.0], expected_ms: 20 },
        Case { name: "others not stated", peers: 24, links: [7.5, 0.0], expected_ms: 20 },
        Case { name: "small link", peers: 24, links: [7.5, 25.0], expected_ms: 40 },
        Case { name: "slightly smaller link", peers: 24, links: [20.0, 25.0], expected_ms: 20 },
        Case { name: "large link", peers: 24, links: [25.0, 7.5], expected_ms: 20 },
    ];
    for Case { name, peers, links, expected_ms } in cases {
        let [own, other] = links.map(|link| {
            let link_mbps = Some(link).filter(|link| *link != 0.0);
            let raw = RawVmCapacity { link_mbps, ..RawVmCapacity::default() };
            VmCapacity::try_from(raw).expect("valid")
        });
        let delay = batch_delay(peers, &own, [own, other]);
        assert_eq!(delay, Duration::from_millis(expected_ms), "{name}");
    }
}
