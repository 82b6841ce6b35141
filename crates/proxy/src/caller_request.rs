//! Callers' requests and their ids.

use {
    bytes::Bytes,
    gullglade_dispatch::PromptShape,
    gullglade_event::FieldValue,
    gullglade_units::TokenHash,
    http::{HeaderMap, Method},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, rc::Rc, time::Duration},
};

/// Longest request id that is accepted, in bytes.
const MAX_ID_BYTES: usize = 128;

/// The text is not a valid request id.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "the request id must have 1 to {MAX_ID_BYTES} letters, digits, '-', '_', '.' or ':'; it has \
     {length} bytes"
))]
pub struct CallerRequestIdError {
    length: usize,
}

/// Id that the caller assigned to its request, the same at every hop. Restricted to characters that
/// are safe in a log line.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallerRequestId(Rc<str>);

impl CallerRequestId {
    /// The id as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for CallerRequestId {
    type Error = CallerRequestIdError;

    fn try_from(text: &str) -> Result<Self, CallerRequestIdError> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
        let length = text.len();
        if (1..=MAX_ID_BYTES).contains(&length) && text.bytes().all(is_allowed) {
            return Ok(Self(Rc::from(text)));
        }
        Err(CallerRequestIdError { length })
    }
}

impl TryFrom<String> for CallerRequestId {
    type Error = CallerRequestIdError;

    fn try_from(text: String) -> Result<Self, CallerRequestIdError> {
        Self::try_from(text.as_str())
    }
}

impl From<CallerRequestId> for String {
    fn from(id: CallerRequestId) -> String {
        id.0.to_string()
    }
}

impl fmt::Display for CallerRequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FieldValue for CallerRequestId {}

/// A request from a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id assigned by the caller.
    pub id: CallerRequestId,
    /// Hash of the caller's key, if it sent one. The key itself is removed from the headers.
    pub key: Option<TokenHash>,
    /// Method.
    pub method: Method,
    /// Host named by the caller.
    pub host: String,
    /// Path and query, as received.
    pub target: String,
    /// All headers except those of the connection.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time for which the caller waits for the response; `None` if it did not state one.
    pub caller_timeout: Option<Duration>,
    /// Prompt, for requests to model engines.
    pub prompt: Option<PromptShape>,
    /// Id of the last event that the caller received of an earlier response.
    pub resume_after: Option<u64>,
}

impl CallerRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }
}
