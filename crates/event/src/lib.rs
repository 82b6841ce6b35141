//! What operators see of the system: the time line of events, the logs and the metrics.
//!
//! Every process writes one key=value line per event, stamped by its hybrid logical clock, so that
//! the lines of all processes merge into one causal order. The same lines stay in memory for the
//! operators' port. What may appear in a line is decided by type: a [`FieldValue`] is a checked
//! name, an id or a number, and a prompt, an answer or a token has no way in.

mod bounded_writer;
mod draft;
mod labels;
mod line;
mod log_settings;
mod metrics;
mod promise;
mod query;
mod record;
mod sink;
mod throttle;
mod timeline;

pub use {
    draft::{EventDraft, FieldValue},
    labels::LabelGuard,
    log::Level,
    log_settings::{LogHandle, LogOutput, LogSettings, SettingsError},
    metrics::{MetricSet, MetricsError, ModelSeries, RequestOutcome, RequestTotals},
    promise::Promise,
    query::{EventQuery, QueryError},
    record::{EventRecord, RecordError},
    sink::{EventLog, EventPage, EventSink, MemorySink, NullSink},
    throttle::ThrottledSink,
    timeline::{EventFilter, TimeLine},
};
