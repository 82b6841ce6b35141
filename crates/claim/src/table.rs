//! The records of one replica, bounded by number, age and total size of answers.

use {
    crate::{
        ClaimDigest, ClaimSettings, RunResult,
        record::{Acceptance, AttemptId, Ballot, ClaimRecord, RecordView, RecordVote},
    },
    gullglade_units::{MonotonicTime, WallMillis},
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        ops::Bound,
        time::Duration,
    },
};

/// Approximate encoded size in bytes of a record without its answer, used to size the pages of
/// copies.
const RECORD_BYTES: usize = 100;

/// A key as identified to replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeyScope {
    pub(crate) digest: ClaimDigest,
    /// Creation time of the key. `None` for opaque keys.
    pub(crate) made: Option<WallMillis>,
}

/// Monotonic and wall clock at the time of a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepTime {
    pub(crate) now: MonotonicTime,
    pub(crate) wall: WallMillis,
}

/// A record as sent to another replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CopiedRecord {
    pub(crate) scope: KeyScope,
    /// Remaining time until the record expires.
    pub(crate) left: Duration,
    pub(crate) view: RecordView,
}

impl CopiedRecord {
    /// Removes the answer, which replicas outside the claim region must not hold.
    pub(crate) fn without_answer(mut self) -> Self {
        self.view.result = self.view.result.map(RunResult::without_answer);
        self
    }
}

/// The reason why a replica does not vote on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AbstainReason {
    /// The key is older than the retention window, or not newer than a key already evicted.
    Expired,
    /// The key's creation time is too far ahead of the replica's clock.
    FromFuture,
    /// The replica has lost its state and may have voted on this key before.
    Blind,
    /// The table is full.
    Full,
    /// The gateway and the replica use different epochs of the group, or the epoch is over.
    WrongGroup,
    /// The replica restarted between the two steps of the claim.
    Restarted,
}

impl AbstainReason {
    /// Returns true if the reason may disappear within a second: a change of members takes a moment
    /// to reach every process, as does a copy of the claims.
    pub(crate) fn passes_soon(self) -> bool {
        matches!(self, Self::Blind | Self::WrongGroup | Self::Restarted)
    }

    /// Text of the reason for error messages.
    pub(crate) fn text(self) -> &'static str {
        match self {
            AbstainReason::Expired => "the key is past the retention window",
            AbstainReason::FromFuture => "the key was created ahead of a replica's clock",
            AbstainReason::Blind => "a restarted replica has not yet copied the claims",
            AbstainReason::Full => "a replica has reached its limit on claims",
            AbstainReason::WrongGroup => "the group of replicas is changing",
            AbstainReason::Restarted => "a replica restarted during the claim",
        }
    }
}

/// The records of one replica.
pub(crate) struct ClaimTable {
    settings: ClaimSettings,
    records: BTreeMap<ClaimDigest, ClaimRecord>,
    /// One entry for each record: the latest time at which to check it for eviction.
    eviction_queue: BinaryHeap<Reverse<(MonotonicTime, ClaimDigest)>>,
    /// Keys with a stored answer, oldest first.
    answer_queue: VecDeque<ClaimDigest>,
    answer_bytes: usize,
    /// The latest creation time of an evicted key. Keys up to it count as expired whatever the wall
    /// clock says: after a step back of the clock, evicted keys would look recent and would run
    /// twice.
    forgotten: WallMillis,
}

