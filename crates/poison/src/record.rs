//! What is known of one request.

use {
    crate::{AccountSettings, SendEnd, time::AccountTime},
    gullglade_units::BackendRun,
    std::time::Duration,
};

/// The most sends that are remembered of one request. A request is held back after three ends and
/// is then tried at most once for each doubling of the hold, so that more are never needed.
const MOST_SENDS: usize = 32;

/// The longest hold: a caller's system is mended or given up within a day.
const LONGEST_HOLD: Duration = Duration::from_secs(24 * 3_600);

/// One send that ended.
pub(crate) struct EndedSend {
    pub(crate) ended: AccountTime,
    /// How long it had been with the backend server by then.
    pub(crate) lasted_ms: u32,
    pub(crate) end: SendEnd,
}

impl EndedSend {
    fn sent(&self) -> AccountTime {
        self.ended.before(Duration::from_millis(self.lasted_ms.into()))
    }
}

/// What is known of one request.
#[derive(Default)]
pub(crate) struct CrashRecord {
    sends: Vec<EndedSend>,
    /// What ended before counts no more.
    pub(crate) let_go: Option<AccountTime>,
    /// The number of the last change of any kind, and of the last one that this process made.
    pub(crate) changed: u64,
    pub(crate) own: u64,
}

impl CrashRecord {
    /// Adds a send, unless it is known. Two processes may see one run end under one request, which
    /// is one end.
    pub(crate) fn add(&mut self, send: EndedSend) -> bool {
        let is_known = self.sends.iter().any(|known| known.end == send.end);
        if is_known || self.let_go.is_some_and(|at| send.ended <= at) {
            return false;
        }
        let at = self.sends.partition_point(|known| known.ended <= send.ended);
        self.sends.insert(at, send);
        if self.sends.len() > MOST_SENDS {
            self.sends.remove(0);
        }
        true
    }

    /// Forgets what ended up to `at`.
    pub(crate) fn let_go(&mut self, at: AccountTime) -> bool {
        if self.let_go.is_some_and(|known| known >= at) {
            return false;
        }
        self.let_go = Some(at);
        self.sends.retain(|send| send.ended > at);
        true
    }

    pub(crate) fn sends(&self) -> impl Iterator<Item = &EndedSend> {
        self.sends.iter()
    }

    /// The runs that ended under it, with when.
    pub(crate) fn ends(&self) -> impl Iterator<Item = (&BackendRun, AccountTime)> {
        self.sends.iter().filter_map(|send| match &send.end {
            SendEnd::CutOff(run) => Some((run, send.ended)),
            SendEnd::Answered(_) => None,
        })
    }

    /// How many ends that `counts` allows it has beyond its answers, however close together.
    pub(crate) fn surplus(&self, counts: impl Fn(&BackendRun, AccountTime) -> bool) -> usize {
        let ends = self.ends().filter(|(run, ended)| counts(run, *ended)).count();
        ends.saturating_sub(self.sends.len() - self.ends().count())
    }

    /// How many ends speak against it: those that `counts` allows, ends of sends that overlap and
    /// end close together as one, each answer taking one back.
    pub(crate) fn weight(
        &self,
        settings: &AccountSettings,
        counts: impl Fn(&BackendRun, AccountTime) -> bool,
    ) -> u32 {
        let mut weight = 0_u32;
        let mut last: Option<AccountTime> = None;
        for send in &self.sends {
            match &send.end {
                SendEnd::Answered(_) => weight = weight.saturating_sub(1),
                SendEnd::CutOff(run) if counts(run, send.ended) => {
                    // One that was sent after the other had ended did not end beside it.
                    let is_apart = |last: AccountTime| {
                        send.ended.since(last) >= settings.together || send.sent() >= last
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
    pub(crate) fn usually_lasted_ms(&self) -> u64 {
        let cut_off = || self.sends.iter().filter(|s| matches!(s.end, SendEnd::CutOff(_)));
        let sum: u64 = cut_off().map(|send| u64::from(send.lasted_ms)).sum();
        sum / cut_off().count().max(1) as u64
    }

    /// When it was cut off last.
    pub(crate) fn last_end(&self) -> Option<AccountTime> {
        self.ends().map(|(_, ended)| ended).max()
    }
}

/// How long a request of this weight is held back: twice as long for each end after the bound.
pub(crate) fn hold_time(settings: &AccountSettings, weight: u32) -> Duration {
    let doublings = weight.saturating_sub(settings.bound).min(16);
    settings.hold.saturating_mul(1 << doublings).min(LONGEST_HOLD)
}
