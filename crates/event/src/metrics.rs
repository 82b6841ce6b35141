//! The metrics of a gateway or control process.

use {
    crate::{LabelGuard, Promise},
    gullglade_units::{ModelName, RegionName, ServiceName, WorkspaceName},
    prometheus::{
        Counter, CounterVec, Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter,
        IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
        core::{Collector, GenericCounter},
    },
    snafu::{ResultExt, Snafu},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
};

/// The most models that have time series of their own; the letter plans for 26.
const MODEL_LIMIT: usize = 64;

/// The most services that have time series of their own.
const SERVICE_LIMIT: usize = 128;

/// The most regions that have time series of their own; the letter plans for 20.
const REGION_LIMIT: usize = 64;

/// The most workspaces that have time series of their own: those that were first over their quotas.
const WORKSPACE_LIMIT: usize = 64;

/// Upper bounds of time to first token, seconds; 1.2 s is the letter's target.
const FIRST_TOKEN_BOUNDS: [f64; 14] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.9, 1.2, 2.0, 4.0, 10.0, 30.0];

/// Upper bounds of the time between tokens, seconds; 31 ms is the letter's target.
const INTER_TOKEN_BOUNDS: [f64; 11] =
    [0.005, 0.01, 0.015, 0.02, 0.025, 0.031, 0.045, 0.07, 0.15, 0.5, 2.0];

/// Upper bounds of pauses in streams, seconds: from what callers accept to what makes them leave.
const PAUSE_BOUNDS: [f64; 8] = [0.3, 0.6, 1.2, 2.0, 3.0, 4.5, 6.0, 10.0];

/// Why the metrics cannot be built or printed.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// A metric is declared wrongly or twice.
    #[snafu(display("a metric cannot be registered; report this as a fault: {source}"))]
    Register {
        /// The library's error.
        source: prometheus::Error,
    },
    /// The text cannot be made.
    #[snafu(display("the metrics cannot be written as text; report this as a fault: {source}"))]
    Print {
        /// The library's error.
        source: prometheus::Error,
    },
}

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer was sent.
    Answered,
    /// The answer broke off, or the backend server failed.
    Failed,
    /// Refused and not run.
    Refused,
    /// The caller hung up.
    Cancelled,
}

impl RequestOutcome {
    /// The value of the `outcome` label.
    pub fn label(self) -> &'static str {
        match self {
            RequestOutcome::Answered => "answered",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Refused => "refused",
            RequestOutcome::Cancelled => "cancelled",
        }
    }
}

/// Requests since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// Requests that ended, however they did.
    pub ended: u64,
    /// Requests sent to another region.
    pub away: u64,
}

/// All metrics of one process, in a registry of their own.
///
/// The three measures are cost (engine-seconds and requests), tail latency (time to first token
/// and time between tokens) and the share sent away (requests answered by another region over all
/// requests). No label takes a value that a caller chooses, and each is bounded by a
/// [`LabelGuard`].
pub struct MetricSet {
    registry: Registry,
    requests: IntCounterVec,
    engine_seconds: CounterVec,
    first_token: HistogramVec,
    inter_token: HistogramVec,
    model_series: RefCell<HashMap<ModelName, Rc<ModelSeries>>>,
    away: IntCounterVec,
    repeats: IntCounterVec,
    repeats_settled: IntCounterVec,
    streams_broken_off: IntCounterVec,
    stream_pauses: HistogramVec,
    breaches: IntCounterVec,
    open_requests: IntGauge,
    configuration_index: IntGauge,
    backends: IntGaugeVec,
    cut_off: IntCounter,
    held_back: IntCounter,
    access_denied: IntCounterVec,
    over_quota: IntCounterVec,
    workspaces: LabelGuard,
    confirmed_age: Gauge,
    fingerprints_held: IntGauge,
    totals: Cell<RequestTotals>,
    services: LabelGuard,
    models: LabelGuard,
    regions: LabelGuard,
}

/// The metrics of one model.
pub struct ModelSeries {
    engine_seconds: Counter,
    first_token: Histogram,
    inter_token: Histogram,
}

impl ModelSeries {
    /// A request occupied a slot of a backend server for `time`.
    pub fn engine_time(&self, time: Duration) {
        self.engine_seconds.inc_by(time.as_secs_f64());
    }

    /// The first byte of an answer left `time` after its request arrived.
    pub fn first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    /// A piece of a streamed answer left `time` after the one before.
    pub fn inter_token(&self, time: Duration) {
        self.inter_token.observe(time.as_secs_f64());
    }
}

