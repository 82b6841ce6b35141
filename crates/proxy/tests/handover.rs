//! From a silent run to the one that replaces it: what fails in that moment loses nothing.

mod support;

use {
    futures::future::join,
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BedSettings, Deed, Script, Served, TestBed, address, take},
};

const IDEMPOTENT: RequestKind = RequestKind::Idempotent;
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };

const ALL: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
const FIRST: &str = "id: 1\ndata: a\n\n";
const REST: &str = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";

/// Longer than any wait for a run that another one might replace, shorter than callers wait.
const LONG_PAUSE: Duration = Duration::from_millis(2_800);

/// To the other region and back.
const ROUND_TRIP: Duration = Duration::from_millis(110);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Backend servers of their own names in both regions, so many in each.
fn settings(kind: RequestKind, backends: (u8, u8)) -> BedSettings {
    BedSettings { backends, east_names: "e-", ..BedSettings::of(kind) }
}

fn turned_away() -> Deed {
    Deed::Answer(Script::signed(503, &[]).header("not-run", "1"))
}

/// What the caller gets where the link between the regions is cut so long after it called.
fn serve_with_cut(bed: &TestBed, cut_after: u64) -> Served {
    let clock = bed.clock();
    let cut = async {
        clock.sleep(ms(cut_after)).await;
        bed.link.partition(address(2), address(3));
    };
    let (served, ()) = bed.world.run_until(join(take(bed.proxy(), bed.call()), cut));
    served
}

/// A run that goes on after a long pause: a stream in its middle, a whole answer in its middle, or
/// one before its head.
fn paused_runs() -> [(&'static str, RequestKind, Script, &'static str); 3] {
    [
        ("stream", RESUMABLE, Script::events(&[FIRST, REST]).paused(1, LONG_PAUSE), ALL),
        ("body", IDEMPOTENT, Script::signed(200, &["one", "two"]).paused(1, LONG_PAUSE), "onetwo"),
        ("head", IDEMPOTENT, Script::signed(200, &["late"]).after(LONG_PAUSE), "late"),
    ]
}

/// What the backend server of such a run answers to the same request when it gets it again.
fn again(run: &str, whole: &'static str) -> Script {
    match run {
        "stream" => Script::events(&[REST]),
        _ => Script::signed(200, &[whole]),
    }
}

#[test]
fn a_run_goes_on_where_the_one_that_is_to_replace_it_fails() {
    // The old run was ended right before the new one broke or was turned away.
    struct Case {
        what: &'static str,
        backends: (u8, u8),
        new: fn() -> Deed,
    }
    let case = |what, backends, new| Case { what, backends, new };
    let cases = [
        case("broken here", (2, 0), || Deed::Close),
        case("turned away here", (2, 0), turned_away),
        case("not reached here", (2, 0), || Deed::Unreachable),
        case("a failure here", (2, 0), || Deed::Answer(Script::signed(500, &["no"]))),
        case("broken in the other region", (1, 1), || Deed::Close),
        case("turned away in the other region", (1, 1), turned_away),
        case("not reached in the other region", (1, 1), || Deed::Unreachable),
    ];
    for (run, kind, script, whole) in paused_runs() {
        for Case { what, backends, new } in &cases {
            let bed = TestBed::new(&settings(kind, *backends));
            bed.script(0, &[Deed::Answer(script.clone())]);
            let there = usize::from(backends.1 > 0);
            bed.script(there, &vec![new(); 8]);
            let served = bed.serve(bed.call());
            let got = (served.status, served.is_broken, served.body.as_str());
            assert_eq!(got, (200, false, whole), "{run}, {what}: {:#?}", bed.events.lines());
            let lines = bed.events.lines();
            let kept = lines.iter().any(|line| line.starts_with("request.run_kept"));
            assert!(kept, "{run}, {what}: not replaced: {lines:#?}");
        }
    }
}

#[test]
fn a_link_that_breaks_at_any_moment_of_a_handover_loses_no_run() {
    // The word that the new run may begin, or its answer, was lost with the link.
    for (run, kind, script, whole) in paused_runs() {
        // A search begins after 0.15 to 1.2 s, and its words take up to half a second.
        for cut_after in (150..1_500).step_by(15) {
            let bed = TestBed::new(&settings(kind, (1, 1)));
            bed.script(0, &[Deed::Answer(script.clone()), Deed::Answer(again(run, whole))]);
            bed.script(1, &[Deed::Hang, Deed::Hang]);
            let began = bed.world.now();
            let served = serve_with_cut(&bed, cut_after);
            let ended = bed.backends(0).cancelled_at.borrow().first().copied();
            let begun = bed.backends(1).arrivals.borrow().first().map(|arrival| arrival.at);
            // Lost is a run that had begun in the other region, and replaced the old one, before
            // its gateway could know of the cut.
            let cut_at = began + ms(cut_after);
            let is_over = begun.is_some_and(|begun| begun <= cut_at)
                && ended.is_some_and(|ended| ended <= cut_at + ROUND_TRIP);
            let got = (served.status, served.is_broken, served.body.as_str());
            let is_whole = ended.is_none() && got == (200, false, whole);
            let lines = bed.events.lines();
            assert!(is_whole || is_over, "{run}, cut after {cut_after} ms: {got:?}: {lines:#?}");
        }
    }
}

