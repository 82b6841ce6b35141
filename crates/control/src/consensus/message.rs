//! Messages between control processes, in the peer methods `log.*`.

use {
    crate::{
        change::{ConfigChange, ConfigOutcome},
        consensus::error::{ChangeError, ReplaceError},
        entry::{ClusterId, LogEntry, LogIndex, LogPosition, Member, MemberId, Membership, Term},
        traffic::TrafficChange,
    },
    bytes::Bytes,
    gullglade_units::{ClockStamp, RegionName, VmName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The prefix of the methods that control processes serve to each other.
pub(crate) const LOG_PREFIX: &str = "log";

pub(crate) const HELLO: &str = "log.hello";
pub(crate) const VOTE: &str = "log.vote";
pub(crate) const APPEND: &str = "log.append";
pub(crate) const SNAPSHOT: &str = "log.snapshot";
pub(crate) const CHANGE: &str = "log.change";
pub(crate) const ORDER: &str = "log.order";
pub(crate) const REPLACE: &str = "log.replace";
pub(crate) const JOIN: &str = "log.join";
pub(crate) const READ: &str = "log.read";
pub(crate) const STATUS: &str = "log.status";

/// The addressing of a message. A receiver other than `to` rejects the message, since its data
/// folder is not the one on which the sender relies.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Envelope {
    pub(crate) cluster: ClusterId,
    pub(crate) from: MemberId,
    pub(crate) to: MemberId,
}

/// Asks a process, which may not know the sender yet, for its identity and for the last position
/// that the sender has acknowledged to it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct HelloRequest {
    pub(crate) member: MemberId,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct HelloReply {
    pub(crate) member: MemberId,
    pub(crate) vm: VmName,
    pub(crate) region: RegionName,
    /// The initial voters in its settings.
    pub(crate) voters: Vec<(VmName, SocketAddr)>,
    /// The seeds in its settings.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Whether its folder was created at the first start of the deployment.
    pub(crate) may_found: bool,
    pub(crate) membership: Option<Membership>,
    /// The last position that the requester acknowledged to this process as the leader.
    pub(crate) witnessed: Option<LogPosition>,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct VoteRequest {
    pub(crate) envelope: Envelope,
    /// Whether the request is a pre-vote, which only asks how the receiver would vote.
    pub(crate) is_poll: bool,
    /// The term in which the candidate would lead.
    pub(crate) term: Term,
    /// The last position of the candidate's log.
    pub(crate) last: LogPosition,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct VoteReply {
    pub(crate) term: Term,
    pub(crate) is_granted: bool,
    /// Whether the voter may have lost entries that it had acknowledged.
    pub(crate) is_doubtful: bool,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AppendRequest {
    pub(crate) envelope: Envelope,
    pub(crate) term: Term,
    /// The index that precedes `entries`.
    pub(crate) previous_index: LogIndex,
    pub(crate) previous_term: Term,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) commit: LogIndex,
    /// Whether the leader has committed an entry of its own term, so that `commit` covers every
    /// entry that was ever committed.
    pub(crate) is_settled: bool,
    /// A time at which the leader's state included every accepted change, on the receiver's clock.
    /// The request may be delayed in transit, so a time on the leader's clock, or an age, would
    /// make the state appear more recent than it is.
    pub(crate) confirmed: Option<ClockStamp>,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct AppendReply {
    pub(crate) term: Term,
    pub(crate) result: AppendResult,
    /// The time at which the reply was created.
    pub(crate) stamp: ClockStamp,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum AppendResult {
    /// The member's log equals the leader's up to this index, and is synced.
    Matched(LogIndex),
    /// The preceding entry is missing or differs; the leader continues from this index.
    Missing(LogIndex),
    /// The term of the request has ended.
    Stale,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SnapshotRequest {
    pub(crate) envelope: Envelope,
    pub(crate) term: Term,
    pub(crate) index: LogIndex,
    /// The offset of this chunk in the encoded snapshot and the total size, in bytes.
    pub(crate) offset: u64,
    pub(crate) total: u64,
    pub(crate) chunk: Bytes,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct SnapshotReply {
    pub(crate) term: Term,
    /// The next offset that the member expects, or the total size once it has installed the
    /// snapshot.
    pub(crate) next: u64,
}

pub(crate) type ChangeReply = Result<ConfigOutcome, ChangeError>;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ChangeCall {
    pub(crate) change: ConfigChange,
}

/// Proposes an evacuation order. The reply is a [`ChangeReply`]. Processes that do not serve it are
/// sent a [`ChangeCall`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct OrderCall {
    pub(crate) change: TrafficChange,
    /// A position that the sender observed while the operator was waiting.
    pub(crate) observed: LogPosition,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ReplaceCall {
    pub(crate) old: VmName,
    pub(crate) address: SocketAddr,
}

pub(crate) type ReplaceReply = Result<(), ReplaceError>;

/// Asks to join the log, from a process that is not a member or hears from no leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct JoinRequest {
    /// The requester, as a learner.
    pub(crate) member: Member,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum JoinReply {
    /// The receiver is the leader and has recorded the request.
    Noted,
    /// Another process may be the leader.
    AskLeader(SocketAddr),
    /// No leader is known.
    NoLeader,
}

/// The index up to which every change accepted before the request was applied by the leader.
pub(crate) type ReadReply = Result<LogIndex, ChangeError>;

/// The status of one control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its identity.
    pub member: MemberId,
    /// The VM on which it runs.
    pub vm: VmName,
    /// Its current term.
    pub term: Term,
    /// Whether it is the leader.
    pub is_leader: bool,
    /// The leader that it follows.
    pub leader: Option<MemberId>,
    /// The last index of its log.
    pub last: LogIndex,
    /// The last index that it knows to be committed.
    pub commit: LogIndex,
    /// Whether it may have lost entries that it had acknowledged.
    pub is_doubtful: bool,
    /// The reason for which it has stopped.
    pub stopped: Option<String>,
    /// The membership that it knows.
    pub membership: Option<Membership>,
}
