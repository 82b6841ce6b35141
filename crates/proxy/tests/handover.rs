//! Handover from a silent run to its replacement: failures during it must not lose either run.

mod support;

use {
    futures::future::join,
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{
        BackendAction, BedSettings, CallerResponse, ScriptedResponse, TestBed, address, fetch,
    },
};

const IDEMPOTENT: RequestKind = RequestKind::Idempotent;
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };

const ALL: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
const FIRST: &str = "id: 1\ndata: a\n\n";
const REST: &str = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";

/// Longer than any wait for a replaceable run, shorter than the callers' timeout.
const LONG_PAUSE: Duration = Duration::from_millis(2_800);

/// Round trip to the other region.
const ROUND_TRIP: Duration = Duration::from_millis(110);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Settings with separate backend servers in both regions.
fn settings(kind: RequestKind, backends: (u8, u8)) -> BedSettings {
    BedSettings { backends, east_names: "e-", ..BedSettings::of(kind) }
}

fn rejection() -> BackendAction {
    BackendAction::Answer(ScriptedResponse::signed(503, &[]).header("not-run", "1"))
}

/// Serves a request, and cuts the link between the regions `cut_after` milliseconds after it began.
fn serve_with_cut(bed: &TestBed, cut_after: u64) -> CallerResponse {
    let clock = bed.clock();
    let cut = async {
        clock.sleep(ms(cut_after)).await;
        bed.link.partition(address(2), address(3));
    };
    let (response, ()) = bed.world.run_until(join(fetch(bed.proxy(), bed.request()), cut));
    response
}

/// Runs that continue after a long pause: in the middle of a stream, in the middle of a plain body,
/// and before the head.
fn paused_runs() -> [(&'static str, RequestKind, ScriptedResponse, &'static str); 3] {
    [
        ("stream", RESUMABLE, ScriptedResponse::events(&[FIRST, REST]).paused(1, LONG_PAUSE), ALL),
        (
            "body",
            IDEMPOTENT,
            ScriptedResponse::signed(200, &["one", "two"]).paused(1, LONG_PAUSE),
            "onetwo",
        ),
        ("head", IDEMPOTENT, ScriptedResponse::signed(200, &["late"]).after(LONG_PAUSE), "late"),
    ]
}

/// The response of the run's backend server when it gets the same request again.
fn resumed_response(run: &str, whole: &'static str) -> ScriptedResponse {
    match run {
        "stream" => ScriptedResponse::events(&[REST]),
        _ => ScriptedResponse::signed(200, &[whole]),
    }
}

#[test]
fn old_run_continues_when_new_run_fails() {
    // Guards against cancelling the old run right before the new one breaks or is rejected.
    struct Case {
        what: &'static str,
        backends: (u8, u8),
        new: fn() -> BackendAction,
    }
    let case = |what, backends, new| Case { what, backends, new };
    let cases = [
        case("broken here", (2, 0), || BackendAction::Close),
        case("rejected here", (2, 0), rejection),
        case("unreachable here", (2, 0), || BackendAction::Unreachable),
        case("error here", (2, 0), || {
            BackendAction::Answer(ScriptedResponse::signed(500, &["no"]))
        }),
        case("broken in the other region", (1, 1), || BackendAction::Close),
        case("rejected in the other region", (1, 1), rejection),
        case("unreachable in the other region", (1, 1), || BackendAction::Unreachable),
    ];
    for (run, kind, script, whole) in paused_runs() {
        for Case { what, backends, new } in &cases {
            let bed = TestBed::new(&settings(kind, *backends));
            bed.script(0, &[BackendAction::Answer(script.clone())]);
            let there = usize::from(backends.1 > 0);
            bed.script(there, &vec![new(); 8]);
            let response = bed.serve(bed.request());
            let got = (response.status, response.is_incomplete, response.body.as_str());
            assert_eq!(got, (200, false, whole), "{run}, {what}: {:#?}", bed.events.lines());
            let lines = bed.events.lines();
            let kept = lines.iter().any(|line| line.starts_with("request.run_kept"));
            assert!(kept, "{run}, {what}: not replaced: {lines:#?}");
        }
    }
}

