//! Metrics print as Prometheus reads them, and their labels are bounded.

use {
    gullglade_event::{LabelGuard, MetricSet, Promise, RequestOutcome},
    gullglade_units::{ModelName, RegionName, ServiceName},
    std::time::Duration,
};

#[test]
fn the_text_holds_the_measures() {
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
fn every_promise_is_exported_before_it_breaks() {
    // The first breach raised no alert: Prometheus sees no rise in a series that is new.
    let metrics = MetricSet::new().unwrap();
    let before = metrics.text().unwrap();
    for promise in Promise::ALL {
        let line = format!("gullglade_promise_breaches_total{{promise=\"{}\"}}", promise.label());
        assert!(before.lines().any(|l| l == format!("{line} 0")), "{line} is missing");
        metrics.breached(promise);
        assert_eq!(metrics.breaches(promise), 1);
        let after = metrics.text().unwrap();
        assert!(after.lines().any(|l| l == format!("{line} 1")));
    }
}

#[test]
fn a_configuration_that_goes_back_is_counted() {
    // Symptom: a withdrawn permission to travel is in force again.
    // Sequence: a replica takes an answer of a process that is behind.
    // Cause: an answer's index that nobody compared with the one in force.
    let metrics = MetricSet::new().unwrap();
    [3, 3, 5].into_iter().for_each(|index| metrics.configuration_in_force(index));
    assert_eq!(metrics.breaches(Promise::NoRevert), 0);
    metrics.configuration_in_force(4);
    assert_eq!(metrics.breaches(Promise::NoRevert), 1);
}

#[test]
fn labels_are_bounded() {
    // Symptom: scrapes grow until they time out.
    // Sequence: a team deploys a model under a new name every hour.
    // Cause: each label value makes a time series that never goes away.
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
