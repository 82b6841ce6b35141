//! Limits of the listeners of a process.

use {gullglade_http::RequestLimits, gullglade_traffic::CallerLimits, std::time::Duration};

/// Bytes of a request's first line, which the configured limit on its headers does not include.
const REQUEST_LINE_BYTES: usize = 4 << 10;

/// Shortest times that a configuration can set; a shorter one would refuse every request.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the limits on requests that a configuration asks for.
pub(crate) fn request_limits(limits: CallerLimits) -> RequestLimits {
    RequestLimits {
        head_bytes: limits.head_bytes.saturating_add(REQUEST_LINE_BYTES),
        body_bytes: limits.body_bytes,
        head_timeout: limits.head_timeout.max(MIN_TIMEOUT),
        idle_timeout: limits.idle_timeout.max(MIN_TIMEOUT),
    }
}
