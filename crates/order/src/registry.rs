//! The orders of a desk by id, so that a resend does nothing twice.

use {
    crate::{EngineOrder, OrderError, OrderOutcome},
    futures::{
        channel::oneshot::{Receiver, Sender, channel},
        future::{FutureExt, Shared},
    },
    gullglade_units::ChangeId,
    std::collections::{BTreeMap, VecDeque},
};

/// What became of an order.
pub(crate) type OrderResult = Result<OrderOutcome, OrderError>;

struct RegistryEntry {
    order: EngineOrder,
    result: Shared<Receiver<OrderResult>>,
}

/// What to do with an order that was asked for.
pub(crate) enum Registration {
    /// It is new: carry it out and report to the sender.
    New(Sender<OrderResult>, Shared<Receiver<OrderResult>>),
    /// It is under way or done.
    Known(Shared<Receiver<OrderResult>>),
}

/// Orders by id, a bounded number of those that are done.
pub(crate) struct OrderRegistry {
    entries: BTreeMap<ChangeId, RegistryEntry>,
    done: VecDeque<ChangeId>,
    outcome_limit: usize,
}

impl OrderRegistry {
    pub(crate) fn new(outcome_limit: usize) -> Self {
        Self { entries: BTreeMap::new(), done: VecDeque::new(), outcome_limit }
    }

    /// Enters an order; refuses another order under a known id.
    pub(crate) fn register(&mut self, order: &EngineOrder) -> Result<Registration, OrderError> {
        if let Some(entry) = self.entries.get(&order.id) {
            let same = entry.order.action == order.action
                && entry.order.target.backend == order.target.backend;
            return match same {
                true => Ok(Registration::Known(entry.result.clone())),
                false => Err(OrderError::IdReused { id: order.id.clone() }),
            };
        }
        let (sender, receiver) = channel();
        let result = receiver.shared();
        let entry = RegistryEntry { order: order.clone(), result: result.clone() };
        self.entries.insert(order.id.clone(), entry);
        Ok(Registration::New(sender, result))
    }

    /// Notes the end of an order. A failed one is forgotten, so that a resend tries again.
    pub(crate) fn end(&mut self, id: &ChangeId, succeeded: bool) {
        if !succeeded {
            self.entries.remove(id);
            return;
        }
        self.done.push_back(id.clone());
        while self.done.len() > self.outcome_limit {
            let oldest = self.done.pop_front();
            oldest.and_then(|oldest| self.entries.remove(&oldest));
        }
    }
}
