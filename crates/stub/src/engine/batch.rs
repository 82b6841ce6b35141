//! Continuous batching: slots, prefill and decode of one engine, without any network.
//!
//! A request waits for a slot, then for the prefill of its uncached prompt tokens (one request at
//! a time, the most urgent first), then gets its tokens at the rate that the running requests
//! share. The time of the next token is computed when the last one was due, so rates hold on
//! average however coarse the timer is.

use {
    crate::{
        engine::{
            cache_events::CacheJournal,
            gate::{GatePermit, PriorityGate, RequestPriority},
            load::LaggedLoad,
            prefix::PrefixCache,
        },
        token::TokenSource,
    },
    gullglade_backend::{CacheEvents, LoadReport, PrefixHash, PromptBlocks},
    gullglade_units::{MonotonicTime, ProcessContext},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// What an engine can do. Rates of zero mean without limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Requests that run at once.
    pub slots: usize,
    /// Prompt tokens prefilled a second.
    pub prefill_tokens_per_second: f64,
    /// Tokens decoded a second, all requests together.
    pub decode_tokens_per_second: f64,
    /// Tokens decoded a second for one request.
    pub sequence_tokens_per_second: f64,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// How late load is reported.
    pub load_lag: Duration,
    /// How late cache events are shown.
    pub cache_event_delay: Duration,
    /// The share of cache events that are lost, 0 to 1.
    pub cache_event_loss: f64,
}

impl Default for EngineLimits {
    /// A small engine: 16 slots, 8,000 prefill tokens/s, 640 decode tokens/s, 40 for one request,
    /// 65,536 cached tokens, load 200 ms late, cache events 500 ms late and 5 % of them lost.
    fn default() -> Self {
        Self {
            slots: 16,
            prefill_tokens_per_second: 8_000.0,
            decode_tokens_per_second: 640.0,
            sequence_tokens_per_second: 40.0,
            cache_tokens: 65_536,
            load_lag: Duration::from_millis(200),
            cache_event_delay: Duration::from_millis(500),
            cache_event_loss: 0.05,
        }
    }
}

/// One request to an engine.
#[derive(Clone, Debug)]
pub struct SequenceRequest {
    /// The prompt in cache blocks.
    pub prompt: PromptBlocks,
    /// Where its tokens come from.
    pub source: TokenSource,
    /// The first token to give; above zero for a resumed stream.
    pub offset: u64,
    /// The index after the last token to give.
    pub end: u64,
    /// Its urgency.
    pub priority: RequestPriority,
}

/// The engine's scheduler.
pub struct BatchEngine {
    context: ProcessContext,
    limits: EngineLimits,
    slots: PriorityGate,
    prefill: PriorityGate,
    cache: RefCell<PrefixCache>,
    journal: RefCell<CacheJournal>,
    load: RefCell<LaggedLoad>,
    waiting: Cell<usize>,
    queued_prefill: Cell<u64>,
    decoding: Cell<usize>,
}

impl BatchEngine {
    /// An idle engine with a cold cache.
    pub fn new(limits: EngineLimits, context: ProcessContext) -> Rc<Self> {
        Rc::new(Self {
            context,
            limits,
            slots: PriorityGate::new(limits.slots),
            prefill: PriorityGate::new(1),
            cache: RefCell::new(PrefixCache::new(limits.cache_tokens)),
            journal: RefCell::new(CacheJournal::new(
                limits.cache_event_delay,
                limits.cache_event_loss,
            )),
            load: RefCell::new(LaggedLoad::new(limits.load_lag)),
            waiting: Cell::new(0),
            queued_prefill: Cell::new(0),
            decoding: Cell::new(0),
        })
    }

    /// What it can do.
    pub fn limits(&self) -> &EngineLimits {
        &self.limits
    }

    /// The load as it is.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: as_count(self.limits.slots - self.slots.free()),
            waiting: as_count(self.waiting.get()),
            queued_prefill_tokens: self.queued_prefill.get(),
            cached_tokens: self.cache.borrow().tokens(),
        }
    }

    /// The load as it is reported: late.
    pub fn reported_load(&self) -> LoadReport {
        self.load.borrow_mut().report(self.context.clock.now())
    }

    /// The next unbroken run of cache events from number `since` on, at most `limit`; `None` where
    /// there is none to show yet.
    pub fn cache_events(&self, since: u64, limit: usize) -> Option<CacheEvents> {
        self.journal.borrow().run_from(self.context.clock.now(), since, limit)
    }

    /// The cache's blocks, the one used last first.
    pub fn export_cache(&self) -> Vec<PrefixHash> {
        self.cache.borrow().export()
    }

    /// Takes in blocks that another engine exported.
    pub fn import_cache(&self, blocks: &[PrefixHash]) {
        self.store(blocks);
    }

    /// Empties the cache.
    pub fn clear_cache(&self) {
        self.cache.borrow_mut().clear();
        self.journal.borrow_mut().record_cleared(self.context.clock.now());
        self.note_load();
    }

    /// Queues a request; its tokens come from the [`TokenSequence`]. Dropping the sequence at any
    /// point cancels the request and frees what it held.
    pub fn submit(self: &Rc<Self>, request: SequenceRequest) -> TokenSequence {
        let missing = request.prompt.tokens - self.cache.borrow().matched(&request.prompt);
        let queued = QueuedRequest {
            debt: PrefillDebt::new(self.clone(), missing),
            place: WaitPlace::new(self.clone()),
        };
        TokenSequence {
            next: request.offset,
            engine: self.clone(),
            request,
            stage: SequenceStage::Queued(queued),
        }
    }

    fn store(&self, blocks: &[PrefixHash]) {
        let change = self.cache.borrow_mut().insert(blocks);
        self.journal.borrow_mut().record(self.context.clock.now(), &change, &*self.context.random);
        self.note_load();
    }

    fn note_load(&self) {
        let load = self.load();
        self.load.borrow_mut().record(self.context.clock.now(), load);
    }

    /// Between two tokens of one request, with the requests that decode now.
    fn token_interval(&self) -> Duration {
        let alone = seconds_for(1.0, self.limits.sequence_tokens_per_second);
        let shared = seconds_for(self.decoding.get() as f64, self.limits.decode_tokens_per_second);
        alone.max(shared)
    }

    async fn begin(
        self: &Rc<Self>,
        request: &SequenceRequest,
        queued: QueuedRequest,
    ) -> DecodeSlot {
        let QueuedRequest { debt, place } = queued;
        let slot = self.slots.enter(request.priority).await;
        let slot = SlotHold { permit: Some(slot), engine: self.clone() };
        drop(place);
        let lane = self.prefill.enter(request.priority).await;
        // Looked up again: what ran before may have stored or pushed out a common prefix.
        let missing = request.prompt.tokens - self.cache.borrow().matched(&request.prompt);
        debt.set(missing);
        let duration = seconds_for(missing as f64, self.limits.prefill_tokens_per_second);
        if !duration.is_zero() {
            self.context.clock.sleep(duration).await;
        }
        drop(lane);
        drop(debt);
        self.store(&request.prompt.blocks);
        self.decoding.set(self.decoding.get() + 1);
        DecodeSlot { engine: self.clone(), due: self.context.clock.now(), _slot: slot }
    }
}

