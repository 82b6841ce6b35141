//! The policy of the product.

use {
    crate::{
        Candidate, EstimateSettings, FirstTokenEstimate, ForwardingSettings, ForwardingTracker,
        PoolLoad, RefuseReason, RegionOffer, RouteDecision, RoutePolicy, RouteRequest,
        forwarded_first_token,
    },
    gullglade_units::RandomSource,
    std::time::Duration,
};

/// What an operator can set.
#[derive(Clone, Copy, Debug)]
pub struct LatencySettings {
    /// The estimates.
    pub estimate: EstimateSettings,
    /// Sending away.
    pub forwarding: ForwardingSettings,
    /// Estimates within this part of the target of the best count as equal, and one of them is drawn:
    /// gateways that hold the same reports need not all choose the same engine. Default 0: equal ones only.
    pub tie_margin: f64,
    /// How much a second of reading counts on top of itself when engines are compared: while an engine
    /// reads what another has in its cache, everybody behind waits. Default 0.5.
    pub prefill_weight: f64,
    /// Requests beyond its slots that an engine may hold before the rest waits in the gateway, where
    /// it can still be ordered and moved. Default 2.
    pub overcommit: u32,
    /// Part of the region's slots that workspaces over their share leave free. Default 0.6.
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

/// Chooses by the estimated time to first token.
#[derive(Debug, Default)]
pub struct LatencyPolicy {
    settings: LatencySettings,
    account: ForwardingTracker,
}

struct Choice {
    index: usize,
    seconds: f64,
}

impl LatencyPolicy {
    /// A policy with these settings.
    pub fn new(settings: LatencySettings) -> Self {
        Self { settings, account: ForwardingTracker::default() }
    }

    /// What was sent away.
    pub fn account(&self) -> &ForwardingTracker {
        &self.account
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

    /// The estimate, and what reading the prompt costs those who come after.
    fn score(&self, estimate: &FirstTokenEstimate) -> f64 {
        estimate.seconds() + self.settings.prefill_weight * estimate.prefill
    }

    fn best_away(
        &self,
        request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
    ) -> Option<Choice> {
        let rate = prefill_rate(candidates);
        let part = needy_part(candidates, offers);
        let choices = offers.iter().enumerate().map(|(index, offer)| {
            let in_flight_change = self.in_flight_change(request, offer);
            let seconds = forwarded_first_token(request, offer, in_flight_change, rate);
            let excess = (in_flight_change + 1.0 - part * self.granted(offer)).max(0.0);
            let own_slots = f64::from(offer.slots.max(1)) * offer.share.clamp(0.01, 1.0) * part;
            let queue = excess * request.holding_time.as_secs_f64() / own_slots.max(1e-3);
            Choice { index, seconds: seconds + queue }
        });
        choices.min_by(|a, b| a.seconds.total_cmp(&b.seconds))
    }

    /// What this gateway has added in the region since it made the offer.
    fn in_flight_change(&self, request: &RouteRequest<'_>, offer: &RegionOffer<'_>) -> f64 {
        self.account.in_flight_change(offer.region, request.now, offer.age, request.holding_time)
    }

    /// Requests that this gateway may send on this offer if no other region needs it.
    fn granted(&self, offer: &RegionOffer<'_>) -> f64 {
        let ramp = self.settings.forwarding.return_ramp.as_secs_f64().max(1e-9);
        let trust = (offer.since_return.as_secs_f64() / ramp).min(1.0);
        f64::from(offer.free_slots) * offer.share.clamp(0.0, 1.0) * trust
    }

    fn goes_away(&self, request: &RouteRequest<'_>, local: f64, away: f64) -> bool {
        request.within_share
            && self.account.should_forward(&self.settings.forwarding, request, local, away)
    }

    /// Sends what cannot stay to the best region that it may go to, whether that region has room to
    /// spare or not: only there can it wait its turn.
    fn leave(&self, request: &RouteRequest<'_>, offers: &[RegionOffer<'_>]) -> RouteDecision {
        let seconds = offers.iter().map(|offer| {
            let sent = self.in_flight_change(request, offer);
            forwarded_first_token(request, offer, sent, DEFAULT_PREFILL_RATE)
        });
        let seconds = seconds.enumerate();
        match seconds.min_by(|a, b| a.1.total_cmp(&b.1)) {
            Some((index, _)) => self.send(request, &offers[index], index),
            None => RouteDecision::Refuse {
                reason: RefuseReason::NoBackend,
                retry_after: Duration::from_secs(1),
            },
        }
    }

    fn send(
        &self,
        request: &RouteRequest<'_>,
        offer: &RegionOffer<'_>,
        index: usize,
    ) -> RouteDecision {
        self.account.record_sent(offer.region, request.now, request.holding_time);
        self.account.record_decision(&self.settings.forwarding, request.now, true);
        RouteDecision::Forward { offer: index }
    }

    fn stay(&self, request: &RouteRequest<'_>, local: &Choice) -> RouteDecision {
        let late = request.deadline.is_some_and(|left| local.seconds > left.as_secs_f64());
        if late {
            let retry_after = Duration::from_secs_f64(local.seconds.clamp(0.1, 60.0));
            return RouteDecision::Refuse { reason: RefuseReason::TooLate, retry_after };
        }
        self.account.record_decision(&self.settings.forwarding, request.now, false);
        RouteDecision::Local { backend: local.index }
    }
}

/// Prompt tokens a second of an engine where none is known.
const DEFAULT_PREFILL_RATE: f64 = 8_000.0;

/// The mean prefill rate of the engines here, taken for those of other regions as well.
fn prefill_rate(candidates: &[Candidate<'_>]) -> f64 {
    let sum: f64 = candidates.iter().map(|c| c.capacity.prefill_rate).sum();
    if candidates.is_empty() { DEFAULT_PREFILL_RATE } else { sum / candidates.len() as f64 }
}

/// A region that states fewer free slots than one in this many of its slots sends work away itself.
const NEEDY: u32 = 20;

/// This region's part of what other regions have to spare: its slots by those of all regions in need.
/// Without it several regions at their peak would each count on the whole of a third one's free slots,
/// and flood it until its next summary.
fn needy_part(candidates: &[Candidate<'_>], offers: &[RegionOffer<'_>]) -> f64 {
    let here: f64 = candidates.iter().map(|c| f64::from(c.capacity.slots)).sum();
    let needy = offers.iter().filter(|o| o.reachable && o.free_slots < o.slots / NEEDY);
    let others: f64 = needy.map(|o| f64::from(o.slots)).sum();
    here / (here + others).max(1.0)
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
            return self.leave(request, offers);
        };
        let waited = request.queue_wait.as_secs_f64();
        match self.best_away(request, candidates, offers) {
            Some(away) if self.goes_away(request, local.seconds + waited, away.seconds) => {
                self.send(request, &offers[away.index], away.index)
            }
            _ => self.stay(request, &local),
        }
    }
}
