//! Crash history of one prompt part.

use {
    crate::{CrashTrackerSettings, SendEnd, signed_time::SignedTime},
    gullglade_units::BackendRun,
    std::{collections::BTreeSet, time::Duration},
};

/// Maximum number of events kept per part.
const MAX_EVENTS: usize = 32;

/// Maximum number of contents kept per crash; a few tell requests that differ from one that is
/// repeated.
const MAX_CONTENTS: usize = 4;

/// Maximum number of answers kept between two crashes.
const MAX_ANSWERS_IN_ROW: usize = 8;

/// Number of crashes that one answer outweighs. A part that crashes all but a few of the engines is
/// held, and one that is answered now and then while engines crash of other causes is not.
const CRASHES_PER_ANSWER: u32 = 4;

/// Factor on the number of crashes that hold a part that was answered before the first of them.
const ANSWERED_FACTOR: u32 = 2;

/// How a send of a request with the part ended.
pub(crate) enum PartEventKind {
    /// A run crashed before it had answered any of these requests.
    Crash {
        run: BackendRun,
        /// Hashes of the contents of the requests, in order of arrival.
        contents: Vec<u64>,
    },
    /// An answer began. The number identifies it.
    Answer(u64),
}

/// An event in the history of a part.
pub(crate) struct PartEvent {
    pub(crate) at: SignedTime,
    pub(crate) kind: PartEventKind,
}

impl PartEvent {
    /// Returns the event of a reported send; `content` identifies the request.
    pub(crate) fn new(at: SignedTime, end: SendEnd, content: u64) -> Self {
        let kind = match end {
            SendEnd::CutOff(run) => PartEventKind::Crash { run, contents: vec![content] },
            SendEnd::Answered(answer) => PartEventKind::Answer(answer),
        };
        Self { at, kind }
    }

    fn is_answer(&self) -> bool {
        matches!(self.kind, PartEventKind::Answer(_))
    }
}

/// Crash history of one prompt part: the crashes of runs that had begun no answer on it, and the
/// answers that began since the first of them, or shortly before.
#[derive(Default)]
pub(crate) struct PartRecord {
    /// Ordered by time.
    events: Vec<PartEvent>,
    /// Time of the last release; events up to it do not count.
    pub(crate) released_at: Option<SignedTime>,
    /// Number of the last change, and of the last one that this process made itself.
    pub(crate) last_change: u64,
    pub(crate) local_change: u64,
    /// True once the part has been suspect enough to be reported to gateways, which must then be
    /// told of the answers as well.
    pub(crate) is_shared: bool,
}

impl PartRecord {
    /// Adds an event. Returns `true` if it changes the record.
    pub(crate) fn add(&mut self, event: PartEvent) -> bool {
        if self.released_at.is_some_and(|at| event.at <= at) || self.has_answer(&event) {
            return false;
        }
        if let Some(changed) = self.merge_crash(&event) {
            return changed;
        }
        let index = self.events.partition_point(|other| other.at <= event.at);
        if event.is_answer() && self.is_inside_full_row(index) {
            return false;
        }
        self.events.insert(index, event);
        if self.events.len() > MAX_EVENTS {
            self.events.remove(0);
        }
        true
    }

    /// Returns whether the event is an answer that is on record.
    fn has_answer(&self, event: &PartEvent) -> bool {
        self.events.iter().any(|other| match (&other.kind, &event.kind) {
            (PartEventKind::Answer(known), PartEventKind::Answer(new)) => known == new,
            _ => false,
        })
    }

    /// Merges the crash of a run that is known to have crashed, and returns whether this changed
    /// the record; `None` if no crash of this run is known.
    fn merge_crash(&mut self, event: &PartEvent) -> Option<bool> {
        let PartEventKind::Crash { run: new_run, contents: new_contents } = &event.kind else {
            return None;
        };
        let known = self.events.iter_mut().find_map(|other| match &mut other.kind {
            PartEventKind::Crash { run, contents } if run == new_run => Some(contents),
            _ => None,
        })?;
        let mut is_changed = false;
        for content in new_contents {
            if known.len() < MAX_CONTENTS && !known.contains(content) {
                known.push(*content);
                is_changed = true;
            }
        }
        Some(is_changed)
    }

