//! The outcomes of changes, retained so that a resend receives the first one.

use {
    crate::change::{ChangeRefusal, ChangeTarget, ConfigOutcome, IdentifiedChange},
    gullglade_units::{ChangeId, WallMillis, encode},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// The retention period of outcomes, in days.
pub const OUTCOME_DAYS: u64 = 7;

const DAY_MILLIS: u64 = 24 * 60 * 60 * 1_000;

/// The maximum number of retained outcomes: ten days at 4,900 changes a day. A flood of changes
/// shortens the retention period instead of exhausting memory.
const MAX_OUTCOMES: usize = 50_000;

/// The contents of a change, by which the reuse of an id for a different change is detected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ChangeSubject {
    target: ChangeTarget,
    base: u64,
    length: Option<u64>,
    checksum: u32,
}

impl From<IdentifiedChange<'_>> for ChangeSubject {
    fn from(change: IdentifiedChange<'_>) -> Self {
        let target = change.target();
        match change {
            IdentifiedChange::Service(request) => {
                let text = request.text.as_deref();
                Self {
                    target,
                    base: request.base,
                    length: text.map(|t| t.len() as u64),
                    checksum: crc32fast::hash(text.unwrap_or_default().as_bytes()),
                }
            }
            IdentifiedChange::ClaimGroup(request) => {
                let content = encode(&(&request.members, &request.retired));
                let length = Some(content.len() as u64);
                Self { target, base: request.base, length, checksum: crc32fast::hash(&content) }
            }
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct KeptOutcome {
    subject: ChangeSubject,
    outcome: ConfigOutcome,
}

/// Outcomes by change id. The oldest are evicted first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OutcomeTable {
    kept: BTreeMap<ChangeId, KeptOutcome>,
    order: VecDeque<(WallMillis, ChangeId)>,
    /// The time of the newest evicted outcome. An id created at or before that time may belong to
    /// an evicted one.
    dropped: Option<WallMillis>,
}

impl OutcomeTable {
    /// Returns the recorded outcome of a change, or the refusal of an id that is reused or expired.
    /// Returns `None` if the change is new.
    pub(super) fn recorded_outcome(
        &self,
        change: IdentifiedChange<'_>,
    ) -> Option<Result<ConfigOutcome, ChangeRefusal>> {
        if let Some(kept) = self.kept.get(change.id()) {
            return Some(kept.resolve(change));
        }
        let made = change.id().made()?;
        if self.dropped.is_none_or(|dropped| made > dropped) {
            return None;
        }
        Some(Err(ChangeRefusal::IdExpired {
            id: change.id().clone(),
            target: change.target(),
            days: OUTCOME_DAYS,
        }))
    }

    /// Records the outcome of a new change, decided at `wall`.
    pub(super) fn record(
        &mut self,
        change: IdentifiedChange<'_>,
        outcome: ConfigOutcome,
        wall: WallMillis,
    ) {
        let subject = ChangeSubject::from(change);
        self.kept.insert(change.id().clone(), KeptOutcome { subject, outcome });
        self.order.push_back((wall, change.id().clone()));
        self.evict_old(wall);
    }

    fn evict_old(&mut self, now: WallMillis) {
        let limit = now.0.saturating_sub(OUTCOME_DAYS * DAY_MILLIS);
        while let Some((wall, id)) = self.order.front()
            && (wall.0 < limit || self.order.len() > MAX_OUTCOMES)
        {
            self.kept.remove(id);
            self.dropped = self.dropped.max(Some(*wall));
            self.order.pop_front();
        }
    }
}

impl KeptOutcome {
    fn resolve(&self, change: IdentifiedChange<'_>) -> Result<ConfigOutcome, ChangeRefusal> {
        if self.subject == ChangeSubject::from(change) {
            return Ok(self.outcome.clone());
        }
        Err(ChangeRefusal::IdReused {
            id: change.id().clone(),
            target: self.subject.target.clone(),
            base: self.subject.base,
        })
    }
}
