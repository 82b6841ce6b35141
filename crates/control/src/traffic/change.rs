//! Changes of the traffic configuration.

use {
    crate::entry::LogIndex,
    bytes::Bytes,
    gullglade_units::FailureDomain,
    serde::{Deserialize, Serialize},
};

/// The operators' number of a traffic configuration. The highest one stands.
pub type ConfigVersion = u64;

/// One change. It carries no id: deciding it a second time has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrafficChange {
    /// Puts a whole configuration in force, unless one of the same or a higher version stands.
    Configure {
        /// The operator's number for it.
        version: ConfigVersion,
        /// The checked configuration, in the form that gateways read. The log does not look inside.
        text: Bytes,
    },
    /// Begins or ends the evacuation of a failure domain.
    Evacuate {
        /// The failure domain.
        domain: FailureDomain,
        /// Whether it is to be evacuated from here on.
        is_on: bool,
    },
}

/// Whether a change changed anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrafficEffect {
    /// It did.
    Applied,
    /// What it asks for, or something newer, stood already.
    Unchanged,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficOutcome {
    /// Whether it changed anything.
    pub effect: TrafficEffect,
    /// The version that stands after it; `None` before the first configuration.
    pub version: Option<ConfigVersion>,
    /// Where the last change that had an effect stands in the log.
    pub index: LogIndex,
}
