//! Types of the replicated log: terms, indexes, members and commands.

use {
    crate::{change::ChangeRequest, groups::GroupRequest, traffic::TrafficChange},
    gullglade_units::{RandomSource, RegionName, VmName, WallMillis},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// An election term. It has at most one leader, and it increases monotonically.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

impl Term {
    /// Returns the following term.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

/// The position of an entry in the log. The first entry has index 1; 0 denotes the empty log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the following index.
    pub fn next(self) -> LogIndex {
        LogIndex(self.0 + 1)
    }

    /// Returns the preceding index, or 0 for index 0.
    pub fn previous(self) -> LogIndex {
        LogIndex(self.0.saturating_sub(1))
    }
}

/// The term and index of an entry. Of two logs, the one whose last position is greater is the more
/// up-to-date.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct LogPosition {
    pub(crate) term: Term,
    pub(crate) index: LogIndex,
}

/// The identity of one control process's data folder, drawn at random when the folder is created.
///
/// A VM that restarts with an empty disk draws a new identity, so it is never mistaken for the
/// voter whose votes and acknowledgements were on the lost disk.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Draws a new random identity.
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

/// The identity of one replicated log, drawn at random when the log is founded.
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

/// The role of a member in quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Counts towards every quorum.
    Voter,
    /// Receives the log but counts towards no quorum until it is promoted.
    Learner,
}

/// A control process that keeps a copy of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The identity of its data folder.
    pub id: MemberId,
    /// The VM on which it runs.
    pub vm: VmName,
    /// The region of its VM.
    pub region: RegionName,
    /// The address on which it accepts peer sessions.
    pub address: SocketAddr,
    /// Its role in quorums.
    pub role: MemberRole,
}

/// A replacement of a voter that is in progress. It is part of the membership, so that a new leader
/// continues what its predecessor began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    /// The voter to be removed.
    pub old: MemberId,
    /// The learner that is promoted to voter once it has caught up.
    pub new: MemberId,
}

/// The members of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The identity of the log.
    pub cluster: ClusterId,
    /// All voters and learners.
    pub members: Vec<Member>,
    /// The replacement in progress, if any.
    pub replacement: Option<Replacement>,
}

impl Membership {
    /// Returns the member with identity `id`.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    /// Returns the members that count towards a quorum.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.role == MemberRole::Voter)
    }

    /// Returns whether `id` is a voter.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.voters().any(|m| m.id == id)
    }

    /// Returns the number of voters that form a quorum: a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// The command that a log entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// No effect. A new leader appends it first, since committing it also commits the entries of
    /// earlier terms.
    Noop,
    /// A change to a service's document, decided when the entry is applied.
    Change(ChangeRequest),
    /// A new membership, in force on each member as soon as the entry is in that member's log.
    Membership(Membership),
    /// A change to a region's claim group, decided when the entry is applied.
    ClaimGroup(GroupRequest),
    /// A change to the traffic configuration, decided when the entry is applied.
    Traffic(TrafficChange),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its position in the log.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The leader's wall time when it appended the entry; never less than that of the preceding
    /// entry.
    pub wall: WallMillis,
    /// The command to apply.
    pub command: Command,
}

impl LogEntry {
    /// Returns the approximate encoded size in bytes.
    pub(crate) fn size_hint(&self) -> usize {
        const OVERHEAD_BYTES: usize = 128;
        match &self.command {
            Command::Change(request) => {
                OVERHEAD_BYTES + request.text.as_ref().map_or(0, |t| t.len())
            }
            Command::Traffic(TrafficChange::Configure { text, .. }) => OVERHEAD_BYTES + text.len(),
            Command::Noop
            | Command::Membership(_)
            | Command::ClaimGroup(_)
            | Command::Traffic(TrafficChange::Evacuate { .. }) => OVERHEAD_BYTES,
        }
    }
}

/// The highest term a member has seen and its vote in that term. It must be synced before it is
/// sent to other members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// The highest term seen.
    pub term: Term,
    /// The candidate that received this member's vote in the term.
    pub vote: Option<MemberId>,
}
