//! Quotas of workspaces: who is refused, and what is charged for.

mod support;

use {
    gullglade_proxy::CallerRequest,
    gullglade_traffic::{QuotaUnit, RawQuota, RawWorkspace, RequestKind},
    gullglade_units::TokenHash,
    std::time::Duration,
    support::{BedSettings, Deed, Script, Served, TestBed, take},
};

/// Requests a second of the limited workspace.
const RATE: f64 = 2.0;

fn workspace(name: &str, quota: Option<RawQuota>) -> RawWorkspace {
    RawWorkspace {
        name: name.to_owned(),
        keys: vec![format!("{name}-key")],
        priority: None,
        homes: Vec::new(),
        quota,
    }
}

fn workspaces(_version: u64) -> Vec<RawWorkspace> {
    let quota = RawQuota { unit: QuotaUnit::Requests, rate: RATE, burst: 10.0 };
    vec![workspace("limited", Some(quota)), workspace("free", None)]
}

fn bed() -> TestBed {
    let kind = RequestKind::AtMostOnce;
    let settings =
        BedSettings { workspaces, has_neighbour: true, backends: (2, 2), ..BedSettings::of(kind) };
    let bed = TestBed::new(&settings);
    // Long enough for a bucket to fill.
    bed.run_with_notices(Duration::from_secs(10));
    bed
}

fn call(bed: &TestBed, workspace: &str) -> CallerRequest {
    CallerRequest { key: Some(TokenHash::of(&format!("{workspace}-key"))), ..bed.call() }
}

/// Serves a call at a gateway, with backend servers that do `deed` with it.
fn serve(bed: &TestBed, gateway: usize, workspace: &str, deed: &Deed) -> Served {
    for index in 0..3 {
        bed.backends(index).forget_deeds();
        bed.script(index, &vec![deed.clone(); 8]);
    }
    bed.world.run_until(take(bed.gateway(gateway), call(bed, workspace)))
}

fn answer() -> Deed {
    Deed::Answer(Script::signed(200, &["done"]))
}

/// How many of `count` calls at once are served.
fn served(bed: &TestBed, count: usize, workspace: &str, deed: &Deed) -> usize {
    (0..count).filter(|_| serve(bed, 0, workspace, deed).status == 200).count()
}

#[test]
fn a_workspace_over_its_quota_is_told_when_to_come_back_and_others_are_served() {
    let bed = bed();
    let count = served(&bed, 30, "limited", &answer());
    assert!((5..=12).contains(&count), "{count} served of a burst of 10");
    let refused = serve(&bed, 0, "limited", &answer());
    assert_eq!(refused.status, 429);
    let wait: f64 = refused.headers["retry-after"].to_str().expect("text").parse().expect("one");
    assert!((0.25..=2.0).contains(&wait), "{wait}");
    assert_eq!(served(&bed, 30, "free", &answer()), 30);
    bed.run_with_notices(Duration::from_secs_f64(wait));
    assert_eq!(serve(&bed, 0, "limited", &answer()).status, 200);
}

/// Each gateway counted for itself, so a workspace had its quota once at each of them.
#[test]
fn what_is_spent_at_one_gateway_is_spent_at_all() {
    let bed = bed();
    served(&bed, 30, "limited", &answer());
    bed.run_with_notices(Duration::from_millis(100));
    assert_eq!(serve(&bed, 2, "limited", &answer()).status, 429, "the neighbour");
    bed.run_with_notices(Duration::from_millis(100));
    assert_eq!(serve(&bed, 1, "limited", &answer()).status, 429, "the other region");
}

#[test]
fn what_has_not_run_is_not_charged() {
    struct Case {
        what: &'static str,
        deed: Deed,
        is_charged: bool,
    }
    let shed = Script::signed(503, &[]).header("not-run", "1");
    let cases = [
        Case { what: "refused by all", deed: Deed::Answer(shed), is_charged: false },
        Case { what: "unreachable", deed: Deed::Unreachable, is_charged: false },
        Case { what: "broken off", deed: Deed::Close, is_charged: true },
        Case {
            what: "failed",
            deed: Deed::Answer(Script::signed(500, &["sorry"])),
            is_charged: true,
        },
    ];
    for case in cases {
        let bed = bed();
        for _ in 0..30 {
            serve(&bed, 0, "limited", &case.deed);
        }
        let is_left = serve(&bed, 0, "limited", &answer()).status != 429;
        assert_eq!(is_left, !case.is_charged, "{}", case.what);
    }
}
