//! What gateways agree on about one backend server: its run, its newest profile and load.

use {
    crate::{Announcement, BackendProfile, LoadReport, RunStatus, StatusChange},
    gullglade_units::{BackendName, encode},
    serde::{Deserialize, Serialize},
    std::rc::Rc,
};

/// The shared state of one backend server; merges as [`RunStatus`] does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// The backend server.
    pub name: BackendName,
    /// Its newest run.
    pub status: RunStatus,
    /// Its newest profile, where one is known.
    pub profile: Option<SequencedProfile>,
    /// The load of the highest sequence known.
    pub load: LoadReport,
}

/// A profile and the announcement that brought it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SequencedProfile {
    /// The sequence of the announcement.
    pub sequence: u64,
    /// What it said.
    pub profile: Rc<BackendProfile>,
}

impl From<&Announcement> for BackendRecord {
    fn from(announcement: &Announcement) -> Self {
        let Announcement { incarnation, sequence, state, .. } = *announcement;
        let profile = announcement
            .profile
            .as_ref()
            .map(|p| SequencedProfile { sequence, profile: Rc::new(p.clone()) });
        Self {
            name: announcement.name.clone(),
            status: RunStatus::new(incarnation, sequence, state),
            profile,
            load: announcement.load,
        }
    }
}

impl BackendRecord {
    /// Takes in what `other`, a record of the same backend server, knows beyond this one.
    pub fn merge(&mut self, other: &BackendRecord) -> StatusChange {
        let mut change = self.status.merge(&other.status);
        if change.superseded {
            return change;
        }
        if change.advanced {
            self.load = other.load;
        }
        if change.restarted || is_newer_profile(other.profile.as_ref(), self.profile.as_ref()) {
            self.profile = other.profile.clone();
            change.membership = true;
        }
        change
    }

    /// The profile, where one is known.
    pub fn profile(&self) -> Option<&BackendProfile> {
        self.profile.as_ref().map(|p| &*p.profile)
    }
}

/// Whether `left` replaces `right`. Two profiles of one sequence come only from two processes that
/// share a name and an incarnation. Without the last comparison gateways would each keep the one
/// that they heard first and exchange records without end; the encoded bytes decide the same
/// everywhere.
fn is_newer_profile(left: Option<&SequencedProfile>, right: Option<&SequencedProfile>) -> bool {
    match (left, right) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(left), Some(right)) if left.sequence != right.sequence => {
            left.sequence > right.sequence
        }
        (Some(left), Some(right)) => {
            left.profile != right.profile && encode(&*left.profile) > encode(&*right.profile)
        }
    }
}
