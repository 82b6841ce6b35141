//! A caller's request as it passes through.

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

/// The most bytes of a caller's request id.
const MAX_ID_BYTES: usize = 128;

/// Why a text is not a request id.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "the request id must have 1 to {MAX_ID_BYTES} letters, digits, '-', '_', '.' or ':'; it has \
     {length} bytes"
))]
pub struct CallerRequestIdError {
    length: usize,
}

/// The id that a caller gave its request, the same at every hop. Checked, so that it may stand in
/// a log line.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallerRequestId(Rc<str>);

impl CallerRequestId {
    /// The id as text.
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

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The caller's id for it.
    pub id: CallerRequestId,
    /// The hash of the caller's key, where it sent one. The key itself is in no header.
    pub key: Option<TokenHash>,
    /// Its method.
    pub method: Method,
    /// The host that the caller named.
    pub host: String,
    /// Path and query, as sent.
    pub target: String,
    /// All headers that do not concern the connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// How long the caller waits; `None` where it does not say.
    pub caller_timeout: Option<Duration>,
    /// Its prompt, where it has one.
    pub prompt: Option<PromptShape>,
    /// The last event that the caller has of an earlier answer.
    pub resume_after: Option<u64>,
}

impl CallerRequest {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }
}
