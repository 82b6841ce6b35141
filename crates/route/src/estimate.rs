//! Estimates of the time to first token.

use {
    crate::{Candidate, RegionOffer, RouteRequest},
    std::time::Duration,
};

/// Settings of the estimates.
#[derive(Clone, Copy, Debug)]
pub struct EstimateSettings {
    /// Slow-start time of an engine that joined, until it is trusted with its full capacity: its
    /// cache is cold and its first report is missing. Default 10 s.
    pub slow_start: Duration,
    /// Fraction of its slots that an engine is trusted with when it joins. Default 0.25.
    pub slow_start_floor: f64,
}

impl Default for EstimateSettings {
    fn default() -> Self {
        Self { slow_start: Duration::from_secs(10), slow_start_floor: 0.25 }
    }
}

/// Estimated time to first token by component, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstTokenEstimate {
    /// Wait for a slot.
    pub slot_wait: f64,
    /// Prefill of the prompts queued before this one.
    pub prefill_wait: f64,
    /// Prefill of this prompt, without the tokens expected in the cache.
    pub prefill: f64,
    /// Network round trip.
    pub link: f64,
}

/// Mean load that other gateways put on the candidates. An old report of one engine decays towards
/// it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Fraction of all slots used by other gateways, as reported.
    others_fraction: f64,
}

impl PoolLoad {
    /// Computes the mean load over these candidates.
    pub fn new(candidates: &[Candidate<'_>]) -> Self {
        let others: f64 = candidates.iter().map(|c| f64::from(c.others_at_report())).sum();
        let slots: f64 = candidates.iter().map(|c| f64::from(c.capacity.slots)).sum();
        Self { others_fraction: others / slots.max(1.0) }
    }
}

/// Factor by which a report decays faster than its requests end. Other gateways read the same
/// report and act on it too (the herd effect), so the free slots that it states are soon taken.
const HERD_DECAY_FACTOR: f64 = 8.0;

/// Estimated number of requests at one engine now, as a normal distribution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ActiveEstimate {
    /// Mean.
    pub(crate) mean: f64,
    /// Standard deviation.
    pub(crate) std_dev: f64,
}

impl ActiveEstimate {
    /// Estimates the number of requests from a report by its age, similar to Dahlin, "Interpreting
    /// Stale Load Information" (1999).
    ///
    /// With a mean holding time of `holding_time` seconds, a fraction of exp(-age / holding_time)
    /// of the reported requests still runs; the requests that replaced the others are assumed to
    /// match the mean of the pool. The variance grows like that of an M/G/infinity queue as it
    /// forgets its initial state.
    pub(crate) fn of(candidate: &Candidate<'_>, holding_time: f64, pool: &PoolLoad) -> Self {
        let fade = HERD_DECAY_FACTOR * candidate.report.age.as_secs_f64() / holding_time.max(1e-3);
        let surviving = (-fade).exp();
        let others = f64::from(candidate.others_at_report());
        let pool_mean = pool.others_fraction * f64::from(candidate.capacity.slots);
        let mean = pool_mean + (others - pool_mean) * surviving;
        let std_dev = (mean.max(0.0) * (1.0 - surviving * surviving)).sqrt();
        Self { mean: mean + f64::from(candidate.own.active), std_dev }
    }

    /// Returns the expected number of requests that one more request would have to wait for: the
    /// mean of the positive part of a normal variable, approximated with the logistic function.
    pub(crate) fn expected_excess(&self, slots: f64) -> f64 {
        let excess = self.mean + 1.0 - slots;
        let scale = self.std_dev / LOGISTIC_SCALE;
        if scale < 1e-6 || excess > LINEAR_SCALES * scale {
            return excess.max(0.0);
        }
        scale * (excess / scale).exp().ln_1p()
    }
}

/// Scale of the logistic function that approximates the normal distribution to within 0.01.
const LOGISTIC_SCALE: f64 = 1.702;

/// Number of scales beyond which the positive part is taken as the variable itself.
const LINEAR_SCALES: f64 = 30.0;

impl FirstTokenEstimate {
    /// Returns the total in seconds.
    pub fn seconds(&self) -> f64 {
        self.slot_wait + self.prefill_wait + self.prefill + self.link
    }

    /// Estimates the time to first token on a backend server of the local region.
    pub fn of(
        settings: &EstimateSettings,
        request: &RouteRequest<'_>,
        candidate: &Candidate<'_>,
        pool: &PoolLoad,
    ) -> Self {
        let rate = candidate.capacity.prefill_rate.max(1.0);
        let slots = trusted_slots(settings, candidate.capacity.slots, candidate.since_join);
        let holding_time = request.holding_time.as_secs_f64();
        let excess = ActiveEstimate::of(candidate, holding_time, pool).expected_excess(slots);
        let uncached = request.prompt_tokens.saturating_sub(candidate.cached_tokens);
        Self {
            slot_wait: excess * holding_time / slots,
            prefill_wait: candidate.prefill_tokens_now() / rate,
            prefill: f64::from(uncached) / rate,
            link: 2.0 * candidate.link.as_secs_f64(),
        }
    }
}

/// Returns the number of slots that an engine is trusted with, which is reduced during its slow
/// start.
pub(crate) fn trusted_slots(settings: &EstimateSettings, slots: u32, since: Duration) -> f64 {
    let full = f64::from(slots.max(1));
    let progress = since.as_secs_f64() / settings.slow_start.as_secs_f64().max(1e-9);
    let fraction =
        settings.slow_start_floor + (1.0 - settings.slow_start_floor) * progress.min(1.0);
    (full * fraction).max(1.0)
}

/// Estimates the time to first token of a request forwarded to another region, in seconds. The
/// region's caches are assumed to hold nothing of the prompt, and its engines to prefill
/// `prefill_rate` tokens per second.
///
/// The advertised free slots may be taken by now. This matters most in a region with few slots: a
/// deviation that is negligible in a large region is a full queue in a small one.
pub fn forwarded_first_token(
    request: &RouteRequest<'_>,
    offer: &RegionOffer<'_>,
    in_flight: f64,
    prefill_rate: f64,
) -> f64 {
    let holding_time = request.holding_time.as_secs_f64();
    let slots = f64::from(offer.slots.max(1));
    let busy = f64::from(offer.slots.saturating_sub(offer.free_slots));
    let surviving = (-offer.age.as_secs_f64() / holding_time.max(1e-3)).exp();
    let std_dev = (busy * (1.0 - surviving * surviving)).sqrt();
    let active = ActiveEstimate { mean: busy + in_flight, std_dev };
    let slot_wait = active.expected_excess(slots) * holding_time / slots;
    let prefill_wait = f64::from(offer.prefill_tokens) / offer.prefill_rate.max(1.0);
    let prefill = f64::from(request.prompt_tokens) / prefill_rate.max(1.0);
    slot_wait + prefill_wait + prefill + 2.0 * offer.link.as_secs_f64()
}
