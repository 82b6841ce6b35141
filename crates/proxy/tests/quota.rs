//! Quotas of workspaces: refusals, charges, and usage shared between gateways.

mod support;

use {
    gullglade_proxy::CallerRequest,
    gullglade_traffic::{QuotaUnit, RawQuota, RawWorkspace, RequestKind},
    gullglade_units::TokenHash,
    std::time::Duration,
    support::{BackendAction, BedSettings, CallerResponse, ScriptedResponse, TestBed, fetch},
};

/// Rate of the limited workspace in requests per second.
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
    // Long enough for the token bucket to fill.
    bed.run_with_notices(Duration::from_secs(10));
    bed
}

fn request(bed: &TestBed, workspace: &str) -> CallerRequest {
    CallerRequest { key: Some(TokenHash::of(&format!("{workspace}-key"))), ..bed.request() }
}

/// Serves a request at a gateway whose backend servers perform `action`.
fn serve(bed: &TestBed, gateway: usize, workspace: &str, action: &BackendAction) -> CallerResponse {
    for index in 0..3 {
        bed.backends(index).clear_actions();
        bed.script(index, &vec![action.clone(); 8]);
    }
    bed.world.run_until(fetch(bed.gateway(gateway), request(bed, workspace)))
}

fn response() -> BackendAction {
    BackendAction::Answer(ScriptedResponse::signed(200, &["done"]))
}

/// Returns the number of served requests out of `count`.
fn count_served(bed: &TestBed, count: usize, workspace: &str, action: &BackendAction) -> usize {
    (0..count).filter(|_| serve(bed, 0, workspace, action).status == 200).count()
}

#[test]
fn workspace_over_quota_gets_retry_after_and_others_are_served() {
    let bed = bed();
    let count = count_served(&bed, 30, "limited", &response());
    assert!((5..=12).contains(&count), "{count} served of a burst of 10");
    let refused = serve(&bed, 0, "limited", &response());
    assert_eq!(refused.status, 429);
    let wait: f64 = refused.headers["retry-after"].to_str().expect("text").parse().expect("one");
    assert!((0.25..=2.0).contains(&wait), "{wait}");
    assert_eq!(count_served(&bed, 30, "free", &response()), 30);
    bed.run_with_notices(Duration::from_secs_f64(wait));
    assert_eq!(serve(&bed, 0, "limited", &response()).status, 200);
}

/// Guards against gateways that count separately, so that a workspace has its quota once per
/// gateway.
#[test]
fn usage_counts_at_all_gateways() {
    let bed = bed();
    count_served(&bed, 30, "limited", &response());
    bed.run_with_notices(Duration::from_millis(100));
    assert_eq!(serve(&bed, 2, "limited", &response()).status, 429, "the neighbour");
    bed.run_with_notices(Duration::from_millis(100));
    assert_eq!(serve(&bed, 1, "limited", &response()).status, 429, "the other region");
}

#[test]
fn requests_that_did_not_run_are_not_charged() {
    struct Case {
        what: &'static str,
        action: BackendAction,
        is_charged: bool,
    }
    let shed = ScriptedResponse::signed(503, &[]).header("not-run", "1");
    let cases = [
        Case { what: "refused by all", action: BackendAction::Answer(shed), is_charged: false },
        Case { what: "unreachable", action: BackendAction::Unreachable, is_charged: false },
        Case { what: "broken off", action: BackendAction::Close, is_charged: true },
        Case {
            what: "failed",
            action: BackendAction::Answer(ScriptedResponse::signed(500, &["sorry"])),
            is_charged: true,
        },
    ];
    for case in cases {
        let bed = bed();
        for _ in 0..30 {
            serve(&bed, 0, "limited", &case.action);
        }
        let is_left = serve(&bed, 0, "limited", &response()).status != 429;
        assert_eq!(is_left, !case.is_charged, "{}", case.what);
    }
}
