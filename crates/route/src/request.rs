//! What is known of a request when it is decided.

use {
    gullglade_units::{ModelName, MonotonicTime, RegionName},
    std::time::Duration,
};

use crate::BackendRole;

/// The regions that a service's document lets a request and its data travel to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Residency<'a> {
    /// Every region.
    Anywhere,
    /// Only these; none where the list is empty.
    Only(&'a [RegionName]),
}

impl Residency<'_> {
    /// Whether `region` may see the request.
    pub fn allows(&self, region: &RegionName) -> bool {
        match self {
            Residency::Anywhere => true,
            Residency::Only(regions) => regions.contains(region),
        }
    }
}

/// How the service's document weighs its measures against each other; only the ratio counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteWeights {
    /// Weight of tail latency.
    pub latency: f64,
    /// Weight of the share sent away.
    pub away: f64,
}

impl Default for RouteWeights {
    /// Both weigh the same.
    fn default() -> Self {
        Self { latency: 1.0, away: 1.0 }
    }
}

impl RouteWeights {
    /// The least and the greatest ratio in force: a document cannot switch one measure off.
    const RATIO_RANGE: (f64, f64) = (0.05, 20.0);

    /// Seconds of time to first token that one request sent away must save, as a multiple of the
    /// target. One where nothing usable is stated.
    pub fn away_ratio(&self) -> f64 {
        let ratio = self.away / self.latency;
        let usable = if ratio.is_nan() { 1.0 } else { ratio };
        usable.clamp(Self::RATIO_RANGE.0, Self::RATIO_RANGE.1)
    }
}

/// One request, as the decision sees it.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The time of the decision.
    pub now: MonotonicTime,
    /// The region of the gateway that decides.
    pub local_region: &'a RegionName,
    /// The region that forwarded the request here; such a request never goes away again.
    pub origin: Option<&'a RegionName>,
    /// What the document allows.
    pub residency: Residency<'a>,
    /// The one region the request is bound to, where it is.
    pub home: Option<&'a RegionName>,
    /// Whether this gateway's configuration may be out of date; it then keeps work in its region,
    /// because a newer document may have withdrawn the permission to travel.
    pub stale_config: bool,
    /// The model, none for a plain service.
    pub model: Option<&'a ModelName>,
    /// The role a backend server must have.
    pub role: BackendRole,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// How long a request of this model keeps an engine's slot, on average.
    pub holding_time: Duration,
    /// The time to first token that the document promises.
    pub target: Duration,
    /// The time left until an answer is of no use; none where the caller waits for ever.
    pub deadline: Option<Duration>,
    /// Time the request has spent in this gateway already.
    pub waited: Duration,
    /// How long the requests of this gateway that wait before this one will take to leave; zero when
    /// it is this one's turn.
    pub queue_wait: Duration,
    /// Whether the workspace uses no more than its fair share; what is above the share is not sent
    /// away.
    pub within_share: bool,
    /// The document's weights.
    pub weights: RouteWeights,
}
