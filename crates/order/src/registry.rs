//! The orders of a dispatcher by id, so that a resend is not carried out again.

use {
    crate::{EngineOrder, OrderError, OrderOutcome},
    futures::{
        channel::oneshot::{Receiver, Sender, channel},
        future::{FutureExt, Shared},
    },
    gullglade_units::ChangeId,
    std::collections::{BTreeMap, VecDeque},
};

/// Result of an order.
pub(crate) type OrderResult = Result<OrderOutcome, OrderError>;

struct RegistryEntry {
    order: EngineOrder,
    result: Shared<Receiver<OrderResult>>,
}

/// Result of registering an order.
pub(crate) enum Registration {
    /// The order is new. The caller carries it out and reports the result to the sender.
    New(Sender<OrderResult>, Shared<Receiver<OrderResult>>),
    /// The order is in progress or done.
    Known(Shared<Receiver<OrderResult>>),
}

/// Orders by id. The number of completed orders is bounded.
pub(crate) struct OrderRegistry {
    entries: BTreeMap<ChangeId, RegistryEntry>,
    done: VecDeque<ChangeId>,
    outcome_limit: usize,
}

impl OrderRegistry {
    pub(crate) fn new(outcome_limit: usize) -> Self {
        Self { entries: BTreeMap::new(), done: VecDeque::new(), outcome_limit }
    }

    /// Registers an order. Fails if the id was used for a different order.
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

    /// Marks an order as completed. A failed order is removed, so that a resend tries again.
    pub(crate) fn complete(&mut self, id: &ChangeId, succeeded: bool) {
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
