//! Exchange of crash histories with other processes.

use {
    super::{CrashTracker, LIVENESS_MARGIN, MIN_SHARED_CRASHES, UpdateScope},
    crate::{
        ContentFingerprint, CrashReport, CrashUpdate, PartFingerprint, RunAliveReport, SendEnd,
        SendReport,
        part_record::{PartEvent, PartEventKind, PartRecord},
        record::{CompletedSend, RequestRecord},
        signed_time::SignedTime,
    },
    gullglade_units::MonotonicTime,
};

impl CrashTracker {
    /// Returns the changes after `cursor`.
    pub fn updates_after(
        &self,
        cursor: u64,
        scope: UpdateScope,
        now: MonotonicTime,
    ) -> CrashUpdate {
        let is_included = |record: &RequestRecord| match scope {
            UpdateScope::Own if cursor == 0 => true,
            UpdateScope::Own => record.local_change > cursor,
            UpdateScope::Suspects => {
                record.last_change > cursor
                    && (record.crashes().count() >= MIN_SHARED_CRASHES
                        || record.released_at.is_some())
            }
        };
        let included = self.records.iter().filter(|(_, record)| is_included(record));
        let included_parts = self.parts.iter().filter(|(_, part)| match scope {
            UpdateScope::Own => cursor == 0 || part.local_change > cursor,
            UpdateScope::Suspects => {
                part.last_change > cursor && (part.is_shared || part.released_at.is_some())
            }
        });
        let alive = self.alive.iter().filter(|(_, (_, change))| *change > cursor);
        let now = now.into();
        CrashUpdate {
            cursor: self.last_change,
            reports: included
                .map(|(fingerprint, record)| crash_report(*fingerprint, record, now))
                .chain(included_parts.flat_map(|(part, record)| part_reports(*part, record, now)))
                .collect(),
            alive: alive
                .map(|(run, (sent, _))| RunAliveReport {
                    run: run.clone(),
                    sent_ago_ms: SignedTime::millis_since(now, *sent),
                })
                .collect(),
        }
    }

    /// Merges an update of another process. Returns whether anything changed.
    pub fn merge(&mut self, update: CrashUpdate, now: MonotonicTime) -> bool {
        let before = self.last_change;
        for report in update.reports {
            match report.print.as_part() {
                Some((part, content)) => self.merge_part_report(part, content, report, now),
                None => self.merge_report(report, now),
            }
        }
        for RunAliveReport { run, sent_ago_ms } in update.alive {
            self.add_alive(&run, SignedTime::ago(now, sent_ago_ms));
        }
        let is_new = self.last_change > before;
        if is_new {
            self.update_holds();
        }
        is_new
    }

    fn merge_report(&mut self, report: CrashReport, now: MonotonicTime) {
        let CrashReport { print: fingerprint, sends, let_go_ago_ms } = report;
        let number = self.last_change + 1;
        let record = self.records.entry(fingerprint).or_default();
        let mut is_new =
            let_go_ago_ms.is_some_and(|ago_ms| merge_release(record, SignedTime::ago(now, ago_ms)));
        for SendReport { ended_ago_ms, lasted_ms, end } in sends {
            if let SendEnd::CutOff(run) = &end {
                self.ended.insert(run.clone());
            }
            let ended = SignedTime::ago(now, ended_ago_ms);
            is_new |= record.add(CompletedSend { ended, lasted_ms, end });
        }
        if is_new {
            record.last_change = number;
            self.last_change = number;
            self.evict_excess(fingerprint);
        }
    }

    /// Merges what another process reports of a prompt part in one request.
    fn merge_part_report(
        &mut self,
        part: PartFingerprint,
        content: u64,
        report: CrashReport,
        now: MonotonicTime,
    ) {
        if let Some(ago_ms) = report.let_go_ago_ms {
            self.merge_part_release(part, SignedTime::ago(now, ago_ms));
        }
        for SendReport { ended_ago_ms, end, .. } in report.sends {
            let event = PartEvent::new(SignedTime::ago(now, ended_ago_ms), end, content);
            self.add_part_event(part, event, false);
        }
        self.recall_answer(part, now);
    }
}

fn merge_release(record: &mut RequestRecord, at: SignedTime) -> bool {
    // Repeated reports of the same release differ slightly in time.
    let is_duplicate =
        record.released_at.is_some_and(|previous| at.since(previous) < LIVENESS_MARGIN);
    !is_duplicate && record.release(at)
}

fn crash_report(
    fingerprint: ContentFingerprint,
    record: &RequestRecord,
    now: SignedTime,
) -> CrashReport {
    let ago = |at: SignedTime| SignedTime::millis_since(now, at);
    CrashReport {
        print: fingerprint,
        sends: record
            .sends()
            .map(|send| SendReport {
                ended_ago_ms: ago(send.ended),
                lasted_ms: send.lasted_ms,
                end: send.end.clone(),
            })
            .collect(),
        let_go_ago_ms: record.released_at.map(ago),
    }
}

/// Returns the reports of a prompt part: one for each request in which it was, as processes of
/// earlier versions know requests only.
fn part_reports(part: PartFingerprint, record: &PartRecord, now: SignedTime) -> Vec<CrashReport> {
    let ago = |at: SignedTime| SignedTime::millis_since(now, at);
    let report = |content, sends, let_go_ago_ms| CrashReport {
        print: ContentFingerprint::of_part(part, content),
        sends,
        let_go_ago_ms,
    };
    let mut reports = Vec::new();
    if let Some(at) = record.released_at {
        reports.push(report(0, Vec::new(), Some(ago(at))));
    }
    for PartEvent { at, kind } in record.events() {
        let send = |end| vec![SendReport { ended_ago_ms: ago(*at), lasted_ms: 0, end }];
        match kind {
            PartEventKind::Crash { run, contents } => {
                let sends = || send(SendEnd::CutOff(run.clone()));
                reports.extend(contents.iter().map(|content| report(*content, sends(), None)));
            }
            PartEventKind::Answer(answer) => {
                reports.push(report(*answer, send(SendEnd::Answered(*answer)), None));
            }
        }
    }
    reports
}
