//! Observability for operators: structured events, logs, metrics and the merged event timeline.
//!
//! Every process writes one key=value line per event, stamped by its hybrid logical clock, so that
//! the lines of all processes merge into one causal order. The most recent events also stay in
//! memory and are served on the operator port. The type system restricts the contents of a line: a
//! [`FieldValue`] is a validated name, an id, a number or a literal, so prompts, answers and tokens
//! cannot be logged.

mod bounded_writer;
mod draft;
mod invariant;
mod labels;
mod line;
mod log_settings;
mod metrics;
mod query;
mod record;
mod sink;
mod throttle;
mod timeline;

pub use {
    draft::{EventDraft, FieldValue},
    invariant::Invariant,
    labels::LabelGuard,
    log::Level,
    log_settings::{LogHandle, LogOutput, LogSettings, SettingsError},
    metrics::{MetricSet, MetricsError, ModelSeries, RequestOutcome, RequestTotals},
    query::{EventQuery, QueryError},
    record::{EventRecord, RecordError},
    sink::{EventLog, EventPage, EventSink, MemorySink, NullSink},
    throttle::ThrottledSink,
    timeline::{EventFilter, Timeline},
};
