//! The decode pace of a model engine, learned from the events of the streams that are relayed.
//!
//! The load pattern: the engines of a service run on machines of different speeds, which are shared
//! with other work, and prefill without pause gives each stream one token per prefill chunk instead
//! of one per decode step. An answer of 382 tokens then takes 10 to 16 s instead of 3 s.
//!
//! A step takes `decode_ms`, which grows with the number of running requests, and `chunk_ms` more if
//! it includes a prefill chunk. Both are learned at the usual speed of the machine: samples are
//! divided by the slowdown that the engine states.

use {
    gullglade_units::MonotonicTime,
    std::{ops::RangeInclusive, time::Duration},
};

/// Stated slowdowns outside this range are ignored. The machines of known engines are at most 2.5
/// times slower than usual.
const SLOWDOWN_PERCENT: RangeInclusive<u32> = 25..=1_000;

/// The load of a shared machine changes within about this time, after which a stated slowdown says
/// no more than the mean of the engine.
const SLOWDOWN_MAX_AGE: Duration = Duration::from_millis(600);

/// The weight of the newest statement in the mean slowdown of an engine.
const SLOWDOWN_WEIGHT: f64 = 0.05;

/// The relative growth of a decode step per running request: 0.03 to 0.035 at known engines.
const RUNNING_GROWTH: f64 = 0.03;

/// The assumed ratio of the prefill chunk to the decode step until both are learned. It is 4 to 7 at
/// known engines.
const INITIAL_CHUNK_STEPS: f64 = 5.0;

/// The least weight of a sample. The first samples of an engine weigh more.
const MIN_WEIGHT: f64 = 0.1;

/// Bounds of the two learned times, milliseconds. They are wider than those of known engines by a
/// factor of ten, and limit the effect of outliers.
const DECODE_BOUNDS_MS: (f64, f64) = (0.2, 100.0);
const CHUNK_BOUNDS_MS: (f64, f64) = (0.2, 1_000.0);

/// A sample counts at most as this multiple of the expected time: a stream that hung says nothing
/// about the pace.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Number of samples from which the pace is sent to other gateways.
const MIN_SHARED_SAMPLES: u32 = 3;

/// The weight of a pace that another gateway learned. It is based on other streams at the same
/// engine, but arrives many times.
const PEER_WEIGHT: f64 = 0.1;

/// An encoded time is this unit, in milliseconds, times a power of [`CODE_BASE`].
const CODE_UNIT_MS: f64 = 0.1;
const CODE_BASE: f64 = 1.04;

/// The slowdown that an engine states: how long work takes on its machine compared to usual.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatedSlowdown {
    latest: f64,
    at: MonotonicTime,
    mean: f64,
}

impl StatedSlowdown {
    /// Returns the factor for a stated percentage, or `None` if it is implausible.
    pub(crate) fn factor(percent: u32) -> Option<f64> {
        SLOWDOWN_PERCENT.contains(&percent).then_some(f64::from(percent) / 100.0)
    }

    pub(crate) fn new(factor: f64, at: MonotonicTime) -> Self {
        Self { latest: factor, at, mean: 1.0 + SLOWDOWN_WEIGHT * (factor - 1.0) }
    }

    pub(crate) fn note(&mut self, factor: f64, at: MonotonicTime) {
        let mean = self.mean + SLOWDOWN_WEIGHT * (factor - self.mean);
        *self = Self { latest: factor, at, mean };
    }

    /// Returns the slowdown at `now`.
    pub(crate) fn at(&self, now: MonotonicTime) -> f64 {
        if now.since(self.at) < SLOWDOWN_MAX_AGE { self.latest } else { self.mean }
    }

    /// Returns the mean slowdown, for work that takes seconds.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }
}

/// The times of an engine's steps at the usual speed of its machine, milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StepTimes {
    /// A decode step with no other running request.
    pub(crate) decode_ms: f64,
    /// The additional time of a step that includes a prefill chunk.
    pub(crate) chunk_ms: f64,
}

impl StepTimes {
    /// Returns the time of a decode step with this number of running requests.
    pub(crate) fn decode_with(&self, running: usize) -> f64 {
        self.decode_ms * running_factor(running)
    }

    fn bounded(self) -> Self {
        Self {
            decode_ms: self.decode_ms.clamp(DECODE_BOUNDS_MS.0, DECODE_BOUNDS_MS.1),
            chunk_ms: self.chunk_ms.clamp(CHUNK_BOUNDS_MS.0, CHUNK_BOUNDS_MS.1),
        }
    }

