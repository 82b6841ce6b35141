//! The current traffic configuration.

use {
    super::change::{ConfigVersion, TrafficChange, TrafficEffect, TrafficOutcome},
    crate::entry::LogIndex,
    bytes::Bytes,
    gullglade_units::FailureDomain,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// The traffic configuration and the evacuations at one index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficRecord {
    held: Option<(ConfigVersion, Bytes)>,
    evacuated: BTreeSet<FailureDomain>,
    changed: LogIndex,
}

impl TrafficRecord {
    /// Returns the version in force, or `None` before the first configuration.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.held.as_ref().map(|(version, _)| *version)
    }

    /// Returns the configuration in force.
    pub fn text(&self) -> Option<&Bytes> {
        self.held.as_ref().map(|(_, text)| text)
    }

    /// Returns the evacuated failure domains.
    pub fn evacuated(&self) -> &BTreeSet<FailureDomain> {
        &self.evacuated
    }

    /// Returns the index of the last change that had an effect. It increases with each such change.
    pub fn changed(&self) -> LogIndex {
        self.changed
    }

    /// Returns the effect that `change` would have on the current state.
    pub(crate) fn effect(&self, change: &TrafficChange) -> TrafficEffect {
        let has_effect = match change {
            TrafficChange::Configure { version, .. } => self.version() < Some(*version),
            TrafficChange::Evacuate { domain, is_on } => self.evacuated.contains(domain) != *is_on,
        };
        if has_effect { TrafficEffect::Applied } else { TrafficEffect::Unchanged }
    }

    pub(crate) fn outcome(&self, effect: TrafficEffect) -> TrafficOutcome {
        TrafficOutcome { effect, version: self.version(), index: self.changed }
    }

    /// Applies `change`, the command of the entry at `index`.
    pub(crate) fn apply(&mut self, change: &TrafficChange, index: LogIndex) -> TrafficOutcome {
        let effect = self.effect(change);
        if effect == TrafficEffect::Applied {
            self.changed = index;
            match change {
                TrafficChange::Configure { version, text } => {
                    self.held = Some((*version, text.clone()));
                }
                TrafficChange::Evacuate { domain, is_on: true } => {
                    self.evacuated.insert(domain.clone());
                }
                TrafficChange::Evacuate { domain, is_on: false } => {
                    self.evacuated.remove(domain);
                }
            }
        }
        self.outcome(effect)
    }
}
