//! What the replicated log is made of: terms, indexes, members, commands.

use {
    crate::{change::ChangeRequest, groups::GroupRequest, traffic::TrafficChange},
    gullglade_units::{RandomSource, RegionName, VmName, WallMillis},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// A period with at most one leader; only grows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

impl Term {
    /// The term after this.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

/// A place in the log, from 1; 0 is before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The place after this.
    pub fn next(self) -> LogIndex {
        LogIndex(self.0 + 1)
    }

    /// The place before this; 0 has none and stays.
    pub fn previous(self) -> LogIndex {
        LogIndex(self.0.saturating_sub(1))
    }
}

/// The term and index of an entry. The later of two ends of logs is the greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct LogPosition {
    pub(crate) term: Term,
    pub(crate) index: LogIndex,
}

/// The identity of one control process's data folder, drawn at its first start.
///
/// A VM that comes back with an empty disk draws another, so it can never be taken for the voter
/// whose promises were on the lost disk.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// A new identity.
    pub fn generate(random: &dyn RandomSource) -> Self {
        Self(random.next_u64())
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "MemberId({self})")
    }
}

/// The identity of one replicated log, drawn when it is founded.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClusterId(pub u64);

impl fmt::Display for ClusterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for ClusterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ClusterId({self})")
    }
}

/// Whether a member's acknowledgement and vote count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Counts towards every quorum.
    Voter,
    /// Receives the log and counts for nothing until it has caught up.
    Learner,
}

/// One control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its data folder.
    pub id: MemberId,
    /// Its VM.
    pub vm: VmName,
    /// Its VM's region.
    pub region: RegionName,
    /// Where its peer sessions are accepted.
    pub address: SocketAddr,
    /// Whether it counts.
    pub role: MemberRole,
}

/// A voter that is being replaced. Kept in the membership itself, so that a new leader goes on
/// with what the old one began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    /// The voter to be removed.
    pub old: MemberId,
    /// The learner that takes its place once it has caught up.
    pub new: MemberId,
}

/// Who keeps the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The log.
    pub cluster: ClusterId,
    /// Everyone who receives it.
    pub members: Vec<Member>,
    /// The replacement in progress, if any.
    pub replacement: Option<Replacement>,
}

impl Membership {
    /// The member of this identity.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    /// Those whose acknowledgement and vote count.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.role == MemberRole::Voter)
    }

    /// Whether `id` counts.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.voters().any(|m| m.id == id)
    }

    /// How many voters make a quorum: more than half.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// What an entry does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing: a new leader's first entry, with which it commits what earlier leaders left.
    Noop,
    /// A change of configuration, to be decided in the log's order.
    Change(ChangeRequest),
    /// A new membership, in force from the moment it is in a member's log.
    Membership(Membership),
    /// A change of a region's claim group, to be decided in the log's order.
    ClaimGroup(GroupRequest),
    /// A change of the traffic configuration, to be decided in the log's order.
    Traffic(TrafficChange),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its place.
    pub index: LogIndex,
    /// The term of the leader that placed it.
    pub term: Term,
    /// The leader's wall time, never below that of the entry before.
    pub wall: WallMillis,
    /// What it does.
    pub command: Command,
}

impl LogEntry {
    /// About the bytes it takes on the wire and on the disk.
    pub(crate) fn size_hint(&self) -> usize {
        const HEAD: usize = 128;
        match &self.command {
            Command::Change(request) => HEAD + request.text.as_ref().map_or(0, |t| t.len()),
            Command::Traffic(TrafficChange::Configure { text, .. }) => HEAD + text.len(),
            Command::Noop
            | Command::Membership(_)
            | Command::ClaimGroup(_)
            | Command::Traffic(TrafficChange::Evacuate { .. }) => HEAD,
        }
    }
}

/// The highest term a member has seen, and its vote in it. Must be synced before it is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// The term.
    pub term: Term,
    /// Whom the member voted for in it.
    pub vote: Option<MemberId>,
}
