//! Tracking of requests that this gateway has dispatched to a backend server.
//!
//! A load report is delayed by its transmission. It does not include requests that this gateway
//! dispatched after the report was written, and still includes those that have ended since. This
//! gateway knows both exactly and corrects the report. Without the correction, every gateway would
//! keep sending requests to an engine that reported idle until its next report.

use {
    crate::LoadReport,
    gullglade_units::{Clock, MonotonicTime},
    std::{
        cell::RefCell,
        collections::{BTreeMap, VecDeque},
        rc::Rc,
    },
};

/// Maximum number of ended dispatches retained. Older ones are already reflected in any report that
/// is still valid.
const ENDED_LIMIT: usize = 1_024;

/// Requests dispatched by this gateway to one backend server.
///
/// The routing decision reads the load of every candidate for every request, so the load is
/// maintained as running sums: iterating over the dispatches took 6 % of the CPU time of a gateway
/// that sent 7,000 requests/s to one engine.
#[derive(Debug, Default)]
pub(crate) struct DispatchTracker {
    next_id: u64,
    open: BTreeMap<u64, OpenDispatch>,
    ended: VecDeque<EndedDispatch>,
    load: OwnLoad,
}

#[derive(Clone, Copy, Debug)]
struct OpenDispatch {
    started: MonotonicTime,
    prefill_tokens: u64,
    prefill_done: Option<MonotonicTime>,
}

#[derive(Debug)]
struct EndedDispatch {
    dispatch: OpenDispatch,
    ended: MonotonicTime,
}

/// Requests of this gateway at one backend server, now and at the time of the last load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnLoad {
    /// Requests of this gateway in progress.
    pub active: u32,
    /// Requests of this gateway that are included in the last report.
    pub active_at_report: u32,
    /// Prompt tokens of this gateway's requests that have not produced a first token.
    pub prefill_tokens: u64,
    /// Value of `prefill_tokens` at the time of the last report.
    pub prefill_tokens_at_report: u64,
}

impl OwnLoad {
    /// Estimates the number of requests running or waiting at the backend server now.
    pub fn requests(&self, load: &LoadReport) -> u32 {
        let reported = load.running.saturating_add(load.waiting);
        reported.saturating_sub(self.active_at_report).saturating_add(self.active)
    }

    /// Estimates the number of prompt tokens queued for prefill at the backend server now. The
    /// prefill progress of other gateways' requests since the report is unknown and not included.
    pub fn queued_prefill_tokens(&self, load: &LoadReport) -> u64 {
        let others = load.queued_prefill_tokens.saturating_sub(self.prefill_tokens_at_report);
        others.saturating_add(self.prefill_tokens)
    }
}

impl OpenDispatch {
    fn is_prefilling_at(&self, time: MonotonicTime) -> bool {
        self.prefill_done.is_none_or(|done| done > time)
    }
}

impl DispatchTracker {
    pub(crate) fn start(&mut self, now: MonotonicTime, prefill_tokens: u64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.open.insert(id, OpenDispatch { started: now, prefill_tokens, prefill_done: None });
        self.load.active += 1;
        self.load.prefill_tokens += prefill_tokens;
        id
    }

    fn first_token(&mut self, id: u64, now: MonotonicTime) {
        let Some(dispatch) = self.open.get_mut(&id) else { return };
        if dispatch.prefill_done.is_none() {
            dispatch.prefill_done = Some(now);
            self.load.prefill_tokens -= dispatch.prefill_tokens;
        }
    }

    fn end(&mut self, id: u64, now: MonotonicTime) {
        let Some(dispatch) = self.open.remove(&id) else { return };
        self.load.active -= 1;
        if dispatch.prefill_done.is_none() {
            self.load.prefill_tokens -= dispatch.prefill_tokens;
        }
        if self.ended.len() == ENDED_LIMIT {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedDispatch { dispatch, ended: now });
    }

    /// Applies a load report written at `reported`: computes the share of this gateway's requests
    /// in the report, which is valid until the next one, and drops the dispatches that ended before
    /// it.
    pub(crate) fn apply_report(&mut self, reported: MonotonicTime) {
        while self.ended.front().is_some_and(|d| d.ended <= reported) {
            self.ended.pop_front();
        }
        let ended = self.ended.iter().map(|d| &d.dispatch);
        let counted = self.open.values().chain(ended).filter(|d| d.started <= reported);
        let (mut active, mut prefill_tokens) = (0, 0);
        for dispatch in counted {
            active += 1;
            prefill_tokens +=
                if dispatch.is_prefilling_at(reported) { dispatch.prefill_tokens } else { 0 };
        }
        self.load.active_at_report = active;
        self.load.prefill_tokens_at_report = prefill_tokens;
    }

    /// Returns the load of this gateway's requests, now and at the time of the last report.
    pub(crate) fn own_load(&self) -> OwnLoad {
        self.load
    }
}

/// A request in progress at a backend server. Dropping the guard records the end of the request.
#[must_use = "dropping the guard records the end of the request"]
pub struct DispatchGuard {
    pub(crate) tracker: Rc<RefCell<DispatchTracker>>,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) id: u64,
}

impl DispatchGuard {
    /// Records that the backend server has prefilled the prompt and produced the first token.
    pub fn first_token(&self) {
        self.tracker.borrow_mut().first_token(self.id, self.clock.now());
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        self.tracker.borrow_mut().end(self.id, self.clock.now());
    }
}
