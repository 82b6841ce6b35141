//! The one binary codec of the system: bincode's standard configuration through serde, used for
//! messages between processes and for records on disk.

use {
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
};

/// The most bytes one decoded value may ask to allocate; guards against a corrupt length that
/// would otherwise reserve all memory before the missing bytes are noticed.
const DECODE_LIMIT: usize = 64 << 20;

/// Why bytes are not a value.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The bytes do not decode.
    #[snafu(display(
        "{length} bytes do not decode as {kind}: {reason}; are both ends the same version?"
    ))]
    Malformed {
        /// The type that was expected.
        kind: &'static str,
        /// How many bytes there were.
        length: usize,
        /// The decoder's words.
        reason: String,
    },
    /// Bytes are left over.
    #[snafu(display("{extra} bytes follow a {kind}; are both ends the same version?"))]
    Trailing {
        /// The type that was expected.
        kind: &'static str,
        /// How many bytes are left.
        extra: usize,
    },
}

/// The bytes of `value`.
///
/// # Panics
/// Never for the system's own types: bincode fails only on sequences of unknown length.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("the system's own types encode: sequences have known lengths")
}

/// The value whose bytes these are, all of them.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let kind = std::any::type_name::<T>();
    let config = bincode::config::standard().with_limit::<DECODE_LIMIT>();
    let (value, used) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|e| CodecError::Malformed { kind, length: bytes.len(), reason: e.to_string() })?;
    match bytes.len() - used {
        0 => Ok(value),
        extra => Err(CodecError::Trailing { kind, extra }),
    }
}
