//! What makes two requests the same one.

use {
    gullglade_event::FieldValue,
    highway::{HighwayHash, HighwayHasher, Key},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::fmt,
};

/// What a request is, apart from its id: the same for each attempt of a caller's, at every gateway
/// and in every region.
///
/// Two requests are the same where method, host, path with query, credentials and body are. That
/// holds for one that is sent on to another region, and for a stream that is resumed: the last
/// event that its caller has is left out. The same body for another workspace has another host or
/// path, and is another request. Left out is what a repeat may change though it asks for the same:
/// its id, its deadline, the caller's address and hints.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that the caller named.
    pub host: &'a str,
    /// Path and query, as sent.
    pub target: &'a str,
    /// What the caller proves itself with; empty where it does not.
    pub credentials: &'a [u8],
    /// The whole body.
    pub body: &'a [u8],
}

/// The fingerprint of a request: a keyed 128-bit hash (HighwayHash) of its [`RequestContent`].
///
/// Neither body nor credentials can be read back from it, so it may be logged and told to other
/// processes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentFingerprint([u64; 2]);

impl fmt::Display for ContentFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0[0], self.0[1])
    }
}

/// Why a text is not a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is no fingerprint; give the 32 hexadecimal digits that a log line has after \
     fingerprint="
))]
pub struct FingerprintError {
    text: String,
}

impl TryFrom<&str> for ContentFingerprint {
    type Error = FingerprintError;

    fn try_from(text: &str) -> Result<Self, FingerprintError> {
        let invalid = || FingerprintError { text: text.chars().take(64).collect() };
        let is_hexadecimal = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let whole = u128::from_str_radix(text, 16).ok().filter(|_| is_hexadecimal);
        let whole = whole.ok_or_else(invalid)?.to_be_bytes();
        let word = |at: usize| whole[at..at + 8].iter().fold(0, |v, b| v << 8 | u64::from(*b));
        Ok(Self([word(0), word(8)]))
    }
}

impl fmt::Debug for ContentFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ContentFingerprint({self})")
    }
}

impl FieldValue for ContentFingerprint {}

/// The key of the fleet's fingerprints. All gateways make it from the secret that they share, so
/// their fingerprints are alike; a caller that does not know it cannot make a request whose
/// fingerprint is that of somebody else's.
#[derive(Clone, Copy)]
pub struct FingerprintKey([u64; 4]);

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FingerprintKey(..)")
    }
}

impl From<[u8; 32]> for FingerprintKey {
    fn from(bytes: [u8; 32]) -> Self {
        let mut words = [0; 4];
        for (word, chunk) in words.iter_mut().zip(bytes.chunks_exact(8)) {
            *word = chunk.iter().fold(0, |value, byte| value << 8 | u64::from(*byte));
        }
        Self(words)
    }
}

impl FingerprintKey {
    /// The fingerprint of a request.
    pub fn fingerprint(&self, request: &RequestContent<'_>) -> ContentFingerprint {
        let mut hasher = HighwayHasher::new(Key(self.0));
        let RequestContent { method, host, target, credentials, body } = *request;
        for field in [method.as_bytes(), host.as_bytes(), target.as_bytes(), credentials, body] {
            // With its length in front, no field can take over a part of its neighbour.
            hasher.append(&(field.len() as u64).to_le_bytes());
            hasher.append(field);
        }
        ContentFingerprint(hasher.finalize128())
    }
}
