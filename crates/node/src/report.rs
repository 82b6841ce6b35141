//! What a process tells operators about itself and about what it sees.

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

/// One process, as it sees itself and the deployment. The reply to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Its VM.
    pub vm: VmName,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its version.
    pub version: String,
    /// Whether it has a configuration and takes new requests.
    pub ready: bool,
    /// Whether it leaves.
    pub draining: bool,
    /// Requests of callers in progress.
    pub open_requests: u64,
    /// Requests of callers that ended since its start.
    pub ended_requests: u64,
    /// Requests that it sent to another region since its start.
    pub away_requests: u64,
    /// Index of the configuration in force; none where it has no configuration.
    pub configuration_index: Option<u64>,
    /// Whether control may have accepted something newer.
    pub configuration_stale: bool,
    /// How often checks found promises broken, by promise; only what is not 0.
    pub breaches: BTreeMap<String, u64>,
    /// The gateways of its region that it takes for alive, itself among them.
    pub members: Vec<VmName>,
    /// The backend servers of its region.
    pub backends: Vec<BackendReport>,
    /// The other regions.
    pub regions: Vec<RegionReport>,
}

/// One backend server of the region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Its name.
    pub name: BackendName,
    /// Its failure domain, where its profile is known.
    pub domain: Option<FailureDomain>,
    /// `engine` or `service`, where its profile is known.
    pub kind: Option<BackendKind>,
    /// `serving`, `backoff` (it wants nothing from this gateway for now), `suspect`, `out`, `leaving`
    /// or `unknown`.
    pub health: String,
    /// What it serves.
    pub serves: Vec<String>,
    /// Requests it works on at the same time.
    pub slots: u32,
    /// Requests that hold a slot, as it last said.
    pub running: u32,
    /// Requests that wait there, as it last said.
    pub waiting: u32,
}

/// Another region, as far as it was heard of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegionReport {
    /// The region.
    pub region: RegionName,
    /// Whether a gateway there was heard of lately.
    pub reachable: bool,
    /// Milliseconds since it last said something.
    pub age_millis: u64,
    /// Slots of its backend servers, over all models and services in use.
    pub slots: u32,
    /// Slots that it offers.
    pub free_slots: u32,
}

/// Where reports come from.
pub(crate) struct ReportSource {
    pub(crate) place: (VmName, RegionName, FailureDomain),
    pub(crate) gateway: Gateway,
    pub(crate) metrics: Rc<MetricSet>,
    pub(crate) backends: Rc<BackendTable>,
    pub(crate) relay: BackendRelay,
    pub(crate) documents: Rc<dyn ConfigSource>,
}

impl ReportSource {
    pub(crate) fn node(&self) -> NodeReport {
        let (vm, region, domain) = self.place.clone();
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
                _ => health_word(health, record.status.state).to_owned(),
            },
            serves: serves.unwrap_or_default(),
            slots: profile.map_or(0, |p| p.capacity.slots),
            running: record.load.running,
            waiting: record.load.waiting,
        })
    }

    fn regions(&self) -> Vec<RegionReport> {
        let mut found: BTreeMap<RegionName, RegionReport> = BTreeMap::new();
        let Some(view) = self.documents.current() else { return Vec::new() };
        for document in view.documents() {
            let models = document.models.iter().map(|m| BackendTarget::Model(&m.name));
            let plain = document.plain_services.iter().map(|p| BackendTarget::Service(&p.name));
            for summary in models.chain(plain).flat_map(|target| self.relay.summaries(target)) {
                let report = found.entry(summary.region.clone()).or_insert(RegionReport {
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
        found.into_values().collect()
    }
}

fn health_word(health: BackendHealth, state: ServingState) -> &'static str {
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