/// How long `amount` takes at `rate` a second; nothing where the rate is without limit.
fn seconds_for(amount: f64, rate: f64) -> Duration {
    if rate <= 0.0 { Duration::ZERO } else { Duration::from_secs_f64(amount / rate) }
}

fn as_count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// A request that has no slot yet.
struct QueuedRequest {
    debt: PrefillDebt,
    place: WaitPlace,
}

/// Counts a request as waiting until it gets a slot or is cancelled.
struct WaitPlace {
    engine: Rc<BatchEngine>,
}

impl WaitPlace {
    fn new(engine: Rc<BatchEngine>) -> Self {
        engine.waiting.set(engine.waiting.get() + 1);
        engine.note_load();
        Self { engine }
    }
}

impl Drop for WaitPlace {
    fn drop(&mut self) {
        self.engine.waiting.set(self.engine.waiting.get() - 1);
        self.engine.note_load();
    }
}

/// Prompt tokens counted in the load until they are prefilled or the request is cancelled.
struct PrefillDebt {
    engine: Rc<BatchEngine>,
    tokens: Cell<u64>,
}

impl PrefillDebt {
    fn new(engine: Rc<BatchEngine>, tokens: u64) -> Self {
        let debt = Self { engine, tokens: Cell::new(0) };
        debt.set(tokens);
        debt
    }

    fn set(&self, tokens: u64) {
        let queued = self.engine.queued_prefill.get() - self.tokens.replace(tokens) + tokens;
        self.engine.queued_prefill.set(queued);
        self.engine.note_load();
    }
}

impl Drop for PrefillDebt {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A slot whose release is noted in the load.
struct SlotHold {
    engine: Rc<BatchEngine>,
    permit: Option<GatePermit>,
}

impl Drop for SlotHold {
    fn drop(&mut self) {
        drop(self.permit.take());
        self.engine.note_load();
    }
}

/// A request past its prefill.
struct DecodeSlot {
    engine: Rc<BatchEngine>,
    due: MonotonicTime,
    _slot: SlotHold,
}

impl Drop for DecodeSlot {
    fn drop(&mut self) {
        self.engine.decoding.set(self.engine.decoding.get() - 1);
    }
}

enum SequenceStage {
    Queued(QueuedRequest),
    Decoding(DecodeSlot),
    Ended,
}

/// One token of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SequenceToken {
    /// Its place in the answer, from 0.
    pub index: u64,
    /// Its word, without the space before it.
    pub word: &'static str,
}

/// The answer to one request, token by token.
pub struct TokenSequence {
    engine: Rc<BatchEngine>,
    request: SequenceRequest,
    next: u64,
    stage: SequenceStage,
}

impl TokenSequence {
    /// Waits for the next token; `None` after the last. Not to be called again once a call was
    /// dropped unfinished: the request is then cancelled and gives no further token.
    pub async fn next(&mut self) -> Option<SequenceToken> {
        if self.next >= self.request.end {
            self.stage = SequenceStage::Ended;
            return None;
        }
        let engine = self.engine.clone();
        let mut decode = match std::mem::replace(&mut self.stage, SequenceStage::Ended) {
            SequenceStage::Ended => return None,
            SequenceStage::Queued(queued) => engine.begin(&self.request, queued).await,
            SequenceStage::Decoding(mut decode) => {
                decode.wait_due().await;
                decode
            }
        };
        decode.due = decode.due + engine.token_interval();
        let index = self.next;
        self.next += 1;
        self.stage = if self.next < self.request.end {
            SequenceStage::Decoding(decode)
        } else {
            SequenceStage::Ended
        };
        Some(SequenceToken { index, word: self.request.source.word(index) })
    }
}

impl DecodeSlot {
    async fn wait_due(&mut self) {
        let now = self.engine.context.clock.now();
        if self.due > now {
            self.engine.context.clock.sleep(self.due.since(now)).await;
        }
    }
}