#[test]
fn link_failure_during_handover_loses_no_run() {
    // The command to start the new run, or its acknowledgement, is lost with the link.
    for (run, kind, script, whole) in paused_runs() {
        // A search begins after 0.15 to 1.2 s, and its messages take up to half a second.
        for cut_after in (150..1_500).step_by(15) {
            let bed = TestBed::new(&settings(kind, (1, 1)));
            bed.script(
                0,
                &[
                    BackendAction::Answer(script.clone()),
                    BackendAction::Answer(resumed_response(run, whole)),
                ],
            );
            bed.script(1, &[BackendAction::Hang, BackendAction::Hang]);
            let began = bed.world.now();
            let response = serve_with_cut(&bed, cut_after);
            let ended = bed.backends(0).cancelled_at.borrow().first().copied();
            let begun = bed.backends(1).arrivals.borrow().first().map(|arrival| arrival.at);
            // The response may only be lost if the run in the other region had begun and replaced
            // the old one before its gateway could know of the cut.
            let cut_at = began + ms(cut_after);
            let is_over = begun.is_some_and(|begun| begun <= cut_at)
                && ended.is_some_and(|ended| ended <= cut_at + ROUND_TRIP);
            let got = (response.status, response.is_incomplete, response.body.as_str());
            let is_complete = ended.is_none() && got == (200, false, whole);
            let lines = bed.events.lines();
            assert!(is_complete || is_over, "{run}, cut after {cut_after} ms: {got:?}: {lines:#?}");
        }
    }
}

#[test]
fn remote_run_ends_without_commit() {
    // Guards against runs that continue without a caller after a link broke during a handover.
    for cut_after in [1_375, 1_400, 1_425] {
        let bed = TestBed::new(&settings(RESUMABLE, (1, 1)));
        let silent = ScriptedResponse::events(&[FIRST, REST]).paused(1, LONG_PAUSE);
        bed.script(0, &[BackendAction::Answer(silent)]);
        bed.script(1, &[BackendAction::Hang, BackendAction::Hang]);
        let response = serve_with_cut(&bed, cut_after);
        assert_eq!((response.is_incomplete, response.body.as_str()), (false, ALL), "{cut_after}");
        let begun = bed.backends(1).arrivals.borrow().first().expect("a second run").at;
        let ended = bed.backends(1).cancelled_at.borrow().first().copied();
        let lasted = ended.expect("its end").since(begun);
        assert!(lasted <= ms(1_000), "cut after {cut_after} ms: it ran for {lasted:?}");
    }
}

/// Guards against abandoning a new run because its link has become slower than usual.
#[test]
fn new_run_over_slower_link_is_kept() {
    struct Case {
        backends: (u8, u8),
        slow: u64,
    }
    let cases = [(0, 2), (1, 1)]
        .into_iter()
        .flat_map(|backends| [60, 100, 140, 200, 300].map(|slow| Case { backends, slow }));
    for Case { backends, slow } in cases {
        let bed = TestBed::new(&settings(RESUMABLE, backends));
        let old = usize::from(backends.0 == 0);
        bed.link.set_delay(ms(5));
        bed.script(old, &vec![BackendAction::Answer(ScriptedResponse::events(&[ALL])); 20]);
        for _ in 0..20 {
            assert_eq!(bed.serve(bed.request()).status, 200);
        }
        let silent = ScriptedResponse::events(&[FIRST, REST]).paused(1, Duration::from_secs(30));
        bed.script(old, &[BackendAction::Answer(silent)]);
        bed.script(1, &[BackendAction::Answer(ScriptedResponse::events(&[REST]))]);
        let clock = bed.clock();
        let slower = async {
            clock.sleep(ms(300)).await;
            bed.link.set_delay(ms(slow));
        };
        let (response, ()) = bed.world.run_until(join(fetch(bed.proxy(), bed.request()), slower));
        let got = (response.status, response.is_incomplete, response.body.as_str());
        assert_eq!(got, (200, false, ALL), "{backends:?}, {slow} ms: {:#?}", bed.events.lines());
    }
}

