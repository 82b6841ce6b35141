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

/// All backend servers are full for a priority.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FullLook {
    /// The least time until a first byte, milliseconds, without the request's own reading or work.
    pub(crate) wait_ms: f64,
    /// When to look again.
    pub(crate) again: MonotonicTime,
    /// The first end of a back-off, where this gateway backs off from all of them.
    pub(crate) backoff_ends: Option<MonotonicTime>,
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
    /// A look at a service of backend servers with these loads and places, before which so many
    /// gateways have a queue.
    pub(crate) fn new<'a>(
        loads: impl Iterator<Item = (&'a BackendLoad, u32)>,
        queues: usize,
    ) -> Self {
        let (mut count, mut token_ms, mut plain_ms) = (0_usize, f64::MAX, f64::MAX);
        for (load, slots) in loads {
            count += 1;
            token_ms = token_ms.min(load.read_ms(1));
            plain_ms = plain_ms.min(load.cost_ms(WorkCost { tokens: None, slots }));
        }
        if count == 0 {
            return Self::default();
        }
        let queues_per_backend = queues as f64 / count as f64;
        Self { token_ms, plain_ms, queues_per_backend, ..Self::default() }
    }

    /// Whether all backend servers were found full for requests of this one's priority.
    pub(crate) fn full(&self, item: &WorkItem) -> Option<FullLook> {
        // What was tried elsewhere has fewer backend servers to go to, and is looked at by itself.
        let is_usual = item.may_go_anywhere();
        self.full[rank(item.priority())].filter(|_| is_usual)
    }

    /// Notes that all backend servers are full for requests of this one's priority.
    pub(crate) fn note_full(&mut self, item: &WorkItem, full: FullLook) {
        if item.may_go_anywhere() {
            self.full[rank(item.priority())] = Some(full);
        }
    }

    /// The milliseconds that a request takes of a backend server that holds the shared parts of its
    /// prompt.
    pub(crate) fn own_ms(&self, item: &WorkItem) -> f64 {
        let Some(prompt) = &item.prompt else { return self.plain_ms };
        f64::from(prompt.own_tokens()) * self.token_ms
    }

    /// The same of one that holds nothing of its prompt.
    pub(crate) fn whole_ms(&self, item: &WorkItem) -> f64 {
        let Some(prompt) = &item.prompt else { return self.plain_ms };
        f64::from(prompt.prompt_tokens) * self.token_ms
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
