//! The history of sends and runs, and the check of its consistency.

use {
    gullglade_claim::StoredAnswer,
    gullglade_units::{MonotonicTime, OrderKey},
    std::collections::BTreeMap,
};

/// Identifies one send. Sends are numbered in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SendId(pub(crate) usize);

/// The outcome reported to a caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ReportedOutcome {
    Answer(StoredAnswer),
    /// The order ran, but its answer is not stored.
    Ran,
    NotRun,
    Unknown,
    Mismatch,
}

#[derive(Clone, Debug)]
struct SendRecord {
    key: OrderKey,
    body: String,
    sent: MonotonicTime,
    /// The reported outcome, and the earliest time at which the gateway began to establish it.
    reported: Option<(MonotonicTime, ReportedOutcome)>,
}

#[derive(Clone, Debug)]
struct RunRecord {
    send: SendId,
    at: MonotonicTime,
    answer: StoredAnswer,
}

/// All sends and runs of all keys.
#[derive(Default, Debug)]
pub(crate) struct ClaimHistory {
    sends: Vec<SendRecord>,
    runs: BTreeMap<OrderKey, Vec<RunRecord>>,
}

impl ClaimHistory {
    pub(crate) fn sent(&mut self, key: &OrderKey, body: &str, at: MonotonicTime) -> SendId {
        let (key, body) = (key.clone(), body.to_owned());
        self.sends.push(SendRecord { key, body, sent: at, reported: None });
        SendId(self.sends.len() - 1)
    }

    /// Records that a backend server runs a send's request.
    pub(crate) fn ran(&mut self, send: SendId, at: MonotonicTime, answer: &StoredAnswer) {
        let key = self.sends[send.0].key.clone();
        self.runs.entry(key).or_default().push(RunRecord { send, at, answer: answer.clone() });
    }

    /// Records the outcome reported to a caller, which was established at `since` or later.
    pub(crate) fn reported(
        &mut self,
        send: SendId,
        since: MonotonicTime,
        outcome: ReportedOutcome,
    ) {
        self.sends[send.0].reported = Some((since, outcome));
    }

    pub(crate) fn outcome(&self, send: SendId) -> Option<ReportedOutcome> {
        self.sends[send.0].reported.clone().map(|(_, outcome)| outcome)
    }

    pub(crate) fn runs(&self, key: &OrderKey) -> usize {
        self.runs.get(key).map_or(0, Vec::len)
    }

    pub(crate) fn sends(&self) -> usize {
        self.sends.len()
    }

    pub(crate) fn total_runs(&self) -> usize {
        self.runs.values().map(Vec::len).sum()
    }

    pub(crate) fn count(&self, outcome: impl Fn(&ReportedOutcome) -> bool) -> usize {
        let reported = self.sends.iter().filter_map(|send| send.reported.as_ref());
        reported.filter(|(_, reported)| outcome(reported)).count()
    }

    /// Returns a description of the first violation, if any: a key run twice, a "not run" for a key
    /// that ran, or an answer that is not that of the run.
    pub(crate) fn violation(&self) -> Option<String> {
        let doubly_run = self.runs.iter().find(|(_, runs)| runs.len() > 1);
        if let Some((key, runs)) = doubly_run {
            return Some(format!("{key} ran {} times: {runs:?}", runs.len()));
        }
        self.sends.iter().enumerate().find_map(|(index, send)| {
            let (since, outcome) = send.reported.as_ref()?;
            let run = self.runs.get(&send.key).and_then(|runs| runs.first());
            let is_violated = match outcome {
                ReportedOutcome::NotRun => {
                    run.is_some_and(|run| self.contradicts_denial(run, *since))
                }
                ReportedOutcome::Answer(answer) => run.is_none_or(|run| run.answer != *answer),
                ReportedOutcome::Ran => run.is_none(),
                ReportedOutcome::Mismatch => {
                    run.is_none_or(|run| self.sends[run.send.0].body == send.body)
                }
                ReportedOutcome::Unknown => false,
            };
            is_violated
                .then(|| format!("send {index} of {} was told {outcome:?}: {run:?}", send.key))
        })
    }

    /// Returns true if the run contradicts a reported "not run" that the gateway began to establish
    /// at `since`: a send received before that ran, at whatever time.
    fn contradicts_denial(&self, run: &RunRecord, since: MonotonicTime) -> bool {
        run.at <= since || self.sends[run.send.0].sent <= since
    }
}
