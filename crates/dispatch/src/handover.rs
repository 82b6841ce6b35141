//! Timing of the handover from a silent run to the one that replaces it.
//!
//! The load pattern: in overload, or while a link fails, a replacement may be refused or lost just
//! after the old run was cancelled, which leaves the request without a run. So the old run is kept
//! for a short time after the new one was sent. The overlap is short because two concurrent runs
//! take twice the capacity.

use std::time::Duration;

/// The overlap within this region. A backend server that rejects the request, or is down, is
/// noticed within this time.
const LOCAL_OVERLAP: Duration = Duration::from_millis(100);

/// Allowance for messages and their answers beyond the measured delay.
const MESSAGE_MARGIN: Duration = Duration::from_millis(50);

/// The least timeout of the message that the old run has ended. The answer may be slow, since a
/// call that is given up is cancelled at the other end.
const MIN_COMMIT_TIMEOUT: Duration = Duration::from_millis(400);

/// Cancellation is assumed to take up to this multiple of its measured delay.
const CANCEL_FACTOR: u32 = 2;

/// The usual limit of the expected time for which both runs exist.
const MAX_CONCURRENT: Duration = Duration::from_millis(250);

/// The number of probes that a gateway of another region has to answer before the old run is ended,
/// with the limit of the expected time for which both runs exist. A second answer shows that the
/// link has not failed since the new run began; long links leave no time for it.
const PROBES: [(u32, Duration); 2] = [(2, MAX_CONCURRENT), (1, Duration::from_millis(350))];

/// Measured one-way delays to the two runs. Zero if the run is in this region.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandoverDelays {
    /// Time until the old run ends after it was cancelled.
    pub cancel: Duration,
    /// Time until the new run begins after it was sent.
    pub begin: Duration,
}

/// The timing parameters of a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverTimes {
    /// The longest time for which the old run is kept after the new one was sent.
    pub overlap: Duration,
    /// The time for which the old run is kept after the new one is known to have begun. A rejection
    /// arrives within it.
    pub grace: Duration,
    /// The number of probes that the gateway of the new run has to answer during the overlap.
    pub probes: u32,
    /// The timeout of each probe.
    pub probe_timeout: Duration,
    /// The timeout of the message that the old run has ended.
    pub commit_timeout: Duration,
    /// The time for which a new run in another region continues without that message.
    pub lease: Duration,
}

impl HandoverDelays {
    /// Returns the timing parameters, or `None` if the delays are so long that the old run has to
    /// end before the new one is sent.
    pub fn times(&self) -> Option<HandoverTimes> {
        if self.begin.is_zero() {
            return self.times_with(0, LOCAL_OVERLAP, MAX_CONCURRENT);
        }
        PROBES.into_iter().find_map(|(probes, max_concurrent)| {
            self.times_with(probes, self.begin * 2 * probes + MESSAGE_MARGIN, max_concurrent)
        })
    }

    /// Returns the timing parameters for this overlap, if both runs exist for at most
    /// `max_concurrent`.
    fn times_with(
        &self,
        probes: u32,
        overlap: Duration,
        max_concurrent: Duration,
    ) -> Option<HandoverTimes> {
        let concurrent = overlap.saturating_sub(self.begin) + self.cancel * CANCEL_FACTOR;
        let probe_timeout = self.begin * 2 + MESSAGE_MARGIN;
        let commit_timeout = probe_timeout.max(MIN_COMMIT_TIMEOUT);
        (concurrent <= max_concurrent).then_some(HandoverTimes {
            overlap,
            grace: MESSAGE_MARGIN,
            probes,
            probe_timeout,
            commit_timeout,
            // Covers a message that the old run has ended which arrives late or is lost once.
            lease: overlap + commit_timeout + probe_timeout,
        })
    }
}
