//! Checks that the example alerts use existing metrics and that each has a section in the operator
//! documentation.

use {
    gullglade_event::{MetricSet, RequestOutcome},
    gullglade_units::{ModelName, RegionName, ServiceName, WorkspaceName},
    std::{collections::BTreeSet, time::Duration},
};

const ALERTS: &str = include_str!("../../../../examples/alerts.yml");
const PAGE: &str = include_str!("../../../../docs/operators/alerts.md");

/// Returns the words of `text` that begin with `prefix`.
fn words<'a>(text: &'a str, prefix: &str) -> BTreeSet<&'a str> {
    let is_word = |c: char| c.is_ascii_alphanumeric() || c == '_';
    text.split(|c| !is_word(c)).filter(|word| word.starts_with(prefix)).collect()
}

#[test]
fn alerts_use_existing_metrics() {
    let metrics = MetricSet::new().unwrap();
    let service = ServiceName::try_from("quotes").unwrap();
    let model = ModelName::try_from("ballast").unwrap();
    metrics.request_ended(&service, RequestOutcome::Answered);
    metrics.sent_away(&service, &RegionName::try_from("inland").unwrap());
    metrics.first_token(&model, Duration::ZERO);
    metrics.inter_token(&model, Duration::ZERO);
    metrics.over_quota(&WorkspaceName::try_from("clerks").unwrap());
    metrics.stream_broke_off(&service, "replaced", Some(true));
    metrics.stream_pause(&service, Duration::from_secs(1));
    let text = metrics.text().unwrap();
    let exported = words(&text, "gullglade_");
    let asked = words(ALERTS, "gullglade_");
    assert!(asked.len() >= 5, "{asked:?}");
    for name in asked {
        assert!(exported.contains(name), "no process exports {name}");
    }
    for outcome in [RequestOutcome::Refused, RequestOutcome::Failed] {
        assert!(ALERTS.contains(&format!("outcome=\"{}\"", outcome.label())));
    }
}

#[test]
fn each_alert_is_documented() {
    let alerts = words(ALERTS, "Gullglade");
    assert!(alerts.len() >= 9, "{alerts:?}");
    let headings: String = PAGE.lines().filter(|line| line.starts_with("## ")).collect();
    for alert in alerts {
        assert!(headings.contains(alert), "alerts.md does not say what to do for {alert}");
    }
}
