//! Callers with keys: who is served, for whom, and for how long without contact.

mod support;

use {
    gullglade_proxy::CallerRequest,
    gullglade_traffic::{RawWorkspace, RequestKind},
    gullglade_units::TokenHash,
    std::time::Duration,
    support::{BedSettings, Deed, Script, TestBed},
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

/// With version 2 one key is taken away, another given to another workspace.
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

fn keyed(bed: &TestBed, key: Option<&str>) -> CallerRequest {
    CallerRequest { key: key.map(TokenHash::of), ..bed.call() }
}

/// The status of a call, and the workspaces that backend servers of both regions were told.
fn serve(bed: &TestBed, key: Option<&str>) -> (u16, Vec<Option<String>>) {
    for region in 0..2 {
        bed.backends(region).forget_deeds();
        bed.backends(region).arrivals.borrow_mut().clear();
        bed.script(region, &[Deed::Answer(Script::signed(200, &["done"]))]);
    }
    let status = bed.serve(keyed(bed, key)).status;
    let arrivals = |region| bed.backends(region).arrivals.borrow().clone();
    let told = (0..2).flat_map(arrivals).map(|arrival| {
        arrival.headers.get("workspace").map(|value| value.to_str().expect("a name").to_owned())
    });
    (status, told.collect())
}

#[test]
fn callers_are_served_for_the_workspace_that_holds_their_key() {
    struct Case {
        what: &'static str,
        key: Option<&'static str>,
        is_public: bool,
        status: u16,
        told: &'static [Option<&'static str>],
    }
    let cases = [
        Case {
            what: "known",
            key: Some("kept"),
            is_public: false,
            status: 200,
            told: &[Some("clerks")],
        },
        Case { what: "unknown", key: Some("guess"), is_public: false, status: 401, told: &[] },
        Case { what: "empty", key: Some(""), is_public: false, status: 401, told: &[] },
        Case { what: "none", key: None, is_public: false, status: 401, told: &[] },
        Case { what: "public", key: None, is_public: true, status: 200, told: &[None] },
        Case {
            what: "public, with a key",
            key: Some("guess"),
            is_public: true,
            status: 200,
            told: &[None],
        },
    ];
    for case in cases {
        let bed = TestBed::new(&BedSettings { is_public: case.is_public, ..settings() });
        let (status, told) = serve(&bed, case.key);
        let told: Vec<_> = told.iter().map(Option::as_deref).collect();
        assert_eq!((status, &told[..]), (case.status, case.told), "{}", case.what);
    }
}

#[test]
fn work_that_leaves_its_region_is_done_for_the_same_workspace() {
    let bed = bed();
    assert_eq!(serve(&bed, Some("east-key")), (200, vec![Some("eastern".to_owned())]));
    assert!(bed.backends(0).arrivals.borrow().is_empty(), "its home is the other region");
}

#[test]
fn a_key_that_was_taken_away_or_moved_counts_so_at_once_where_that_is_known() {
    let bed = bed();
    bed.configure(2);
    bed.world.run_for(Duration::from_secs(1));
    struct Case {
        key: &'static str,
        status: u16,
        told: Option<&'static str>,
    }
    let cases = [
        Case { key: "kept", status: 200, told: Some("clerks") },
        Case { key: "taken", status: 401, told: None },
        Case { key: "moved", status: 200, told: Some("eastern") },
    ];
    for case in cases {
        let (status, told) = serve(&bed, Some(case.key));
        let told: Vec<_> = told.iter().flatten().map(String::as_str).collect();
        assert_eq!((status, told), (case.status, Vec::from_iter(case.told)), "{}", case.key);
    }
}

/// A gateway that control processes could not reach went on serving a key that had been taken away.
#[test]
fn keys_are_not_taken_for_longer_than_promised_without_contact() {
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
        // What is taken away now is not told here any more.
        bed.world.run_for(Duration::from_secs(2));
        assert_eq!(serve(&bed, Some("taken")).0, 200, "{}", case.what);
        bed.world.run_for(REVOCATION.saturating_sub(bed.world.now().since(began)));
        for key in [Some("taken"), Some("kept"), Some("guess"), None] {
            assert_eq!(serve(&bed, key), (503, Vec::new()), "{}: {key:?}", case.what);
        }
    }
}

/// A VM was suspended while a key was taken away. Its monotonic clock stood still, so the gateway
/// took what it knew for fresh and served the key.
#[test]
fn a_suspension_counts_as_time_without_contact() {
    let bed = bed();
    bed.kill_control();
    bed.process(0).note_suspension(REVOCATION);
    assert_eq!(serve(&bed, Some("taken")), (503, Vec::new()));
}

#[test]
fn a_wall_clock_that_steps_changes_nothing() {
    for millis in [-3_600_000, 3_600_000] {
        let bed = bed();
        bed.process(0).set_wall_offset(millis);
        assert_eq!(serve(&bed, Some("kept")).0, 200, "{millis} ms");
        assert!(bed.process(0).context().clock.boot().0 < Duration::from_secs(60));
    }
}

#[test]
fn without_a_bound_a_gateway_without_contact_goes_on() {
    let bed = TestBed::new(&BedSettings { revocation: None, ..settings() });
    bed.kill_control();
    bed.world.run_for(REVOCATION * 3);
    assert_eq!(serve(&bed, Some("kept")).0, 200);
    assert_eq!(serve(&bed, Some("guess")).0, 401);
}