    /// Returns whether an answer at `index` would be inside a row of answers that is full. The
    /// first and the last ones are kept, as a crash between them may be reported later.
    fn is_inside_full_row(&self, index: usize) -> bool {
        let before = self.events[..index].iter().rev().take_while(|event| event.is_answer());
        let after = self.events[index..].iter().take_while(|event| event.is_answer());
        before.count() + after.count() >= MAX_ANSWERS_IN_ROW
    }

    /// Removes the events up to `at` and returns true, unless a release at or after `at` is known.
    pub(crate) fn release(&mut self, at: SignedTime) -> bool {
        if self.released_at.is_some_and(|other| other >= at) {
            return false;
        }
        self.released_at = Some(at);
        self.events.retain(|event| event.at > at);
        true
    }

    pub(crate) fn events(&self) -> impl Iterator<Item = &PartEvent> {
        self.events.iter()
    }

    /// Returns the runs that crashed under the part, and the times of the crashes.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = (&BackendRun, SignedTime)> {
        self.events.iter().filter_map(|event| match &event.kind {
            PartEventKind::Crash { run, .. } => Some((run, event.at)),
            PartEventKind::Answer(_) => None,
        })
    }

    /// Returns the time of the last crash.
    pub(crate) fn last_crash(&self) -> Option<SignedTime> {
        self.crashes().map(|(_, at)| at).max()
    }

    /// Returns the number of crashes that hold the part.
    pub(crate) fn crash_threshold(&self, settings: &CrashTrackerSettings) -> u32 {
        match self.was_answered_before() {
            true => settings.crash_threshold * ANSWERED_FACTOR,
            false => settings.crash_threshold,
        }
    }

    /// Returns whether an answer before the first crash is on record.
    pub(crate) fn was_answered_before(&self) -> bool {
        self.events.first().is_some_and(PartEvent::is_answer)
    }

    /// Returns whether an answer since the last crash is on record.
    pub(crate) fn has_recent_answer(&self) -> bool {
        self.events.last().is_some_and(PartEvent::is_answer)
    }

    /// Returns the evidence against the part: the largest number of crashes in the newest events
    /// that the answers among them do not outweigh.
    ///
    /// Crashes accepted by `is_evidence` count once for each distinct content, so that a request
    /// that is repeated does not incriminate the parts of its prompt; crashes that are close
    /// together count as one.
    pub(crate) fn evidence(
        &self,
        settings: &CrashTrackerSettings,
        is_evidence: impl Fn(&BackendRun, SignedTime) -> bool,
    ) -> u32 {
        let (mut evidence, mut crashes, mut answers) = (0, 0, 0_u32);
        let mut counted_contents = BTreeSet::new();
        let mut next_crash: Option<SignedTime> = None;
        for PartEvent { at, kind } in self.events.iter().rev() {
            let PartEventKind::Crash { run, contents } = kind else {
                answers += 1;
                continue;
            };
            let is_separate =
                next_crash.is_none_or(|next| next.since(*at) >= settings.coincidence_window);
            if !is_separate || !is_evidence(run, *at) {
                continue;
            }
            let Some(content) = contents.iter().find(|c| !counted_contents.contains(*c)) else {
                continue;
            };
            counted_contents.insert(*content);
            next_crash = Some(*at);
            crashes += 1;
            if crashes >= answers * CRASHES_PER_ANSWER {
                evidence = crashes;
            }
        }
        evidence
    }

    /// Returns the hold: it doubles with each crash that followed an earlier hold, and not with the
    /// crashes of requests that were sent before the first.
    pub(crate) fn hold_duration(&self, settings: &CrashTrackerSettings) -> Duration {
        let times: Vec<SignedTime> = self.crashes().map(|(_, at)| at).collect();
        let is_retry = |pair: &&[SignedTime]| pair[1].since(pair[0]) >= settings.hold;
        let retries = times.windows(2).filter(is_retry).count();
        settings.doubled_hold(u32::try_from(retries).unwrap_or(u32::MAX))
    }
}
