//! Statements that a backend server makes about itself in the head of an answer.

use {
    crate::{
        BackendReport, RejectionLimit, StatedBackoff, StatedLimit, backoff::BackoffRecord,
        limit::LimitRecord,
    },
    gullglade_units::{BackendRun, MonotonicTime},
    std::{collections::BTreeMap, time::Duration},
};

/// Statements of a run that is no longer announced are kept for this long. Announcements may be
/// lost for a while, and the statements stay in force meanwhile.
const RETENTION: Duration = Duration::from_secs(600);

/// The validated statements of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendStatements {
    /// Whether the answer is signed by the backend server. Only then does a missing statement
    /// revoke an earlier one. An unsigned rejection may come from an intermediary.
    pub is_signed: bool,
    /// The load of the backend server.
    pub load: Option<BackendReport>,
    /// The requests per second that it takes from all gateways together.
    pub limit: Option<StatedLimit>,
    /// The time for which it wants no requests from this gateway.
    pub backoff: Option<StatedBackoff>,
    /// The rejections within a second, beyond which it ends.
    pub rejection_limit: Option<RejectionLimit>,
    /// Whether it is leaving: it finishes its requests and accepts no new ones.
    pub is_leaving: bool,
    /// How long it stays cold; zero if it is warm.
    pub cold_left: Option<Duration>,
}

/// A statement that changes what was known of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatementChange {
    /// The limit was changed, or lifted if `None`.
    Limit(Option<StatedLimit>),
    /// A back-off was requested or extended.
    Backoff(StatedBackoff),
    /// The rejection limit was changed, or lifted if `None`.
    RejectionLimit(Option<RejectionLimit>),
    /// The run is leaving.
    Leaving,
}

impl StatementChange {
    /// Returns whether requests that have not reached the backend server yet have to be withdrawn.
    pub fn ends_sends(self) -> bool {
        match self {
            Self::Limit(_) | Self::RejectionLimit(_) => false,
            Self::Backoff(_) | Self::Leaving => true,
        }
    }
}

/// The statements of one run, except for its load and how long it is cold.
#[derive(Clone, Debug, Default)]
pub(crate) struct StatementRecord {
    pub(crate) limit: LimitRecord,
    pub(crate) backoff: BackoffRecord,
    pub(crate) rejection_limit: Option<RejectionLimit>,
    /// Never reset, because a run that is leaving does not come back.
    pub(crate) is_leaving: bool,
}

impl StatementRecord {
    /// Records the statements of an answer that was received at `received`, and returns those that
    /// changed.
    pub(crate) fn note(
        &mut self,
        statements: &BackendStatements,
        received: MonotonicTime,
    ) -> Vec<StatementChange> {
        let mut changes = Vec::new();
        let BackendStatements {
            is_signed,
            load: _,
            limit,
            backoff,
            rejection_limit,
            is_leaving,
            cold_left: _,
        } = *statements;
        if (is_signed || limit.is_some()) && self.limit.note(limit, received) {
            changes.push(StatementChange::Limit(limit));
        }
        let has_rejection_limit = is_signed || rejection_limit.is_some();
        if has_rejection_limit
            && std::mem::replace(&mut self.rejection_limit, rejection_limit) != rejection_limit
        {
            changes.push(StatementChange::RejectionLimit(rejection_limit));
        }
        if let Some(backoff) = backoff.filter(|backoff| self.backoff.note(*backoff, received)) {
            changes.push(StatementChange::Backoff(backoff));
        }
        if is_leaving && !std::mem::replace(&mut self.is_leaving, true) {
            changes.push(StatementChange::Leaving);
        }
        changes
    }
}

/// Statements of runs that are not announced at the moment.
#[derive(Debug, Default)]
pub(crate) struct RetainedStatements {
    records: BTreeMap<BackendRun, (StatementRecord, MonotonicTime)>,
}

impl RetainedStatements {
    /// Keeps the statements of a run that is no longer announced.
    pub(crate) fn retain(&mut self, run: BackendRun, record: StatementRecord, now: MonotonicTime) {
        self.records.insert(run, (record, now));
    }

    /// Records the statements of an answer from such a run, and returns those that changed.
    pub(crate) fn note(
        &mut self,
        run: &BackendRun,
        statements: &BackendStatements,
        received: MonotonicTime,
    ) -> Vec<StatementChange> {
        let (record, since) = self.records.entry(run.clone()).or_default();
        *since = received;
        record.note(statements, received)
    }

    /// Records that such a run is leaving, as reported by another gateway.
    pub(crate) fn note_leaving(&mut self, run: BackendRun, now: MonotonicTime) {
        let (record, since) = self.records.entry(run).or_default();
        (record.is_leaving, *since) = (true, now);
    }

    /// Removes and returns the statements of a run that is announced again.
    pub(crate) fn take(&mut self, run: &BackendRun) -> StatementRecord {
        self.records.remove(run).map(|(record, _)| record).unwrap_or_default()
    }

    /// Drops statements that are older than the retention time.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        self.records.retain(|_, (_, since)| now.since(*since) < RETENTION);
    }
}
