//! Reports of others, and what they add to what is known.

use {
    crate::{SpendCount, VmSpend},
    gullglade_units::{BootTime, VmName, WorkspaceName},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Spending counts half in a source's share of the limit after this.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Spending that decays with time: its proportions are the shares that sources have of a limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSpend {
    units: f64,
    at: BootTime,
}

impl DecayingSpend {
    pub(crate) fn note(&mut self, units: f64, now: BootTime) {
        self.units = (self.at(now) + units).max(0.0);
        self.at = now;
    }

    pub(crate) fn at(&self, now: BootTime) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / SHARE_HALF_LIFE.as_secs_f64();
        self.units * 0.5_f64.powf(halves)
    }
}

/// One run of a gateway, as its reports have it.
#[derive(Debug)]
struct KnownRun {
    run: u64,
    sequence: u64,
    spent: HashMap<WorkspaceName, u64>,
}

/// What a report adds to what is known.
pub(crate) struct SpendDelta {
    pub(crate) workspace: WorkspaceName,
    /// Units spent since the last report; less than 0 where more was given back.
    pub(crate) units: f64,
    pub(crate) level: f64,
    /// Whether this is the run's first report on the workspace.
    is_first: bool,
}

/// The gateways that report, by VM.
#[derive(Debug, Default)]
pub(crate) struct SourceTable {
    known: BTreeMap<VmName, KnownRun>,
    heard: BTreeMap<VmName, BootTime>,
}

impl SourceTable {
    /// When any of them was last heard.
    pub(crate) fn last_heard(&self) -> Option<BootTime> {
        self.heard.values().max().copied()
    }

    /// The VMs heard after `time`.
    pub(crate) fn heard_after(&self, time: BootTime) -> impl Iterator<Item = &VmName> {
        self.heard.iter().filter(move |(_, heard)| **heard >= time).map(|(vm, _)| vm)
    }

    /// Takes in a report.
    pub(crate) fn note(&mut self, spend: VmSpend, now: BootTime) -> Vec<SpendDelta> {
        let VmSpend { vm, run, sequence, counts } = spend;
        self.heard.insert(vm.clone(), now);
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

/// The gateways that report on one region. All of them report the same, each as it knows it.
#[derive(Debug, Default)]
pub(crate) struct RegionTable {
    reporters: SourceTable,
    /// What the region has spent, by reporter and workspace.
    reported: HashMap<VmName, HashMap<WorkspaceName, f64>>,
    /// What is counted of it, by workspace.
    counted: HashMap<WorkspaceName, f64>,
}

impl RegionTable {
    /// When anyone was last heard.
    pub(crate) fn last_heard(&self) -> Option<BootTime> {
        self.reporters.last_heard()
    }

    /// Takes in a report, and returns what is new. Of the reporters heard after `limit` only the
    /// first counts, and only what goes beyond the reports counted before.
    pub(crate) fn note(&mut self, by: VmSpend, limit: BootTime, now: BootTime) -> Vec<SpendDelta> {
        let vm = by.vm.clone();
        let news = self.reporters.note(by, now);
        let counts = self.reporters.heard_after(limit).next() == Some(&vm);
        let reported = self.reported.entry(vm).or_default();
        let mut new = Vec::new();
        for SpendDelta { workspace, units, level, is_first } in news {
            let counted = self.counted.entry(workspace.clone()).or_default();
            let total = reported.entry(workspace.clone()).or_insert(*counted);
            if is_first {
                *total = *counted;
            }
            *total += units;
            if counts {
                let units = *total - std::mem::replace(counted, *total);
                new.push(SpendDelta { workspace, units, level, is_first });
            }
        }
        new
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
