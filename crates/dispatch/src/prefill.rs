//! The queue of prompts at a model engine whose answers have not begun.
//!
//! The load pattern: dozens of gateways share the engines of a region, and each of them sends to
//! one engine about once a second. A sum of the sent work drifts, since generation slows prefill
//! down, and a gateway sees too few first bytes of its own to correct it. So gateways notify each
//! other of every first byte. Since engines process prompts by priority and then in order of
//! arrival, a first byte also completes the prompts ahead of it.

use {
    crate::{decay::decayed, load::PRIORITY_CLASSES},
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// A prompt is dropped if nothing was heard of it for this long: its gateway was killed, or the
/// hint of its first byte was lost. The next first byte of its class completes it sooner.
const PROMPT_MAX_AGE: Duration = Duration::from_secs(3);

/// The number of overdue prompts of other gateways that indicates a stalled engine.
const STALL_OVERDUE_PROMPTS: u32 = 2;

/// The longest usual delay of a first-byte hint between gateways. Prefill during this time counts
/// as done.
const HINT_DELAY_MS: f64 = 20.0;

/// The weight of the nominal speed in the measured slowdown, in prefill time. It keeps a single
/// prompt from making an engine look twice as slow.
const PRIOR_PREFILL_MS: f64 = 150.0;

/// Half of the measured prefill is forgotten after this much newer prefill. The concurrent
/// generations, which slow prefill down, change within about a second.
const PREFILL_HALF_LIFE_MS: f64 = 500.0;

/// Bounds of the slowdown, which keep an outlier from taking an engine out of use.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 4.0);

/// Half-life of the recent inflow of prefill work.
const INFLOW_HALF_LIFE: Duration = Duration::from_millis(1_000);

/// The largest share of an engine's time that more urgent prompts are expected to take. Predictions
/// for the remaining prompts are unreliable beyond it.
const MAX_INFLOW_SHARE: f64 = 0.6;

/// A prompt that waits for its prefill or is being processed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingPrompt {
    /// The request number, unique among all gateways.
    pub(crate) request: u64,
    /// Whether this gateway sent the request.
    pub(crate) is_own: bool,
    /// The priority class.
    pub(crate) class: usize,
    pub(crate) sent: MonotonicTime,
    /// Number of tokens to process.
    pub(crate) tokens: u32,
    /// Prefill time at nominal speed, milliseconds.
    pub(crate) cost_ms: f64,
    /// The work ahead of the prompt when it was sent, milliseconds.
    pub(crate) ahead_ms: f64,
    /// When the first byte is expected.
    pub(crate) due: MonotonicTime,
}

impl PendingPrompt {
    /// Returns whether the prompt is still assumed to be queued. The end of an own prompt is always
    /// noticed, so it does not expire.
    fn is_current(&self, now: MonotonicTime) -> bool {
        self.is_own || now.since(self.sent) < PROMPT_MAX_AGE
    }
}

/// The first byte of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstByte {
    /// The request number, unique among all gateways.
    pub(crate) request: u64,
    /// The priority class of the request.
    pub(crate) class: usize,
    /// When the request was sent.
    pub(crate) sent: MonotonicTime,
    /// When the first byte was received.
    pub(crate) received: MonotonicTime,
}

/// The prompts of all gateways of the region at one engine.
#[derive(Debug, Default)]
pub(crate) struct PrefillQueue {
    prompts: Vec<PendingPrompt>,
    /// When the engine last sent a first byte.
    last_first_byte: MonotonicTime,
    /// The beginning of the current busy period.
    busy_since: MonotonicTime,
    /// Decaying sums of the measured prefill time and of the nominal time of the same prompts.
    observed_ms: f64,
    nominal_ms: f64,
    /// Decaying sum of the prefill time that arrived per class, milliseconds, and its time of
    /// update.
    inflow: [(f64, MonotonicTime); PRIORITY_CLASSES],
    /// The slowdown that the engine states, if any. The measured slowdown is relative to it.
    stated_slowdown: Option<f64>,
}

impl PrefillQueue {
    pub(crate) fn add(&mut self, prompt: PendingPrompt) {
        self.prompts.retain(|p| p.is_current(prompt.sent));
        if self.prompts.is_empty() {
            self.busy_since = prompt.sent;
        }
        self.prompts.push(prompt);
        let inflow_ms = self.inflow_ms(prompt.class, prompt.sent) + prompt.cost_ms;
        let (_, at) = self.inflow[prompt.class];
        self.inflow[prompt.class] = (inflow_ms, at.max(prompt.sent));
    }

    /// Returns the decayed prefill time that arrived recently in this class, milliseconds.
    fn inflow_ms(&self, class: usize, now: MonotonicTime) -> f64 {
        let (inflow_ms, at) = self.inflow[class];
        decayed(inflow_ms, now.since(at), INFLOW_HALF_LIFE)
    }

    /// Returns the prompts that are assumed to be queued.
    fn current(&self, now: MonotonicTime) -> impl Iterator<Item = &PendingPrompt> {
        self.prompts.iter().filter(move |p| p.is_current(now))
    }

