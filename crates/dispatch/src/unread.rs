//! The prompts that a model engine was sent and has not yet begun to answer.
//!
//! The load pattern: dozens of gateways share the engines of a region, and each of them sends to
//! one engine about once a second. A clock that only adds up what was sent drifts, since generation
//! slows reading down, and a gateway sees too few first bytes of its own to notice. So gateways
//! tell each other of every first byte, and each one ends what was sent there before: engines read
//! the more urgent prompt first, and of equals the one that came first.

use {
    crate::{fade::faded, load::PRIORITIES},
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// A prompt of which nothing is heard for this long is forgotten. Its gateway was killed, or the
/// word of its first byte was lost; the next first byte of its kind ends it sooner.
const PROMPT_AGE: Duration = Duration::from_secs(3);

/// So many prompts of other gateways that are overdue show an engine that stands still.
const OVERDUE_PROMPTS: u32 = 2;

/// The word of a first byte takes up to this long from gateway to gateway, milliseconds. What an
/// engine has read meanwhile counts as read.
const WORD_DELAY_MS: f64 = 20.0;

/// Observed reading counts with this much at the usual pace, milliseconds: a single prompt must not
/// make an engine look twice as slow.
const USUAL_READING_MS: f64 = 150.0;

/// Of the reading that was observed, half is forgotten with so much newer reading, milliseconds.
/// The requests that generate beside it, which slow it down, change within about a second.
const READING_HALF_LIFE_MS: f64 = 500.0;

/// The bounds of the pace. They keep one odd observation from taking an engine out of use.
const PACE_BOUNDS: (f64, f64) = (0.5, 4.0);

/// More urgent reading is counted by what came lately: half of it counts no more after this long.
const INFLOW_HALF_LIFE: Duration = Duration::from_millis(1_000);

/// The most of an engine's time that more urgent reading is expected to take. Beyond it any
/// prediction for the rest is a guess.
const MOST_INFLOW: f64 = 0.6;

/// A prompt that is being read, or waits to be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreadPrompt {
    /// Its request's number among those of all gateways.
    pub(crate) request: u64,
    /// Whether this gateway sent it.
    pub(crate) is_own: bool,
    /// The place of its priority.
    pub(crate) rank: usize,
    pub(crate) sent: MonotonicTime,
    /// The tokens to be read.
    pub(crate) tokens: u32,
    /// The time that reading takes at the usual pace, milliseconds.
    pub(crate) cost_ms: f64,
    /// The work that was ahead of it when it was sent, milliseconds.
    pub(crate) ahead_ms: f64,
    /// When its first byte was expected.
    pub(crate) due: MonotonicTime,
}

impl UnreadPrompt {
    /// Whether it is believed to be there. Of an own one the end is always noticed.
    fn is_believed(&self, now: MonotonicTime) -> bool {
        self.is_own || now.since(self.sent) < PROMPT_AGE
    }
}

/// A first byte.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstByte {
    /// Its request's number among those of all gateways.
    pub(crate) request: u64,
    /// The place of its request's priority.
    pub(crate) rank: usize,
    /// When its request was sent.
    pub(crate) sent: MonotonicTime,
    /// When it came.
    pub(crate) came: MonotonicTime,
}

/// The prompts at one engine, of all gateways of the region.
#[derive(Debug, Default)]
pub(crate) struct UnreadQueue {
    prompts: Vec<UnreadPrompt>,
    /// When the last first byte came from the engine.
    last_came: MonotonicTime,
    /// Since when it has had something to read.
    busy_since: MonotonicTime,
    /// What was observed of reading, fading: the time that it took, and would take at the usual
    /// pace.
    observed_ms: f64,
    usual_ms: f64,
    /// By rank: the reading that came lately, milliseconds, and when that was counted.
    inflow: [(f64, MonotonicTime); PRIORITIES],
}

impl UnreadQueue {
    pub(crate) fn add(&mut self, prompt: UnreadPrompt) {
        self.prompts.retain(|p| p.is_believed(prompt.sent));
        if self.prompts.is_empty() {
            self.busy_since = prompt.sent;
        }
        self.prompts.push(prompt);
        let came_ms = self.came_ms(prompt.rank, prompt.sent) + prompt.cost_ms;
        let (_, at) = self.inflow[prompt.rank];
        self.inflow[prompt.rank] = (came_ms, at.max(prompt.sent));
    }

