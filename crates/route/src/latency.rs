//! The default policy: it minimizes the estimated time to first token.

use {
    crate::{
        Candidate, EstimateSettings, FirstTokenEstimate, ForwardingSettings, ForwardingTracker,
        PoolLoad, RefuseReason, RegionOffer, RouteDecision, RoutePolicy, RouteRequest,
        forwarded_first_token,
    },
    gullglade_units::RandomSource,
    std::time::Duration,
};

/// Settings of [`LatencyPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct LatencySettings {
    /// Settings of the latency estimates.
    pub estimate: EstimateSettings,
    /// Settings of forwarding to other regions.
    pub forwarding: ForwardingSettings,
    /// Tie margin, as a fraction of the latency target. Estimates within the margin of the best one
    /// count as equal, and one of them is drawn at random, so that gateways with the same reports
    /// do not all select the same engine. Default 0: only equal estimates tie.
    pub tie_margin: f64,
    /// Extra weight of a second of prefill when engines are compared: while an engine prefills what
    /// another one has cached, every request queued behind it waits. Default 0.5.
    pub prefill_weight: f64,
    /// Requests that an engine may hold beyond its slots. Further requests wait in the gateway,
    /// where they can still be reordered and moved. Default 2.
    pub overcommit: u32,
    /// Fraction of the region's slots that workspaces over their share leave free. Default 0.6.
    pub reserve: f64,
}

impl Default for LatencySettings {
    fn default() -> Self {
        Self {
            estimate: EstimateSettings::default(),
            forwarding: ForwardingSettings::default(),
            tie_margin: 0.0,
            prefill_weight: 0.5,
            overcommit: 2,
            reserve: 0.6,
        }
    }
}

/// Selects the engine or region with the lowest estimated time to first token.
#[derive(Debug, Default)]
pub struct LatencyPolicy {
    settings: LatencySettings,
    tracker: ForwardingTracker,
}

struct Choice {
    index: usize,
    seconds: f64,
}

impl LatencyPolicy {
    /// Creates a policy with these settings.
    pub fn new(settings: LatencySettings) -> Self {
        Self { settings, tracker: ForwardingTracker::default() }
    }

    /// Returns the tracker of forwarded requests.
    pub fn tracker(&self) -> &ForwardingTracker {
        &self.tracker
    }

    fn best_local(
        &self,
        request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        random: &dyn RandomSource,
    ) -> Option<Choice> {
        let pool = PoolLoad::new(candidates);
        let estimate = |c| FirstTokenEstimate::of(&self.settings.estimate, request, c, &pool);
        let estimates: Vec<FirstTokenEstimate> = candidates.iter().map(estimate).collect();
        let scores: Vec<f64> = estimates.iter().map(|e| self.score(e)).collect();
        let least = scores.iter().copied().fold(f64::INFINITY, f64::min);
        let bound = least + self.settings.tie_margin * request.target.as_secs_f64();
        let ties = scores.iter().filter(|score| **score <= bound).count();
        let drawn = usize::try_from(random.below(ties as u64)).unwrap_or(0);
        let index = scores.iter().enumerate().filter(|(_, s)| **s <= bound).nth(drawn)?.0;
        Some(Choice { index, seconds: estimates[index].seconds() })
    }

    /// Returns the estimate plus the weighted cost of the prefill for the requests behind this one.
    fn score(&self, estimate: &FirstTokenEstimate) -> f64 {
        estimate.seconds() + self.settings.prefill_weight * estimate.prefill
    }

    fn best_remote(
        &self,
        request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
    ) -> Option<Choice> {
        let rate = prefill_rate(candidates);
        let capacity_share = contention_share(candidates, offers);
        let choices = offers.iter().enumerate().map(|(index, offer)| {
            let in_flight_change = self.in_flight_change(request, offer);
            let seconds = forwarded_first_token(request, offer, in_flight_change, rate);
            let excess =
                (in_flight_change + 1.0 - capacity_share * self.available_requests(offer)).max(0.0);
            let own_slots =
                f64::from(offer.slots.max(1)) * offer.share.clamp(0.01, 1.0) * capacity_share;
            let queue = excess * request.holding_time.as_secs_f64() / own_slots.max(1e-3);
            Choice { index, seconds: seconds + queue }
        });
        choices.min_by(|a, b| a.seconds.total_cmp(&b.seconds))
    }

    /// Returns the change in the number of this gateway's requests that run in the region since the
    /// offer was made.
    fn in_flight_change(&self, request: &RouteRequest<'_>, offer: &RegionOffer<'_>) -> f64 {
        self.tracker.in_flight_change(offer.region, request.now, offer.age, request.holding_time)
    }

