//! Where and when a reply arrived, for logs.

use {http::response::Parts, std::time::Duration};

/// Extension of the head of a reply that came over a connection: which one, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeTrace {
    /// Number of the connection, unique within its client.
    pub connection: u64,
    /// Number of requests that the connection had carried before this one.
    pub carried: u32,
    /// Age of the connection when the request was sent.
    pub connection_age: Duration,
    /// Bytes of the request that the operating system had taken when the reply came.
    pub written: u64,
    /// Time from sending the request to the head of the reply.
    pub reply_after: Duration,
}

impl ExchangeTrace {
    /// Returns true if the reply with this head came on a connection that had carried other
    /// requests. It may then be a late reply to one of them, unless its id says otherwise.
    pub fn has_earlier_requests(head: &Parts) -> bool {
        head.extensions.get::<Self>().is_some_and(|trace| trace.carried > 0)
    }
}
