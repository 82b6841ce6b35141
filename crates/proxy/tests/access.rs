//! Keys of callers: authorization, workspaces, and the time limit without contact.

mod support;

use {
    gullglade_proxy::CallerRequest,
    gullglade_traffic::{RawWorkspace, RequestKind},
    gullglade_units::TokenHash,
    std::time::Duration,
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed},
};

const REVOCATION: Duration = Duration::from_secs(5);

fn workspace(name: &str, keys: &[&str], homes: &[&str]) -> RawWorkspace {
    RawWorkspace {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        homes: homes.iter().map(|home| (*home).to_owned()).collect(),
        quota: None,
    }
}

/// In version 2 one key is revoked, and another one is moved to another workspace.
fn workspaces(version: u64) -> Vec<RawWorkspace> {
    match version {
        1 => vec![
            workspace("clerks", &["kept", "taken", "moved"], &[]),
            workspace("eastern", &["east-key"], &["east"]),
        ],
        _ => vec![
            workspace("clerks", &["kept"], &[]),
            workspace("eastern", &["east-key", "moved"], &["east"]),
        ],
    }
}

fn bed() -> TestBed {
    TestBed::new(&settings())
}

fn settings() -> BedSettings {
    BedSettings {
        workspaces,
        revocation: Some(REVOCATION),
        backends: (2, 2),
        ..BedSettings::of(RequestKind::Idempotent)
    }
}

fn request_with_key(bed: &TestBed, key: Option<&str>) -> CallerRequest {
    CallerRequest { key: key.map(TokenHash::of), ..bed.request() }
}

/// Serves a request. Returns its status and the workspaces in the requests to backend servers of
/// both regions.
fn serve(bed: &TestBed, key: Option<&str>) -> (u16, Vec<Option<String>>) {
    for region in 0..2 {
        bed.backends(region).clear_actions();
        bed.backends(region).arrivals.borrow_mut().clear();
        bed.script(region, &[BackendAction::Answer(ScriptedResponse::signed(200, &["done"]))]);
    }
    let status = bed.serve(request_with_key(bed, key)).status;
    let arrivals = |region| bed.backends(region).arrivals.borrow().clone();
    let stated_workspaces = (0..2).flat_map(arrivals).map(|arrival| {
        arrival.headers.get("workspace").map(|value| value.to_str().expect("a name").to_owned())
    });
    (status, stated_workspaces.collect())
}

#[test]
fn requests_run_for_the_workspace_of_the_key() {
    struct Case {
        what: &'static str,
        key: Option<&'static str>,
        is_public: bool,
        status: u16,
        stated_workspaces: &'static [Option<&'static str>],
    }
    let cases = [
        Case {
            what: "known",
            key: Some("kept"),
            is_public: false,
            status: 200,
            stated_workspaces: &[Some("clerks")],
        },
        Case {
            what: "unknown",
            key: Some("guess"),
            is_public: false,
            status: 401,
            stated_workspaces: &[],
        },
        Case {
            what: "empty",
            key: Some(""),
            is_public: false,
            status: 401,
            stated_workspaces: &[],
        },
        Case { what: "none", key: None, is_public: false, status: 401, stated_workspaces: &[] },
        Case {
            what: "public",
            key: None,
            is_public: true,
            status: 200,
            stated_workspaces: &[None],
        },
        Case {
            what: "public, with a key",
            key: Some("guess"),
            is_public: true,
            status: 200,
            stated_workspaces: &[None],
        },
    ];
    for case in cases {
        let bed = TestBed::new(&BedSettings { is_public: case.is_public, ..settings() });
        let (status, stated_workspaces) = serve(&bed, case.key);
        let stated_workspaces: Vec<_> = stated_workspaces.iter().map(Option::as_deref).collect();
        assert_eq!(
            (status, &stated_workspaces[..]),
            (case.status, case.stated_workspaces),
            "{}",
            case.what
        );
    }
}

#[test]
fn forwarded_request_keeps_its_workspace() {
    let bed = bed();
    assert_eq!(serve(&bed, Some("east-key")), (200, vec![Some("eastern".to_owned())]));
    assert!(bed.backends(0).arrivals.borrow().is_empty(), "its home is the other region");
}

#[test]
fn revoked_or_moved_key_takes_effect_with_configuration() {
    let bed = bed();
    bed.configure(2);
    bed.world.run_for(Duration::from_secs(1));
    struct Case {
        key: &'static str,
        status: u16,
        stated_workspaces: Option<&'static str>,
    }
    let cases = [
        Case { key: "kept", status: 200, stated_workspaces: Some("clerks") },
        Case { key: "taken", status: 401, stated_workspaces: None },
        Case { key: "moved", status: 200, stated_workspaces: Some("eastern") },
    ];
    for case in cases {
        let (status, stated_workspaces) = serve(&bed, Some(case.key));
        let stated_workspaces: Vec<_> =
            stated_workspaces.iter().flatten().map(String::as_str).collect();
        assert_eq!(
            (status, stated_workspaces),
            (case.status, Vec::from_iter(case.stated_workspaces)),
            "{}",
            case.key
        );
    }
}

/// Guards against a gateway that keeps accepting a revoked key while it has no contact to the
/// control processes.
#[test]
fn keys_are_refused_after_revocation_bound_without_contact() {
    struct Case {
        what: &'static str,
        fault: fn(&TestBed),
    }
    let cases = [
        Case { what: "control processes are gone", fault: |bed| bed.kill_control() },
        Case {
            what: "control processes have no leader",
            fault: |bed| bed.set_confirmed_ago(Some(Duration::from_secs(60))),
        },
        Case {
            what: "control processes never had a leader",
            fault: |bed| bed.set_confirmed_ago(None),
        },
    ];
    for case in cases {
        let bed = bed();
        (case.fault)(&bed);
        let began = bed.world.now();
        // A revocation from now on does not reach this gateway any more.
        bed.world.run_for(Duration::from_secs(2));
        assert_eq!(serve(&bed, Some("taken")).0, 200, "{}", case.what);
        bed.world.run_for(REVOCATION.saturating_sub(bed.world.now().since(began)));
        for key in [Some("taken"), Some("kept"), Some("guess"), None] {
            assert_eq!(serve(&bed, key), (503, Vec::new()), "{}: {key:?}", case.what);
        }
    }
}

/// Guards against a gateway that accepts a key revoked while its VM was suspended. The monotonic
/// clock stands still during a suspension, so old data looks fresh.
#[test]
fn vm_suspension_counts_as_time_without_contact() {
    let bed = bed();
    bed.kill_control();
    bed.process(0).note_suspension(REVOCATION);
    assert_eq!(serve(&bed, Some("taken")), (503, Vec::new()));
}

#[test]
fn wall_clock_step_has_no_effect() {
    for millis in [-3_600_000, 3_600_000] {
        let bed = bed();
        bed.process(0).set_wall_offset(millis);
        assert_eq!(serve(&bed, Some("kept")).0, 200, "{millis} ms");
        assert!(bed.process(0).context().clock.boot().0 < Duration::from_secs(60));
    }
}

#[test]
fn gateway_without_contact_accepts_keys_without_bound() {
    let bed = TestBed::new(&BedSettings { revocation: None, ..settings() });
    bed.kill_control();
    bed.world.run_for(REVOCATION * 3);
    assert_eq!(serve(&bed, Some("kept")).0, 200);
    assert_eq!(serve(&bed, Some("guess")).0, 401);
}
