//! Weighs the crash histories against each other: which requests and prompt parts are held.

use {
    super::{CrashTracker, HeldSuspect, MIN_SHARED_CRASHES},
    crate::{
        ContentFingerprint, CrashSuspect,
        part_record::PartRecord,
        record::{RequestRecord, hold_duration},
    },
    gullglade_units::BackendRun,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// A request or prompt part that may be the cause of crashes.
enum Candidate<'a> {
    Content(&'a ContentFingerprint, &'a RequestRecord),
    Part(CrashSuspect, &'a PartRecord),
}

impl Candidate<'_> {
    fn suspect(&self) -> CrashSuspect {
        match self {
            Self::Content(fingerprint, _) => CrashSuspect::Content(**fingerprint),
            Self::Part(suspect, _) => *suspect,
        }
    }

    /// Returns the mean time from the send to the crash, where it is known.
    fn mean_lasted_ms(&self) -> u64 {
        match self {
            Self::Content(_, record) => record.mean_lasted_ms(),
            Self::Part(..) => 0,
        }
    }
}

impl CrashTracker {
    /// Recomputes the holds. A crash has one cause: crashes that are explained by the request or
    /// prompt part with the most crashes do not count against others.
    pub(super) fn update_holds(&mut self) {
        let mut candidates = self.candidates();
        // Of two requests with the same crashes, the one with the shorter time on the backend
        // servers is the likelier cause: an engine crashes soon after it starts to run the cause,
        // while unrelated requests are interrupted at any point. Of a request and a part of its
        // prompt, the request is the narrower cause.
        candidates.sort_by_key(|(crashes, candidate)| {
            (Reverse(*crashes), candidate.mean_lasted_ms(), candidate.suspect())
        });
        let mut explained: BTreeSet<&BackendRun> = BTreeSet::new();
        let mut held = BTreeMap::new();
        for (_, candidate) in &candidates {
            let hold = match candidate {
                Candidate::Content(fingerprint, record) => {
                    self.weigh_content(fingerprint, record, &mut explained)
                }
                Candidate::Part(_, record) => self.weigh_part(record, &mut explained),
            };
            if let Some(hold) = hold {
                held.insert(candidate.suspect(), hold);
            }
        }
        self.held = held;
    }

    /// Returns what has enough crashes to be held, each with its number of crashes less the
    /// answers.
    fn candidates(&self) -> Vec<(usize, Candidate<'_>)> {
        let crash_threshold = self.settings.crash_threshold as usize;
        let contents =
            self.records.iter().filter(|(_, r)| r.crashes().count() >= crash_threshold).map(
                |(fingerprint, record)| {
                    let net_crashes = record.net_crashes(|run, at| self.is_crash(run, at));
                    (net_crashes, Candidate::Content(fingerprint, record))
                },
            );
        let parts = self.parts.iter().filter(|(_, r)| r.crashes().count() >= crash_threshold).map(
            |(fingerprint, record)| {
                let candidate = Candidate::Part(CrashSuspect::Part(*fingerprint), record);
                (self.part_evidence(record) as usize, candidate)
            },
        );
        contents.chain(parts).filter(|(crashes, _)| *crashes >= crash_threshold).collect()
    }

    /// Returns the hold on a request, and adds the crashes that it explains.
    fn weigh_content<'a>(
        &self,
        fingerprint: &ContentFingerprint,
        record: &'a RequestRecord,
        explained: &mut BTreeSet<&'a BackendRun>,
    ) -> Option<HeldSuspect> {
        let crash_threshold = self.settings.crash_threshold as usize;
        let is_evidence = |run: &BackendRun, at| !explained.contains(run) && self.is_crash(run, at);
        let unexplained = record.net_crashes(is_evidence);
        let ends = record.evidence(&self.settings, is_evidence);
        if unexplained == crash_threshold && self.has_likelier_cause(fingerprint, record) {
            return None;
        }
        if unexplained >= crash_threshold {
            explained.extend(record.crashes().map(|(run, _)| run));
        }
        let last = record.last_crash().filter(|_| ends >= self.settings.crash_threshold)?;
        Some(HeldSuspect { ends, until: last + hold_duration(&self.settings, ends) })
    }

    /// Returns the hold on a prompt part, and adds the crashes that it explains.
    fn weigh_part<'a>(
        &self,
        record: &'a PartRecord,
        explained: &mut BTreeSet<&'a BackendRun>,
    ) -> Option<HeldSuspect> {
        let is_evidence = |run: &BackendRun, at| !explained.contains(run) && self.is_crash(run, at);
        let ends = record.evidence(&self.settings, is_evidence);
        let threshold = record.crash_threshold(&self.settings);
        if ends == threshold && self.has_rival_part(record) {
            return None;
        }
        let last = record.last_crash().filter(|_| ends >= threshold)?;
        explained.extend(record.crashes().map(|(run, _)| run));
        Some(HeldSuspect { ends, until: last + record.hold_duration(&self.settings) })
    }

    /// Returns whether another prompt part explains the crashes of this one as well. Applied only
    /// if the crashes just reach the threshold; the next crash tells them apart.
    ///
    /// What this process knows of one part may lag behind, so one crash less is enough. A part that
    /// was not answered before has no rival that was.
    fn has_rival_part(&self, record: &PartRecord) -> bool {
        let runs: BTreeSet<&BackendRun> = record.crashes().map(|(run, _)| run).collect();
        self.parts.values().any(|other| {
            let shared = other.crashes().filter(|(run, _)| runs.contains(run)).count();
            !std::ptr::eq(other, record)
                && shared + 1 >= runs.len()
                && shared >= MIN_SHARED_CRASHES
                && (record.was_answered_before() || !other.was_answered_before())
                && self.part_evidence(other) as usize >= MIN_SHARED_CRASHES
        })
    }

    /// Returns whether something else is a likelier cause of a request's crashes. Applied only if
    /// the crashes just reach the threshold; if the other one is not the cause, the next crash
    /// shows it.
    fn has_likelier_cause(&self, fingerprint: &ContentFingerprint, record: &RequestRecord) -> bool {
        let runs: BTreeSet<&BackendRun> = record.crashes().map(|(run, _)| run).collect();
        self.has_likelier_request(fingerprint, record, &runs) || self.has_likelier_part(&runs)
    }

    /// Returns whether another request shares a crash with this one, has at least one crash more,
    /// and usually spends less time on a backend server.
    fn has_likelier_request(
        &self,
        fingerprint: &ContentFingerprint,
        record: &RequestRecord,
        runs: &BTreeSet<&BackendRun>,
    ) -> bool {
        let lasted_ms = record.mean_lasted_ms();
        self.records.iter().any(|(other, suspect)| {
            other != fingerprint
                && suspect.crashes().count() >= MIN_SHARED_CRASHES
                && suspect.mean_lasted_ms() < lasted_ms
                && suspect.crashes().any(|(run, _)| runs.contains(run))
                && suspect.net_crashes(|run, at| self.is_crash(run, at)) >= MIN_SHARED_CRASHES
        })
    }

    /// Returns whether a prompt part crashed one of these runs and others, under requests that
    /// differ.
    fn has_likelier_part(&self, runs: &BTreeSet<&BackendRun>) -> bool {
        self.parts.values().any(|part| {
            part.crashes().count() >= MIN_SHARED_CRASHES
                && part.crashes().any(|(run, _)| runs.contains(run))
                && self.part_evidence(part) as usize >= MIN_SHARED_CRASHES
        })
    }
}
