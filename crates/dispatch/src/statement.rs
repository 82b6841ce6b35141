//! What a backend server states of itself with the head of an answer, and what is kept of it.

use {
    crate::{
        BackendReport, StatedBackoff, StatedLimit, backoff::BackoffRecord, limit::LimitRecord,
    },
    gullglade_units::{BackendRun, MonotonicTime},
    std::{collections::BTreeMap, time::Duration},
};

/// How long the statements of a run are retained that is announced no more: announcements may fail
/// to arrive for a while, and what it stated binds all the same.
const RETENTION: Duration = Duration::from_secs(600);

/// The statements of one answer. Each was checked when it was read.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendStatements {
    /// The answer bears the backend server's signature: what it does not state holds no longer. A
    /// rejection without one may have come from something in front of it.
    pub is_signed: bool,
    /// Its load.
    pub load: Option<BackendReport>,
    /// The requests a second that it takes from all gateways together.
    pub limit: Option<StatedLimit>,
    /// It wants nothing from this gateway for so long.
    pub backoff: Option<StatedBackoff>,
    /// It leaves: it finishes what it has, and wants nothing new.
    pub is_leaving: bool,
}

/// A statement that differs from what was known of the same run before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatementChange {
    /// It states another limit, or none any more.
    Limit(Option<StatedLimit>),
    /// It requests a back-off, or a longer one.
    Backoff(StatedBackoff),
    /// It leaves.
    Leaving,
}

impl StatementChange {
    /// Whether the backend server wants nothing more that has not reached it yet.
    pub fn ends_sends(self) -> bool {
        match self {
            Self::Limit(_) => false,
            Self::Backoff(_) | Self::Leaving => true,
        }
    }
}

/// What one run of a backend server has stated, beside its load.
#[derive(Clone, Debug, Default)]
pub(crate) struct StatementRecord {
    pub(crate) limit: LimitRecord,
    pub(crate) backoff: BackoffRecord,
    /// A run that leaves does not come back, whatever is said of it later.
    pub(crate) is_leaving: bool,
}

impl StatementRecord {
    /// Takes the statements of an answer that came at `came`; what is new of them.
    pub(crate) fn note(
        &mut self,
        statements: &BackendStatements,
        came: MonotonicTime,
    ) -> Vec<StatementChange> {
        let mut changes = Vec::new();
        let BackendStatements { is_signed, load: _, limit, backoff, is_leaving } = *statements;
        if (is_signed || limit.is_some()) && self.limit.note(limit, came) {
            changes.push(StatementChange::Limit(limit));
        }
        if let Some(backoff) = backoff.filter(|backoff| self.backoff.note(*backoff, came)) {
            changes.push(StatementChange::Backoff(backoff));
        }
        if is_leaving && !std::mem::replace(&mut self.is_leaving, true) {
            changes.push(StatementChange::Leaving);
        }
        changes
    }
}

/// What runs have stated that are not announced at the moment.
#[derive(Debug, Default)]
pub(crate) struct RetainedStatements {
    records: BTreeMap<BackendRun, (StatementRecord, MonotonicTime)>,
}

impl RetainedStatements {
    /// Retains what a run has stated that is announced no more.
    pub(crate) fn keep(&mut self, run: BackendRun, stated: StatementRecord, now: MonotonicTime) {
        self.records.insert(run, (stated, now));
    }

    /// Takes the statements of an answer of such a run; what is new of them.
    pub(crate) fn note(
        &mut self,
        run: &BackendRun,
        statements: &BackendStatements,
        came: MonotonicTime,
    ) -> Vec<StatementChange> {
        let (stated, since) = self.records.entry(run.clone()).or_default();
        *since = came;
        stated.note(statements, came)
    }

    /// Notes that such a run leaves, as another gateway told.
    pub(crate) fn note_leaving(&mut self, run: BackendRun, now: MonotonicTime) {
        let (stated, since) = self.records.entry(run).or_default();
        (stated.is_leaving, *since) = (true, now);
    }

    /// What a run has stated that is announced again.
    pub(crate) fn take(&mut self, run: &BackendRun) -> StatementRecord {
        self.records.remove(run).map(|(stated, _)| stated).unwrap_or_default()
    }

    /// Drops what has been retained for long enough.
    pub(crate) fn drop_old(&mut self, now: MonotonicTime) {
        self.records.retain(|_, (_, since)| now.since(*since) < RETENTION);
    }
}
