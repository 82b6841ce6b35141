//! Bounds the lines of each kind of event.
//!
//! Under load or in an outage every request may be worth a line, and writing them would take the
//! processor time that the requests need. Each kind of event has a rate of its own, so a flood of
//! one kind hides no other; what was left out is told in a line.

use {
    crate::{EventDraft, EventSink},
    gullglade_units::{Clock, MonotonicTime},
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

/// Lines of one kind at once. Enough for each member of a large deployment to appear once.
const BURST: f64 = 200.0;

/// Lines of one kind a second after that. At 10 us a line, 0.05% of a core for each kind.
const RATE: f64 = 50.0;

/// How often what was left out is told.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

struct KindBudget {
    tokens: f64,
    refilled: MonotonicTime,
    left_out: u64,
    told: MonotonicTime,
}

/// Passes events on, within a rate for each kind.
pub struct ThrottledSink {
    target: Rc<dyn EventSink>,
    clock: Rc<dyn Clock>,
    budgets: RefCell<HashMap<&'static str, KindBudget>>,
}

impl ThrottledSink {
    /// A sink that passes events on to `target`.
    pub fn new(target: Rc<dyn EventSink>, clock: Rc<dyn Clock>) -> Self {
        Self { target, clock, budgets: RefCell::default() }
    }

    /// Whether one more event of `kind` may pass, and how many were left out before it, where it
    /// is time to tell.
    fn take(&self, kind: &'static str) -> (bool, Option<u64>) {
        let now = self.clock.now();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(kind).or_insert(KindBudget {
            tokens: BURST,
            refilled: now,
            left_out: 0,
            told: now,
        });
        let passed = now.since(budget.refilled).as_secs_f64();
        budget.refilled = now;
        budget.tokens = (budget.tokens + passed * RATE).min(BURST);
        let has_room = budget.tokens >= 1.0;
        match has_room {
            true => budget.tokens -= 1.0,
            false => budget.left_out += 1,
        }
        let is_due = budget.left_out > 0 && now.since(budget.told) >= TELL_INTERVAL;
        if !is_due {
            return (has_room, None);
        }
        budget.told = now;
        (has_room, Some(std::mem::take(&mut budget.left_out)))
    }
}

impl EventSink for ThrottledSink {
    fn emit(&self, event: EventDraft) {
        let (has_room, left_out) = self.take(event.kind());
        if let Some(count) = left_out {
            let summary = EventDraft::new("log.throttled").field("of", event.kind());
            self.target.emit(summary.field("lines", count));
        }
        if has_room {
            self.target.emit(event);
        }
    }
}
