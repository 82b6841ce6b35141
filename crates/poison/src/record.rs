//! What is known of one request.

use {
    crate::{CrashTrackerSettings, SendEnd, signed_time::SignedTime},
    gullglade_units::BackendRun,
    std::time::Duration,
};

/// The most sends that are remembered of one request. A request is held back after three ends and
/// is then tried at most once for each doubling of the hold, so that more are never needed.
const MAX_SENDS: usize = 32;

/// The longest hold: a caller's system is mended or given up within a day.
const MAX_HOLD: Duration = Duration::from_secs(24 * 3_600);

/// One send that ended.
pub(crate) struct EndedSend {
    pub(crate) ended: SignedTime,
    /// How long it had been with the backend server by then.
    pub(crate) lasted_ms: u32,
    pub(crate) end: SendEnd,
}

impl EndedSend {
    fn sent(&self) -> SignedTime {
        self.ended.before(Duration::from_millis(self.lasted_ms.into()))
    }
}

/// What is known of one request.
#[derive(Default)]
pub(crate) struct RequestRecord {
    sends: Vec<EndedSend>,
    /// What ended before counts no more.
    pub(crate) released_at: Option<SignedTime>,
    /// The number of the last change of any kind, and of the last one that this process made.
    pub(crate) changed: u64,
    pub(crate) own: u64,
}

impl RequestRecord {
    /// Adds a send, unless it is known. Two processes may see one run end under one request, which
    /// is one end.
    pub(crate) fn add(&mut self, send: EndedSend) -> bool {
        let is_known = self.sends.iter().any(|known| known.end == send.end);
        if is_known || self.released_at.is_some_and(|at| send.ended <= at) {
            return false;
        }
        let at = self.sends.partition_point(|known| known.ended <= send.ended);
        self.sends.insert(at, send);
        if self.sends.len() > MAX_SENDS {
            self.sends.remove(0);
        }
        true
    }

    /// Forgets what ended up to `at`.
    pub(crate) fn release(&mut self, at: SignedTime) -> bool {
        if self.released_at.is_some_and(|known| known >= at) {
            return false;
        }
        self.released_at = Some(at);
        self.sends.retain(|send| send.ended > at);
        true
    }

    pub(crate) fn sends(&self) -> impl Iterator<Item = &EndedSend> {
        self.sends.iter()
    }

    /// The runs that ended under it, with when.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = (&BackendRun, SignedTime)> {
        self.sends.iter().filter_map(|send| match &send.end {
            SendEnd::CutOff(run) => Some((run, send.ended)),
            SendEnd::Answered(_) => None,
        })
    }

    /// How many ends that `counts` allows it has beyond its answers, however close together.
    pub(crate) fn net_crashes(&self, counts: impl Fn(&BackendRun, SignedTime) -> bool) -> usize {
        let ends = self.crashes().filter(|(run, ended)| counts(run, *ended)).count();
        ends.saturating_sub(self.sends.len() - self.crashes().count())
    }

    /// How many ends speak against it: those that `counts` allows, ends of sends that overlap and
    /// end close together as one, each answer taking one back.
    pub(crate) fn weight(
        &self,
        settings: &CrashTrackerSettings,
        counts: impl Fn(&BackendRun, SignedTime) -> bool,
    ) -> u32 {
        let mut weight = 0_u32;
        let mut last: Option<SignedTime> = None;
        for send in &self.sends {
            match &send.end {
                SendEnd::Answered(_) => weight = weight.saturating_sub(1),
                SendEnd::CutOff(run) if counts(run, send.ended) => {
                    // One that was sent after the other had ended did not end beside it.
                    let is_apart = |last: SignedTime| {
                        send.ended.since(last) >= settings.coincidence_window || send.sent() >= last
                    };
                    if last.is_none_or(is_apart) {
                        weight += 1;
                        last = Some(send.ended);
                    }
                }
                SendEnd::CutOff(_) => {}
            }
        }
        weight
    }

    /// How long it had usually been with a backend server that ended under it, milliseconds.
    pub(crate) fn mean_lasted_ms(&self) -> u64 {
        let cut_off = || self.sends.iter().filter(|s| matches!(s.end, SendEnd::CutOff(_)));
        let sum: u64 = cut_off().map(|send| u64::from(send.lasted_ms)).sum();
        sum / cut_off().count().max(1) as u64
    }

    /// When it was cut off last.
    pub(crate) fn last_crash(&self) -> Option<SignedTime> {
        self.crashes().map(|(_, ended)| ended).max()
    }
}

/// How long a request of this weight is held back: twice as long for each end after the bound.
pub(crate) fn hold_duration(settings: &CrashTrackerSettings, weight: u32) -> Duration {
    let doublings = weight.saturating_sub(settings.bound).min(16);
    settings.hold.saturating_mul(1 << doublings).min(MAX_HOLD)
}