    /// The reading of this rank that came lately, fading, milliseconds.
    fn came_ms(&self, rank: usize, now: MonotonicTime) -> f64 {
        let (came_ms, at) = self.inflow[rank];
        faded(came_ms, now.since(at), INFLOW_HALF_LIFE)
    }

    /// The prompts that are believed to be there.
    fn believed(&self, now: MonotonicTime) -> impl Iterator<Item = &UnreadPrompt> {
        self.prompts.iter().filter(move |p| p.is_believed(now))
    }

    /// How many times longer a prompt of this rank takes, since more urgent ones will come that
    /// are read before it.
    pub(crate) fn stretch(&self, rank: usize, now: MonotonicTime) -> f64 {
        let came_ms: f64 = (0..rank).map(|urgent| self.came_ms(urgent, now)).sum();
        // In a steady flow what is left of the past is its rate times this.
        let span_ms = INFLOW_HALF_LIFE.as_secs_f64() * 1_000.0 / std::f64::consts::LN_2;
        1.0 / (1.0 - (came_ms * self.pace() / span_ms).min(MOST_INFLOW))
    }

    /// Milliseconds of reading that goes before a prompt of this rank.
    pub(crate) fn ahead_ms(&self, rank: usize, now: MonotonicTime) -> f64 {
        let ahead = self.believed(now).filter(|p| p.rank <= rank);
        let (mut sum_ms, mut first): (f64, Option<&UnreadPrompt>) = (0.0, None);
        for prompt in ahead {
            sum_ms += prompt.cost_ms;
            let is_first = first.is_none_or(|f| (prompt.rank, prompt.sent) < (f.rank, f.sent));
            first = if is_first { Some(prompt) } else { first };
        }
        let Some(first) = first else { return 0.0 };
        let pace = self.pace();
        let being_read = now.since(first.sent.max(self.last_came)).as_secs_f64() * 1_000.0;
        sum_ms * pace - being_read.min(first.cost_ms * pace + WORD_DELAY_MS).min(sum_ms * pace)
    }

    /// Whether first bytes are overdue by `overdue`: of an own prompt, or of several others. The
    /// word of a single one may have been lost.
    pub(crate) fn is_overdue(&self, overdue: Duration, now: MonotonicTime) -> bool {
        let late = self.believed(now).filter(|p| now.since(p.due) > overdue);
        late.map(|p| if p.is_own { OVERDUE_PROMPTS } else { 1 }).sum::<u32>() >= OVERDUE_PROMPTS
    }

    /// How many times its usual time reading takes here now.
    pub(crate) fn pace(&self) -> f64 {
        let pace = (self.observed_ms + USUAL_READING_MS) / (self.usual_ms + USUAL_READING_MS);
        pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
    }

    /// Ends the prompt that a first byte belongs to, and those that went before it; the prompt,
    /// where it was known.
    pub(crate) fn begin(&mut self, byte: FirstByte) -> Option<UnreadPrompt> {
        let begun = self.prompts.iter().find(|p| p.request == byte.request).copied();
        let sent = begun.map_or(byte.sent, |p| p.sent);
        let is_read = |p: &UnreadPrompt| p.rank <= byte.rank && p.sent <= sent;
        let read_ms: f64 = self.prompts.iter().filter(|p| is_read(p)).map(|p| p.cost_ms).sum();
        self.prompts.retain(|p| !is_read(p));
        // Where less urgent reading was interrupted, what it took is counted with the first bytes
        // that interrupted it, and its cost with its own: over both the sums are right.
        let began = self.busy_since.max(self.last_came);
        if begun.is_some() && byte.came > began {
            self.observe(byte.came.since(began).as_secs_f64() * 1_000.0, read_ms);
        }
        self.last_came = self.last_came.max(byte.came);
        begun
    }

    fn observe(&mut self, took_ms: f64, usual_ms: f64) {
        let kept = 0.5_f64.powf(usual_ms / READING_HALF_LIFE_MS);
        let (_, most) = PACE_BOUNDS;
        self.observed_ms = self.observed_ms * kept + took_ms.min(usual_ms * most * 2.0);
        self.usual_ms = self.usual_ms * kept + usual_ms;
    }

    /// Takes out a prompt that will not begin.
    pub(crate) fn withdraw(&mut self, request: u64) {
        self.prompts.retain(|p| p.request != request);
    }
}