#[test]
fn response_completed_during_handover_is_relayed() {
    // Guards against dropping a complete response in favor of a run that has just begun.
    let bed = TestBed::new(&settings(RESUMABLE, (2, 0)));
    let late = ScriptedResponse::events(&[ALL, ""]).paused(1, ms(1_250));
    bed.script(0, &[BackendAction::Answer(late), BackendAction::Hang]);
    let response = bed.serve(bed.request());
    let got = (response.status, response.is_incomplete, response.body.as_str());
    assert_eq!(got, (200, false, ALL), "{:#?}", bed.events.lines());
    let arrivals = bed.backends(0).arrivals.borrow().len();
    assert_eq!(arrivals, 2, "no handover");
}

#[test]
fn unacknowledged_command_is_not_awaited_to_deadline() {
    // Guards against a caller that waits until its deadline for a run whose start command was lost.
    let mut lost = 0;
    for cut_after in (1_200..2_000).step_by(20) {
        let bed = TestBed::new(&settings(RESUMABLE, (0, 2)));
        bed.link.set_delay(ms(110));
        let silent = ScriptedResponse::events(&[FIRST, REST]).paused(1, LONG_PAUSE);
        bed.script(1, &[BackendAction::Answer(silent), BackendAction::Hang, BackendAction::Hang]);
        serve_with_cut(&bed, cut_after);
        let lines = bed.events.lines();
        let given_up = |line: &&String| line.starts_with("request.away");
        let never_began = bed.backends(1).arrivals.borrow().len() == 1;
        if lines.iter().filter(given_up).count() == 2 && never_began {
            lost += 1;
            let is_late = lines.iter().any(|line| line.contains("limit=deadline"));
            assert!(!is_late, "cut after {cut_after} ms: {lines:#?}");
        }
    }
    assert!(lost > 0, "no command was lost");
}

#[test]
fn new_run_continues_when_old_run_fails() {
    // The old run fails before the new one has its lease.
    for backends in [(2, 0), (1, 1)] {
        for fails_after in (1_150..1_700).step_by(5) {
            let bed = TestBed::new(&settings(RESUMABLE, backends));
            let failing =
                ScriptedResponse::events(&[FIRST]).paused(1, ms(fails_after)).incomplete();
            bed.script(0, &[BackendAction::Answer(failing)]);
            let there = usize::from(backends.1 > 0);
            let rest = ScriptedResponse::events(&[REST]).after(ms(1_500));
            bed.script(there, &[BackendAction::Answer(rest)]);
            let response = bed.serve(bed.request());
            let got = (response.status, response.is_incomplete, response.body.as_str());
            let lines = bed.events.lines();
            assert_eq!(got, (200, false, ALL), "{backends:?}, after {fails_after} ms: {lines:#?}");
        }
    }
}

/// Guards against a request that is lost with the replacement run, although the backend server of
/// the old run would still respond.
#[test]
fn request_returns_to_old_backend_when_new_run_is_lost() {
    struct Case {
        backends: (u8, u8),
        /// Regions of the silent run and of its replacement.
        places: (usize, usize),
        lost_after: u64,
    }
    let places = [((2, 0), (0, 0)), ((1, 1), (0, 1)), ((0, 2), (1, 1))];
    let cases = places.into_iter().flat_map(|(backends, places)| {
        [150, 400, 700, 1_500].map(|lost_after| Case { backends, places, lost_after })
    });
    for Case { backends, places: (old, new), lost_after } in cases {
        for (run, kind, script, whole) in paused_runs() {
            let what = format!("{run}, {backends:?}, lost after {lost_after} ms");
            let bed = TestBed::new(&settings(kind, backends));
            bed.script(old, &[BackendAction::Answer(script)]);
            bed.script(new, &[BackendAction::HangUp(ms(lost_after))]);
            bed.script(old, &[BackendAction::Answer(resumed_response(run, whole))]);
            let response = bed.serve(bed.request());
            let lines = bed.events.lines();
            let got = (response.status, response.is_incomplete, response.body.as_str());
            assert_eq!(got, (200, false, whole), "{what}: {lines:#?}");
        }
    }
}
