//! Notices between gateways: single datagrams that may be lost.

use {
    crate::compact_hints::CompactHints,
    gullglade_quota::SpendNotice,
    gullglade_units::encode,
    serde::{Deserialize, Serialize},
};

/// A received notice.
#[derive(Deserialize)]
pub(crate) enum GatewayNotice {
    /// Requests sent to backend servers, and responses that have begun.
    Hints(CompactHints),
    /// Quota usage.
    Spend(SpendNotice),
}

/// A notice to be sent. The encoding is that of [`GatewayNotice`].
#[derive(Serialize)]
enum OutgoingNotice<'a> {
    Hints(&'a CompactHints),
    Spend(&'a SpendNotice),
}

/// Encodes a notice with hints.
pub(crate) fn encode_hints(hints: &CompactHints) -> Vec<u8> {
    encode(&OutgoingNotice::Hints(hints))
}

/// Encodes a notice with quota usage.
pub(crate) fn encode_spend(spend: &SpendNotice) -> Vec<u8> {
    encode(&OutgoingNotice::Spend(spend))
}
