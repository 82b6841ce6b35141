//! Prompt parts in the crash tracker.

use {
    super::{CrashTracker, LIVENESS_MARGIN, MIN_SHARED_CRASHES, RequestHold},
    crate::{
        ContentFingerprint, CrashSuspect, PartFingerprint, SendEnd,
        answer_memory::LastAnswer,
        part_record::{PartEvent, PartEventKind, PartRecord},
        signed_time::SignedTime,
    },
    gullglade_units::{BackendRun, MonotonicTime},
};

impl CrashTracker {
    /// Records that the connection to `run` broke while it had a request with these prompt parts
    /// whose answer had not begun.
    pub fn record_parts_cut_off(
        &mut self,
        parts: &[PartFingerprint],
        content: ContentFingerprint,
        run: &BackendRun,
        now: MonotonicTime,
    ) {
        let mut may_change_holds = false;
        for part in parts {
            let end = SendEnd::CutOff(run.clone());
            let event = PartEvent::new(now.into(), end, content.short_hash());
            self.add_part_event(*part, event, true);
            self.recall_answer(*part, now);
            // A single crash neither holds a part nor makes it a rival of another one.
            let crashes = self.parts.get(part).map_or(0, |record| record.crashes().count());
            may_change_holds |= crashes >= MIN_SHARED_CRASHES;
        }
        if may_change_holds {
            self.update_holds();
        }
    }

    /// Records that a backend server began to answer a request with these prompt parts; `answer`
    /// identifies the answer. Returns whether this changes what is known of parts with a crash.
    pub fn record_parts_answered(
        &mut self,
        parts: &[PartFingerprint],
        answer: u64,
        now: MonotonicTime,
    ) -> bool {
        let before = self.last_change;
        for part in parts {
            self.answers.note(*part, LastAnswer { at: now.into(), answer });
            let Some(record) = self.parts.get(part) else { continue };
            let is_suspect = self.part_evidence(record) as usize >= MIN_SHARED_CRASHES;
            if record.has_recent_answer() && !is_suspect {
                continue;
            }
            let event = PartEvent::new(now.into(), SendEnd::Answered(answer), answer);
            self.add_part_event(*part, event, true);
        }
        let is_new = self.last_change > before;
        if is_new {
            self.update_holds();
        }
        is_new
    }

    /// Returns the hold on a prompt part, if there is one.
    pub fn part_hold(&self, part: &PartFingerprint, now: MonotonicTime) -> Option<RequestHold> {
        self.suspect_hold(&CrashSuspect::Part(*part), now)
    }

    /// Clears the history of a prompt part.
    pub(super) fn release_part(&mut self, part: PartFingerprint, now: MonotonicTime) -> bool {
        let Some(record) = self.parts.get_mut(&part) else { return false };
        self.last_change += 1;
        record.release(now.into());
        (record.last_change, record.local_change) = (self.last_change, self.last_change);
        self.update_holds();
        true
    }

    pub(super) fn merge_part_release(&mut self, part: PartFingerprint, at: SignedTime) {
        let record = self.parts.entry(part).or_default();
        // Repeated reports of the same release differ slightly in time.
        let is_duplicate =
            record.released_at.is_some_and(|known| at.since(known) < LIVENESS_MARGIN);
        if !is_duplicate && record.release(at) {
            self.last_change += 1;
            record.last_change = self.last_change;
        }
    }

    /// Adds an event to the record of a part; `is_local` tells whether this process observed it.
    pub(super) fn add_part_event(
        &mut self,
        part: PartFingerprint,
        event: PartEvent,
        is_local: bool,
    ) {
        if let PartEventKind::Crash { run, .. } = &event.kind {
            self.ended.insert(run.clone());
        }
        let record = self.parts.entry(part).or_default();
        if !record.add(event) {
            return;
        }
        self.last_change += 1;
        record.last_change = self.last_change;
        if is_local {
            record.local_change = self.last_change;
        }
        let record = &self.parts[&part];
        if !record.is_shared && self.part_evidence(record) as usize >= MIN_SHARED_CRASHES {
            self.parts.entry(part).or_default().is_shared = true;
        }
        self.evict_excess_parts(part);
    }

    /// Adds the last answer on the part that this process remembers, if none before the first crash
    /// is on record.
    pub(super) fn recall_answer(&mut self, part: PartFingerprint, now: MonotonicTime) {
        let is_needed = self.parts.get(&part).is_some_and(|record| !record.was_answered_before());
        if is_needed && let Some(LastAnswer { at, answer }) = self.answers.last(&part, now.into()) {
            let event = PartEvent::new(at, SendEnd::Answered(answer), answer);
            self.add_part_event(part, event, true);
        }
    }

    pub(super) fn part_evidence(&self, record: &PartRecord) -> u32 {
        record.evidence(&self.settings, |run, at| self.is_crash(run, at))
    }

    /// Removes the parts whose last crash is outdated.
    pub(super) fn expire_parts(&mut self, now: SignedTime) {
        let (settings, held) = (self.settings, &self.held);
        self.parts.retain(|part, record| {
            // The record outlives the hold, so that a part that crashes another backend server is
            // held again at once, and for longer.
            let is_held = held.contains_key(&CrashSuspect::Part(*part));
            let kept = match is_held {
                true => record.hold_duration(&settings) * 2,
                false => settings.hold,
            };
            record.last_crash().max(record.released_at).is_some_and(|last| now.since(last) < kept)
        });
    }

    /// Evicts the least important part if there are too many: one that is not held, with the
    /// fewest crashes and the oldest last one.
    fn evict_excess_parts(&mut self, newest: PartFingerprint) {
        if self.parts.len() <= self.settings.max_records {
            return;
        }
        let others = self.parts.iter().filter(|(part, _)| **part != newest);
        let least_important = others.min_by_key(|(part, record)| {
            let is_held = self.held.contains_key(&CrashSuspect::Part(**part));
            (is_held, record.crashes().count(), record.last_crash())
        });
        if let Some(part) = least_important.map(|(part, _)| *part) {
            self.parts.remove(&part);
        }
    }
}
