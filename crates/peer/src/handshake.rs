//! Session handshake: version and cluster check, exchange of identities, and mutual
//! challenge-response authentication.
//!
//! The dialer sends a [`Hello`] with a random challenge. The server answers with its identity, its
//! own challenge and an HMAC-SHA-256 (RFC 2104) over both. The dialer verifies it and sends its own
//! HMAC. The secret is never transmitted, fresh challenges prevent replay, and the `hmac` crate
//! compares proofs in constant time.

use {
    crate::{PeerConfig, PeerIdentity, PeerSecret, SessionRefusal, wire},
    gullglade_units::{ClusterName, HybridStamp, RandomSource, encode},
    hmac::{Hmac, Mac},
    serde::{Deserialize, Serialize},
    sha2::Sha256,
};

/// Request path of the first step.
pub(crate) const HELLO_PATH: &str = "/session.hello";
/// Request path of the second step.
pub(crate) const PROOF_PATH: &str = "/session.proof";

/// Maximum size of a handshake message.
pub(crate) const MAX_HANDSHAKE_BYTES: usize = 4 << 10;

/// Random nonce that a proof must cover, which prevents replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Challenge([u8; 16]);

impl Challenge {
    pub(crate) fn new(random: &dyn RandomSource) -> Self {
        let halves = [random.next_u64(), random.next_u64()];
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&halves[0].to_le_bytes());
        bytes[8..].copy_from_slice(&halves[1].to_le_bytes());
        Self(bytes)
    }
}

/// HMAC of a [`ProofTranscript`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Proof([u8; 32]);

/// First message of the dialer. Its layout must not change between protocol versions, so that a
/// server of any version can decode it and return a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    pub(crate) protocol: u32,
    pub(crate) cluster: ClusterName,
    pub(crate) identity: PeerIdentity,
    pub(crate) challenge: Challenge,
}

/// Response of the server to a [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Welcome {
    pub(crate) identity: PeerIdentity,
    pub(crate) challenge: Challenge,
    pub(crate) proof: Proof,
}

/// Response of the server to the dialer's proof; completes the handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Admission {
    pub(crate) stamp: HybridStamp,
}

/// Side that creates a proof. Prevents a proof from being reflected to its creator.
#[derive(Clone, Copy, Serialize)]
pub(crate) enum ProofRole {
    Dialer,
    Server,
}

/// Handshake transcript that each proof covers.
#[derive(Serialize)]
pub(crate) struct ProofTranscript<'a> {
    pub(crate) role: ProofRole,
    pub(crate) cluster: &'a ClusterName,
    pub(crate) dialer: &'a PeerIdentity,
    pub(crate) server: &'a PeerIdentity,
    pub(crate) challenges: [Challenge; 2],
}

impl ProofTranscript<'_> {
    fn mac(&self, secret: &PeerSecret) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(&encode(self));
        mac
    }

    /// Computes the HMAC of this transcript, which proves knowledge of `secret`.
    pub(crate) fn prove(&self, secret: &PeerSecret) -> Proof {
        Proof(self.mac(secret).finalize().into_bytes().into())
    }

    /// Verifies in constant time that `proof` was computed with `secret`.
    pub(crate) fn verify(&self, secret: &PeerSecret, proof: &Proof) -> Result<(), SessionRefusal> {
        self.mac(secret).verify_slice(&proof.0).map_err(|_| SessionRefusal::Secret)
    }
}

/// Checks the protocol version and the cluster name of `hello` against this process.
pub(crate) fn validate_hello(hello: &Hello, config: &PeerConfig) -> Result<(), SessionRefusal> {
    if hello.protocol != wire::PROTOCOL_VERSION {
        let (ours, theirs) = (hello.protocol, wire::PROTOCOL_VERSION);
        return Err(SessionRefusal::Protocol { ours, theirs });
    }
    if hello.cluster != config.cluster {
        let (ours, theirs) = (hello.cluster.to_string(), config.cluster.to_string());
        return Err(SessionRefusal::Cluster { ours, theirs });
    }
    Ok(())
}
