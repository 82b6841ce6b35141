//! Until when an answer has to begin.
//!
//! The load pattern: at a peak the callers of a stream leave before its first event. A busy gateway
//! reads their closed connections late, and what it cancels then waits behind request bodies in its
//! link, so backend servers work on for callers that have left. The gateway knows how long they
//! wait, gives up a moment earlier, and says so while they still listen.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// A gateway gives up so long before a caller leaves: the time that a cancellation may take on its
/// way through busy processors and links.
const CANCEL_MARGIN: Duration = Duration::from_millis(800);

/// The margin is this part of the caller's patience at most.
const LARGEST_PART: u32 = 6;

/// When the answer to a request has to begin, which is to end by `ends`. `event_patience`: how long
/// its caller waits for an event of a stream.
pub fn deadline_for_first_byte(
    arrived: MonotonicTime,
    ends: MonotonicTime,
    event_patience: Option<Duration>,
) -> MonotonicTime {
    let Some(patience) = event_patience else { return ends };
    let margin = CANCEL_MARGIN.min(patience / LARGEST_PART);
    ends.min(arrived + (patience - margin))
}
