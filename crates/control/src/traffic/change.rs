//! Changes to the traffic configuration.

use {
    crate::entry::LogIndex,
    bytes::Bytes,
    gullglade_units::FailureDomain,
    serde::{Deserialize, Serialize},
};

/// The operator-assigned version of a traffic configuration. The highest one is in force.
pub type ConfigVersion = u64;

/// A change to the traffic configuration. It carries no id, since applying it again has no further
/// effect, unless it is an evacuation order and the opposite one was applied in between; the leader
/// rejects such late orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrafficChange {
    /// Puts a complete configuration in force if its version is greater than the current one.
    Configure {
        /// Its version.
        version: ConfigVersion,
        /// The validated configuration in the format that gateways parse. It is opaque to the log.
        text: Bytes,
    },
    /// Begins or ends the evacuation of a failure domain.
    Evacuate {
        /// The failure domain.
        domain: FailureDomain,
        /// Whether the failure domain is to be evacuated.
        is_on: bool,
    },
}

/// The effect of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrafficEffect {
    /// The configuration was changed.
    Applied,
    /// The requested state, or a newer one, was already in force.
    Unchanged,
}

/// The outcome of a change to the traffic configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficOutcome {
    /// Whether the change had an effect.
    pub effect: TrafficEffect,
    /// The version in force after the change, or `None` before the first configuration.
    pub version: Option<ConfigVersion>,
    /// The index of the last change that had an effect.
    pub index: LogIndex,
}
