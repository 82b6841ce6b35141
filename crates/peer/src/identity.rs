//! Identity of a process, and the shared secret that authenticates members of the cluster.

use {
    gullglade_units::{FailureDomain, Incarnation, RegionName, VmName},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::fmt,
};

/// Identity that a process presents to its peers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Name of the VM.
    pub vm: VmName,
    /// Region of the VM.
    pub region: RegionName,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Incarnation number of the process; increases with each restart.
    pub incarnation: Incarnation,
}

/// Minimum length of a secret: 128 bits if every byte is random.
const MIN_SECRET_BYTES: usize = 16;

/// Error of parsing a [`PeerSecret`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum IdentityError {
    /// The secret is shorter than the minimum length.
    #[snafu(display(
        "the peer secret has {length} bytes; give {MIN_SECRET_BYTES} or more, for example from \
         `head -c 32 /dev/urandom | base64`, the same on every VM"
    ))]
    ShortSecret {
        /// Length of the given secret in bytes, without surrounding white space.
        length: usize,
    },
}

/// Secret shared by all processes of a cluster. It is never sent, and `Debug` does not print it.
#[derive(Clone)]
pub struct PeerSecret(Vec<u8>);

impl PeerSecret {
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl TryFrom<&str> for PeerSecret {
    type Error = IdentityError;

    fn try_from(text: &str) -> Result<Self, IdentityError> {
        let text = text.trim();
        if text.len() < MIN_SECRET_BYTES {
            return ShortSecretSnafu { length: text.len() }.fail();
        }
        Ok(Self(text.as_bytes().to_vec()))
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret(hidden)")
    }
}
