//! The deadline for the first byte of an answer.
//!
//! The load pattern: at a peak the callers of a stream disconnect before its first event. A busy
//! gateway notices closed connections late, and its cancellations wait behind request bodies on
//! their links, so backend servers keep working for callers that have left. Since the gateway knows
//! how long callers wait for an event, it gives up shortly before and returns an error while they
//! still listen.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// The gateway gives up this long before the caller leaves. It covers the time that a cancellation
/// takes on busy processors and links.
const CANCEL_MARGIN: Duration = Duration::from_millis(800);

/// The margin is at most the wait of the caller divided by this.
const MARGIN_DIVISOR: u32 = 6;

/// Returns when the answer to a request has to begin that has to end by `deadline`.
/// `event_timeout` is the time for which the caller waits for an event of a stream.
pub fn deadline_for_first_byte(
    arrived: MonotonicTime,
    deadline: MonotonicTime,
    event_timeout: Option<Duration>,
) -> MonotonicTime {
    let Some(event_timeout) = event_timeout else { return deadline };
    let margin = CANCEL_MARGIN.min(event_timeout / MARGIN_DIVISOR);
    deadline.min(arrived + (event_timeout - margin))
}