    /// Returns the number of requests that this gateway may send on this offer if no other region
    /// competes for it.
    fn available_requests(&self, offer: &RegionOffer<'_>) -> f64 {
        let ramp = self.settings.forwarding.return_ramp.as_secs_f64().max(1e-9);
        let trust = (offer.since_return.as_secs_f64() / ramp).min(1.0);
        f64::from(offer.free_slots) * offer.share.clamp(0.0, 1.0) * trust
    }

    fn should_forward(&self, request: &RouteRequest<'_>, local: f64, remote: f64) -> bool {
        request.within_share
            && self.tracker.should_forward(&self.settings.forwarding, request, local, remote)
    }

    /// Forwards a request that no local engine can run to the best allowed region, even one without
    /// spare capacity: the request can queue only there.
    fn forward_best(
        &self,
        request: &RouteRequest<'_>,
        offers: &[RegionOffer<'_>],
    ) -> RouteDecision {
        let seconds = offers.iter().map(|offer| {
            let in_flight = self.in_flight_change(request, offer);
            forwarded_first_token(request, offer, in_flight, DEFAULT_PREFILL_RATE)
        });
        let seconds = seconds.enumerate();
        match seconds.min_by(|a, b| a.1.total_cmp(&b.1)) {
            Some((index, _)) => self.forward(request, &offers[index], index),
            None => RouteDecision::Refuse {
                reason: RefuseReason::NoBackend,
                retry_after: Duration::from_secs(1),
            },
        }
    }

    fn forward(
        &self,
        request: &RouteRequest<'_>,
        offer: &RegionOffer<'_>,
        index: usize,
    ) -> RouteDecision {
        self.tracker.record_sent(offer.region, request.now, request.holding_time);
        self.tracker.record_decision(&self.settings.forwarding, request.now, true);
        RouteDecision::Forward { offer: index }
    }

    fn run_locally(&self, request: &RouteRequest<'_>, local: &Choice) -> RouteDecision {
        let late = request.deadline.is_some_and(|left| local.seconds > left.as_secs_f64());
        if late {
            let retry_after = Duration::from_secs_f64(local.seconds.clamp(0.1, 60.0));
            return RouteDecision::Refuse { reason: RefuseReason::TooLate, retry_after };
        }
        self.tracker.record_decision(&self.settings.forwarding, request.now, false);
        RouteDecision::Local { backend: local.index }
    }
}

/// Prefill rate of an engine whose rate is unknown, in prompt tokens per second.
const DEFAULT_PREFILL_RATE: f64 = 8_000.0;

/// Returns the mean prefill rate of the local engines, which is also assumed for the engines of
/// other regions.
fn prefill_rate(candidates: &[Candidate<'_>]) -> f64 {
    let sum: f64 = candidates.iter().map(|c| c.capacity.prefill_rate).sum();
    if candidates.is_empty() { DEFAULT_PREFILL_RATE } else { sum / candidates.len() as f64 }
}

/// A region whose free slots are fewer than its slots divided by this forwards work itself.
const SCARCE_CAPACITY_DIVISOR: u32 = 20;

/// Returns this region's fraction of the spare capacity of other regions: its slots divided by the
/// slots of all regions that are short of capacity. Without it, several regions at their peak would
/// each count on all free slots of another region and overload it until its next offer.
fn contention_share(candidates: &[Candidate<'_>], offers: &[RegionOffer<'_>]) -> f64 {
    let local_slots: f64 = candidates.iter().map(|c| f64::from(c.capacity.slots)).sum();
    let scarce =
        offers.iter().filter(|o| o.reachable && o.free_slots < o.slots / SCARCE_CAPACITY_DIVISOR);
    let remote_slots: f64 = scarce.map(|o| f64::from(o.slots)).sum();
    local_slots / (local_slots + remote_slots).max(1.0)
}

impl RoutePolicy for LatencyPolicy {
    fn decide(
        &self,
        request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
        random: &dyn RandomSource,
    ) -> RouteDecision {
        let Some(local) = self.best_local(request, candidates, random) else {
            return self.forward_best(request, offers);
        };
        let waited = request.queue_wait.as_secs_f64();
        match self.best_remote(request, candidates, offers) {
            Some(remote)
                if self.should_forward(request, local.seconds + waited, remote.seconds) =>
            {
                self.forward(request, &offers[remote.index], remote.index)
            }
            _ => self.run_locally(request, &local),
        }
    }
}
