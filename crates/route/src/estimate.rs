//! Estimates of the time to first token.

use {
    crate::{Candidate, RegionOffer, RouteRequest},
    std::time::Duration,
};

/// What the estimates assume.
#[derive(Clone, Copy, Debug)]
pub struct EstimateSettings {
    /// Time over which an engine that joined is trusted with its full capacity: its cache is cold and
    /// its first report is missing. Default 10 s.
    pub slow_start: Duration,
    /// The part of its slots an engine is trusted with at the moment it joins. Default 0.25.
    pub slow_start_floor: f64,
}

impl Default for EstimateSettings {
    fn default() -> Self {
        Self { slow_start: Duration::from_secs(10), slow_start_floor: 0.25 }
    }
}

/// An estimate of the time to first token, seconds, in its parts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstTokenEstimate {
    /// Waiting for a slot.
    pub slot_wait: f64,
    /// Reading the prompts before this one.
    pub prefill_wait: f64,
    /// Reading this prompt, less what the cache is expected to hold.
    pub prefill: f64,
    /// Both ways over the link.
    pub link: f64,
}

/// The work of other gateways over all candidates: what an old report of one engine fades into.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Part of all slots that others use, as reported.
    others_part: f64,
}

impl PoolLoad {
    /// The pool of these candidates.
    pub fn new(candidates: &[Candidate<'_>]) -> Self {
        let others: f64 = candidates.iter().map(|c| f64::from(c.others_at_report())).sum();
        let slots: f64 = candidates.iter().map(|c| f64::from(c.capacity.slots)).sum();
        Self { others_part: others / slots.max(1.0) }
    }
}

/// How much faster a report loses its worth than by requests that end: the other gateways read the same
/// report and act on it as well, so what it says of a free slot is soon wrong. Measured: see the design
/// note.
const HERD_FACTOR: f64 = 8.0;

/// What is believed of the requests at one engine now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ActiveBelief {
    /// Mean.
    pub(crate) mean: f64,
    /// Standard deviation.
    pub(crate) spread: f64,
}

impl ActiveBelief {
    /// A report tells of requests that stay for `hold` on average, so after a time of `age` a part of
    /// exp(-age / hold) of them is still there; what came instead is as many as the pool's mean. The
    /// variance grows as that of an M/G/infinity queue forgets its state. (Dahlin, "Interpreting Stale
    /// Load Information", 1999, interprets reports by their age likewise.)
    pub(crate) fn of(candidate: &Candidate<'_>, hold: f64, pool: &PoolLoad) -> Self {
        let fade = HERD_FACTOR * candidate.report.age.as_secs_f64() / hold.max(1e-3);
        let kept = (-fade).exp();
        let others = f64::from(candidate.others_at_report());
        let usual = pool.others_part * f64::from(candidate.capacity.slots);
        let mean = usual + (others - usual) * kept;
        let spread = (mean.max(0.0) * (1.0 - kept * kept)).sqrt();
        Self { mean: mean + f64::from(candidate.own.active), spread }
    }

    /// Mean of the requests that one more would have to wait for: the positive part of a normal
    /// variable, with the logistic function in place of the normal distribution.
    pub(crate) fn missing(&self, slots: f64) -> f64 {
        let excess = self.mean + 1.0 - slots;
        let scale = self.spread / LOGISTIC_SCALE;
        if scale < 1e-6 || excess > FAR * scale {
            return excess.max(0.0);
        }
        scale * (excess / scale).exp().ln_1p()
    }
}

/// The logistic function of 1.702 x is within 0.01 of the normal distribution.
const LOGISTIC_SCALE: f64 = 1.702;

/// Beyond this many scales the positive part is the variable itself.
const FAR: f64 = 30.0;

impl FirstTokenEstimate {
    /// The sum.
    pub fn seconds(&self) -> f64 {
        self.slot_wait + self.prefill_wait + self.prefill + self.link
    }

    /// The estimate for a backend server of the own region.
    pub fn of(
        settings: &EstimateSettings,
        request: &RouteRequest<'_>,
        candidate: &Candidate<'_>,
        pool: &PoolLoad,
    ) -> Self {
        let rate = candidate.capacity.prefill_rate.max(1.0);
        let slots = trusted_slots(settings, candidate.capacity.slots, candidate.since_join);
        let hold = request.holding_time.as_secs_f64();
        let missing = ActiveBelief::of(candidate, hold, pool).missing(slots);
        let uncached = request.prompt_tokens.saturating_sub(candidate.cached_tokens);
        Self {
            slot_wait: missing * hold / slots,
            prefill_wait: candidate.prefill_tokens_now() / rate,
            prefill: f64::from(uncached) / rate,
            link: 2.0 * candidate.link.as_secs_f64(),
        }
    }
}

/// The slots that an engine is trusted with while it is new.
pub(crate) fn trusted_slots(settings: &EstimateSettings, slots: u32, since: Duration) -> f64 {
    let full = f64::from(slots.max(1));
    let progress = since.as_secs_f64() / settings.slow_start.as_secs_f64().max(1e-9);
    let part = settings.slow_start_floor + (1.0 - settings.slow_start_floor) * progress.min(1.0);
    (full * part).max(1.0)
}

/// The estimate for a request sent to another region, seconds. Its caches hold nothing of the prompt,
/// and an engine there reads `prefill_rate` prompt tokens a second.
///
/// What the region says is free was free some time ago. In a region of few slots this says little: the
/// same spread that a large region hardly notices is a full queue there.
pub fn forwarded_first_token(
    request: &RouteRequest<'_>,
    offer: &RegionOffer<'_>,
    sent: f64,
    prefill_rate: f64,
) -> f64 {
    let hold = request.holding_time.as_secs_f64();
    let slots = f64::from(offer.slots.max(1));
    let busy = f64::from(offer.slots.saturating_sub(offer.free_slots));
    let kept = (-offer.age.as_secs_f64() / hold.max(1e-3)).exp();
    let spread = (busy * (1.0 - kept * kept)).sqrt();
    let belief = ActiveBelief { mean: busy + sent, spread };
    let slot_wait = belief.missing(slots) * hold / slots;
    let prefill_wait = f64::from(offer.prefill_tokens) / offer.prefill_rate.max(1.0);
    let prefill = f64::from(request.prompt_tokens) / prefill_rate.max(1.0);
    slot_wait + prefill_wait + prefill + 2.0 * offer.link.as_secs_f64()
}
