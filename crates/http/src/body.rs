//! Bodies of replies, and the errors that bodies of both directions end in.

use {
    crate::ApiError,
    bytes::Bytes,
    futures::Stream,
    http::StatusCode,
    serde::Serialize,
    snafu::Snafu,
    std::{fmt, pin::Pin, time::Duration},
};

/// When a body for which there was no memory may be sent again.
const NO_MEMORY_RETRY: Duration = Duration::from_secs(1);

/// A boxed stream of body pieces, of this thread.
pub type LocalStream = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>>>>;

/// Why a body did not arrive whole.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body has more bytes than allowed.
    #[snafu(display("the body has more than {limit} bytes; send less, or split the request"))]
    TooLarge {
        /// The most bytes allowed.
        limit: u64,
    },
    /// The framing of the body is broken.
    #[snafu(display("the body's framing is broken ({reason}); check the sender's HTTP library"))]
    Malformed {
        /// The parser's words.
        reason: String,
    },
    /// The sender paused too long.
    #[snafu(display(
        "no more of the body came within {limit:?}; send it without pauses, or send less"
    ))]
    Timeout {
        /// The time allowed.
        limit: Duration,
    },
    /// The connection ended before the body did.
    #[snafu(display("the connection ended before the body did ({reason}); send it again whole"))]
    Incomplete {
        /// What ended it.
        reason: String,
    },
    /// The bodies of all requests use the memory that they may have.
    #[snafu(display(
        "this VM has no memory left for the body; send it again later, or to another VM"
    ))]
    NoMemory,
    /// Whoever produces the body gave it up; the connection is broken off so that the receiver
    /// sees that it is not whole.
    #[snafu(display("the body was given up by its producer: {reason}"))]
    Aborted {
        /// Why.
        reason: String,
    },
}

impl BodyError {
    /// The kind for a failed read of a `hyper` body.
    pub(crate) fn from_hyper(error: &hyper::Error) -> Self {
        let reason = error_chain(error);
        match io_kind(error) {
            Some(std::io::ErrorKind::InvalidInput | std::io::ErrorKind::InvalidData) => {
                Self::Malformed { reason }
            }
            _ => Self::Incomplete { reason },
        }
    }
}

impl From<BodyError> for ApiError {
    /// The refusal of a request whose body did not arrive whole. It states `not-run`; a handler
    /// that began to send the body on must state otherwise.
    fn from(error: BodyError) -> Self {
        let (status, kind) = match &error {
            BodyError::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
            BodyError::Malformed { .. } => (StatusCode::BAD_REQUEST, "body_malformed"),
            BodyError::Timeout { .. } => (StatusCode::REQUEST_TIMEOUT, "body_timeout"),
            BodyError::Incomplete { .. } => (StatusCode::BAD_REQUEST, "body_incomplete"),
            BodyError::NoMemory => {
                return ApiError::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no_memory",
                    error.to_string(),
                )
                .retry_after(NO_MEMORY_RETRY);
            }
            BodyError::Aborted { .. } => (StatusCode::BAD_GATEWAY, "body_aborted"),
        };
        ApiError::new(status, kind, error.to_string())
    }
}

/// The error and its causes in one line.
pub(crate) fn error_chain(error: &(dyn std::error::Error + 'static)) -> String {
    let causes = std::iter::successors(Some(error), |e| e.source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ")
}

fn io_kind(error: &(dyn std::error::Error + 'static)) -> Option<std::io::ErrorKind> {
    std::iter::successors(Some(error), |e| e.source())
        .find_map(|e| e.downcast_ref::<std::io::Error>())
        .map(std::io::Error::kind)
}

/// The body of a reply.
pub enum ReplyBody {
    /// All bytes at once, sent with their length.
    Full(Bytes),
    /// Pieces as they come, each flushed at once.
    ///
    /// An `Err` item breaks the connection off before the end of the body, so that the receiver
    /// sees that the reply is not whole. The stream is dropped when the receiver hangs up: that
    /// is what cancels the work behind it.
    Stream(LocalStream),
}

impl ReplyBody {
    /// A body of these bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(bytes.into())
    }

    /// No bytes.
    pub fn empty() -> Self {
        Self::Full(Bytes::new())
    }

    /// A body of the stream's pieces.
    pub fn stream(stream: impl Stream<Item = Result<Bytes, BodyError>> + 'static) -> Self {
        Self::Stream(Box::pin(stream))
    }

    /// `value` as JSON.
    ///
    /// # Panics
    /// Where `value` has a map whose keys are not strings, which the system's own types never do.
    pub fn json<T: Serialize + ?Sized>(value: &T) -> Self {
        let text = serde_json::to_vec(value).expect("the system's own types serialize as JSON");
        Self::full(text)
    }
}

impl fmt::Debug for ReplyBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full(bytes) => write!(f, "ReplyBody::Full({} bytes)", bytes.len()),
            Self::Stream(_) => f.write_str("ReplyBody::Stream"),
        }
    }
}
