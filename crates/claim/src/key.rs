//! Digests of order keys, request fingerprints, and the parameters of a claim.

use {
    gullglade_units::{MonotonicTime, OrderKey, RegionName, WorkspaceName},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{fmt, time::Duration},
};

/// Length of the truncated SHA-256 digests. With 16 bytes, a collision is expected after about 2^64
/// keys.
const DIGEST_BYTES: usize = 16;

/// Returns the SHA-256 digest of the length-prefixed parts, truncated to [`DIGEST_BYTES`]. The
/// prefixes distinguish `("ab", "c")` from `("a", "bc")`.
fn digest_parts(parts: &[&[u8]]) -> [u8; DIGEST_BYTES] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
    digest
}

/// Digest of an order key and its workspace. Replicas store only the digest, so that the text of a
/// key, which a caller may have derived from an order's content, stays on the gateway that received
/// it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimDigest([u8; DIGEST_BYTES]);

impl ClaimDigest {
    /// Returns the digest of `key` in `workspace`. The digest includes the workspace: otherwise one
    /// workspace could read another's stored answer by guessing its key.
    pub fn new(workspace: &WorkspaceName, key: &OrderKey) -> Self {
        Self(digest_parts(&[workspace.as_str().as_bytes(), key.as_str().as_bytes()]))
    }

    /// Index of the partition, of `count` equal ones, that the digest belongs to. `None` if `count`
    /// is zero.
    pub(crate) fn bucket(&self, count: usize) -> Option<usize> {
        let mut head = [0; 8];
        head.copy_from_slice(&self.0[..8]);
        usize::try_from(u64::from_le_bytes(head).checked_rem(count as u64)?).ok()
    }
}

impl fmt::Display for ClaimDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ClaimDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ClaimDigest({self})")
    }
}

/// Distinguishes a resend of a request from a different request under the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; DIGEST_BYTES]);

impl RequestFingerprint {
    /// Returns the fingerprint of a request's parts: service, method, path with query, content type
    /// and body. Parts that differ between two sends of one request, such as the date and trace
    /// ids, must be left out.
    pub fn new(parts: &[&[u8]]) -> Self {
        Self(digest_parts(parts))
    }
}

/// One send of a non-idempotent request.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// The order key given by the caller.
    pub key: &'a OrderKey,
    /// The workspace of the caller.
    pub workspace: &'a WorkspaceName,
    /// The region that decides opaque keys, from the service's document.
    pub service_region: &'a RegionName,
    /// Regions in which the service allows its data. The claim region must be one of them, because
    /// its replicas store the answer.
    pub allowed_regions: &'a [RegionName],
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Time at which this process received the send. A send received before another one was told
    /// "not run" must not run afterwards.
    pub received: MonotonicTime,
    /// Maximum time to wait for the answer of another send that is running.
    pub wait: Duration,
}

impl ClaimRequest<'_> {
    /// The region whose replicas decide this key: the region named in the key, or the service's
    /// region for an opaque key.
    pub fn claim_region(&self) -> RegionName {
        match self.key.origin() {
            Some((region, _)) => region,
            None => self.service_region.clone(),
        }
    }
}
