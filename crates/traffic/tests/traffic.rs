//! The checks of a traffic configuration, and the way to a request's route.

use {
    gullglade_traffic::{
        CallerLimits, QuotaUnit, RawQuota, RawRoute, RawService, RawTraffic, RawWorkspace,
        RequestKind, TrafficConfig, TrafficError, WarmupRules,
    },
    gullglade_units::TokenHash,
    std::time::Duration,
};

fn route(name: &str, host: &str, prefix: &str) -> RawRoute {
    RawRoute {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 0,
        targets: vec![("desk".to_owned(), 1)],
        max_attempts: 1,
        has_affinity: false,
        gap_objective: None,
        event_timeout: None,
        homes: Vec::new(),
        is_public: false,
    }
}

fn config(routes: Vec<RawRoute>) -> RawTraffic {
    let warmup = WarmupRules { duration: Duration::ZERO, requests_per_second: 0.0 };
    let service = |name: &str| RawService {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        connection_limit: 100,
        warmup,
        engine: None,
    };
    let limits = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RawTraffic {
        version: 7,
        routes,
        services: vec![service("desk"), service("pool")],
        workspaces: Vec::new(),
        limits,
    }
}

#[test]
fn a_request_goes_by_the_longest_prefix_of_its_host() {
    struct Case {
        host: &'static str,
        path: &'static str,
        found: Option<&'static str>,
    }
    let cases = [
        Case { host: "a.example", path: "/x/1", found: Some("a-x") },
        Case { host: "A.Example:8080", path: "/x/1", found: Some("a-x") },
        Case { host: "a.example", path: "/x/y/", found: Some("a-xy") },
        Case { host: "a.example", path: "/x/y", found: Some("a-x") },
        Case { host: "a.example", path: "/xx/1", found: None },
        Case { host: "b.example", path: "/x/1", found: Some("b-all") },
        Case { host: "c.example", path: "/x/1", found: None },
    ];
    let routes = vec![
        route("a-x", "a.example", "/x/"),
        route("a-xy", "a.example", "/x/y/"),
        route("b-all", "b.example", "/"),
    ];
    let checked = TrafficConfig::try_from(config(routes)).expect("a good configuration");
    for case in cases {
        let found = checked.routes().find(case.host, case.path).map(|r| r.name.as_str());
        assert_eq!(found, case.found, "{} {}", case.host, case.path);
    }
}

#[test]
fn what_cannot_be_obeyed_is_refused() {
    struct Case {
        spoil: fn(&mut RawTraffic),
        is_expected: fn(&TrafficError) -> bool,
    }
    let cases = [
        Case {
            spoil: |c| c.routes[0].targets = vec![("nobody".to_owned(), 1)],
            is_expected: |e| matches!(e, TrafficError::UnknownService { .. }),
        },
        Case {
            spoil: |c| c.routes[1].prefix = c.routes[0].prefix.clone(),
            is_expected: |e| matches!(e, TrafficError::DuplicateRoute { .. }),
        },
        Case {
            spoil: |c| c.routes[0].targets[0].1 = 0,
            is_expected: |e| matches!(e, TrafficError::ZeroWeight { .. }),
        },
        Case {
            spoil: |c| c.routes[0].targets.clear(),
            is_expected: |e| matches!(e, TrafficError::ZeroWeight { .. }),
        },
        Case {
            spoil: |c| c.routes[1].timeout = Duration::ZERO,
            is_expected: |e| matches!(e, TrafficError::ZeroTimeout { .. }),
        },
        Case {
            spoil: |c| c.routes[1].prefix = "/open".to_owned(),
            is_expected: |e| matches!(e, TrafficError::InvalidPrefix { .. }),
        },
        Case {
            spoil: |c| c.services[1].name = "desk".to_owned(),
            is_expected: |e| matches!(e, TrafficError::DuplicateService { .. }),
        },
    ];
    for (index, case) in cases.iter().enumerate() {
        let mut raw = config(vec![route("one", "h", "/a/"), route("two", "h", "/b/")]);
        assert!(TrafficConfig::try_from(raw.clone()).is_ok());
        (case.spoil)(&mut raw);
        let error = TrafficConfig::try_from(raw).expect_err("a spoilt configuration");
        assert!((case.is_expected)(&error), "case {index}: {error}");
    }
}

#[test]
fn weights_divide_a_routes_requests() {
    let mut split = route("split", "h", "/");
    split.targets = vec![("desk".to_owned(), 0), ("pool".to_owned(), 90), ("desk".to_owned(), 10)];
    let checked = TrafficConfig::try_from(config(vec![split])).expect("a good configuration");
    let found = checked.routes().find("h", "/1").expect("a route");
    let to_pool =
        (0..1_000).filter(|i| found.target(f64::from(*i) / 1_000.0).as_str() == "pool").count();
    assert_eq!(to_pool, 900);
}

fn workspace(name: &str, keys: &[&str]) -> RawWorkspace {
    RawWorkspace {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        homes: Vec::new(),
        quota: None,
    }
}

#[test]
fn workspaces_are_found_by_their_keys() {
    let mut raw = config(Vec::new());
    raw.workspaces = vec![workspace("clerks", &["a", "b", "a"]), workspace("crews", &["c"])];
    let checked = TrafficConfig::try_from(raw).expect("a good configuration");
    let holder = |key: &str| {
        let found = checked.workspaces().find_by_key(&TokenHash::of(key));
        found.map(|workspace| workspace.name.to_string())
    };
    let found = ["a", "b", "c", "d", ""].map(|key| holder(key).unwrap_or_default());
    assert_eq!(found, ["clerks", "clerks", "crews", "", ""]);
}

#[test]
fn bad_workspaces_are_refused_without_telling_a_key() {
    struct Case {
        workspaces: Vec<RawWorkspace>,
        says: &'static str,
    }
    let cases = [
        Case {
            workspaces: vec![workspace("clerks", &["secret"]), workspace("crews", &["secret"])],
            says: "workspaces \"clerks\" and \"crews\" have a key in common",
        },
        Case {
            workspaces: vec![workspace("clerks", &["secret", ""])],
            says: "workspace \"clerks\" has an empty key",
        },
        Case {
            workspaces: vec![workspace("clerks", &["secret"]), workspace("clerks", &[])],
            says: "workspace \"clerks\" stands there twice",
        },
        Case { workspaces: vec![workspace("", &["secret"])], says: "workspace name is empty" },
    ];
    for case in cases {
        let mut raw = config(Vec::new());
        raw.workspaces = case.workspaces;
        assert!(!format!("{raw:?}").contains("secret"), "{}", case.says);
        let error = TrafficConfig::try_from(raw).expect_err("a bad workspace").to_string();
        assert!(error.contains(case.says) && !error.contains("secret"), "{error}");
    }
}

#[test]
fn a_rate_of_nothing_is_no_limit() {
    let mut raw = config(Vec::new());
    let quota = |rate| Some(RawQuota { unit: QuotaUnit::Requests, rate, burst: 5.0 });
    let limited = RawWorkspace { quota: quota(2.0), ..workspace("limited", &[]) };
    let free = RawWorkspace { quota: quota(0.0), ..workspace("free", &[]) };
    raw.workspaces = vec![limited, free];
    let checked = TrafficConfig::try_from(raw).expect("a good configuration");
    let limits: Vec<_> = checked.workspaces().iter().map(|w| w.quota.map(|q| q.rate)).collect();
    assert_eq!(limits, [None, Some(2.0)]);
}
