//! Scaling of intervals with the size of a region.
//!
//! The traffic of a gateway grows with the number of gateways and backend servers in its region,
//! but its budget does not. Renewal intervals, batch intervals and silence timeouts are therefore
//! scaled up in large regions. Urgent traffic is not scaled: `leaving` announcements, gateways that
//! join or leave, and the liveness checks between gateways.

use std::{cell::Cell, time::Duration};

/// Number of gateways up to which intervals are not scaled.
const UNSCALED_GATEWAYS: f64 = 24.0;

/// Upper bound on the scale factor.
const MAX_SCALE: f64 = 2.0;

/// Scale factor of a region, shared by all components of a gateway.
#[derive(Debug)]
pub(crate) struct IntervalScale(Cell<f64>);

impl Default for IntervalScale {
    fn default() -> Self {
        Self(Cell::new(1.0))
    }
}

impl IntervalScale {
    /// Sets the factor for a region of `count` gateways.
    pub(crate) fn set_gateway_count(&self, count: usize) {
        self.0.set((count as f64 / UNSCALED_GATEWAYS).clamp(1.0, MAX_SCALE));
    }

    /// Returns `duration` multiplied by the current factor.
    pub(crate) fn scale(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.0.get())
    }
}
