//! Prometheus metrics of a gateway or control process.

use {
    crate::{Invariant, LabelGuard},
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

/// Maximum number of models with their own time series; deployments are planned for 26 models.
const MODEL_LIMIT: usize = 64;

/// Maximum number of services with their own time series.
const SERVICE_LIMIT: usize = 128;

/// Maximum number of regions with their own time series; deployments are planned for 20 regions.
const REGION_LIMIT: usize = 64;

/// Maximum number of workspaces with their own time series; the first to exceed their quotas get
/// them.
const WORKSPACE_LIMIT: usize = 64;

/// Bucket bounds of the time to first token in seconds; 1.2 s is the design target.
const FIRST_TOKEN_BOUNDS: [f64; 14] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.9, 1.2, 2.0, 4.0, 10.0, 30.0];

/// Bucket bounds of the time between tokens in seconds; 31 ms is the design target.
const INTER_TOKEN_BOUNDS: [f64; 11] =
    [0.005, 0.01, 0.015, 0.02, 0.025, 0.031, 0.045, 0.07, 0.15, 0.5, 2.0];

/// Bucket bounds of stream pauses in seconds, from pauses that callers tolerate to those after
/// which they disconnect.
const PAUSE_BOUNDS: [f64; 8] = [0.3, 0.6, 1.2, 2.0, 3.0, 4.5, 6.0, 10.0];

/// Error in registering or encoding the metrics.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// A metric's declaration is invalid or a duplicate.
    #[snafu(display("a metric cannot be registered; report this as a fault: {source}"))]
    Register {
        /// The library's error.
        source: prometheus::Error,
    },
    /// The text format cannot be encoded.
    #[snafu(display("the metrics cannot be written as text; report this as a fault: {source}"))]
    Print {
        /// The library's error.
        source: prometheus::Error,
    },
}

/// Outcome of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete answer was sent.
    Answered,
    /// The answer was incomplete, or the backend server failed.
    Failed,
    /// The request was refused without being run.
    Refused,
    /// The caller disconnected.
    Cancelled,
}

impl RequestOutcome {
    /// Returns the value of the `outcome` label.
    pub fn label(self) -> &'static str {
        match self {
            RequestOutcome::Answered => "answered",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Refused => "refused",
            RequestOutcome::Cancelled => "cancelled",
        }
    }
}

/// Request counts since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// Requests that ended, with any outcome.
    pub ended: u64,
    /// Requests forwarded to another region.
    pub away: u64,
}

/// All metrics of one process, in a dedicated registry.
///
/// The three key measures are cost (engine-seconds and requests), tail latency (time to first token
/// and time between tokens) and the forwarded share (requests sent to another region over all
/// requests). Callers cannot choose label values, and a [`LabelGuard`] bounds the labels that hold
/// names.
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
    violations: IntCounterVec,
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
    workspaces_above_share: IntGauge,
    totals: Cell<RequestTotals>,
    services: LabelGuard,
    models: LabelGuard,
    regions: LabelGuard,
}

/// Metrics of one model, with the label lookup already done.
pub struct ModelSeries {
    engine_seconds: Counter,
    first_token: Histogram,
    inter_token: Histogram,
}

impl ModelSeries {
    /// Records that a request occupied a slot of a backend server for `time`.
    pub fn engine_time(&self, time: Duration) {
        self.engine_seconds.inc_by(time.as_secs_f64());
    }

    /// Records that the first byte of an answer was sent `time` after its request arrived.
    pub fn first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    /// Records that a piece of a streamed answer was sent `time` after the previous one.
    pub fn inter_token(&self, time: Duration) {
        self.inter_token.observe(time.as_secs_f64());
    }
}

