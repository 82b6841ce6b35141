//! Received reports, and the spending that each adds to the known total.

use {
    crate::{SpendCount, VmSpend},
    gullglade_units::{BootTime, VmName, WorkspaceName},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Half-life of spending in the estimate of a source's share of the limit.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Exponentially decaying spending. Its proportions are the shares of the sources in a limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSpend {
    units: f64,
    at: BootTime,
}

impl DecayingSpend {
    pub(crate) fn record(&mut self, units: f64, now: BootTime) {
        self.units = (self.at(now) + units).max(0.0);
        self.at = now;
    }

    pub(crate) fn at(&self, now: BootTime) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / SHARE_HALF_LIFE.as_secs_f64();
        self.units * 0.5_f64.powf(half_lives)
    }
}

/// The reported state of one run of a gateway.
#[derive(Debug)]
struct KnownRun {
    run: u64,
    sequence: u64,
    spent: HashMap<WorkspaceName, u64>,
}

/// Spending that a report adds to the known total.
pub(crate) struct SpendDelta {
    pub(crate) workspace: WorkspaceName,
    /// Units spent since the last report. Negative if more was refunded.
    pub(crate) units: f64,
    pub(crate) level: f64,
    /// True for the run's first report on the workspace.
    is_first: bool,
}

/// The reporting gateways by VM.
#[derive(Debug, Default)]
pub(crate) struct SourceTable {
    known: BTreeMap<VmName, KnownRun>,
    last_reports: BTreeMap<VmName, BootTime>,
}

impl SourceTable {
    /// Time of the latest report of any gateway.
    pub(crate) fn last_report(&self) -> Option<BootTime> {
        self.last_reports.values().max().copied()
    }

    /// VMs with a report at `time` or later.
    pub(crate) fn heard_since(&self, time: BootTime) -> impl Iterator<Item = &VmName> {
        self.last_reports
            .iter()
            .filter(move |(_, reported_at)| **reported_at >= time)
            .map(|(vm, _)| vm)
    }

    /// Handles a report. Returns what it adds; nothing if it is older than one already received.
    pub(crate) fn receive(&mut self, spend: VmSpend, now: BootTime) -> Vec<SpendDelta> {
        let VmSpend { vm, run, sequence, counts } = spend;
        self.last_reports.insert(vm.clone(), now);
        let known = self.known.entry(vm).or_insert_with(|| KnownRun::new(run));
        if known.run != run {
            *known = KnownRun::new(run);
        }
        if sequence <= known.sequence {
            return Vec::new();
        }
        known.sequence = sequence;
        counts.into_iter().map(|count| known.take(count)).collect()
    }
}

/// The gateways that report on one region. All of them report the region's total, each as known to
/// it.
#[derive(Debug, Default)]
pub(crate) struct RegionTable {
    reporters: SourceTable,
    /// Spending of the region by reporter and workspace.
    reported: HashMap<VmName, HashMap<WorkspaceName, f64>>,
    /// Spending already counted by workspace.
    counted: HashMap<WorkspaceName, f64>,
}

impl RegionTable {
    /// Time of the latest report of any reporter.
    pub(crate) fn last_report(&self) -> Option<BootTime> {
        self.reporters.last_report()
    }

    /// Handles a report and returns the spending that it adds. Only the first of the reporters
    /// heard since `limit` counts, and only what exceeds the spending counted before.
    pub(crate) fn receive(
        &mut self,
        by: VmSpend,
        limit: BootTime,
        now: BootTime,
    ) -> Vec<SpendDelta> {
        let vm = by.vm.clone();
        let deltas = self.reporters.receive(by, now);
        let is_counted = self.reporters.heard_since(limit).next() == Some(&vm);
        let reported = self.reported.entry(vm).or_default();
        let mut new_deltas = Vec::new();
        for SpendDelta { workspace, units, level, is_first } in deltas {
            let counted = self.counted.entry(workspace.clone()).or_default();
            let total = reported.entry(workspace.clone()).or_insert(*counted);
            if is_first {
                *total = *counted;
            }
            *total += units;
            if is_counted {
                let units = *total - std::mem::replace(counted, *total);
                new_deltas.push(SpendDelta { workspace, units, level, is_first });
            }
        }
        new_deltas
    }
}

impl KnownRun {
    fn new(run: u64) -> Self {
        Self { run, sequence: 0, spent: HashMap::new() }
    }

    fn take(&mut self, count: SpendCount) -> SpendDelta {
        let SpendCount { workspace, spent, latest, level } = count;
        let before = self.spent.insert(workspace.clone(), spent);
        let units = before.map_or(latest as f64, |before| spent as f64 - before as f64);
        SpendDelta { workspace, units, level: level as f64, is_first: before.is_none() }
    }
}
