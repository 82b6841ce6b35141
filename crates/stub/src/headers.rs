//! Headers between gateways and backend servers.

use http::HeaderMap;

/// The request's id, given by the gateway and echoed as the answer's id.
pub const REQUEST_HEADER: &str = "gullglade-request";

/// The first token to give, for a stream that is resumed.
pub const RESUME_HEADER: &str = "gullglade-resume-offset";

/// The urgency: a higher number is served first.
pub const PRIORITY_HEADER: &str = "gullglade-priority";

/// The load as JSON, on every reply of an engine.
pub const LOAD_HEADER: &str = "gullglade-load";

/// On an answer: the server finishes what it has and wants nothing new.
pub const LEAVING_HEADER: &str = "gullglade-leaving";

/// The key of a non-idempotent request.
pub const KEY_HEADER: &str = "idempotency-key";

/// The header's text, where it has one.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The header's number, zero where it is absent.
pub(crate) fn header_number<T: std::str::FromStr + Default>(
    headers: &HeaderMap,
    name: &str,
) -> Result<T, String> {
    let Some(text) = header_text(headers, name) else { return Ok(T::default()) };
    text.trim().parse().map_err(|_| format!("header {name} is {text:?}; give a whole number"))
}
