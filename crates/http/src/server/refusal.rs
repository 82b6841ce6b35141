//! What callers are told whose connection or head is refused before a handler sees it.

use {
    super::connection_table::LimitReached, crate::ApiError, http::StatusCode, std::time::Duration,
};

/// When a refused connection may be tried again.
const REFUSAL_RETRY: Duration = Duration::from_secs(1);

/// A head that does not end within its limit.
pub(super) fn head_too_large(limit: usize) -> ApiError {
    ApiError::new(
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        "head_too_large",
        format!("the request's head has more than {limit} bytes; send fewer or shorter headers"),
    )
}

/// Empty lines without end before a head.
pub(super) fn empty_lines(limit: usize) -> ApiError {
    ApiError::new(
        StatusCode::BAD_REQUEST,
        "head_malformed",
        format!("over {limit} bytes of empty lines came before a head; send none"),
    )
}

/// A head that did not end in time.
pub(super) fn head_timeout(limit: Duration) -> ApiError {
    ApiError::new(
        StatusCode::REQUEST_TIMEOUT,
        "head_timeout",
        format!("the request's head did not arrive within {limit:?}; send it without pauses"),
    )
}

/// A head that was incomplete when the server was told to stop.
pub(super) fn stopping() -> ApiError {
    ApiError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "stopping",
        "this VM is shutting down; send the request to another one, see GET /v1/entry",
    )
}

/// A connection over a limit.
pub(super) fn too_many_connections(reached: LimitReached) -> ApiError {
    let message = match reached {
        LimitReached::Total => {
            "this VM has all the connections it takes; use another one, see GET /v1/entry"
        }
        LimitReached::PerAddress => {
            "your address has all the connections it may open here; reuse them, or close some"
        }
    };
    ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "too_many_connections", message)
        .retry_after(REFUSAL_RETRY)
}
