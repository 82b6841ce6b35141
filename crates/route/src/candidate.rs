//! One backend server of the gateway's own region, as this gateway knows it.

use {
    gullglade_units::{BackendName, ModelName, RegionName},
    std::time::Duration,
};

/// What a backend server is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BackendRole {
    /// A model engine that answers prompts.
    #[default]
    Generate,
    /// A plain service.
    Service,
    /// An engine that loads something or is kept back: no request goes there.
    Standby,
}

/// What membership says of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum HealthState {
    /// Its lease is fresh.
    #[default]
    Healthy,
    /// Silent for longer than it should be; used only where nothing healthy is left.
    Suspect,
    /// Its lease is over, or it refuses connections.
    Down,
}

/// What an engine can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Requests it runs at once.
    pub slots: u32,
    /// Prompt tokens it reads in a second, all requests together.
    pub prefill_rate: f64,
}

/// What the engine last said of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests running or waiting in the engine.
    pub active: u32,
    /// Prompt tokens that these have still to read before their first token.
    pub prefill_tokens: u32,
    /// Time since the engine took these figures.
    pub age: Duration,
}

/// This gateway's own work at one engine; see [`OwnLoadTracker`](crate::OwnLedger).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnLoad {
    /// Own requests there now.
    pub active: u32,
    /// Own requests there when the report was taken.
    pub active_at_report: u32,
    /// Prompt tokens of own requests that have no first token yet.
    pub prefill_tokens: u32,
    /// The same when the report was taken.
    pub prefill_tokens_at_report: u32,
}

/// One row of the decision.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The backend server.
    pub name: &'a BackendName,
    /// Its region; a row of another region than the gateway's is never chosen.
    pub region: &'a RegionName,
    /// The models it serves; empty for a plain service.
    pub models: &'a [ModelName],
    /// What it is for.
    pub role: BackendRole,
    /// What membership says.
    pub health: HealthState,
    /// Whether it said that it is leaving.
    pub leaving: bool,
    /// What it can do.
    pub capacity: EngineCapacity,
    /// Its last word.
    pub report: LoadReport,
    /// This gateway's own work there.
    pub own: OwnLoad,
    /// Tokens of the request's prompt that are expected in its cache.
    pub cached_tokens: u32,
    /// One-way delay from the gateway.
    pub link: Duration,
    /// Time since it joined or came back.
    pub since_join: Duration,
}

impl Candidate<'_> {
    /// Requests running or waiting there now: the report, corrected by what this gateway started and
    /// finished since. The others' work since the report is unknown.
    pub fn active_now(&self) -> u32 {
        self.others_at_report().saturating_add(self.own.active)
    }

    /// Requests of other gateways there when the report was taken.
    pub fn others_at_report(&self) -> u32 {
        self.report.active.saturating_sub(self.own.active_at_report)
    }

    /// Prompt tokens still to be read there now: own ones exactly, the others' as reported less what
    /// the engine read since.
    pub fn prefill_tokens_now(&self) -> f64 {
        let others = self.report.prefill_tokens.saturating_sub(self.own.prefill_tokens_at_report);
        let read = self.report.age.as_secs_f64() * self.capacity.prefill_rate;
        (f64::from(others) - read).max(0.0) + f64::from(self.own.prefill_tokens)
    }

    /// Free slots as far as this gateway can tell.
    pub fn free_slots(&self) -> u32 {
        self.capacity.slots.saturating_sub(self.active_now())
    }
}