    /// Returns the times in a hint: two bytes on a logarithmic scale.
    fn encode(self) -> [u8; 2] {
        let code = |ms: f64| ((ms / CODE_UNIT_MS).ln() / CODE_BASE.ln()).round().clamp(1.0, 255.0);
        [code(self.decode_ms) as u8, code(self.chunk_ms) as u8]
    }

    fn decode(codes: [u8; 2]) -> Option<Self> {
        let ms = |code: u8| (code > 0).then(|| CODE_UNIT_MS * CODE_BASE.powi(code.into()));
        Some(Self { decode_ms: ms(codes[0])?, chunk_ms: ms(codes[1])? }.bounded())
    }

    /// Returns the element-wise median.
    pub(crate) fn median(times: &[Self]) -> Option<Self> {
        let median = |time: fn(&Self) -> f64| {
            let mut sorted: Vec<f64> = times.iter().map(time).collect();
            sorted.sort_by(f64::total_cmp);
            sorted.get(sorted.len() / 2).copied()
        };
        Some(Self { decode_ms: median(|t| t.decode_ms)?, chunk_ms: median(|t| t.chunk_ms)? })
    }
}

/// Consecutive tokens of one stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PaceSample {
    pub(crate) tokens: f64,
    pub(crate) took_ms: f64,
    /// The part of `took_ms` during which prompts were queued at the engine.
    pub(crate) prefill_ms: f64,
    /// Number of running requests.
    pub(crate) running: usize,
    /// The slowdown of the machine.
    pub(crate) slowdown: f64,
}

/// The learned pace of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecodePace {
    times: Option<StepTimes>,
    samples: u32,
}

impl DecodePace {
    /// Returns the learned times, if there are any.
    pub(crate) fn times(&self) -> Option<StepTimes> {
        self.times
    }

    /// Learns from a sample. `initial` are the times to begin with, if some are known.
    pub(crate) fn learn(&mut self, sample: PaceSample, initial: Option<StepTimes>) {
        let PaceSample { tokens, took_ms, prefill_ms, running, slowdown } = sample;
        let is_plausible = tokens >= 1.0 && took_ms > 0.0 && slowdown > 0.0;
        if !is_plausible {
            return;
        }
        let (factor, token_ms) = (running_factor(running), took_ms / tokens / slowdown);
        let first = || {
            let decode_ms = token_ms * (1.0 - (prefill_ms / took_ms).clamp(0.0, 0.8)) / factor;
            StepTimes { decode_ms, chunk_ms: decode_ms * INITIAL_CHUNK_STEPS }.bounded()
        };
        let times = self.times.or(initial).unwrap_or_else(first);
        let step_ms = times.decode_ms * factor;
        // The share of the steps that included a prefill chunk.
        let chunks =
            (prefill_ms / slowdown / ((step_ms + times.chunk_ms) * tokens)).clamp(0.0, 1.0);
        let expected_ms = step_ms + chunks * times.chunk_ms;
        let excess_ms = token_ms.min(expected_ms * MAX_SAMPLE_RATIO) - expected_ms;
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.samples + 2));
        // Normalized least mean squares over the two times.
        let rate = weight * excess_ms / (factor * factor + chunks * chunks);
        let learned = StepTimes {
            decode_ms: times.decode_ms + rate * factor,
            chunk_ms: times.chunk_ms + rate * chunks,
        };
        *self = Self { times: Some(learned.bounded()), samples: self.samples.saturating_add(1) };
    }

    /// Returns the pace to be sent to other gateways. Zeros stand for an unknown pace.
    pub(crate) fn shared(&self) -> [u8; 2] {
        let times = self.times.filter(|_| self.samples >= MIN_SHARED_SAMPLES);
        times.map_or([0; 2], StepTimes::encode)
    }

    /// Records the pace that another gateway learned.
    pub(crate) fn note_peer(&mut self, codes: [u8; 2]) {
        let Some(peer) = StepTimes::decode(codes) else { return };
        let blend = |own: f64, peer: f64| own + PEER_WEIGHT * (peer - own);
        self.times = Some(self.times.map_or(peer, |own| StepTimes {
            decode_ms: blend(own.decode_ms, peer.decode_ms),
            chunk_ms: blend(own.chunk_ms, peer.chunk_ms),
        }));
    }
}

fn running_factor(running: usize) -> f64 {
    1.0 + RUNNING_GROWTH * running as f64
}
