//! Errors in a service document.

use snafu::Snafu;

/// The reason why a service document was rejected. Its message includes the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DocumentError {
    /// The text exceeds the maximum size of a document.
    #[snafu(display("the document has {length} bytes; shorten it to {limit} or fewer"))]
    TooLong {
        /// Size of the text, in bytes.
        length: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The text does not parse, or a key is unknown, or a value has the wrong type.
    #[snafu(display("line {line}: {reason}; `examples/` shows every key with its type"))]
    Syntax {
        /// Line number in the text, starting at 1.
        line: usize,
        /// Message of the parser.
        reason: String,
    },
    /// A value is out of range, duplicated, or inconsistent with another value.
    #[snafu(display("line {line}: {key}: {reason}; {remedy}"))]
    InvalidValue {
        /// Line number, starting at 1, of the first occurrence of the key or value.
        line: usize,
        /// Key of the invalid value.
        key: &'static str,
        /// Description of the problem.
        reason: String,
        /// Instruction for correcting the document.
        remedy: String,
    },
}
