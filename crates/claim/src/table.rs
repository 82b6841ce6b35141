//! All records of one replica, bounded in number, in time and in bytes of answers.

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

/// About the encoded bytes of a record without its answer; only sizes the pages of copies.
const RECORD_BYTES: usize = 100;

/// A key as replicas see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeyScope {
    pub(crate) digest: ClaimDigest,
    /// When the key was made, where it says so; opaque keys do not.
    pub(crate) made: Option<WallMillis>,
}

/// The time of a step at a replica, by both clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepTime {
    pub(crate) now: MonotonicTime,
    pub(crate) wall: WallMillis,
}

/// A record on its way to another replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CopiedRecord {
    pub(crate) scope: KeyScope,
    /// How long the record is still kept.
    pub(crate) left: Duration,
    pub(crate) view: RecordView,
}

impl CopiedRecord {
    /// What a replica outside of the claim region may hold of it.
    pub(crate) fn without_answer(mut self) -> Self {
        self.view.result = self.view.result.map(RunResult::without_answer);
        self
    }
}

/// Why a replica has no say on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AbstainReason {
    /// The key is older than the window, or than keys already forgotten.
    Expired,
    /// The key's time is too far ahead of the replica's clock.
    FromFuture,
    /// The replica lost its memory and may have voted on this key before.
    Blind,
    /// No further record fits.
    Full,
    /// The gateway and the replica go by different groups.
    WrongGroup,
    /// The replica restarted between the two steps of the claim.
    Restarted,
}

impl AbstainReason {
    /// Whether the reason may go away within a second: a change of members takes a moment to reach
    /// every process, and a copy of the claims takes a moment too.
    pub(crate) fn passes_soon(self) -> bool {
        matches!(self, Self::Blind | Self::WrongGroup | Self::Restarted)
    }

    /// The reason in words, for errors.
    pub(crate) fn text(self) -> &'static str {
        match self {
            AbstainReason::Expired => "the key is past the retention window",
            AbstainReason::FromFuture => "the key was made ahead of a replica's clock",
            AbstainReason::Blind => "a restarted replica has not yet copied the claims",
            AbstainReason::Full => "a replica holds as many claims as its settings allow",
            AbstainReason::WrongGroup => "the group of replicas is changing",
            AbstainReason::Restarted => "a replica restarted meanwhile",
        }
    }
}

/// A replica's records.
pub(crate) struct ClaimTable {
    settings: ClaimSettings,
    records: BTreeMap<ClaimDigest, ClaimRecord>,
    /// One entry for each record: when to see whether it may be forgotten, at the latest.
    eviction_queue: BinaryHeap<Reverse<(MonotonicTime, ClaimDigest)>>,
    /// Keys with a stored answer, oldest first.
    answer_queue: VecDeque<ClaimDigest>,
    answer_bytes: usize,
    /// The latest making of a forgotten key. Keys up to it count as expired whatever the wall
    /// clock says: after a step back it would call forgotten keys young again, and they would run
    /// twice.
    forgotten: WallMillis,
}

impl ClaimTable {
    /// An empty table.
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

    /// Records held.
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

    /// First step of a claim.
    pub(crate) fn prepare(
        &mut self,
        scope: &KeyScope,
        ballot: Ballot,
        time: StepTime,
    ) -> Result<RecordVote, AbstainReason> {
        let record = self.record(scope, time)?;
        Ok(record.prepare(ballot, time.now))
    }

    /// Second step of a claim.
    pub(crate) fn accept(
        &mut self,
        scope: &KeyScope,
        acceptance: Acceptance,
        time: StepTime,
    ) -> Result<RecordVote, AbstainReason> {
        let record = self.record(scope, time)?;
        Ok(record.accept(acceptance, time.now))
    }

    /// An attempt gave up; see [`ClaimRecord::release`].
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

    /// The chosen attempt ended.
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

    /// A page of records after `cursor`, of about `limit` bytes, and the cursor of the next page.
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

    /// Takes over a record from another replica, whatever the bound on claims: a replica that
    /// lacked it would vote as if the key were free.
    pub(crate) fn merge(&mut self, copy: CopiedRecord, now: MonotonicTime) {
        let CopiedRecord { scope, left, view } = copy;
        let record = self.entry(&scope, now, now + left);
        let before = record.result.as_deref().map_or(0, answer_size);
        record.merge(view, now);
        let after = record.result.as_deref().map_or(0, answer_size);
        self.enqueue_answer(scope.digest, after - before);
    }

    /// The latest making of a forgotten key.
    pub(crate) fn forgotten(&self) -> WallMillis {
        self.forgotten
    }

    /// Counts keys made up to `made` as forgotten, because another replica forgot them.
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

    /// A key that has a record is decided by it, whatever the wall clock says by now.
    fn check_new(&self, scope: &KeyScope, wall: WallMillis) -> Result<(), AbstainReason> {
        self.check_time(scope, wall)?;
        match self.records.len() < self.settings.claim_limit {
            true => Ok(()),
            false => Err(AbstainReason::Full),
        }
    }

    /// Forgets records whose time has passed: the window, or, where nobody may have run, the time in
    /// which a send may wait. Refused orders would otherwise fill the table for a day, and then new
    /// orders would be refused for want of room. By monotonic time: a wall clock that steps ahead by
    /// a day would otherwise empty the table at once.
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

/// Whole milliseconds of `duration`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
