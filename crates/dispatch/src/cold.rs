//! The rate of sends to a backend server that is still cold, divided among gateways.
//!
//! The load pattern: a failure domain comes back after an outage, and all gateways send it the
//! work that waits. A cold backend server bears a few requests a second from all of them
//! together and crashes well above that. The gateways do not ask each other; each takes a fixed
//! part of the rate by its rank among the gateways that may send, so that the parts never add up
//! to more than the whole, as long as the gateways agree about who there is.

use {
    gullglade_units::{BackendName, MonotonicTime, VmName, rendezvous::score},
    std::time::Duration,
};

/// The span in which sends are counted: a second, and the time by which a gateway that stands
/// still may bring two sends closer together than they were decided.
const WINDOW: Duration = Duration::from_millis(1_350);

/// The part of the rate that is used. The rest covers gateways that do not yet know each other.
const USED_SHARE: f64 = 0.7;

/// Sends of this gateway to one cold backend server.
///
/// They are spaced evenly. A gateway that stands still between the decision and the write, as a
/// batch-scheduled process under load does for tenths of a second, would otherwise put the whole
/// of one window right before the whole of the next.
#[derive(Debug, Default)]
pub struct ColdGate {
    last: Option<MonotonicTime>,
}

impl ColdGate {
    /// How many sends in each window are this gateway's part.
    pub fn part(
        requests_per_second: f64,
        backend: &BackendName,
        own: &VmName,
        gateways: &[VmName],
    ) -> usize {
        let whole = (requests_per_second * USED_SHARE).floor().max(1.0) as usize;
        let count = gateways.len().max(1);
        // Every gateway ranks all of them alike, and in another order for each backend server.
        let score_of = |gateway: &VmName| score(backend.as_str(), gateway.as_str());
        let rank = gateways.iter().filter(|g| score_of(g) > score_of(own)).count();
        whole / count + usize::from(rank < whole % count)
    }

    /// When the next send fits into `part` of each window; `None` where no send ever does.
    pub fn next_send(&self, part: usize) -> Option<MonotonicTime> {
        let pace = WINDOW.checked_div(u32::try_from(part).unwrap_or(u32::MAX))?;
        Some(self.last.map_or(MonotonicTime::default(), |last| last + pace))
    }

    /// Notes a send.
    pub fn note(&mut self, now: MonotonicTime) {
        self.last = Some(now);
    }
}