impl MetricSet {
    /// Registers every metric; promise counters begin at 0, so that an alert sees them rise.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let set = Self {
            requests: counters(
                &registry,
                "requests_total",
                "Requests of callers by how they ended",
                &["service", "outcome"],
            )?,
            engine_seconds: counters(
                &registry,
                "engine_seconds_total",
                "Seconds that requests occupied a slot of a backend server: the cost measure",
                &["model"],
            )?,
            first_token: histogram(
                &registry,
                "time_to_first_token_seconds",
                "From a request's arrival to the first byte of its answer",
                "model",
                &FIRST_TOKEN_BOUNDS,
            )?,
            inter_token: histogram(
                &registry,
                "inter_token_seconds",
                "Between two pieces of one streamed answer",
                "model",
                &INTER_TOKEN_BOUNDS,
            )?,
            away: counters(
                &registry,
                "requests_away_total",
                "Requests sent to another region: over requests_total this is the share sent away",
                &["service", "region"],
            )?,
            repeats: counters(
                &registry,
                "repeats_total",
                "Requests that arrived at a backend server and were to be sent once more, by why \
                 and by whether the service's budget allowed it",
                &["service", "reason", "granted"],
            )?,
            repeats_settled: counters(
                &registry,
                "repeats_settled_total",
                "Repeats of a service that were granted and are over: whether the request's sends \
                 have all arrived by then (past), or one of them may arrive later (unknown)",
                &["service", "arrival"],
            )?,
            streams_broken_off: counters(
                &registry,
                "streams_broken_off_total",
                "Streams that ended before their last event, by the limit that ended the wait for \
                 the run (none where the run broke) and by whether its backend server was at work",
                &["service", "limit", "at_work"],
            )?,
            stream_pauses: histogram(
                &registry,
                "stream_pause_seconds",
                "Pauses between two pieces of a stream that are longer than its route's objective",
                "service",
                &PAUSE_BOUNDS,
            )?,
            breaches: counters(
                &registry,
                "promise_breaches_total",
                "Times a check found a promise broken or about to be; must stay 0",
                &["promise"],
            )?,
            open_requests: gauge(&registry, "open_requests", "Requests in progress")?,
            configuration_index: gauge(
                &registry,
                "configuration_index",
                "Index of the configuration in force; never goes down",
            )?,
            backends: register(
                &registry,
                IntGaugeVec::new(
                    options("backends", "Backend servers known here, by state"),
                    &["state"],
                ),
            )?,
            cut_off: counter(
                &registry,
                "requests_cut_off_total",
                "Sends under which the connection to the backend server broke",
            )?,
            held_back: counter(
                &registry,
                "requests_held_back_total",
                "Requests not sent because backend servers ended under the same one before",
            )?,
            access_denied: counters(
                &registry,
                "requests_without_access_total",
                "Requests refused for their key, or because no key can be checked, by reason",
                &["reason"],
            )?,
            over_quota: counters(
                &registry,
                "requests_over_quota_total",
                "Requests refused because their workspace has used up its quota",
                &["workspace"],
            )?,
            workspaces: LabelGuard::new(WORKSPACE_LIMIT),
            confirmed_age: register(
                &registry,
                Gauge::with_opts(options(
                    "configuration_confirmed_age_seconds",
                    "How long ago the configuration in force is known to have been the newest",
                )),
            )?,
            fingerprints_held: gauge(
                &registry,
                "fingerprints_held",
                "Requests that are held back because backend servers ended under them",
            )?,
            model_series: RefCell::default(),
            totals: Cell::default(),
            services: LabelGuard::new(SERVICE_LIMIT),
            models: LabelGuard::new(MODEL_LIMIT),
            regions: LabelGuard::new(REGION_LIMIT),
            registry,
        };
        for promise in Promise::ALL {
            set.breaches.with_label_values(&[promise.label()]).reset();
        }
        Ok(set)
    }

    /// A request ended.
    pub fn request_ended(&self, service: &ServiceName, outcome: RequestOutcome) {
        let service = self.services.admit(service.as_str());
        self.requests.with_label_values(&[service, outcome.label()]).inc();
        let totals = self.totals.get();
        self.totals.set(RequestTotals { ended: totals.ended + 1, ..totals });
    }

    /// Requests of all services together.
    pub fn totals(&self) -> RequestTotals {
        self.totals.get()
    }

    /// The series of `model`. Take them once a request and keep them while it streams.
    pub fn model(&self, model: &ModelName) -> Rc<ModelSeries> {
        if let Some(series) = self.model_series.borrow().get(model) {
            return series.clone();
        }
        let label = self.models.admit(model.as_str());
        let series = Rc::new(ModelSeries {
            engine_seconds: self.engine_seconds.with_label_values(&[label]),
            first_token: self.first_token.with_label_values(&[label]),
            inter_token: self.inter_token.with_label_values(&[label]),
        });
        if label == model.as_str() {
            self.model_series.borrow_mut().insert(model.clone(), series.clone());
        }
        series
    }

    /// A request occupied a slot of a backend server for `time`.
    pub fn engine_time(&self, model: &ModelName, time: Duration) {
        self.model(model).engine_time(time);
    }

    /// The first byte of an answer left `time` after its request arrived.
    pub fn first_token(&self, model: &ModelName, time: Duration) {
        self.model(model).first_token(time);
    }

    /// A piece of a streamed answer left `time` after the one before.
    pub fn inter_token(&self, model: &ModelName, time: Duration) {
        self.model(model).inter_token(time);
    }

    /// A request was sent to another region.
    pub fn sent_away(&self, service: &ServiceName, region: &RegionName) {
        let service = self.services.admit(service.as_str());
        let region = self.regions.admit(region.as_str());
        self.away.with_label_values(&[service, region]).inc();
        let totals = self.totals.get();
        self.totals.set(RequestTotals { away: totals.away + 1, ..totals });
    }

    /// A request was to be sent once more; `granted`: the service's budget allowed it.
    pub fn repeat(&self, service: &ServiceName, reason: &'static str, granted: bool) {
        let service = self.services.admit(service.as_str());
        let granted = if granted { "true" } else { "false" };
        self.repeats.with_label_values(&[service, reason, granted]).inc();
    }

    /// A repeat that was granted is over; `arrival`: what is known of it.
    pub fn repeat_settled(&self, service: &ServiceName, arrival: &'static str) {
        let service = self.services.admit(service.as_str());
        self.repeats_settled.with_label_values(&[service, arrival]).inc();
    }

    /// A stream ended before its last event. `limit`: what ended the wait for its run; `is_at_work`:
    /// whether the run's backend server had answered anybody lately, where that is known.
    pub fn stream_broke_off(
        &self,
        service: &ServiceName,
        limit: &'static str,
        is_at_work: Option<bool>,
    ) {
        let service = self.services.admit(service.as_str());
        let at_work = match is_at_work {
            Some(true) => "true",
            Some(false) => "false",
            None => "unknown",
        };
        self.streams_broken_off.with_label_values(&[service, limit, at_work]).inc();
    }

    /// A stream went on after a pause that was longer than its route's objective.
    pub fn stream_pause(&self, service: &ServiceName, pause: Duration) {
        let service = self.services.admit(service.as_str());
        self.stream_pauses.with_label_values(&[service]).observe(pause.as_secs_f64());
    }

    /// A check found a promise broken, or a peer about to break it.
    pub fn breached(&self, promise: Promise) {
        self.breaches.with_label_values(&[promise.label()]).inc();
    }

    /// How often a promise was found broken.
    pub fn breaches(&self, promise: Promise) -> u64 {
        self.breaches.with_label_values(&[promise.label()]).get()
    }

    /// The connection to a backend server broke while it had a request.
    pub fn cut_off(&self) {
        self.cut_off.inc();
    }

    /// A request was not sent because backend servers ended under the same one before.
    pub fn held_back(&self) {
        self.held_back.inc();
    }

    /// A request was refused for its key, or because no key can be checked.
    pub fn access_denied(&self, reason: &'static str) {
        self.access_denied.with_label_values(&[reason]).inc();
    }

    /// A request was refused because its workspace has used up its quota.
    pub fn over_quota(&self, workspace: &WorkspaceName) {
        let workspace = self.workspaces.admit(workspace.as_str());
        self.over_quota.with_label_values(&[workspace]).inc();
    }

    /// Sets how long ago the configuration in force is known to have been the newest.
    pub fn configuration_confirmed(&self, age: Duration) {
        self.confirmed_age.set(age.as_secs_f64());
    }

    /// Sets how many different requests are held back.
    pub fn fingerprints_held(&self, count: usize) {
        self.fingerprints_held.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// The number of requests in progress.
    pub fn open_requests(&self) -> &IntGauge {
        &self.open_requests
    }

    /// Notes the index of the configuration in force; a lower one than before breaks a promise.
    pub fn configuration_in_force(&self, index: u64) {
        let index = i64::try_from(index).unwrap_or(i64::MAX);
        if index < self.configuration_index.get() {
            self.breached(Promise::NoRevert);
        }
        self.configuration_index.set(index);
    }

    /// Sets how many backend servers are known in `state`.
    pub fn backends(&self, state: &'static str, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.backends.with_label_values(&[state]).set(count);
    }

    /// The sum of a counter over all its labels; 0 where there is no counter of that full name.
    pub fn total(&self, name: &str) -> f64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        let metrics = family.into_iter().flat_map(|family| family.get_metric());
        metrics.map(|metric| metric.get_counter().get_value()).sum()
    }

    /// All metrics in Prometheus' text format, for `GET /metrics`.
    pub fn text(&self) -> Result<String, MetricsError> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).context(PrintSnafu)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("gullglade")
}

fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    metric: Result<C, prometheus::Error>,
) -> Result<C, MetricsError> {
    let metric = metric.context(RegisterSnafu)?;
    registry.register(Box::new(metric.clone())).context(RegisterSnafu)?;
    Ok(metric)
}

fn counters<P: prometheus::core::Atomic + 'static>(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<prometheus::core::GenericCounterVec<P>, MetricsError>
where
    GenericCounter<P>: Clone,
{
    register(registry, prometheus::core::GenericCounterVec::new(options(name, help), labels))
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, MetricsError> {
    register(registry, IntCounter::with_opts(options(name, help)))
}

fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
    bounds: &[f64],
) -> Result<HistogramVec, MetricsError> {
    let options = HistogramOpts::from(options(name, help)).buckets(bounds.to_vec());
    register(registry, HistogramVec::new(options, &[label]))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, MetricsError> {
    register(registry, IntGauge::with_opts(options(name, help)))
}
