//! Replicated state of a backend server: status, profile and load.

use {
    crate::{Announcement, BackendProfile, LoadReport, RunStatus, StatusChange},
    gullglade_units::{BackendName, encode},
    serde::{Deserialize, Serialize},
    std::rc::Rc,
};

/// Replicated state of one backend server, merged by the rules of [`RunStatus`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Name of the backend server.
    pub name: BackendName,
    /// Status of the latest known run.
    pub status: RunStatus,
    /// Newest known profile.
    pub profile: Option<SequencedProfile>,
    /// Load of the announcement with the highest known sequence number.
    pub load: LoadReport,
}

/// A profile with the sequence number of its announcement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SequencedProfile {
    /// Sequence number of the announcement.
    pub sequence: u64,
    /// Announced profile.
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
    /// Merges `other`, a record of the same backend server, into this record.
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

    /// Returns the profile, if known.
    pub fn profile(&self) -> Option<&BackendProfile> {
        self.profile.as_ref().map(|p| &*p.profile)
    }
}

/// Returns whether `left` replaces `right`.
///
/// Two different profiles with the same sequence number occur only if two processes share a name
/// and an incarnation. They are ordered by their encoded bytes, so that all gateways select the
/// same one. Otherwise each gateway would keep the one that it received first, and the gateways
/// would exchange the records forever.
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
