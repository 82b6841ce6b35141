//! Error replies to callers, each with a stable code and a remedy.

use {
    gullglade_http::{ApiError, RunState},
    http::StatusCode,
    std::{fmt::Display, time::Duration},
};

/// Retry delay if no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(crate) fn bad_body(reason: &dyn Display) -> ApiError {
    ApiError::new(
        StatusCode::BAD_REQUEST,
        "invalid_body",
        format!(
            "the body is not a completion request: {reason}; send JSON with `model` and `messages` or `prompt`"
        ),
    )
}

pub(crate) fn no_token() -> ApiError {
    ApiError::new(
        StatusCode::UNAUTHORIZED,
        "invalid_api_key",
        "send the workspace's token as `authorization: Bearer ...`",
    )
}

pub(crate) fn unknown_token() -> ApiError {
    ApiError::new(
        StatusCode::UNAUTHORIZED,
        "invalid_api_key",
        "the token is not one that a service lists; ask the team that owns the service",
    )
}

/// Returns the same error for a target that does not exist and one that the token does not allow,
/// so that nothing about other workspaces leaks.
pub(crate) fn not_allowed(target: &dyn Display) -> ApiError {
    ApiError::new(
        StatusCode::FORBIDDEN,
        "not_allowed",
        format!("this token does not allow {target}; GET /v1/models lists what it allows"),
    )
}

pub(crate) fn not_found(path: &str) -> ApiError {
    ApiError::new(
        StatusCode::NOT_FOUND,
        "not_found",
        format!("nothing is served at {path}; see docs/operators/callers.md for the paths"),
    )
}

pub(crate) fn no_configuration() -> ApiError {
    ApiError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_configuration",
        "this gateway has no configuration yet; use another gateway or retry later",
    )
    .retry_after(DEFAULT_RETRY_AFTER)
}

pub(crate) fn no_memory() -> ApiError {
    ApiError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_memory",
        "this gateway has no memory left for request bodies; use another gateway or retry later",
    )
    .retry_after(DEFAULT_RETRY_AFTER)
}

pub(crate) fn draining() -> ApiError {
    ApiError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "draining",
        "this gateway is shutting down; find another one with GET /v1/entry",
    )
    .retry_after(DEFAULT_RETRY_AFTER)
}

pub(crate) fn no_capacity(reason: &dyn Display, retry_after: Duration) -> ApiError {
    ApiError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_capacity",
        format!("the request was not run: {reason}; send it again after the time in retry-after"),
    )
    .retry_after(retry_after)
}

pub(crate) fn too_large(limit: usize) -> ApiError {
    ApiError::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        format!("the body is larger than the service's {limit} bytes; shorten it"),
    )
}

pub(crate) fn bad_header(name: &str, reason: &dyn Display) -> ApiError {
    ApiError::new(StatusCode::BAD_REQUEST, "invalid_header", format!("{name}: {reason}"))
}

/// Error for a request that a backend server may have run and whose answer is lost.
pub(crate) fn outcome_unknown(repeatable: bool) -> ApiError {
    let remedy = if repeatable {
        "the request is idempotent and may be sent again"
    } else {
        "check with the service if it ran before sending it with a new key"
    };
    ApiError::new(
        StatusCode::BAD_GATEWAY,
        "outcome_unknown",
        format!(
            "the connection to the backend server was lost before the answer was complete; {remedy}"
        ),
    )
    .run(RunState::Unknown)
}
