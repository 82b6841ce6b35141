//! Reports of gateways on their configuration.

use {
    super::message::ReplicaReport,
    gullglade_units::{MonotonicTime, VmName},
    serde::{Deserialize, Serialize},
    std::{cell::RefCell, collections::BTreeMap, time::Duration},
};

/// The time after which a gateway that sends no report is forgotten.
const REPORT_EXPIRY: Duration = Duration::from_secs(600);

/// A report and the time since it was received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReportRow {
    pub(crate) report: ReplicaReport,
    pub(crate) heard: Duration,
}

/// The latest report of each gateway.
#[derive(Debug, Default)]
pub(crate) struct ReportTable {
    rows: RefCell<BTreeMap<VmName, (ReplicaReport, MonotonicTime)>>,
}

impl ReportTable {
    /// Stores reports received at `now`. Returns whether a gateway is new or its index has changed.
    pub(crate) fn record(&self, reports: Vec<ReplicaReport>, now: MonotonicTime) -> bool {
        let mut rows = self.rows.borrow_mut();
        let mut is_changed = false;
        for report in reports {
            let old = rows.get(&report.vm).map(|(old, _)| old.applied);
            is_changed |= old != Some(report.applied);
            rows.insert(report.vm.clone(), (report, now));
        }
        rows.retain(|_, (_, heard)| now.since(*heard) <= REPORT_EXPIRY);
        is_changed
    }

    /// Returns all reports, with their ages as of `now`.
    pub(crate) fn rows(&self, now: MonotonicTime) -> Vec<ReportRow> {
        let rows = self.rows.borrow();
        let row = |(report, heard): &(ReplicaReport, MonotonicTime)| {
            let heard = now.since(*heard);
            let age = report.age.map(|age| age + heard);
            ReportRow { report: ReplicaReport { age, ..report.clone() }, heard }
        };
        rows.values().map(row).collect()
    }
}
