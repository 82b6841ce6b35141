//! Totals of the other rows of the region, as received from their relays while this gateway is a
//! region reporter.

use {
    crate::{
        RelayPlan, TotalsDelta,
        interval_scale::IntervalScale,
        past_instant::PastInstant,
        summary::{TotalsMap, add_totals},
    },
    gullglade_units::{Clock, VmName},
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
};

/// Time after which totals that were not refreshed are dropped.
const VALID_FOR: Duration = Duration::from_secs(8);

pub(crate) struct RowTotals {
    clock: Rc<dyn Clock>,
    interval_scale: Rc<IntervalScale>,
    /// Keyed by the number of rows and the row, because the row assignment changes with the number
    /// of rows.
    rows: RefCell<BTreeMap<(u64, u64), (PastInstant, TotalsMap)>>,
}

impl RowTotals {
    pub(crate) fn new(clock: Rc<dyn Clock>, interval_scale: Rc<IntervalScale>) -> Self {
        Self { clock, interval_scale, rows: RefCell::default() }
    }

    /// Applies the totals that `from` sent for its row.
    pub(crate) fn apply(&self, plan: &RelayPlan, from: &VmName, delta: &TotalsDelta) {
        if plan.row_peers.contains(from) {
            return;
        }
        let Some(row) = plan.row_of(from) else { return };
        let key = (plan.row_count(), row);
        let heard_at = PastInstant::new(self.clock.now(), Duration::ZERO);
        let mut rows = self.rows.borrow_mut();
        let (time, totals) = rows.entry(key).or_insert_with(|| (heard_at, TotalsMap::new()));
        *time = heard_at;
        delta.apply(totals);
    }

    /// Returns the sum over the other rows of `plan`.
    pub(crate) fn sum(&self, plan: &RelayPlan) -> TotalsMap {
        let (now, valid_for) = (self.clock.now(), self.interval_scale.scale(VALID_FOR));
        let mut rows = self.rows.borrow_mut();
        rows.retain(|(count, _), (heard_at, _)| {
            *count == plan.row_count() && heard_at.age(now) < valid_for
        });
        let mut sum = TotalsMap::new();
        rows.values().for_each(|(_, totals)| add_totals(&mut sum, totals));
        sum
    }
}
