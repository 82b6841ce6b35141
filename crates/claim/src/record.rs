//! The record of one key at one replica: the acceptor of single-decree Paxos (Lamport, "Paxos Made
//! Simple", 2001). The value to choose is the attempt that may run.
//!
//! The protocol differs from the textbook in two points. An attempt proposes only itself and never
//! completes another's proposal, because choosing an attempt would not make that attempt's gateway
//! run it. An attempt can also be *released* by its own gateway, the only process that knows for
//! certain that the attempt did not run.

use {
    crate::{RequestFingerprint, RunResult},
    gullglade_units::{MonotonicTime, RandomSource, WallMillis},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Maximum number of released attempts in a record. They only prevent a vote that arrives after the
/// release of its attempt from blocking the key; dropping one costs a resend an `unknown`.
const MAX_RELEASED: usize = 8;

/// Identifies one send of a request through one gateway: 128 random bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct AttemptId([u64; 2]);

impl AttemptId {
    /// Creates a random id.
    pub(crate) fn new(random: &dyn RandomSource) -> Self {
        Self([random.next_u64(), random.next_u64()])
    }
}

/// A Paxos ballot of an attempt. Ballots are ordered by the counter alone: of two attempts with
/// equal counters, a replica promises the first that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ballot {
    pub(crate) counter: u32,
    pub(crate) attempt: AttemptId,
}

impl Ballot {
    /// Returns true if a replica that promised `promised` may promise or accept this ballot.
    fn may_follow(&self, promised: &Ballot) -> bool {
        self.counter > promised.counter || self == promised
    }
}

/// An accepted proposal: the attempt that may run, and the fingerprint of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Acceptance {
    pub(crate) ballot: Ballot,
    pub(crate) fingerprint: RequestFingerprint,
}

/// The state of a record as sent to gateways and other replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordView {
    pub(crate) promised: Option<Ballot>,
    pub(crate) accepted: Option<Acceptance>,
    pub(crate) result: Option<RunResult>,
    pub(crate) released: Vec<AttemptId>,
    /// Time since a caller may last have been told "not run", by the replica's clock. When the view
    /// is read elsewhere, this is at most the true time.
    pub(crate) denied_age: Option<Duration>,
}

/// A replica's vote on a prepare or accept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordVote {
    pub(crate) agreed: bool,
    pub(crate) view: RecordView,
}

/// The record of one key at one replica.
#[derive(Clone, Debug)]
pub(crate) struct ClaimRecord {
    pub(crate) promised: Option<Ballot>,
    pub(crate) accepted: Option<Acceptance>,
    pub(crate) result: Option<Box<RunResult>>,
    pub(crate) released: Vec<AttemptId>,
    pub(crate) denied_at: Option<MonotonicTime>,
    pub(crate) made: Option<WallMillis>,
    pub(crate) expires: MonotonicTime,
    /// Time of the latest step.
    pub(crate) last_step: MonotonicTime,
}

impl ClaimRecord {
    /// Creates an empty record of a key created at `made`, which is kept until `expires`.
    pub(crate) fn new(
        made: Option<WallMillis>,
        now: MonotonicTime,
        expires: MonotonicTime,
    ) -> Self {
        Self {
            promised: None,
            accepted: None,
            result: None,
            released: Vec::new(),
            denied_at: None,
            made,
            expires,
            last_step: now,
        }
    }

    /// Time at which the record may be evicted. A record of a key under which nobody may have run
    /// is evicted earlier.
    pub(crate) fn evict_at(&self, idle_limit: Duration) -> MonotonicTime {
        match self.accepted.is_none() && self.result.is_none() {
            true => self.expires.min(self.last_step + idle_limit),
            false => self.expires,
        }
    }

    /// Returns the state of the record as of `now`.
    pub(crate) fn view(&self, now: MonotonicTime) -> RecordView {
        RecordView {
            promised: self.promised,
            accepted: self.accepted,
            result: self.result.as_deref().cloned(),
            released: self.released.clone(),
            denied_age: self.denied_at.map(|at| now.since(at)),
        }
    }

    /// First step: promises not to accept lower ballots.
    pub(crate) fn prepare(&mut self, ballot: Ballot, now: MonotonicTime) -> RecordVote {
        let agreed = self.admits(&ballot);
        if agreed {
            self.promised = Some(ballot);
        }
        RecordVote { agreed, view: self.view(now) }
    }

