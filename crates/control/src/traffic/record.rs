//! The traffic configuration as it stands.

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
    /// The version in force; `None` before the first configuration.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.held.as_ref().map(|(version, _)| *version)
    }

    /// The configuration in force.
    pub fn text(&self) -> Option<&Bytes> {
        self.held.as_ref().map(|(_, text)| text)
    }

    /// The failure domains that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<FailureDomain> {
        &self.evacuated
    }

    /// Where the last change that had an effect stands in the log; grows with each.
    pub fn changed(&self) -> LogIndex {
        self.changed
    }

    /// What `change` would do, were it decided now.
    pub(crate) fn effect(&self, change: &TrafficChange) -> TrafficEffect {
        let is_news = match change {
            TrafficChange::Configure { version, .. } => self.version() < Some(*version),
            TrafficChange::Evacuate { domain, is_on } => self.evacuated.contains(domain) != *is_on,
        };
        if is_news { TrafficEffect::Applied } else { TrafficEffect::Unchanged }
    }

    pub(crate) fn outcome(&self, effect: TrafficEffect) -> TrafficOutcome {
        TrafficOutcome { effect, version: self.version(), index: self.changed }
    }

    /// Decides `change`, which stands at `index`.
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
