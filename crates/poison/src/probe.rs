//! Probes of requests and prompt parts whose hold has ended.

use {
    crate::CrashSuspect,
    gullglade_units::{MonotonicTime, rendezvous::score},
    std::{collections::BTreeMap, time::Duration},
};

/// Time from one slot to the next. It is longer than it takes until all gateways know how the probe
/// of the last slot ended.
const SLOT: Duration = Duration::from_secs(5);

/// Time at the beginning of a slot in which a probe may be sent.
const PROBE_WINDOW: Duration = Duration::from_secs(2);

/// Number of slots for each gateway. With one for each, two gateways would often choose the same.
const SLOTS_PER_GATEWAY: u64 = 4;

/// Windows in which a gateway may send a suspect whose hold has ended, to find out whether backend
/// servers still crash under it.
///
/// Each gateway has a slot of its own in a cycle, which depends on the suspect. If all gateways sent
/// a suspect once its hold ends, each could crash a backend server before the first crash is known.
pub(crate) struct ProbeSchedule {
    /// Name of the gateway.
    name: String,
    /// Number of gateways.
    gateways: u32,
    /// Time of the last probe of each suspect.
    probes: BTreeMap<CrashSuspect, MonotonicTime>,
}

impl ProbeSchedule {
    /// Creates the schedule of the gateway `name`, which knows of no other gateway.
    pub(crate) fn new(name: &str) -> Self {
        Self { name: name.to_owned(), gateways: 1, probes: BTreeMap::new() }
    }

    /// Sets the number of gateways.
    pub(crate) fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Returns the time until this gateway may probe `suspect`, whose hold ended before `elapsed`.
    /// Zero if it may do so now.
    pub(crate) fn wait(
        &self,
        suspect: &CrashSuspect,
        elapsed: Duration,
        now: MonotonicTime,
    ) -> Duration {
        let slot_ms = SLOT.as_millis() as u64;
        let slots = SLOTS_PER_GATEWAY * u64::from(self.gateways);
        let cycle_ms = slot_ms * slots;
        let opens_ms = score(&suspect.to_string(), &self.name) % slots * slot_ms;
        let position_ms = elapsed.as_millis() as u64 % cycle_ms;
        let into_slot_ms = (position_ms + cycle_ms - opens_ms) % cycle_ms;
        let is_open = Duration::from_millis(into_slot_ms) < PROBE_WINDOW;
        let has_probed = self.probes.get(suspect).is_some_and(|last| now.since(*last) < SLOT);
        match is_open && !has_probed {
            true => Duration::ZERO,
            false => Duration::from_millis(cycle_ms - into_slot_ms),
        }
    }

    /// Notes that a probe is sent.
    pub(crate) fn note_probe(&mut self, suspect: CrashSuspect, now: MonotonicTime) {
        self.probes.retain(|_, last| now.since(*last) < SLOT);
        self.probes.insert(suspect, now);
    }
}