    /// Second step: records that the ballot's attempt may run from now on.
    pub(crate) fn accept(&mut self, acceptance: Acceptance, now: MonotonicTime) -> RecordVote {
        let agreed = self.admits(&acceptance.ballot);
        if agreed {
            self.promised = Some(acceptance.ballot);
            self.accepted = Some(acceptance);
        }
        RecordVote { agreed, view: self.view(now) }
    }

    fn admits(&self, ballot: &Ballot) -> bool {
        let follows = self.promised.is_none_or(|promised| self.may_replace(&promised, ballot));
        let released = self.released.contains(&ballot.attempt);
        self.result.is_none() && follows && !released
    }

    /// Returns true if `ballot` may replace the promise. A released attempt never runs, so another
    /// attempt may use its counter. The promise itself is kept: without it, a lower ballot could be
    /// accepted here after a higher one was granted elsewhere on the strength of a promise made
    /// here, and both would run.
    fn may_replace(&self, promised: &Ballot, ballot: &Ballot) -> bool {
        let is_released = self.released.contains(&promised.attempt);
        ballot.may_follow(promised) || (is_released && ballot.counter == promised.counter)
    }

    /// Records that `attempt` has not run and never will. With `deny`, also records that a caller
    /// may be told so from now on. Returns true if, as far as this replica knows, no other attempt
    /// may have run either.
    pub(crate) fn release(&mut self, attempt: AttemptId, deny: bool, now: MonotonicTime) -> bool {
        if self.accepted.is_some_and(|accepted| accepted.ballot.attempt == attempt) {
            self.accepted = None;
        }
        if deny {
            self.denied_at = Some(now);
        }
        self.remember_released(attempt);
        self.accepted.is_none() && self.result.is_none()
    }

    fn remember_released(&mut self, attempt: AttemptId) {
        if !self.released.contains(&attempt) {
            self.released.push(attempt);
        }
        if self.released.len() > MAX_RELEASED {
            self.released.remove(0);
        }
    }

    /// Merges another replica's state of the key. `now` is this replica's time.
    pub(crate) fn merge(&mut self, view: RecordView, now: MonotonicTime) {
        let denied = view.denied_age.map(|age| MonotonicTime(now.0.saturating_sub(age)));
        self.denied_at = self.denied_at.max(denied);
        self.promised = later_ballot(self.promised, view.promised);
        view.released.iter().for_each(|attempt| self.remember_released(*attempt));
        if let Some(result) = view.result {
            self.merge_result(view.accepted, result);
        }
        if self.result.is_some() {
            return;
        }
        self.accepted = later_acceptance(self.accepted, view.accepted)
            .filter(|accepted| !self.released.contains(&accepted.ballot.attempt));
    }

    /// Merges a result. A stored answer replaces [`RunResult::Unkept`].
    fn merge_result(&mut self, accepted: Option<Acceptance>, result: RunResult) {
        let better = matches!(result, RunResult::Answered(_))
            && matches!(self.result.as_deref(), Some(RunResult::Unkept));
        if self.result.is_none() || better {
            self.accepted = accepted;
            self.result = Some(Box::new(result));
        }
    }

    /// Records the result of the chosen attempt. Its gateway knows that it was chosen, so this
    /// overrides whatever the replica accepted: the replica may have missed the choice.
    pub(crate) fn finish(&mut self, acceptance: Acceptance, result: RunResult) {
        if self.result.is_some() {
            return;
        }
        self.accepted = Some(acceptance);
        self.result = Some(Box::new(result));
    }
}

fn later_ballot(ours: Option<Ballot>, theirs: Option<Ballot>) -> Option<Ballot> {
    match (ours, theirs) {
        (Some(our), Some(their)) if their.counter > our.counter => Some(their),
        (Some(our), _) => Some(our),
        (None, theirs) => theirs,
    }
}

fn later_acceptance(ours: Option<Acceptance>, theirs: Option<Acceptance>) -> Option<Acceptance> {
    match (ours, theirs) {
        (Some(our), Some(their)) if their.ballot.counter > our.ballot.counter => Some(their),
        (Some(our), _) => Some(our),
        (None, theirs) => theirs,
    }
}
