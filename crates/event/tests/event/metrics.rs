//! Metrics in the Prometheus text format, and the limits on their label values.

use {
    gullglade_event::{Invariant, LabelGuard, MetricSet, RequestOutcome},
    gullglade_units::{ModelName, RegionName, ServiceName},
    std::time::Duration,
};

#[test]
fn text_contains_the_recorded_values() {
    let metrics = MetricSet::new().unwrap();
    let service = ServiceName::try_from("quotes").unwrap();
    let model = ModelName::try_from("ballast").unwrap();
    metrics.request_ended(&service, RequestOutcome::Answered);
    metrics.request_ended(&service, RequestOutcome::Refused);
    let series = metrics.model(&model);
    series.engine_time(Duration::from_millis(1_500));
    series.first_token(Duration::from_millis(250));
    series.inter_token(Duration::from_millis(30));
    metrics.sent_away(&service, &RegionName::try_from("inland").unwrap());
    metrics.repeat(&service, "shed", true);
    metrics.repeat(&service, "shed", false);
    metrics.configuration_in_force(17);
    metrics.backends("serving", 12);
    metrics.open_requests().inc();
    let text = metrics.text().unwrap();
    let lines = [
        r#"gullglade_requests_total{outcome="answered",service="quotes"} 1"#,
        r#"gullglade_requests_total{outcome="refused",service="quotes"} 1"#,
        r#"gullglade_engine_seconds_total{model="ballast"} 1.5"#,
        r#"gullglade_time_to_first_token_seconds_bucket{model="ballast",le="0.2"} 0"#,
        r#"gullglade_time_to_first_token_seconds_bucket{model="ballast",le="0.3"} 1"#,
        r#"gullglade_inter_token_seconds_bucket{model="ballast",le="0.031"} 1"#,
        r#"gullglade_requests_away_total{region="inland",service="quotes"} 1"#,
        r#"gullglade_repeats_total{granted="true",reason="shed",service="quotes"} 1"#,
        r#"gullglade_repeats_total{granted="false",reason="shed",service="quotes"} 1"#,
        "gullglade_configuration_index 17",
        r#"gullglade_backends{state="serving"} 12"#,
        "gullglade_open_requests 1",
    ];
    for line in lines {
        assert!(text.lines().any(|l| l == line), "{line} is missing of\n{text}");
    }
}

#[test]
fn every_violation_counter_is_exported_at_zero() {
    // Guards against a first violation that raises no alert: Prometheus detects no increase in a
    // series that appears with its first value.
    let metrics = MetricSet::new().unwrap();
    let before = metrics.text().unwrap();
    for invariant in Invariant::ALL {
        let line = format!("gullglade_promise_breaches_total{{promise=\"{}\"}}", invariant.label());
        assert!(before.lines().any(|l| l == format!("{line} 0")), "{line} is missing");
        metrics.record_violation(invariant);
        assert_eq!(metrics.violations(invariant), 1);
        let after = metrics.text().unwrap();
        assert!(after.lines().any(|l| l == format!("{line} 1")));
    }
}

#[test]
fn a_decreasing_configuration_index_is_counted() {
    // Guards against a revoked forwarding permission that takes effect again: a replica accepts the
    // answer of a process that lags behind, without comparing its index with the one in force.
    let metrics = MetricSet::new().unwrap();
    [3, 3, 5].into_iter().for_each(|index| metrics.configuration_in_force(index));
    assert_eq!(metrics.violations(Invariant::NoRevert), 0);
    metrics.configuration_in_force(4);
    assert_eq!(metrics.violations(Invariant::NoRevert), 1);
}

#[test]
fn label_values_are_limited() {
    // Guards against scrapes that grow until they time out: each label value creates a time series
    // that is never removed, and a team may deploy a model under a new name every hour.
    let guard = LabelGuard::new(2);
    let admitted: Vec<&str> = ["a", "b", "c", "a", "d"].iter().map(|v| guard.admit(v)).collect();
    assert_eq!(admitted, ["a", "b", "other", "a", "other"]);

    let metrics = MetricSet::new().unwrap();
    for index in 0..500 {
        let model = ModelName::try_from(format!("model-{index}")).unwrap();
        metrics.model(&model).engine_time(Duration::from_secs(1));
    }
    let text = metrics.text().unwrap();
    let series = text.lines().filter(|l| l.starts_with("gullglade_engine_seconds_total{"));
    assert_eq!(series.count(), 65);
    assert!(text.contains(r#"gullglade_engine_seconds_total{model="other"} 436"#));
}
