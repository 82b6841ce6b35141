//! Fingerprints of prompt parts.

use {
    crate::{ContentFingerprint, FingerprintError, FingerprintKey},
    gullglade_event::FieldValue,
    highway::{HighwayHash, HighwayHasher},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Prefix of the text form, which tells a prompt part from a whole request.
const TEXT_PREFIX: &str = "part-";

/// Length of the hash in hexadecimal digits.
const DIGITS: usize = 12;

/// Mask of the bits of the hash. The other bits mark the fingerprint in messages.
const HASH_MASK: u64 = (1 << (4 * DIGITS)) - 1;

/// Fingerprint of a part of a prompt: a keyed 48-bit hash of the service and of the id that callers
/// give the part, the same at every gateway and for every caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartFingerprint(u64);

impl PartFingerprint {
    /// Returns the fingerprint whose bits are in `word`, in which the others are ignored.
    pub(crate) fn from_bits(word: u64) -> Self {
        Self(word & HASH_MASK)
    }

    /// Returns the bits of the hash.
    pub(crate) fn bits(self) -> u64 {
        self.0
    }
}

impl FingerprintKey {
    /// Computes the fingerprint of a prompt part.
    ///
    /// It depends on the service, since other engines may answer the same part. It does not depend
    /// on the caller: a part that many callers share would otherwise crash engines for each.
    pub fn part_fingerprint(&self, service: &str, part: u64) -> PartFingerprint {
        let mut hasher = HighwayHasher::new(self.hash_key());
        hasher.append(&part.to_le_bytes());
        hasher.append(service.as_bytes());
        PartFingerprint::from_bits(hasher.finalize64())
    }
}

impl fmt::Display for PartFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{TEXT_PREFIX}{:0DIGITS$x}", self.0)
    }
}

impl fmt::Debug for PartFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PartFingerprint({self})")
    }
}

impl FieldValue for PartFingerprint {}

/// What backend servers may crash under: a whole request, or a part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrashSuspect {
    /// A request, by its content.
    Content(ContentFingerprint),
    /// A prompt part, whatever else a request holds.
    Part(PartFingerprint),
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(fingerprint) => fingerprint.fmt(f),
            Self::Part(fingerprint) => fingerprint.fmt(f),
        }
    }
}

impl FieldValue for CrashSuspect {}

impl TryFrom<&str> for CrashSuspect {
    type Error = FingerprintError;

    fn try_from(text: &str) -> Result<Self, FingerprintError> {
        let Some(digits) = text.strip_prefix(TEXT_PREFIX) else {
            return ContentFingerprint::try_from(text).map(Self::Content);
        };
        let is_hexadecimal =
            digits.len() == DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
        let bits = u64::from_str_radix(digits, 16).ok().filter(|_| is_hexadecimal);
        let bits = bits.ok_or_else(|| FingerprintError::new(text))?;
        Ok(Self::Part(PartFingerprint::from_bits(bits)))
    }
}
