//! Content fingerprints that identify repeats of a request.

use {
    crate::PartFingerprint,
    gullglade_event::FieldValue,
    highway::{HighwayHash, HighwayHasher, Key},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::fmt,
};

/// The parts of a request that identify its content: the same for each attempt of a caller, at
/// every gateway and in every region.
///
/// Two requests are equal if method, host, path with query, credentials and body are equal. This
/// includes a request that is forwarded to another region, and a resumed stream, whose last event
/// id is excluded. The same body for another workspace has another host or path and is a different
/// request. Excluded is what may differ between repeats of the same request: its id, deadline,
/// caller address and hints.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The host that the caller addressed.
    pub host: &'a str,
    /// Path and query, as sent.
    pub target: &'a str,
    /// Credentials of the caller; empty if there are none.
    pub credentials: &'a [u8],
    /// The complete body.
    pub body: &'a [u8],
}

/// Fingerprint of a request: a keyed 128-bit hash (HighwayHash) of its [`RequestContent`].
///
/// Body and credentials cannot be recovered from it, so it may be logged and sent to other
/// processes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentFingerprint([u64; 2]);

/// Mark of prompt parts in the upper bits of the first word of a [`ContentFingerprint`].
const PART_MARK: u64 = 0x7061;

/// Position of the mark.
const PART_MARK_SHIFT: u32 = 48;

impl ContentFingerprint {
    /// Returns the fingerprint of a request with this hash.
    fn unmarked([first, second]: [u64; 2]) -> Self {
        let is_marked = first >> PART_MARK_SHIFT == PART_MARK;
        Self([first ^ (u64::from(is_marked) << PART_MARK_SHIFT), second])
    }

    /// Returns the value that stands for a prompt part of one request in messages. Processes of
    /// earlier versions take it for a request of its own, which crashed once.
    pub(crate) fn of_part(part: PartFingerprint, content: u64) -> Self {
        Self([PART_MARK << PART_MARK_SHIFT | part.bits(), content])
    }

    /// Returns the prompt part, and the hash of the request's content, if this stands for a part.
    pub(crate) fn as_part(&self) -> Option<(PartFingerprint, u64)> {
        let [first, content] = self.0;
        (first >> PART_MARK_SHIFT == PART_MARK)
            .then(|| (PartFingerprint::from_bits(first), content))
    }

    /// Returns a short hash, which tells the contents of a few requests apart.
    pub(crate) fn short_hash(&self) -> u64 {
        self.0[1]
    }
}

impl fmt::Display for ContentFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0[0], self.0[1])
    }
}

/// The text is not a valid fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is not a fingerprint; give what a log line has after fingerprint=: 32 hexadecimal \
     digits, or part- and 12 of them"
))]
pub struct FingerprintError {
    text: String,
}

impl FingerprintError {
    pub(crate) fn new(text: &str) -> Self {
        Self { text: text.chars().take(64).collect() }
    }
}

impl TryFrom<&str> for ContentFingerprint {
    type Error = FingerprintError;

    fn try_from(text: &str) -> Result<Self, FingerprintError> {
        let is_hexadecimal = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let value = u128::from_str_radix(text, 16).ok().filter(|_| is_hexadecimal);
        let value = value.ok_or_else(|| FingerprintError::new(text))?.to_be_bytes();
        let word = |at: usize| value[at..at + 8].iter().fold(0, |v, b| v << 8 | u64::from(*b));
        Ok(Self([word(0), word(8)]))
    }
}

impl fmt::Debug for ContentFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ContentFingerprint({self})")
    }
}

impl FieldValue for ContentFingerprint {}

/// Key of the fleet's fingerprints. All gateways derive it from their shared secret, so they
/// compute equal fingerprints; a caller without the secret cannot construct a request that collides
/// with another caller's.
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
    pub(crate) fn hash_key(&self) -> Key {
        Key(self.0)
    }

    /// Computes the fingerprint of a request.
    pub fn fingerprint(&self, request: &RequestContent<'_>) -> ContentFingerprint {
        let mut hasher = HighwayHasher::new(self.hash_key());
        let RequestContent { method, host, target, credentials, body } = *request;
        for field in [method.as_bytes(), host.as_bytes(), target.as_bytes(), credentials, body] {
            // The length prefix keeps bytes from moving between adjacent fields without changing
            // the hash.
            hasher.append(&(field.len() as u64).to_le_bytes());
            hasher.append(field);
        }
        ContentFingerprint::unmarked(hasher.finalize128())
    }
}
