//! The value of cached prefixes in the placement of requests: collects what the rule compares.

use {
    super::Backend,
    crate::{
        WorkItem,
        cache_value::{CacheValue, PlacementImpact},
        load::as_millis,
        priority::LatencyObjectives,
    },
    gullglade_traffic::EngineProfile,
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// The assumed shortest objective of a service that had no requests.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// The value of cached prefixes at the engines of a service.
pub(super) struct PrefixValue {
    rule: CacheValue,
    /// The memory of an engine in tokens.
    memory_tokens: u64,
}

impl PrefixValue {
    pub(super) fn new(
        engine: EngineProfile,
        engines: &[&Backend],
        objectives: &LatencyObjectives,
        now: MonotonicTime,
    ) -> Self {
        let running: u32 = engines.iter().map(|backend| backend.load.total_requests(now)).sum();
        let mean_running = f64::from(running) / engines.len().max(1) as f64;
        let objective = objectives.shortest().unwrap_or(DEFAULT_OBJECTIVE);
        let objective_ms = as_millis(objective);
        let rule = CacheValue { objective_ms, mean_running };
        Self { rule, memory_tokens: engine.memory_tokens }
    }

    /// Returns the cost of a placement by `rule`, milliseconds.
    pub(super) fn cost_ms(
        &self,
        item: &WorkItem,
        backend: &Backend,
        work: ExpectedWork,
        now: MonotonicTime,
    ) -> f64 {
        let Some(shape) = &item.prompt else { return work.expected_ms };
        let needed = shape.prompt_tokens.saturating_sub(backend.cache.held_tokens(shape));
        let evicted = backend.cache.evicted_tokens(shape, needed, self.memory_tokens, now);
        let remaining = (item.arrived + item.route.objective).since(now);
        let repeated = work.prefill_tokens.saturating_sub(shape.unshared_tokens());
        self.rule.cost_ms(&PlacementImpact {
            expected_ms: work.expected_ms,
            remaining_ms: as_millis(remaining),
            prefill_ms: backend.load.prefill_ms(work.prefill_tokens),
            repeated_ms: backend.load.prefill_ms(repeated),
            ahead_ms: backend.load.ahead_ms(work.priority, now),
            evicted_ms: evicted * backend.load.prefill_ms(1),
            running: f64::from(backend.load.total_requests(now)),
            slots: f64::from(backend.info.slots),
        })
    }
}

/// The expected work of a request at an engine.
pub(super) struct ExpectedWork {
    pub(super) priority: u8,
    /// Time to first byte, milliseconds.
    pub(super) expected_ms: f64,
    /// The tokens to process, without those that are copied.
    pub(super) prefill_tokens: u32,
}
