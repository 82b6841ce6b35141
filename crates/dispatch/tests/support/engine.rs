//! Model of an engine in virtual time with chunked prefill between the tokens of running
//! generations.

use {
    gullglade_dispatch::{PromptPart, PromptShape, TicketId},
    std::collections::HashMap,
};

/// Parameters of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineModel {
    pub(crate) slots: usize,
    pub(crate) memory_tokens: u64,
    /// Duration of a step without prefill, milliseconds: fixed part, per generating request, and
    /// per thousand tokens of their contexts.
    pub(crate) step_ms: f64,
    pub(crate) slot_ms: f64,
    pub(crate) context_ms: f64,
    /// Prefill tokens per millisecond, and the maximum per step.
    pub(crate) prefill_rate: f64,
    pub(crate) chunk: f64,
    /// Attention cost of a million pairs of a prefill token and an earlier token, milliseconds.
    pub(crate) attention_ms: f64,
    pub(crate) tokens_per_event: u32,
    /// Tokens copied from another engine per millisecond.
    pub(crate) copy_rate: f64,
}

/// The gateway of a request and its ticket.
pub(crate) type Owner = (usize, TicketId);

/// A request at an engine.
#[derive(Clone, Debug)]
struct Job {
    owner: Owner,
    priority: u8,
    order: u64,
    parts: Vec<PromptPart>,
    /// Number of tokens in memory after the prefill.
    context: f64,
    unread: f64,
    /// The end of its copy.
    copies_until: f64,
    answer_left: u32,
    generated: u32,
}

/// An event that the gateway observes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EngineEvent {
    Event { owner: Owner, at: f64 },
    End { owner: Owner, at: f64 },
}

pub(crate) struct ModelEngine {
    model: EngineModel,
    /// How long a step takes, compared to `model`.
    pub(crate) slowdown: f64,
    waiting: Vec<Job>,
    batch: Vec<Job>,
    held: HashMap<u64, (u32, f64)>,
    step_end: f64,
    /// Prefill tokens of the current step, by owner.
    reading: Vec<(Owner, f64)>,
    is_stepping: bool,
    next_order: u64,
    /// Total prefill tokens, including those of shared parts.
    pub(crate) prefill_tokens: f64,
    pub(crate) busy_ms: f64,
    /// Number of requests interrupted for more urgent ones.
    pub(crate) preempted: usize,
}

impl ModelEngine {
    pub(crate) fn new(model: EngineModel) -> Self {
        Self {
            model,
            slowdown: 1.0,
            waiting: Vec::new(),
            batch: Vec::new(),
            held: HashMap::new(),
            step_end: 0.0,
            reading: Vec::new(),
            is_stepping: false,
            next_order: 0,
            prefill_tokens: 0.0,
            busy_ms: 0.0,
            preempted: 0,
        }
    }

    /// Returns the numbers of running and of queued requests.
    pub(crate) fn load(&self) -> (u32, u32) {
        (self.batch.len() as u32, self.waiting.len() as u32)
    }

    /// Returns the number of leading prompt tokens that are cached.
    pub(crate) fn held_tokens(&self, shape: &PromptShape) -> u32 {
        let held = shape.shared_parts().iter().take_while(|p| self.held.contains_key(&p.id));
        held.map(|p| p.tokens).sum()
    }

    /// Queues a request, of which `copied` tokens are copied from another engine.
    pub(crate) fn enqueue(
        &mut self,
        owner: Owner,
        priority: u8,
        shape: &PromptShape,
        answer: u32,
        copied: u32,
        now: f64,
    ) {
        self.next_order += 1;
        let held = self.held_tokens(shape);
        let unread = shape.prompt_tokens.saturating_sub(held + copied);
        self.waiting.push(Job {
            owner,
            priority,
            order: self.next_order,
            parts: shape.shared_parts().to_vec(),
            context: f64::from(shape.prompt_tokens),
            unread: f64::from(unread).max(1.0),
            copies_until: now + f64::from(copied) / self.model.copy_rate.max(1.0),
            answer_left: answer.max(1),
            generated: 0,
        });
        if !self.is_stepping {
            self.step_end = now;
        }
    }

    /// Drops a request whose caller has left.
    pub(crate) fn cancel(&mut self, owner: Owner) {
        self.waiting.retain(|j| j.owner != owner);
        self.batch.retain(|j| j.owner != owner);
    }

    /// Drops all state and returns the owners of the lost requests.
    pub(crate) fn crash(&mut self) -> Vec<Owner> {
        let lost = self.waiting.drain(..).chain(self.batch.drain(..)).map(|j| j.owner).collect();
        self.held.clear();
        self.is_stepping = false;
        lost
    }

