//! Query parameters of the operator port's event endpoint.

use {
    gullglade_units::{HybridStamp, StampError},
    snafu::{ResultExt, Snafu},
};

/// Maximum number of events per page; keeps a page below a few megabytes.
const MAX_PAGE_EVENTS: usize = 10_000;

/// Error in the query parameters of an event request.
#[derive(Debug, Snafu)]
pub enum QueryError {
    /// The endpoint has no such parameter.
    #[snafu(display("unknown parameter {name:?}; events take since=STAMP and limit=NUMBER"))]
    Unknown {
        /// The parameter as given in the query.
        name: String,
    },
    /// `since` is not a valid stamp.
    #[snafu(display("since: {source}"))]
    BadSince {
        /// The parse error.
        source: StampError,
    },
    /// `limit` is not a valid number.
    #[snafu(display("limit: {source}; give 1 to {MAX_PAGE_EVENTS}"))]
    BadLimit {
        /// The parse error.
        source: std::num::ParseIntError,
    },
}

/// The range of events to return: `since=STAMP&limit=NUMBER`, both optional.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventQuery {
    /// Exclusive lower bound on the events' stamps.
    pub since: Option<HybridStamp>,
    /// Maximum number of events to return.
    pub limit: usize,
}

impl TryFrom<Option<&str>> for EventQuery {
    type Error = QueryError;

    /// Parses the query part of a URI. A limit outside the allowed range is clamped.
    fn try_from(query: Option<&str>) -> Result<Self, QueryError> {
        let mut parsed = Self { since: None, limit: MAX_PAGE_EVENTS };
        for pair in query.unwrap_or_default().split('&').filter(|pair| !pair.is_empty()) {
            match pair.split_once('=') {
                Some(("since", stamp)) => {
                    parsed.since = Some(stamp.parse().context(BadSinceSnafu)?);
                }
                Some(("limit", limit)) => {
                    let limit: usize = limit.parse().context(BadLimitSnafu)?;
                    parsed.limit = limit.clamp(1, MAX_PAGE_EVENTS);
                }
                _ => return UnknownSnafu { name: pair }.fail(),
            }
        }
        Ok(parsed)
    }
}
