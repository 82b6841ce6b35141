//! How much slower a large region takes everything that need not be at once.
//!
//! What a gateway sends grows with the gateways and backend servers of its region, its budget does
//! not. Renewals, batches and the limits on silence are stretched with the region; what is urgent
//! (`leaving`, gateways that come or go, the watch over them) is not.

use std::{cell::Cell, time::Duration};

/// Up to this many gateways nothing is stretched.
const UNSCALED_GATEWAYS: f64 = 24.0;

/// The most that durations are stretched.
const MAX_SCALE: f64 = 2.0;

/// The factor of one region, shared by all parts of a gateway.
#[derive(Debug)]
pub(crate) struct IntervalScale(Cell<f64>);

impl Default for IntervalScale {
    fn default() -> Self {
        Self(Cell::new(1.0))
    }
}

impl IntervalScale {
    /// Sets the factor for a region of so many gateways.
    pub(crate) fn set_gateway_count(&self, count: usize) {
        self.0.set((count as f64 / UNSCALED_GATEWAYS).clamp(1.0, MAX_SCALE));
    }

    /// `duration` at this region's pace.
    pub(crate) fn scale(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.0.get())
    }
}