    /// Runs the engine until `now`.
    pub(crate) fn advance(&mut self, now: f64) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        while self.step_end <= now {
            if self.is_stepping {
                self.finish_step(&mut events);
            }
            self.is_stepping = self.begin_step();
            if !self.is_stepping {
                self.step_end = now.max(self.step_end);
                break;
            }
        }
        events
    }

    fn admit(&mut self) {
        self.waiting.sort_by_key(|j| (j.priority, j.order));
        while let Some(first) = self.waiting.first() {
            if first.copies_until > self.step_end && self.waiting.len() == 1 {
                return;
            }
            let memory: f64 = self.batch.iter().map(|j| j.context).sum();
            let is_full = self.batch.len() >= self.model.slots
                || memory + first.context > self.model.memory_tokens as f64;
            if is_full {
                let last = self.batch.iter().enumerate().max_by_key(|(_, j)| (j.priority, j.order));
                let Some((index, _)) = last.filter(|(_, j)| j.priority > first.priority) else {
                    return;
                };
                let mut job = self.batch.remove(index);
                self.preempted += 1;
                let held: u32 = job.parts.iter().map(|p| p.tokens).sum();
                job.unread = (job.context - f64::from(held)).max(1.0);
                self.waiting.push(job);
                self.waiting.sort_by_key(|j| (j.priority, j.order));
                continue;
            }
            let job = self.waiting.remove(0);
            self.batch.push(job);
        }
    }

    fn begin_step(&mut self) -> bool {
        self.admit();
        if self.batch.is_empty() {
            return false;
        }
        let model = self.model;
        let now = self.step_end;
        let mut reading: Vec<&mut Job> =
            self.batch.iter_mut().filter(|j| j.unread > 0.0 && j.copies_until <= now).collect();
        reading.sort_by_key(|j| (j.priority, j.order));
        let mut room = model.chunk;
        let mut pairs = 0.0;
        self.reading.clear();
        for job in reading {
            let tokens = job.unread.min(room);
            if tokens <= 0.0 {
                break;
            }
            room -= tokens;
            pairs += tokens * (job.context - job.unread + tokens / 2.0);
            self.reading.push((job.owner, tokens));
        }
        let read = model.chunk - room;
        let running: Vec<&Job> = self.batch.iter().filter(|j| j.unread <= 0.0).collect();
        let contexts: f64 = running.iter().map(|j| j.context).sum();
        let took = model.step_ms
            + model.slot_ms * running.len() as f64
            + model.context_ms * contexts / 1_000.0
            + read / model.prefill_rate
            + pairs / 1e6 * model.attention_ms;
        let took = took * self.slowdown;
        self.prefill_tokens += read;
        self.busy_ms += if read > 0.0 { took } else { 0.0 };
        self.step_end += took;
        true
    }

    fn finish_step(&mut self, events: &mut Vec<EngineEvent>) {
        let at = self.step_end;
        let mut begun = Vec::new();
        for job in &mut self.batch {
            if job.unread <= 0.0 {
                job.generated += 1;
                job.context += 1.0;
                job.answer_left -= 1;
                if job.generated % self.model.tokens_per_event == 0 || job.answer_left == 0 {
                    events.push(EngineEvent::Event { owner: job.owner, at });
                }
                if job.answer_left == 0 {
                    events.push(EngineEvent::End { owner: job.owner, at });
                }
                continue;
            }
            let Some((_, tokens)) = self.reading.iter().find(|(owner, _)| *owner == job.owner)
            else {
                continue;
            };
            job.unread -= tokens;
            if job.unread <= 0.0 {
                events.push(EngineEvent::Event { owner: job.owner, at });
                begun.push(job.parts.clone());
            }
        }
        self.batch.retain(|j| j.answer_left > 0);
        begun.iter().flatten().for_each(|part| self.hold(*part, at));
        self.evict();
    }

    fn hold(&mut self, part: PromptPart, at: f64) {
        self.held.insert(part.id, (part.tokens, at));
    }

    fn evict(&mut self) {
        let running: f64 = self.batch.iter().map(|j| j.context).sum();
        let room = (self.model.memory_tokens as f64 - running).max(0.0);
        let mut held: f64 = self.held.values().map(|(tokens, _)| f64::from(*tokens)).sum();
        while held > room {
            let oldest = self.held.iter().min_by(|a, b| a.1.1.total_cmp(&b.1.1));
            let Some((id, (tokens, _))) = oldest.map(|(id, h)| (*id, *h)) else { return };
            held -= f64::from(tokens);
            self.held.remove(&id);
        }
    }
}
