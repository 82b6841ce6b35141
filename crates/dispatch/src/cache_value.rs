//! The value of a cached prefix: the cost of a placement in engine time and callers' time.
//!
//! The load: the shared parts of the prompts fill the memory of the engines, the holder of a part
//! is full while other engines are idle, or one part is suddenly in all prompts. A fixed weight of
//! prefill is the same for an idle and for a full engine, and does not count the cached parts that
//! a prompt evicts.
//!
//! The costs that are compared:
//!
//! - the time to the first byte, and more if the objective would be missed;
//! - the prefill, which delays every stream that runs at the engine and every prompt behind it;
//! - the prefill of shared parts that another engine holds, which also splits the later requests
//!   for the part among more engines and takes memory in each of them;
//! - the prefill of evicted parts that will be asked for again;
//! - a copy from another engine, which takes its time and memory but delays no other request;
//! - the lower pace of each further stream.

/// Upper bound of the number of requests that a prefill delays. Loads that several gateways state
/// late add up to more requests than an engine runs.
const MAX_DELAYED: f64 = 40.0;

/// The part of a prefill by which a running stream is delayed where little prefill is queued. Its
/// pauses are then far shorter than callers accept.
const MIN_URGENCY: f64 = 0.2;

/// The weight of a repeated prefill, in addition to the requests that it delays. With a lower weight
/// each short queue moves a shared part to another engine, which prefills it again.
const REPEAT_WEIGHT: f64 = 40.0;

/// The cost of each millisecond beyond the objective, as that of a repeated prefill: a holder that
/// would be late is worth no more than the prefill that it saves.
const LATE_WEIGHT: f64 = 40.0;

/// A first byte is expected late if it comes after this share of the remaining time, the same as in
/// `priority.rs`. A tenth of the first bytes at a peak are up to 160 ms later than predicted.
const LATE_SHARE: f64 = 0.85;

/// The cost of a fully utilized engine compared to an idle one, milliseconds: each stream slows
/// down the others.
const PACE_COST_MS: f64 = 40.0;

/// The effect of a placement on an engine and on the requests there.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlacementImpact {
    /// Time to first byte, milliseconds.
    pub(crate) expected_ms: f64,
    /// The time left until the objective of the request, milliseconds.
    pub(crate) remaining_ms: f64,
    /// The prefill, without the copied tokens, milliseconds.
    pub(crate) prefill_ms: f64,
    /// The part of `prefill_ms` that is spent on shared parts, milliseconds. An engine that holds
    /// them would save it.
    pub(crate) repeated_ms: f64,
    /// The prefill ahead of the prompt, milliseconds.
    pub(crate) ahead_ms: f64,
    /// The prefill of the parts that would be evicted, each multiplied by the probability that it
    /// is asked for again soon, milliseconds.
    pub(crate) evicted_ms: f64,
    /// The requests at the engine.
    pub(crate) running: f64,
    /// The number of requests that the engine runs concurrently.
    pub(crate) slots: f64,
}

/// Computes the cost of placements for the requests of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheValue {
    /// The shortest objective of the requests of the service, milliseconds.
    pub(crate) objective_ms: f64,
    /// The mean number of requests at the engines of the region.
    pub(crate) mean_running: f64,
}

impl CacheValue {
    /// Returns the cost of a placement, milliseconds.
    pub(crate) fn cost_ms(&self, impact: &PlacementImpact) -> f64 {
        let late_ms = (impact.expected_ms - LATE_SHARE * impact.remaining_ms).max(0.0);
        let pace_ms = PACE_COST_MS * impact.running / impact.slots.max(1.0);
        impact.expected_ms
            + LATE_WEIGHT * late_ms
            + impact.prefill_ms * self.delayed(impact)
            + impact.repeated_ms * REPEAT_WEIGHT
            + impact.evicted_ms * (1.0 + self.mean_running).min(MAX_DELAYED)
            + pace_ms
    }

    /// Returns the number of requests that a prefill at the engine delays.
    fn delayed(&self, impact: &PlacementImpact) -> f64 {
        let backlog = (impact.ahead_ms + impact.prefill_ms) / self.objective_ms.max(1.0);
        let urgency = backlog.clamp(MIN_URGENCY, 1.0);
        (1.0 + impact.running * urgency).min(MAX_DELAYED)
    }
}

#[cfg(test)]
mod tests;
