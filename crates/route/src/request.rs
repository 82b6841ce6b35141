//! The request as input of a routing decision.

use {
    gullglade_units::{ModelName, MonotonicTime, RegionName},
    std::time::Duration,
};

use crate::BackendRole;

/// Regions that a service's document allows a request and its data to enter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Residency<'a> {
    /// Every region.
    Anywhere,
    /// Only these regions; none if the list is empty.
    Only(&'a [RegionName]),
}

impl Residency<'_> {
    /// Returns whether the request may enter `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        match self {
            Residency::Anywhere => true,
            Residency::Only(regions) => regions.contains(region),
        }
    }
}

/// Weights of the service's document for the measures of the policy; only their ratio counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteWeights {
    /// Weight of tail latency.
    pub latency: f64,
    /// Weight of the forwarded share.
    pub forwarding: f64,
}

impl Default for RouteWeights {
    /// Equal weights.
    fn default() -> Self {
        Self { latency: 1.0, forwarding: 1.0 }
    }
}

impl RouteWeights {
    /// Bounds of the effective ratio, so that a document cannot disable either measure.
    const RATIO_RANGE: (f64, f64) = (0.05, 20.0);

    /// Returns the latency that forwarding one request must save, as a multiple of the target; 1 if
    /// the weights give no valid ratio.
    pub fn forwarding_ratio(&self) -> f64 {
        let ratio = self.forwarding / self.latency;
        let usable = if ratio.is_nan() { 1.0 } else { ratio };
        usable.clamp(Self::RATIO_RANGE.0, Self::RATIO_RANGE.1)
    }
}

/// Request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Time of the decision.
    pub now: MonotonicTime,
    /// Region of the gateway that decides.
    pub local_region: &'a RegionName,
    /// Region that forwarded the request to this one; such a request is never forwarded again.
    pub origin: Option<&'a RegionName>,
    /// Regions that the document allows.
    pub residency: Residency<'a>,
    /// The only region that the request may run in, if it is bound to one.
    pub home: Option<&'a RegionName>,
    /// Whether this gateway's configuration may be out of date. The gateway then forwards nothing,
    /// because a newer document may have withdrawn the permission to leave the region.
    pub stale_config: bool,
    /// Model of the request; `None` for a plain service.
    pub model: Option<&'a ModelName>,
    /// Required role of the backend server.
    pub role: BackendRole,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Mean time that a request of this model holds a slot of an engine.
    pub holding_time: Duration,
    /// Target of the document for the time to first token.
    pub target: Duration,
    /// Time left until the answer is useless; `None` if the caller waits without limit.
    pub deadline: Option<Duration>,
    /// Time that the request has already spent in this gateway.
    pub waited: Duration,
    /// Expected time until all requests queued in this gateway before this one have left the queue;
    /// zero if this one is first.
    pub queue_wait: Duration,
    /// Whether the workspace is within its fair share; requests over the share are not forwarded.
    pub within_share: bool,
    /// Weights of the document.
    pub weights: RouteWeights,
}
