//! What a backend server states of itself with the head of an answer, and what is kept of it.

use {
    crate::{BackendReport, StatedLimit, StatedRest, limit::LimitRecord, rest::RestRecord},
    gullglade_units::MonotonicTime,
};

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
    pub rest: Option<StatedRest>,
}

/// A statement that differs from what was known of the same run before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatementChange {
    /// It states another limit, or none any more.
    Limit(Option<StatedLimit>),
    /// It asks for rest, or for a longer one.
    Rest(StatedRest),
}

/// What one run of a backend server has stated, beside its load.
#[derive(Clone, Debug, Default)]
pub(crate) struct StatementRecord {
    pub(crate) limit: LimitRecord,
    pub(crate) rest: RestRecord,
}

impl StatementRecord {
    /// Takes the statements of an answer that came at `came`; what is new of them.
    pub(crate) fn note(
        &mut self,
        statements: &BackendStatements,
        came: MonotonicTime,
    ) -> Vec<StatementChange> {
        let mut changes = Vec::new();
        let BackendStatements { is_signed, load: _, limit, rest } = *statements;
        if (is_signed || limit.is_some()) && self.limit.note(limit, came) {
            changes.push(StatementChange::Limit(limit));
        }
        if let Some(rest) = rest.filter(|rest| self.rest.note(*rest, came)) {
            changes.push(StatementChange::Rest(rest));
        }
        changes
    }
}
