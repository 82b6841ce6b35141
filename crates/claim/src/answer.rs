//! Stored answers of requests that ran, returned byte for byte to resends.

use {
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    snafu::{Snafu, ensure},
};

/// Maximum number of headers in a stored answer.
pub const MAX_ANSWER_HEADERS: usize = 32;

/// An answer cannot be stored. The request ran regardless.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AnswerError {
    /// The answer exceeds the size limit.
    #[snafu(display(
        "the answer has {length} bytes, at most {limit} can be stored: a resend will be told that \
         the request ran, without its answer; raise the claim settings' answer limit"
    ))]
    TooLarge {
        /// Size of the answer in bytes, including headers.
        length: usize,
        /// Size limit in bytes.
        limit: usize,
    },
    /// The answer has more than [`MAX_ANSWER_HEADERS`] headers.
    #[snafu(display(
        "the answer has {count} headers, at most {MAX_ANSWER_HEADERS} can be stored: store only \
         those that describe its content"
    ))]
    TooManyHeaders {
        /// Number of headers.
        count: usize,
    },
}

/// A complete answer: the status, the headers that describe its content, and the body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    status: u16,
    headers: Vec<(String, Bytes)>,
    body: Bytes,
}

impl StoredAnswer {
    /// Creates an answer, or fails if it has too many headers or is larger than `limit` bytes,
    /// including headers.
    pub fn new(
        status: u16,
        headers: Vec<(String, Bytes)>,
        body: Bytes,
        limit: usize,
    ) -> Result<Self, AnswerError> {
        let count = headers.len();
        ensure!(count <= MAX_ANSWER_HEADERS, TooManyHeadersSnafu { count });
        let answer = Self { status, headers, body };
        let length = answer.size();
        ensure!(length <= limit, TooLargeSnafu { length, limit });
        Ok(answer)
    }

    /// The HTTP status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// The stored headers. Names are in lower case, as HTTP libraries return them.
    pub fn headers(&self) -> &[(String, Bytes)] {
        &self.headers
    }

    /// The complete body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Size of body and headers in bytes.
    pub fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}
