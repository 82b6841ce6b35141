//! Why a text is not an acceptable service document.

use snafu::Snafu;

/// A refusal: where, why, and what to do about it.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DocumentError {
    /// The text is longer than a document may be.
    #[snafu(display("the document has {length} bytes; shorten it to {limit} or fewer"))]
    TooLong {
        /// Bytes given.
        length: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// The text does not parse, or a key is unknown, or a value has the wrong type.
    #[snafu(display("line {line}: {reason}; `examples/` shows every key with its type"))]
    Syntax {
        /// Line of the text, from 1.
        line: usize,
        /// The parser's words.
        reason: String,
    },
    /// The values do not go together.
    #[snafu(display("line {line}: {key}: {reason}; {remedy}"))]
    InvalidValue {
        /// Line of the text, from 1, where the key or value first stands.
        line: usize,
        /// The key at fault.
        key: &'static str,
        /// What is wrong.
        reason: String,
        /// What to write instead.
        remedy: String,
    },
}
