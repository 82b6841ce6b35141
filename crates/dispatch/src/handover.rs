//! How long a run and the one that is to replace it may be at work together.
//!
//! The load pattern: at the worst of the load, or while a link fails, a replacement is turned away
//! or never heard of just after the old run was ended, and the request has lost both. So the old
//! run is kept for a moment after the new one was sent. Two runs cost a place twice, and must not
//! go on beside each other, so that moment is short.

use std::time::Duration;

/// The old run is kept this long beside a new one in the own region. A backend server that turns
/// work away, or is not there, says so within it.
const LOCAL_OVERLAP: Duration = Duration::from_millis(100);

/// What words and their answers may take beyond the usual time.
const WORD_MARGIN: Duration = Duration::from_millis(50);

/// The least time for the answer to the word that the old run has ended. It may be slow: a call
/// that is given up is cancelled at the other end.
const KEEP_LIMIT: Duration = Duration::from_millis(400);

/// A cancellation may take so many times its usual time before both runs are together too long.
const CANCEL_FACTOR: u32 = 2;

/// The longest that both runs may usually be expected to be together.
const MOST_TOGETHER: Duration = Duration::from_millis(250);

/// How many words a gateway of another region has to answer before the old run is ended, and the
/// longest that both runs may then be expected to be together. A second answer tells that the link
/// has not failed since the new run began; over long links there is no time for it.
const WORDS: [(u32, Duration); 2] = [(2, MOST_TOGETHER), (1, Duration::from_millis(350))];

/// The usual delays of words to the two runs. Zero: in the own region.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandoverDelays {
    /// Until the old run ends after it was cancelled.
    pub cancel: Duration,
    /// Until the new run begins after it was sent.
    pub begin: Duration,
}

/// The times of a handover from one run to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverTimes {
    /// The longest that the old run is kept after the new one was sent.
    pub overlap: Duration,
    /// How long it is kept after the new one is known to have begun. One that is turned away says
    /// so within it.
    pub grace: Duration,
    /// How many words the gateway of the new run's region has to answer in that time.
    pub probes: u32,
    /// How long the answer to one of them is waited for.
    pub probe_timeout: Duration,
    /// The same for the word that the old run has ended.
    pub commit_timeout: Duration,
    /// How long a new run in another region goes on without the word that the old one has ended.
    pub lease: Duration,
}

impl HandoverDelays {
    /// The times of a handover; `None` where the delays are so long that the old run has to end
    /// before the new one is sent.
    pub fn times(&self) -> Option<HandoverTimes> {
        if self.begin.is_zero() {
            return self.within(0, LOCAL_OVERLAP, MOST_TOGETHER);
        }
        WORDS.into_iter().find_map(|(probes, most)| {
            self.within(probes, self.begin * 2 * probes + WORD_MARGIN, most)
        })
    }

    /// The times of a handover with this overlap, where the runs are together for `most`.
    fn within(&self, probes: u32, overlap: Duration, most: Duration) -> Option<HandoverTimes> {
        let together = overlap.saturating_sub(self.begin) + self.cancel * CANCEL_FACTOR;
        let probe_timeout = self.begin * 2 + WORD_MARGIN;
        let commit_timeout = probe_timeout.max(KEEP_LIMIT);
        (together <= most).then_some(HandoverTimes {
            overlap,
            grace: WORD_MARGIN,
            probes,
            probe_timeout,
            commit_timeout,
            // The word that the old run has ended may be late, or lost once.
            lease: overlap + commit_timeout + probe_timeout,
        })
    }
}