    /// Returns the factor by which prompts of this class take longer, because more urgent prompts
    /// that arrive later are processed first.
    pub(crate) fn preemption_factor(&self, class: usize, now: MonotonicTime) -> f64 {
        let inflow_ms: f64 = (0..class).map(|urgent| self.inflow_ms(urgent, now)).sum();
        1.0 / (1.0 - (inflow_ms * self.slowdown() / inflow_span_ms()).min(MAX_INFLOW_SHARE))
    }

    /// Returns the prefill time ahead of a new prompt of this class, milliseconds.
    pub(crate) fn ahead_ms(&self, class: usize, now: MonotonicTime) -> f64 {
        let ahead = self.current(now).filter(|p| p.class <= class);
        let (mut sum_ms, mut first): (f64, Option<&PendingPrompt>) = (0.0, None);
        for prompt in ahead {
            sum_ms += prompt.cost_ms;
            let is_first = first.is_none_or(|f| (prompt.class, prompt.sent) < (f.class, f.sent));
            first = if is_first { Some(prompt) } else { first };
        }
        let Some(first) = first else { return 0.0 };
        let slowdown = self.slowdown();
        let elapsed_ms = now.since(first.sent.max(self.last_first_byte)).as_secs_f64() * 1_000.0;
        sum_ms * slowdown
            - elapsed_ms.min(first.cost_ms * slowdown + HINT_DELAY_MS).min(sum_ms * slowdown)
    }

    /// Returns whether the first bytes of an own prompt, or of several others, are overdue by
    /// `overdue`. The hint of a single first byte may have been lost.
    pub(crate) fn is_overdue(&self, overdue: Duration, now: MonotonicTime) -> bool {
        let overdue_prompts = self.current(now).filter(|p| now.since(p.due) > overdue);
        overdue_prompts.map(|p| if p.is_own { STALL_OVERDUE_PROMPTS } else { 1 }).sum::<u32>()
            >= STALL_OVERDUE_PROMPTS
    }

    /// Returns the ratio of the measured to the nominal prefill time.
    pub(crate) fn slowdown(&self) -> f64 {
        let slowdown = (self.observed_ms + PRIOR_PREFILL_MS) / (self.nominal_ms + PRIOR_PREFILL_MS);
        slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1) * self.stated_slowdown()
    }

    /// Returns the stated slowdown, or 1 if none is stated.
    pub(crate) fn stated_slowdown(&self) -> f64 {
        self.stated_slowdown.unwrap_or(1.0)
    }

    pub(crate) fn set_stated_slowdown(&mut self, slowdown: f64) {
        self.stated_slowdown = Some(slowdown);
    }

    /// Returns whether prompts are queued.
    pub(crate) fn is_busy(&self, now: MonotonicTime) -> bool {
        self.current(now).next().is_some()
    }

    /// Returns the recent inflow of prefill work of all classes as a share of the engine's time.
    pub(crate) fn busy_share(&self, now: MonotonicTime) -> f64 {
        (self.inflow_share(now) * self.slowdown()).min(1.0)
    }

    /// Returns the same share at the engine's nominal speed.
    pub(crate) fn inflow_share(&self, now: MonotonicTime) -> f64 {
        let inflow_ms: f64 = (0..PRIORITY_CLASSES).map(|class| self.inflow_ms(class, now)).sum();
        inflow_ms / inflow_span_ms()
    }

    /// Completes the prompt that a first byte belongs to, and the prompts ahead of it. Returns the
    /// prompt if it was queued.
    pub(crate) fn note_first_byte(&mut self, byte: FirstByte) -> Option<PendingPrompt> {
        let prompt = self.prompts.iter().find(|p| p.request == byte.request).copied();
        let sent = prompt.map_or(byte.sent, |p| p.sent);
        let is_done = |p: &PendingPrompt| p.class <= byte.class && p.sent <= sent;
        let prefilled_ms: f64 = self.prompts.iter().filter(|p| is_done(p)).map(|p| p.cost_ms).sum();
        self.prompts.retain(|p| !is_done(p));
        // If a less urgent prefill was interrupted, its time so far is attributed to the prompts
        // that interrupted it. The sums over all prompts are still correct.
        let started = self.busy_since.max(self.last_first_byte);
        if prompt.is_some() && byte.received > started {
            self.observe(byte.received.since(started).as_secs_f64() * 1_000.0, prefilled_ms);
        }
        self.last_first_byte = self.last_first_byte.max(byte.received);
        prompt
    }

    fn observe(&mut self, measured_ms: f64, nominal_ms: f64) {
        let measured_ms = measured_ms / self.stated_slowdown();
        let kept = 0.5_f64.powf(nominal_ms / PREFILL_HALF_LIFE_MS);
        let (_, max_slowdown) = SLOWDOWN_BOUNDS;
        self.observed_ms =
            self.observed_ms * kept + measured_ms.min(nominal_ms * max_slowdown * 2.0);
        self.nominal_ms = self.nominal_ms * kept + nominal_ms;
    }

    /// Removes a prompt that will not be processed.
    pub(crate) fn withdraw(&mut self, request: u64) {
        self.prompts.retain(|p| p.request != request);
    }
}

/// Returns the span by which the decaying sum of the inflow is divided to get its rate: in a steady
/// state the sum is the arrival rate times this span.
fn inflow_span_ms() -> f64 {
    INFLOW_HALF_LIFE.as_secs_f64() * 1_000.0 / std::f64::consts::LN_2
}
