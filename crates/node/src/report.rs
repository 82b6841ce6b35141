//! Status report of a process for operators.

use {
    gullglade_backend::{
        BackendHealth, BackendKind, BackendRelay, BackendTable, BackendTarget, ServingState,
    },
    gullglade_document::ConfigSource,
    gullglade_event::{Invariant, MetricSet},
    gullglade_gateway::Gateway,
    gullglade_units::{BackendName, FailureDomain, RegionName, VmName},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// Status of one process and its view of the deployment. The reply to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// VM of the process.
    pub vm: VmName,
    /// Region of the process.
    pub region: RegionName,
    /// Failure domain of the process.
    pub domain: FailureDomain,
    /// Software version.
    pub version: String,
    /// True if the process has a configuration and accepts new requests.
    pub ready: bool,
    /// True if the process is draining.
    pub draining: bool,
    /// Number of caller requests in progress.
    pub open_requests: u64,
    /// Number of caller requests that ended since the process started.
    pub ended_requests: u64,
    /// Number of requests sent to another region since the process started.
    pub away_requests: u64,
    /// Log index of the active configuration; `None` without a configuration.
    pub configuration_index: Option<u64>,
    /// True if control processes may have accepted a newer configuration.
    pub configuration_stale: bool,
    /// Number of detected violations of each promise. Promises without violations are omitted.
    pub breaches: BTreeMap<String, u64>,
    /// Gateways of the region that are considered alive, including this one.
    pub members: Vec<VmName>,
    /// Backend servers of the region.
    pub backends: Vec<BackendReport>,
    /// Other regions.
    pub regions: Vec<RegionReport>,
}

/// Status of one backend server of the region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Name of the backend server.
    pub name: BackendName,
    /// Failure domain; `None` if the profile is unknown.
    pub domain: Option<FailureDomain>,
    /// Kind, `engine` or `service`; `None` if the profile is unknown.
    pub kind: Option<BackendKind>,
    /// Health: `serving`, `backoff` (the backend server asked this gateway to pause requests),
    /// `suspect`, `out`, `leaving` or `unknown`.
    pub health: String,
    /// Names of the models and services that the backend server serves.
    pub serves: Vec<String>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of requests that occupy a slot, as last announced.
    pub running: u32,
    /// Number of requests queued at the backend server, as last announced.
    pub waiting: u32,
}

/// Last known state of another region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegionReport {
    /// Name of the region.
    pub region: RegionName,
    /// True if a gateway of the region was heard from recently.
    pub reachable: bool,
    /// Time since the latest message from the region, in milliseconds.
    pub age_millis: u64,
    /// Slots of its backend servers, summed over all configured models and services.
    pub slots: u32,
    /// Free slots that the region offers, summed likewise.
    pub free_slots: u32,
}

/// Components from which reports are built.
pub(crate) struct ReportSource {
    pub(crate) location: (VmName, RegionName, FailureDomain),
    pub(crate) gateway: Gateway,
    pub(crate) metrics: Rc<MetricSet>,
    pub(crate) backends: Rc<BackendTable>,
    pub(crate) relay: BackendRelay,
    pub(crate) documents: Rc<dyn ConfigSource>,
}

impl ReportSource {
    pub(crate) fn node(&self) -> NodeReport {
        let (vm, region, domain) = self.location.clone();
        let status = self.gateway.status();
        let totals = self.metrics.totals();
        NodeReport {
            members: self.relay.members().into_iter().chain([vm.clone()]).collect(),
            vm,
            region,
            domain,
            version: env!("CARGO_PKG_VERSION").to_owned(),
            ready: self.gateway.is_ready(),
            draining: status.draining,
            open_requests: status.open_requests,
            ended_requests: totals.ended,
            away_requests: totals.away,
            configuration_index: self.gateway.configuration_index(),
            configuration_stale: self.documents.may_be_stale(),
            breaches: self.breaches(),
            backends: self.backends.names().iter().filter_map(|n| self.backend(n)).collect(),
            regions: self.regions(),
        }
    }

    fn breaches(&self) -> BTreeMap<String, u64> {
        let count = |invariant: Invariant| {
            (invariant.label().to_owned(), self.metrics.violations(invariant))
        };
        Invariant::ALL.into_iter().map(count).filter(|(_, count)| *count > 0).collect()
    }

    pub(crate) fn backend(&self, name: &BackendName) -> Option<BackendReport> {
        let record = self.backends.record(name)?;
        let health = self.backends.health(name)?;
        let profile = record.profile();
        let serves = profile.map(|profile| {
            let models = profile.models.iter().map(ToString::to_string);
            models.chain(profile.services.iter().map(ToString::to_string)).collect()
        });
        Some(BackendReport {
            name: name.clone(),
            domain: profile.map(|p| p.domain.clone()),
            kind: profile.map(|p| p.kind),
            health: match self.backends.backoff_until(name) {
                Some(_) if health <= BackendHealth::Suspect => "backoff".to_owned(),
                _ => health_label(health, record.status.state).to_owned(),
            },
            serves: serves.unwrap_or_default(),
            slots: profile.map_or(0, |p| p.capacity.slots),
            running: record.load.running,
            waiting: record.load.waiting,
        })
    }

    fn regions(&self) -> Vec<RegionReport> {
        let mut reports: BTreeMap<RegionName, RegionReport> = BTreeMap::new();
        let Some(view) = self.documents.current() else { return Vec::new() };
        for document in view.documents() {
            let models = document.models.iter().map(|m| BackendTarget::Model(&m.name));
            let plain = document.plain_services.iter().map(|p| BackendTarget::Service(&p.name));
            for summary in models.chain(plain).flat_map(|target| self.relay.summaries(target)) {
                let report = reports.entry(summary.region.clone()).or_insert(RegionReport {
                    region: summary.region,
                    reachable: false,
                    age_millis: u64::MAX,
                    slots: 0,
                    free_slots: 0,
                });
                report.reachable |= summary.is_reachable;
                report.age_millis = report.age_millis.min(millis(summary.age));
                report.slots += summary.totals.slots;
                report.free_slots += summary.totals.free_slots;
            }
        }
        reports.into_values().collect()
    }
}

fn health_label(health: BackendHealth, state: ServingState) -> &'static str {
    match (health, state) {
        (_, ServingState::Leaving) | (BackendHealth::Leaving, _) => "leaving",
        (BackendHealth::Serving, _) => "serving",
        (BackendHealth::Suspect, _) => "suspect",
        (BackendHealth::Expired, _) => "out",
        (BackendHealth::Unknown, _) => "unknown",
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
