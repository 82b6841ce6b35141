//! Compact encoding of hints.
//!
//! Load: in a region of 25 gateways each hint is sent 24 times, and at 50 requests/s a gateway
//! sends 2,400 of them per second. With the names of backend servers in them, hints took 16% of the
//! link of the smallest VMs.
//!
//! All gateways of a region know the runs of its backend servers, so a hint refers to a run by a
//! hash of 3 bytes, and the receiver restores the run. Request numbers are sent as differences to
//! the previous hint of the notice. The age of a stated limit is sent as a difference to
//! that of the first byte, because the same answer usually shows both. A run that is
//! leaving is listed in full, because a receiver records its departure even if it does not know it.

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

/// First byte of a reference to a run that the notice lists; no hash begins with it.
const LISTED: u8 = u8::MAX;

/// Reference to a run: a hash of it, or [`LISTED`] and its index in the list of the notice. With
/// 580 backend servers in a region, the probability that any two of them have the same hash is 1%;
/// such runs are listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct RunReference([u8; 3]);

impl RunReference {
    fn hash(run: &BackendRun) -> Self {
        let hash = score(run.backend.as_str(), "").wrapping_add(run.incarnation.0);
        // Incarnations differ in their low bits, the upper half of the product depends on all bits.
        let [a, b, c, ..] = hash.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_be_bytes();
        Self([if a == LISTED { LISTED - 1 } else { a }, b, c])
    }

    fn listed(index: usize) -> Self {
        // A notice is too short for more runs: longer batches are split before they are sent.
        let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
        Self([LISTED, high, low])
    }

    fn index(self) -> Option<usize> {
        let Self([first, high, low]) = self;
        (first == LISTED).then(|| u16::from_be_bytes([high, low]).into())
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
    run: RunReference,
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
    runs: BTreeMap<RunReference, Option<BackendRun>>,
}

impl RunDirectory {
    /// Creates a directory of `runs`.
    pub fn new(runs: impl IntoIterator<Item = BackendRun>) -> Self {
        let mut directory = Self::default();
        for run in runs {
            let entry = directory.runs.entry(RunReference::hash(&run));
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

    fn find(&self, hash: RunReference) -> Option<&BackendRun> {
        self.runs.get(&hash)?.as_ref()
    }

    /// Converts hints for a notice.
    pub(crate) fn compact(&self, hints: &[BackendHint]) -> CompactHints {
        let mut runs = Vec::new();
        let mut previous = 0_u64;
        let mut compact = |hint: &BackendHint| {
            let hash = RunReference::hash(&hint.run);
            let is_leaving = hint.news == RequestUpdate::Leaving;
            let run = match is_leaving || self.find(hash) != Some(&hint.run) {
                true => list_run(&mut runs, &hint.run),
                false => hash,
            };
            let request = hint.request.wrapping_sub(previous).cast_signed();
            previous = hint.request;
            let mut news = hint.news.clone();
            if let RequestUpdate::Begun { ago_us, limit, .. } = &mut news {
                limit.ago_us = limit.ago_us.wrapping_sub(*ago_us);
            }
            CompactHint {
                run,
                request,
                priority: hint.priority,
                sent_ago: hint.sent_ago_us.into(),
                news,
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
            let CompactHint { run, request, priority, sent_ago, mut news } = hint;
            let request = previous.wrapping_add_signed(request);
            previous = request;
            if let RequestUpdate::Begun { ago_us, limit, .. } = &mut news {
                limit.ago_us = limit.ago_us.wrapping_add(*ago_us);
            }
            let run = match run.index() {
                Some(index) => runs.get(index),
                None => self.find(run),
            };
            let run = run?.clone();
            Some(BackendHint { run, request, priority, sent_ago_us: sent_ago.into(), news })
        };
        hints.into_iter().filter_map(restore).collect()
    }
}

/// Returns the reference to `run` in the list, and adds it if it is missing.
fn list_run(runs: &mut Vec<BackendRun>, run: &BackendRun) -> RunReference {
    let known = runs.iter().position(|listed| listed == run);
    RunReference::listed(known.unwrap_or_else(|| {
        runs.push(run.clone());
        runs.len() - 1
    }))
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
