//! Tests of the validation of a traffic configuration and of route lookup.

use {
    gullglade_traffic::{
        CallerLimits, QuotaUnit, RawQuota, RawRoute, RawService, RawTraffic, RawWorkspace,
        RequestKind, TrafficConfig, TrafficError, WarmupRules,
    },
    gullglade_units::TokenHash,
    std::time::Duration,
};

fn raw_route(name: &str, host: &str, prefix: &str) -> RawRoute {
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

fn raw_config(routes: Vec<RawRoute>) -> RawTraffic {
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
fn route_with_longest_matching_prefix_is_found() {
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
        raw_route("a-x", "a.example", "/x/"),
        raw_route("a-xy", "a.example", "/x/y/"),
        raw_route("b-all", "b.example", "/"),
    ];
    let checked = TrafficConfig::try_from(raw_config(routes)).expect("a valid configuration");
    for case in cases {
        let found = checked.routes().find(case.host, case.path).map(|r| r.name.as_str());
        assert_eq!(found, case.found, "{} {}", case.host, case.path);
    }
}

#[test]
fn inconsistent_configuration_is_rejected() {
    struct Case {
        invalidate: fn(&mut RawTraffic),
        is_expected: fn(&TrafficError) -> bool,
    }
    let cases = [
        Case {
            invalidate: |c| c.routes[0].targets = vec![("nobody".to_owned(), 1)],
            is_expected: |e| matches!(e, TrafficError::UnknownService { .. }),
        },
        Case {
            invalidate: |c| c.routes[1].prefix = c.routes[0].prefix.clone(),
            is_expected: |e| matches!(e, TrafficError::DuplicateRoute { .. }),
        },
        Case {
            invalidate: |c| c.routes[0].targets[0].1 = 0,
            is_expected: |e| matches!(e, TrafficError::ZeroWeight { .. }),
        },
        Case {
            invalidate: |c| c.routes[0].targets.clear(),
            is_expected: |e| matches!(e, TrafficError::ZeroWeight { .. }),
        },
        Case {
            invalidate: |c| c.routes[1].timeout = Duration::ZERO,
            is_expected: |e| matches!(e, TrafficError::ZeroTimeout { .. }),
        },
        Case {
            invalidate: |c| c.routes[1].prefix = "/open".to_owned(),
            is_expected: |e| matches!(e, TrafficError::InvalidPrefix { .. }),
        },
        Case {
            invalidate: |c| c.services[1].name = "desk".to_owned(),
            is_expected: |e| matches!(e, TrafficError::DuplicateService { .. }),
        },
    ];
    for (index, case) in cases.iter().enumerate() {
        let mut raw = raw_config(vec![raw_route("one", "h", "/a/"), raw_route("two", "h", "/b/")]);
        assert!(TrafficConfig::try_from(raw.clone()).is_ok());
        (case.invalidate)(&mut raw);
        let error = TrafficConfig::try_from(raw).expect_err("an invalid configuration");
        assert!((case.is_expected)(&error), "case {index}: {error}");
    }
}

#[test]
fn requests_are_split_by_target_weight() {
    let mut split = raw_route("split", "h", "/");
    split.targets = vec![("desk".to_owned(), 0), ("pool".to_owned(), 90), ("desk".to_owned(), 10)];
    let checked = TrafficConfig::try_from(raw_config(vec![split])).expect("a valid configuration");
    let found = checked.routes().find("h", "/1").expect("a route");
    let to_pool =
        (0..1_000).filter(|i| found.target(f64::from(*i) / 1_000.0).as_str() == "pool").count();
    assert_eq!(to_pool, 900);
}

fn raw_workspace(name: &str, keys: &[&str]) -> RawWorkspace {
    RawWorkspace {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        homes: Vec::new(),
        quota: None,
    }
}

#[test]
fn workspace_is_found_by_any_of_its_keys() {
    let mut raw = raw_config(Vec::new());
    raw.workspaces =
        vec![raw_workspace("clerks", &["a", "b", "a"]), raw_workspace("crews", &["c"])];
    let checked = TrafficConfig::try_from(raw).expect("a valid configuration");
    let find_name = |key: &str| {
        let found = checked.workspaces().find_by_key(&TokenHash::of(key));
        found.map(|workspace| workspace.name.to_string())
    };
    let found = ["a", "b", "c", "d", ""].map(|key| find_name(key).unwrap_or_default());
    assert_eq!(found, ["clerks", "clerks", "crews", "", ""]);
}

#[test]
fn invalid_workspaces_are_rejected_without_revealing_keys() {
    struct Case {
        workspaces: Vec<RawWorkspace>,
        expected_message: &'static str,
    }
    let cases = [
        Case {
            workspaces: vec![
                raw_workspace("clerks", &["secret"]),
                raw_workspace("crews", &["secret"]),
            ],
            expected_message: "workspaces \"clerks\" and \"crews\" share a key",
        },
        Case {
            workspaces: vec![raw_workspace("clerks", &["secret", ""])],
            expected_message: "workspace \"clerks\" has an empty key",
        },
        Case {
            workspaces: vec![raw_workspace("clerks", &["secret"]), raw_workspace("clerks", &[])],
            expected_message: "workspace \"clerks\" is defined twice",
        },
        Case {
            workspaces: vec![raw_workspace("", &["secret"])],
            expected_message: "workspace name is empty",
        },
    ];
    for case in cases {
        let mut raw = raw_config(Vec::new());
        raw.workspaces = case.workspaces;
        assert!(!format!("{raw:?}").contains("secret"), "{}", case.expected_message);
        let error = TrafficConfig::try_from(raw).expect_err("an invalid workspace").to_string();
        assert!(error.contains(case.expected_message) && !error.contains("secret"), "{error}");
    }
}

#[test]
fn quota_with_rate_zero_is_unlimited() {
    let mut raw = raw_config(Vec::new());
    let quota = |rate| Some(RawQuota { unit: QuotaUnit::Requests, rate, burst: 5.0 });
    let limited = RawWorkspace { quota: quota(2.0), ..raw_workspace("limited", &[]) };
    let unlimited = RawWorkspace { quota: quota(0.0), ..raw_workspace("free", &[]) };
    raw.workspaces = vec![limited, unlimited];
    let checked = TrafficConfig::try_from(raw).expect("a valid configuration");
    let limits: Vec<_> = checked.workspaces().iter().map(|w| w.quota.map(|q| q.rate)).collect();
    assert_eq!(limits, [None, Some(2.0)]);
}
