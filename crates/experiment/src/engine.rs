//! A stand-in engine: first come, first served over slots, one prefill after the other, a prefix
//! cache. Because nothing overtakes, all times of a request are known when it comes.

use {
    crate::{ArrivalRow, EngineSpec, OutageSpan, cache::PrefixCache},
    gullglade_route::PromptPrefix,
    gullglade_units::BackendName,
    std::{cell::RefCell, collections::VecDeque},
};

/// What an engine said of its load at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadSample {
    pub(crate) time: f64,
    pub(crate) active: u32,
    pub(crate) prefill_tokens: u32,
}

/// A change of an engine's cache, to be told late or never.
#[derive(Clone, Debug)]
pub(crate) struct CacheEvent {
    pub(crate) time: f64,
    pub(crate) stored: Vec<PromptPrefix>,
    pub(crate) evicted: Vec<u64>,
}

/// How a request will go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EngineAnswer {
    /// Times of the first token and of the end, and prompt tokens read.
    Whole { first: f64, end: f64, uncached: u32 },
    /// The engine breaks down before the first token, at this time.
    Broken { at: f64 },
}

struct EngineState {
    generation: u32,
    slot_free: Vec<f64>,
    prefill_free: f64,
    cache: PrefixCache,
    active: u32,
    prefill_tokens: u32,
    busy: f64,
    samples: VecDeque<LoadSample>,
    events: VecDeque<CacheEvent>,
}

/// Samples kept: more than the longest lag needs.
const SAMPLE_LIMIT: usize = 64;

/// One engine.
pub(crate) struct EngineModel {
    pub(crate) name: BackendName,
    pub(crate) spec: EngineSpec,
    outage: Option<OutageSpan>,
    state: RefCell<EngineState>,
}

impl EngineModel {
    pub(crate) fn new(name: BackendName, spec: EngineSpec, outage: Option<OutageSpan>) -> Self {
        let state = EngineState {
            generation: 0,
            slot_free: vec![0.0; spec.slots as usize],
            prefill_free: 0.0,
            cache: PrefixCache::new(spec.cache_tokens),
            active: 0,
            prefill_tokens: 0,
            busy: 0.0,
            samples: VecDeque::new(),
            events: VecDeque::new(),
        };
        Self { name, spec, outage, state: RefCell::new(state) }
    }

    /// Whether it runs at `time`.
    pub(crate) fn alive(&self, time: f64) -> bool {
        self.outage.is_none_or(|span| !span.covers(span.region, time))
    }

    /// When it started, as far as that lies before `time`.
    pub(crate) fn born(&self, time: f64) -> f64 {
        self.outage.filter(|span| span.to <= time).map_or(f64::NEG_INFINITY, |span| span.to)
    }

    /// Which of its lives runs at `time`.
    pub(crate) fn generation(&self, time: f64) -> u32 {
        u32::from(self.outage.is_some_and(|span| span.to <= time))
    }

    /// How a request would go if it came now.
    pub(crate) fn preview(&self, time: f64, row: &ArrivalRow) -> EngineAnswer {
        self.renew(time);
        if !self.alive(time) {
            return EngineAnswer::Broken { at: time };
        }
        let state = self.state.borrow();
        let uncached = row.prompt_tokens - state.cache.held(&row.marks).min(row.prompt_tokens - 1);
        let slot = state.slot_free.iter().copied().fold(f64::INFINITY, f64::min);
        let start = time.max(slot).max(state.prefill_free);
        let first = start + f64::from(uncached) / self.spec.prefill_rate + self.spec.token_time;
        let end = first + f64::from(row.answer_tokens - 1) * self.spec.token_time;
        match self.outage {
            Some(span) if span.from > time && span.from < first => {
                EngineAnswer::Broken { at: span.from }
            }
            _ => EngineAnswer::Whole { first, end, uncached },
        }
    }

    /// Takes a request in.
    pub(crate) fn submit(&self, time: f64, row: &ArrivalRow) -> EngineAnswer {
        let answer = self.preview(time, row);
        let EngineAnswer::Whole { first, end, uncached } = answer else { return answer };
        let mut state = self.state.borrow_mut();
        let free = state.slot_free.iter_mut().min_by(|a, b| a.total_cmp(b));
        *free.expect("an engine has slots") = end;
        state.prefill_free = first - self.spec.token_time;
        state.active += 1;
        state.prefill_tokens += uncached;
        state.busy += f64::from(uncached) / self.spec.prefill_rate
            + (end - first + self.spec.token_time) / f64::from(self.spec.slots);
        let evicted = state.cache.store(&row.marks);
        state.events.push_back(CacheEvent { time, stored: row.marks.clone(), evicted });
        answer
    }

    /// Notes a first token of a request of this generation.
    pub(crate) fn first_token(&self, generation: u32, uncached: u32) {
        let mut state = self.state.borrow_mut();
        if state.generation == generation {
            state.prefill_tokens -= uncached;
        }
    }

    /// Notes the end of a request of this generation.
    pub(crate) fn finished(&self, generation: u32) {
        let mut state = self.state.borrow_mut();
        if state.generation == generation {
            state.active -= 1;
        }
    }

    /// Takes a sample of the load.
    pub(crate) fn sample(&self, time: f64) {
        self.renew(time);
        let mut state = self.state.borrow_mut();
        let (active, prefill_tokens) = (state.active, state.prefill_tokens);
        if state.samples.len() == SAMPLE_LIMIT {
            state.samples.pop_front();
        }
        state.samples.push_back(LoadSample { time, active, prefill_tokens });
    }

    /// The newest sample of its present life taken up to `time`.
    pub(crate) fn sampled(&self, time: f64) -> LoadSample {
        let state = self.state.borrow();
        let known = state.samples.iter().rev().find(|sample| sample.time <= time);
        known.copied().unwrap_or(LoadSample { time, ..LoadSample::default() })
    }

    /// Takes out the cache events up to `time`.
    pub(crate) fn take_events(&self, time: f64) -> Vec<CacheEvent> {
        let mut state = self.state.borrow_mut();
        let due = state.events.iter().take_while(|event| event.time <= time).count();
        state.events.drain(..due).collect()
    }

    /// Seconds it was kept busy: prefill, and decode by its part of the slots.
    pub(crate) fn busy(&self) -> f64 {
        self.state.borrow().busy
    }

    /// Begins a new life with a cold cache after an outage.
    fn renew(&self, time: f64) {
        let generation = self.generation(time);
        let mut state = self.state.borrow_mut();
        if state.generation == generation {
            return;
        }
        state.generation = generation;
        state.slot_free.fill(time);
        state.prefill_free = time;
        state.cache = PrefixCache::new(self.spec.cache_tokens);
        state.active = 0;
        state.prefill_tokens = 0;
        state.samples.clear();
        state.events.clear();
    }
}