#[test]
fn a_run_in_another_region_ends_where_its_gateway_says_nothing_more() {
    // Runs went on for nobody after a link had broken in a handover.
    for cut_after in [1_375, 1_400, 1_425] {
        let bed = TestBed::new(&settings(RESUMABLE, (1, 1)));
        let silent = Script::events(&[FIRST, REST]).paused(1, LONG_PAUSE);
        bed.script(0, &[Deed::Answer(silent)]);
        bed.script(1, &[Deed::Hang, Deed::Hang]);
        let served = serve_with_cut(&bed, cut_after);
        assert_eq!((served.is_broken, served.body.as_str()), (false, ALL), "{cut_after}");
        let begun = bed.backends(1).arrivals.borrow().first().expect("a second run").at;
        let ended = bed.backends(1).cancelled_at.borrow().first().copied();
        let lasted = ended.expect("its end").since(begun);
        assert!(lasted <= ms(1_000), "cut after {cut_after} ms: it ran for {lasted:?}");
    }
}

/// Guards against a new run that is given up as its link has become slower than it usually is.
#[test]
fn a_run_that_begins_over_a_slower_link_than_usual_is_kept() {
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
        bed.script(old, &vec![Deed::Answer(Script::events(&[ALL])); 20]);
        for _ in 0..20 {
            assert_eq!(bed.serve(bed.call()).status, 200);
        }
        let silent = Script::events(&[FIRST, REST]).paused(1, Duration::from_secs(30));
        bed.script(old, &[Deed::Answer(silent)]);
        bed.script(1, &[Deed::Answer(Script::events(&[REST]))]);
        let clock = bed.clock();
        let slower = async {
            clock.sleep(ms(300)).await;
            bed.link.set_delay(ms(slow));
        };
        let (served, ()) = bed.world.run_until(join(take(bed.proxy(), bed.call()), slower));
        let got = (served.status, served.is_broken, served.body.as_str());
        assert_eq!(got, (200, false, ALL), "{backends:?}, {slow} ms: {:#?}", bed.events.lines());
    }
}

#[test]
fn an_answer_that_completes_in_a_handover_is_passed_on() {
    // A whole answer was dropped for a run that had just begun.
    let bed = TestBed::new(&settings(RESUMABLE, (2, 0)));
    let late = Script::events(&[ALL, ""]).paused(1, ms(1_250));
    bed.script(0, &[Deed::Answer(late), Deed::Hang]);
    let served = bed.serve(bed.call());
    let got = (served.status, served.is_broken, served.body.as_str());
    assert_eq!(got, (200, false, ALL), "{:#?}", bed.events.lines());
    let arrivals = bed.backends(0).arrivals.borrow().len();
    assert_eq!(arrivals, 2, "no handover");
}

#[test]
fn a_word_that_is_never_answered_is_not_waited_for_to_the_deadline() {
    // A caller was left waiting for a run that nobody had been told to begin.
    let mut lost = 0;
    for cut_after in (1_200..2_000).step_by(20) {
        let bed = TestBed::new(&settings(RESUMABLE, (0, 2)));
        bed.link.set_delay(ms(110));
        let silent = Script::events(&[FIRST, REST]).paused(1, LONG_PAUSE);
        bed.script(1, &[Deed::Answer(silent), Deed::Hang, Deed::Hang]);
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
    assert!(lost > 0, "no word was lost");
}

#[test]
fn a_run_that_fails_by_itself_in_a_handover_leaves_the_new_one() {
    // The word that the old run had ended came before the new run had its lease.
    for backends in [(2, 0), (1, 1)] {
        for fails_after in (1_150..1_700).step_by(5) {
            let bed = TestBed::new(&settings(RESUMABLE, backends));
            let failing = Script::events(&[FIRST]).paused(1, ms(fails_after)).broken();
            bed.script(0, &[Deed::Answer(failing)]);
            let there = usize::from(backends.1 > 0);
            let rest = Script::events(&[REST]).after(ms(1_500));
            bed.script(there, &[Deed::Answer(rest)]);
            let served = bed.serve(bed.call());
            let got = (served.status, served.is_broken, served.body.as_str());
            let lines = bed.events.lines();
            assert_eq!(got, (200, false, ALL), "{backends:?}, after {fails_after} ms: {lines:#?}");
        }
    }
}

/// Guards against a request that is lost with the run that replaced another one, while the backend
/// server of the replaced one would have answered.
#[test]
fn a_request_goes_back_to_a_run_that_was_given_up_where_the_new_one_is_lost() {
    struct Case {
        backends: (u8, u8),
        /// The regions of the silent run and of the one that replaces it.
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
            bed.script(old, &[Deed::Answer(script)]);
            bed.script(new, &[Deed::HangUp(ms(lost_after))]);
            bed.script(old, &[Deed::Answer(again(run, whole))]);
            let served = bed.serve(bed.call());
            let lines = bed.events.lines();
            let got = (served.status, served.is_broken, served.body.as_str());
            assert_eq!(got, (200, false, whole), "{what}: {lines:#?}");
        }
    }
}
