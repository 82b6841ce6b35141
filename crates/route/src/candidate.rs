//! Backend servers of the gateway's own region, as rows of a routing decision.

use {
    gullglade_units::{BackendName, ModelName, RegionName},
    std::time::Duration,
};

/// Role of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BackendRole {
    /// A model engine that answers prompts.
    #[default]
    Generate,
    /// A plain service.
    Service,
    /// An engine that is loading a model or is kept in reserve; it receives no requests.
    Standby,
}

/// Health of a backend server according to the membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum HealthState {
    /// Its lease is valid.
    #[default]
    Healthy,
    /// Its announcements are overdue. It is used only if no healthy backend server is left.
    Suspect,
    /// Its lease has expired, or it refuses connections.
    Down,
}

/// Capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Prefill rate over all requests, in prompt tokens per second.
    pub prefill_rate: f64,
}

/// Last load report of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests running or queued in the engine.
    pub active: u32,
    /// Prompt tokens of these requests that are not prefilled yet.
    pub prefill_tokens: u32,
    /// Time since the engine took these figures.
    pub age: Duration,
}

/// This gateway's own load on one engine; see [`OwnLoadTracker`](crate::OwnLoadTracker).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnLoad {
    /// Own requests there now.
    pub active: u32,
    /// Own requests there when the report was taken.
    pub active_at_report: u32,
    /// Prompt tokens of own requests that have no first token yet.
    pub prefill_tokens: u32,
    /// Prompt tokens of own requests that had no first token when the report was taken.
    pub prefill_tokens_at_report: u32,
}

/// Backend server that may be selected for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the backend server.
    pub name: &'a BackendName,
    /// Region of the backend server; a row of another region than the gateway's is never selected.
    pub region: &'a RegionName,
    /// Models that it serves; empty for a plain service.
    pub models: &'a [ModelName],
    /// Role of the backend server.
    pub role: BackendRole,
    /// Health according to the membership.
    pub health: HealthState,
    /// Whether the backend server announced that it is leaving.
    pub leaving: bool,
    /// Capacity of the backend server.
    pub capacity: EngineCapacity,
    /// Last load report.
    pub report: LoadReport,
    /// This gateway's own load on the backend server.
    pub own: OwnLoad,
    /// Prompt tokens of the request that are expected in its cache.
    pub cached_tokens: u32,
    /// One-way network delay from the gateway.
    pub link: Duration,
    /// Time since it joined or rejoined.
    pub since_join: Duration,
}

impl Candidate<'_> {
    /// Returns the estimated number of requests running or queued there: the report, corrected by
    /// the requests that this gateway started and finished since. What other gateways did since the
    /// report is unknown.
    pub fn active_now(&self) -> u32 {
        self.others_at_report().saturating_add(self.own.active)
    }

    /// Returns the requests of other gateways there when the report was taken.
    pub fn others_at_report(&self) -> u32 {
        self.report.active.saturating_sub(self.own.active_at_report)
    }

    /// Returns the prompt tokens not prefilled yet: exact for own requests, and for others the
    /// reported number less what the engine could prefill since.
    pub fn prefill_tokens_now(&self) -> f64 {
        let others = self.report.prefill_tokens.saturating_sub(self.own.prefill_tokens_at_report);
        let read = self.report.age.as_secs_f64() * self.capacity.prefill_rate;
        (f64::from(others) - read).max(0.0) + f64::from(self.own.prefill_tokens)
    }

    /// Returns the estimated number of free slots.
    pub fn free_slots(&self) -> u32 {
        self.capacity.slots.saturating_sub(self.active_now())
    }
}