impl MetricSet {
    /// Registers every metric. The violation counters are exported as 0 from the start, so that an
    /// alert detects the first increase.
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
            violations: counters(
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
                "Requests and prompt parts that are held back because backend servers ended under them",
            )?,
            workspaces_above_share: gauge(
                &registry,
                "workspaces_above_share",
                "Workspaces that used more than their share of a service under shortage",
            )?,
            model_series: RefCell::default(),
            totals: Cell::default(),
            services: LabelGuard::new(SERVICE_LIMIT),
            models: LabelGuard::new(MODEL_LIMIT),
            regions: LabelGuard::new(REGION_LIMIT),
            registry,
        };
        for invariant in Invariant::ALL {
            set.violations.with_label_values(&[invariant.label()]).reset();
        }
        Ok(set)
    }

    /// Records the outcome of a request.
    pub fn request_ended(&self, service: &ServiceName, outcome: RequestOutcome) {
        let service = self.services.admit(service.as_str());
        self.requests.with_label_values(&[service, outcome.label()]).inc();
        let totals = self.totals.get();
        self.totals.set(RequestTotals { ended: totals.ended + 1, ..totals });
    }

    /// Returns the request counts over all services.
    pub fn totals(&self) -> RequestTotals {
        self.totals.get()
    }

    /// Returns the series of `model`. Look them up once per request and reuse them while it
    /// streams.
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

    /// Records that a request occupied a slot of a backend server for `time`.
    pub fn engine_time(&self, model: &ModelName, time: Duration) {
        self.model(model).engine_time(time);
    }

    /// Records that the first byte of an answer was sent `time` after its request arrived.
    pub fn first_token(&self, model: &ModelName, time: Duration) {
        self.model(model).first_token(time);
    }

    /// Records that a piece of a streamed answer was sent `time` after the previous one.
    pub fn inter_token(&self, model: &ModelName, time: Duration) {
        self.model(model).inter_token(time);
    }

    /// Counts a request that was sent to another region.
    pub fn sent_away(&self, service: &ServiceName, region: &RegionName) {
        let service = self.services.admit(service.as_str());
        let region = self.regions.admit(region.as_str());
        self.away.with_label_values(&[service, region]).inc();
        let totals = self.totals.get();
        self.totals.set(RequestTotals { away: totals.away + 1, ..totals });
    }

    /// Counts a request that needs to be retried; `granted` is true if the service's retry budget
    /// allowed the retry.
    pub fn repeat(&self, service: &ServiceName, reason: &'static str, granted: bool) {
        let service = self.services.admit(service.as_str());
        let granted = if granted { "true" } else { "false" };
        self.repeats.with_label_values(&[service, reason, granted]).inc();
    }

    /// Counts a granted retry that has ended. `arrival` is `past` if all sends of the request have
    /// arrived, and `unknown` if one may arrive later.
    pub fn repeat_settled(&self, service: &ServiceName, arrival: &'static str) {
        let service = self.services.admit(service.as_str());
        self.repeats_settled.with_label_values(&[service, arrival]).inc();
    }

    /// Counts a stream that ended before its last event. `limit` names the limit that ended the
    /// wait for the run; `is_at_work` tells whether the run's backend server had recently answered
    /// any request, if known.
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

    /// Records a pause in a stream that exceeded its route's objective.
    pub fn stream_pause(&self, service: &ServiceName, pause: Duration) {
        let service = self.services.admit(service.as_str());
        self.stream_pauses.with_label_values(&[service]).observe(pause.as_secs_f64());
    }

    /// Counts a violation of an invariant, or an attempt by a peer that was prevented.
    pub fn record_violation(&self, invariant: Invariant) {
        self.violations.with_label_values(&[invariant.label()]).inc();
    }

    /// Returns the number of violations of an invariant.
    pub fn violations(&self, invariant: Invariant) -> u64 {
        self.violations.with_label_values(&[invariant.label()]).get()
    }

    /// Counts a send that ended because the connection to the backend server broke.
    pub fn cut_off(&self) {
        self.cut_off.inc();
    }

    /// Counts a request that was not sent because backend servers had ended while running an
    /// identical one.
    pub fn held_back(&self) {
        self.held_back.inc();
    }

    /// Counts a request that was refused for its key, or because no key can be checked.
    pub fn access_denied(&self, reason: &'static str) {
        self.access_denied.with_label_values(&[reason]).inc();
    }

    /// Counts a request that was refused because its workspace has used up its quota.
    pub fn over_quota(&self, workspace: &WorkspaceName) {
        let workspace = self.workspaces.admit(workspace.as_str());
        self.over_quota.with_label_values(&[workspace]).inc();
    }

    /// Sets the time since the configuration in force was last confirmed to be the newest.
    pub fn configuration_confirmed(&self, age: Duration) {
        self.confirmed_age.set(age.as_secs_f64());
    }

    /// Sets the number of workspaces that used more than their share of a service under shortage.
    pub fn workspaces_above_share(&self, count: usize) {
        self.workspaces_above_share.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of distinct requests that are held back.
    pub fn fingerprints_held(&self, count: usize) {
        self.fingerprints_held.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Returns the gauge of requests in progress.
    pub fn open_requests(&self) -> &IntGauge {
        &self.open_requests
    }

    /// Sets the index of the configuration in force. A decrease counts as a violation of
    /// [`Invariant::NoRevert`].
    pub fn configuration_in_force(&self, index: u64) {
        let index = i64::try_from(index).unwrap_or(i64::MAX);
        if index < self.configuration_index.get() {
            self.record_violation(Invariant::NoRevert);
        }
        self.configuration_index.set(index);
    }

    /// Sets the number of known backend servers in `state`.
    pub fn backends(&self, state: &'static str, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.backends.with_label_values(&[state]).set(count);
    }

    /// Returns the sum of a counter over all its label values, or 0 if no counter has that full
    /// name.
    pub fn total(&self, name: &str) -> f64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        let metrics = family.into_iter().flat_map(|family| family.get_metric());
        metrics.map(|metric| metric.get_counter().get_value()).sum()
    }

    /// Encodes all metrics in the Prometheus text format, for `GET /metrics`.
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
