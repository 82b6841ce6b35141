//! What one look at the queue finds of a service.
//!
//! The load pattern: at a peak dozens of requests wait for dozens of engines that are all full, and
//! the queue is looked at with each request that comes or ends. Asking every engine for every
//! request took 145 us a look at 40 requests and 56 engines, a fifth of a gateway that has 0.12 of
//! a core. Whether there is room depends on the priority alone, so it is asked once for each.

use {
    crate::{
        BackendLoad, WorkCost, WorkItem,
        load::{PRIORITIES, rank},
    },
    gullglade_units::MonotonicTime,
};

/// The length of the prompt by which reading rates are compared, tokens. Any will do: the time is
/// in proportion.
const SAMPLE_TOKENS: u32 = 1_000;

/// All backend servers are full for a priority.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FullLook {
    /// The least time until a first byte, milliseconds, without the request's own reading or work.
    pub(crate) wait_ms: f64,
    /// When to look again.
    pub(crate) again: MonotonicTime,
}

/// A service, as far as one look at the queue has come.
#[derive(Debug, Default)]
pub(crate) struct ServiceLook {
    /// The least time that an engine takes for a token of a prompt, milliseconds.
    token_ms: f64,
    /// The least time by which a plain request delays those behind it, milliseconds.
    plain_ms: f64,
    queues_per_backend: f64,
    /// The work of the requests that stay in the queue, milliseconds.
    queued_ms: f64,
    full: [Option<FullLook>; PRIORITIES],
}

impl ServiceLook {
    /// A look at a service of backend servers with these loads and places.
    pub(crate) fn new<'a>(
        loads: impl Iterator<Item = (&'a BackendLoad, u32)>,
        queues_per_backend: f64,
    ) -> Self {
        let mut look = Self { queues_per_backend, ..Self::default() };
        let least = |known: f64, found: f64| if known == 0.0 { found } else { known.min(found) };
        for (load, slots) in loads {
            let sample = load.cost_ms(WorkCost { tokens: Some(SAMPLE_TOKENS), slots });
            look.token_ms = least(look.token_ms, sample / f64::from(SAMPLE_TOKENS));
            look.plain_ms = least(look.plain_ms, load.cost_ms(WorkCost { tokens: None, slots }));
        }
        look
    }

    /// Whether all backend servers were found full for requests of this one's priority.
    pub(crate) fn full(&self, item: &WorkItem) -> Option<FullLook> {
        // What was tried elsewhere has fewer backend servers to go to, and is looked at by itself.
        let is_usual = item.tried.is_empty();
        self.full[rank(item.route.priority)].filter(|_| is_usual)
    }

    /// Notes that all backend servers are full for requests of this one's priority.
    pub(crate) fn note_full(&mut self, item: &WorkItem, full: FullLook) {
        if item.tried.is_empty() {
            self.full[rank(item.route.priority)] = Some(full);
        }
    }

    /// The milliseconds that a request takes of a backend server that holds the shared parts of its
    /// prompt.
    pub(crate) fn own_ms(&self, item: &WorkItem) -> f64 {
        let Some(prompt) = &item.prompt else { return self.plain_ms };
        let shared: u32 = prompt.shared_parts().iter().map(|part| part.tokens).sum();
        f64::from(prompt.prompt_tokens.saturating_sub(shared)) * self.token_ms
    }

    /// Puts a request among those that stay in the queue.
    pub(crate) fn queue(&mut self, item: &WorkItem) {
        self.queued_ms += self.own_ms(item) * self.queues_per_backend;
    }

    /// The milliseconds of work that waits before the next request.
    pub(crate) fn queued_ms(&self) -> f64 {
        self.queued_ms
    }
}
