//! Compact encoding of hints.
//!
//! Load: in a region of 25 gateways each hint is sent 24 times, and at 50 requests/s a gateway
//! sends 2,400 of them per second. With the names of backend servers in them, hints took 16% of the
//! link of the smallest VMs.
//!
//! All gateways of a region know the runs of its backend servers, so a hint refers to a run by a
//! hash of 4 bytes, and the receiver restores the run. Request numbers are sent as differences to
//! the previous hint of the notice. The update itself is encoded as it is defined. A run that is
//! leaving is sent in full, because a receiver records its departure even if it does not know it.

use {
    gullglade_dispatch::{BackendHint, RequestUpdate},
    gullglade_fleet::{FleetFollower, FleetView},
    gullglade_units::{BackendRun, Clock, MonotonicTime, rendezvous::score},
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
    },
};

/// Hash of a run. With 580 backend servers in a region, the probability that any two of them have
/// the same hash is 4e-5; such runs are listed in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct RunHash([u8; 4]);

impl RunHash {
    fn of(run: &BackendRun) -> Self {
        let hash = score(run.backend.as_str(), "").wrapping_add(run.incarnation.0);
        // Incarnations differ in their low bits, the upper half of the product depends on all bits.
        let [a, b, c, d, ..] = hash.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_be_bytes();
        Self([a, b, c, d])
    }
}

/// A number of microseconds, usually below 64 ms, which takes two bytes then. The codec would take
/// three, and five above 65 ms.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct CompactMicros {
    high: u32,
    low: u8,
}

impl From<u32> for CompactMicros {
    fn from(micros: u32) -> Self {
        let [low, ..] = micros.to_le_bytes();
        Self { high: micros >> 8, low }
    }
}

impl From<CompactMicros> for u32 {
    fn from(CompactMicros { high, low }: CompactMicros) -> u32 {
        (high << 8) | u32::from(low)
    }
}

/// A hint in a notice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct CompactHint {
    run: RunHash,
    /// Difference to the request number of the previous hint in the notice, or the number itself in
    /// the first hint.
    request: i64,
    priority: u8,
    sent_ago: CompactMicros,
    news: RequestUpdate,
}

/// The hints of a notice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CompactHints {
    /// Runs that receivers may not know, or that are leaving.
    runs: Vec<BackendRun>,
    hints: Vec<CompactHint>,
}

/// Runs of the region's backend servers by hash; `None` where several runs have the same hash.
#[derive(Debug, Default)]
pub struct RunDirectory {
    runs: BTreeMap<RunHash, Option<BackendRun>>,
}

impl RunDirectory {
    /// Creates a directory of `runs`.
    pub fn new(runs: impl IntoIterator<Item = BackendRun>) -> Self {
        let mut directory = Self::default();
        for run in runs {
            let entry = directory.runs.entry(RunHash::of(&run));
            let known = entry.or_insert_with(|| Some(run.clone()));
            if known.as_ref().is_some_and(|known| *known != run) {
                *known = None;
            }
        }
        directory
    }

    fn of_view(view: &FleetView, now: MonotonicTime) -> Self {
        Self::new(view.backends(now).map(|row| {
            let (backend, incarnation) = (row.record.name, row.record.incarnation);
            BackendRun { backend, incarnation }
        }))
    }

    fn find(&self, hash: RunHash) -> Option<&BackendRun> {
        self.runs.get(&hash)?.as_ref()
    }

    /// Converts hints for a notice.
    pub(crate) fn compact(&self, hints: &[BackendHint]) -> CompactHints {
        let mut runs = Vec::new();
        let mut previous = 0_u64;
        let mut compact = |hint: &BackendHint| {
            let hash = RunHash::of(&hint.run);
            let is_leaving = hint.news == RequestUpdate::Leaving;
            if (is_leaving || self.find(hash) != Some(&hint.run)) && !runs.contains(&hint.run) {
                runs.push(hint.run.clone());
            }
            let request = hint.request.wrapping_sub(previous).cast_signed();
            previous = hint.request;
            CompactHint {
                run: hash,
                request,
                priority: hint.priority,
                sent_ago: hint.sent_ago_us.into(),
                news: hint.news.clone(),
            }
        };
        let hints = hints.iter().map(&mut compact).collect();
        CompactHints { runs, hints }
    }

    /// Restores the hints of a notice. Hints for unknown runs are omitted, as they have no effect.
    pub(crate) fn restore(&self, compact: CompactHints) -> Vec<BackendHint> {
        let CompactHints { runs, hints } = compact;
        let mut previous = 0_u64;
        let restore = |hint: CompactHint| {
            let CompactHint { run, request, priority, sent_ago, news } = hint;
            let request = previous.wrapping_add_signed(request);
            previous = request;
            let listed = runs.iter().find(|listed| RunHash::of(listed) == run);
            let run = listed.or_else(|| self.find(run))?.clone();
            Some(BackendHint { run, request, priority, sent_ago_us: sent_ago.into(), news })
        };
        hints.into_iter().filter_map(restore).collect()
    }
}

/// The runs that a gateway knows, read again when its view of the fleet has changed.
pub(crate) struct KnownRuns {
    fleet: Rc<FleetFollower>,
    clock: Rc<dyn Clock>,
    is_outdated: Rc<Cell<bool>>,
    directory: RefCell<Rc<RunDirectory>>,
}

impl KnownRuns {
    pub(crate) fn new(fleet: Rc<FleetFollower>, clock: Rc<dyn Clock>) -> Rc<Self> {
        let is_outdated = Rc::new(Cell::new(true));
        let outdated = Rc::clone(&is_outdated);
        fleet.watch(Rc::new(move |is_structural| outdated.set(outdated.get() || is_structural)));
        Rc::new(Self { fleet, clock, is_outdated, directory: RefCell::default() })
    }

    /// Returns the runs of the region's backend servers.
    pub(crate) fn directory(&self) -> Rc<RunDirectory> {
        if self.is_outdated.replace(false) {
            let now = self.clock.now();
            let directory = self.fleet.read(|view| RunDirectory::of_view(view, now));
            self.directory.replace(Rc::new(directory));
        }
        Rc::clone(&self.directory.borrow())
    }
}