impl ClaimTable {
    /// Creates an empty table.
    pub(crate) fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            eviction_queue: BinaryHeap::new(),
            answer_queue: VecDeque::new(),
            answer_bytes: 0,
            forgotten: WallMillis(0),
        }
    }

    /// Number of records.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    fn check_time(&self, scope: &KeyScope, wall: WallMillis) -> Result<(), AbstainReason> {
        let Some(made) = scope.made else { return Ok(()) };
        if made <= self.forgotten || wall.0 > made.0 + millis(self.settings.window) {
            return Err(AbstainReason::Expired);
        }
        if made.0 > wall.0 + millis(self.settings.key_ahead) {
            return Err(AbstainReason::FromFuture);
        }
        Ok(())
    }

    /// Handles the first step of a claim.
    pub(crate) fn prepare(
        &mut self,
        scope: &KeyScope,
        ballot: Ballot,
        time: StepTime,
    ) -> Result<RecordVote, AbstainReason> {
        let record = self.record(scope, time)?;
        Ok(record.prepare(ballot, time.now))
    }

    /// Handles the second step of a claim.
    pub(crate) fn accept(
        &mut self,
        scope: &KeyScope,
        acceptance: Acceptance,
        time: StepTime,
    ) -> Result<RecordVote, AbstainReason> {
        let record = self.record(scope, time)?;
        Ok(record.accept(acceptance, time.now))
    }

    /// Releases an attempt; see [`ClaimRecord::release`].
    pub(crate) fn release(
        &mut self,
        scope: &KeyScope,
        attempt: AttemptId,
        deny: bool,
        time: StepTime,
    ) -> Result<bool, AbstainReason> {
        let record = self.record(scope, time)?;
        Ok(record.release(attempt, deny, time.now))
    }

    /// Records the result of the chosen attempt.
    pub(crate) fn finish(
        &mut self,
        scope: &KeyScope,
        acceptance: Acceptance,
        result: RunResult,
        time: StepTime,
    ) -> Result<(), AbstainReason> {
        let record = self.record(scope, time)?;
        if record.result.is_some() {
            return Ok(());
        }
        let size = answer_size(&result);
        record.finish(acceptance, result);
        self.enqueue_answer(scope.digest, size);
        Ok(())
    }

    /// Returns a page of about `limit` bytes of the records after `cursor`, and the cursor of the
    /// next page.
    pub(crate) fn page(
        &self,
        cursor: Option<ClaimDigest>,
        limit: usize,
        now: MonotonicTime,
    ) -> (Vec<CopiedRecord>, Option<ClaimDigest>) {
        let from = cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let mut copies = Vec::new();
        let mut size = 0;
        for (digest, record) in self.records.range((from, Bound::Unbounded)) {
            if size >= limit {
                let next = last_digest(&copies);
                return (copies, Some(next));
            }
            size += RECORD_BYTES + record.result.as_deref().map_or(0, answer_size);
            copies.push(CopiedRecord {
                scope: KeyScope { digest: *digest, made: record.made },
                left: record.expires.since(now),
                view: record.view(now),
            });
        }
        (copies, None)
    }

    /// Merges a record from another replica. The limit on claims does not apply: a replica without
    /// the record would vote as if the key were free.
    pub(crate) fn merge(&mut self, copy: CopiedRecord, now: MonotonicTime) {
        let CopiedRecord { scope, left, view } = copy;
        let record = self.entry(&scope, now, now + left);
        let before = record.result.as_deref().map_or(0, answer_size);
        record.merge(view, now);
        let after = record.result.as_deref().map_or(0, answer_size);
        self.enqueue_answer(scope.digest, after - before);
    }

    /// Returns the latest creation time of an evicted key.
    pub(crate) fn forgotten(&self) -> WallMillis {
        self.forgotten
    }

    /// Treats keys created up to `made` as evicted, because another replica evicted them.
    pub(crate) fn raise_forgotten(&mut self, made: WallMillis) {
        self.forgotten = self.forgotten.max(made);
    }

    fn record(
        &mut self,
        scope: &KeyScope,
        time: StepTime,
    ) -> Result<&mut ClaimRecord, AbstainReason> {
        self.evict_due(time.now);
        if !self.records.contains_key(&scope.digest) {
            self.check_new(scope, time.wall)?;
        }
        Ok(self.entry(scope, time.now, time.now + self.settings.retention()))
    }

    fn entry(
        &mut self,
        scope: &KeyScope,
        now: MonotonicTime,
        expires: MonotonicTime,
    ) -> &mut ClaimRecord {
        let (eviction_queue, idle) = (&mut self.eviction_queue, self.settings.idle_limit());
        let record = self.records.entry(scope.digest).or_insert_with(|| {
            let record = ClaimRecord::new(scope.made, now, expires);
            eviction_queue.push(Reverse((record.evict_at(idle), scope.digest)));
            record
        });
        record.last_step = now;
        record
    }

    /// Checks that a key without a record may get one. A key that has a record is decided by the
    /// record, whatever the wall clock says.
    fn check_new(&self, scope: &KeyScope, wall: WallMillis) -> Result<(), AbstainReason> {
        self.check_time(scope, wall)?;
        match self.records.len() < self.settings.claim_limit {
            true => Ok(()),
            false => Err(AbstainReason::Full),
        }
    }

    /// Evicts expired records: those past the retention window, and earlier those of keys under
    /// which nobody may have run. The latter would otherwise fill the table for a day with refused
    /// orders, and new orders would be refused for lack of space. Expiry uses monotonic time: a
    /// wall clock that steps ahead by a day would otherwise empty the table at once.
    fn evict_due(&mut self, now: MonotonicTime) {
        let idle = self.settings.idle_limit();
        while let Some(Reverse((time, digest))) = self.eviction_queue.peek().copied() {
            if time > now {
                break;
            }
            self.eviction_queue.pop();
            match self.records.get(&digest).map(|record| record.evict_at(idle)) {
                Some(due) if due > now => self.eviction_queue.push(Reverse((due, digest))),
                _ => self.evict(&digest, now),
            }
        }
    }

    fn evict(&mut self, digest: &ClaimDigest, now: MonotonicTime) {
        let Some(record) = self.records.remove(digest) else { return };
        if record.expires <= now {
            self.forgotten = self.forgotten.max(record.made.unwrap_or_default());
        }
        self.answer_bytes -= record.result.as_deref().map_or(0, answer_size);
        while self.answer_queue.front().is_some_and(|digest| !self.records.contains_key(digest)) {
            self.answer_queue.pop_front();
        }
    }

    fn enqueue_answer(&mut self, digest: ClaimDigest, size: usize) {
        if size == 0 {
            return;
        }
        self.answer_queue.push_back(digest);
        self.answer_bytes += size;
        while self.answer_bytes > self.settings.answer_budget {
            let Some(oldest) = self.answer_queue.pop_front() else { break };
            self.drop_answer(&oldest);
        }
    }

    fn drop_answer(&mut self, digest: &ClaimDigest) {
        let Some(result) = self.records.get_mut(digest).and_then(|r| r.result.as_deref_mut())
        else {
            return;
        };
        self.answer_bytes -= answer_size(result);
        if matches!(result, RunResult::Answered(_)) {
            *result = RunResult::Unkept;
        }
    }
}

fn last_digest(copies: &[CopiedRecord]) -> ClaimDigest {
    copies.last().expect("a page ends only after a record").scope.digest
}

fn answer_size(result: &RunResult) -> usize {
    match result {
        RunResult::Answered(answer) => answer.size(),
        RunResult::Unkept | RunResult::Unknown => 0,
    }
}

/// Returns `duration` in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
