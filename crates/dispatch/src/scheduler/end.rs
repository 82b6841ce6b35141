//! The expected end of answers in the placement of requests.
//!
//! The rule applies to services whose backend servers state the slowdown of their machines and that
//! have an engine profile. Elsewhere each function here returns nothing, and placement is as
//! without it.

use {
    super::{Backend, Scheduler, Waiting, backend_of_run, place::Candidate},
    crate::{
        AnswerHint, PromptShape, TicketId, WorkCost, WorkItem, WorkOutcome,
        answer_end::{AnswerLengths, EnginePace, EngineState, LengthEstimate, RequestedAnswer},
        load::as_millis,
        pace::StepTimes,
    },
    gullglade_traffic::{EngineProfile, TrafficRoute},
    gullglade_units::{BackendName, BackendRun, MonotonicTime, ServiceName},
    std::{collections::HashMap, time::Duration},
};

/// The interval at which the usual times of a service are computed.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(500);

/// The cost of an answer that does not end in time, as a multiple of the objective of its route. A
/// late first byte still has some value, whereas an answer that is cut off has none and has used
/// an engine for seconds.
const MISSED_END_OBJECTIVES: f64 = 4.0;

/// The weight of answers that run at an engine against the new one. They have used an engine for
/// some time, which is lost with them.
const RUNNING_ANSWER_WEIGHT: f64 = 3.0;

/// An engine with more prefill work ahead than this, of all priorities, is strained: it would be in
/// prefill without pause, and each of its streams would get one token per prefill chunk. This is the
/// prefill of one usual prompt at known engines, so the next prompt is there when one is done.
const STRAINED_BACKLOG_MS: f64 = 150.0;

/// A request waits for an engine that is not strained during this share of its objective.
const SPARING_WAIT_SHARE: f64 = 0.3;

/// If a larger share of the engines is strained, the region is in overload. Waiting and placement on
/// the few others, which hold no part of the prompt, would then cost more capacity than they save.
const MAX_STRAINED_SHARE: f64 = 0.5;

/// The share of the expected length for which an answer is refused if not even that can end.
/// Expected lengths are uncertain.
const CERTAIN_LENGTH_SHARE: f64 = 0.5;

/// The speed of the fastest engines of another region, relative to the fastest known one here. It
/// is not known, and machines of one service differ by up to 2.7.
const SPEED_ELSEWHERE: f64 = 3.0;

/// The cost of pauses beyond the objective, as a share of the cost of a missed end: such an answer
/// is late, not lost.
const LONG_PAUSE_SHARE: f64 = 0.3;

/// What is known about the answers of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceAnswers {
    /// Whether a backend server has stated its slowdown.
    is_stated: bool,
    /// The medians of the known engines.
    usual: Option<StepTimes>,
    /// The least time of a decode step, if the pace of each engine is known.
    fastest_ms: Option<f64>,
    checked_at: Option<MonotonicTime>,
    /// By the name of the route.
    lengths: HashMap<String, AnswerLengths>,
}

/// The answer to a request that is to be placed.
pub(super) struct AnswerOutlook {
    length: LengthEstimate,
    usual: Option<StepTimes>,
    engine: EngineProfile,
    /// Whether most engines are strained.
    is_overload: bool,
}

/// The cost of placing a request on an engine that its end causes, milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EndCost {
    /// The answer itself does not end in time.
    pub(super) own_ms: f64,
    /// Answers that run there no longer end in time.
    pub(super) others_ms: f64,
}

impl ServiceAnswers {
    /// Has the medians computed again, since backend servers were replaced.
    pub(super) fn expire(&mut self) {
        self.checked_at = None;
    }
}

impl Scheduler {
    /// Updates what the engines of a service have in common.
    pub(super) fn refresh_answers(&mut self, service: &ServiceName, now: MonotonicTime) {
        if self.services.get(service).is_none_or(|s| s.engine.is_none()) {
            return;
        }
        let answers = self.answers.entry(service.clone()).or_default();
        if answers.checked_at.is_some_and(|at| now.since(at) < MEDIAN_INTERVAL) {
            return;
        }
        let mut of_service: Vec<&mut Backend> =
            self.backends.values_mut().filter(|b| b.info.service == *service).collect();
        let times: Vec<StepTimes> =
            of_service.iter().filter_map(|b| b.answers.pace.times()).collect();
        answers.usual = StepTimes::median(&times).or(answers.usual);
        let is_known = !times.is_empty() && times.len() == of_service.len();
        let fastest_ms = times.iter().map(|times| times.decode_ms).min_by(f64::total_cmp);
        answers.fastest_ms = fastest_ms.filter(|_| is_known);
        answers.is_stated = of_service.iter().any(|b| b.load.slowdown().is_some());
        answers.checked_at = Some(now);
        of_service.iter_mut().for_each(|backend| backend.load.expire_slowdown(now));
    }

    /// Returns the expected length of an answer, the usual times of the engines, and their profile.
    fn expected_length(
        &self,
        item: &WorkItem,
    ) -> Option<(LengthEstimate, Option<StepTimes>, EngineProfile)> {
        let answers = self.answers.get(&item.service).filter(|answers| answers.is_stated)?;
        let engine = self.services.get(&item.service)?.engine?;
        let lengths = answers.lengths.get(&item.route.name).copied().unwrap_or_default();
        Some((lengths.estimate(item.prompt.as_ref()?)?, answers.usual, engine))
    }

    /// Returns what is expected of the answer to a request, or `None` if the rule does not apply.
    pub(super) fn answer_outlook(
        &self,
        item: &WorkItem,
        backends: &[&Backend],
        now: MonotonicTime,
    ) -> Option<AnswerOutlook> {
        let (length, usual, engine) = self.expected_length(item)?;
        let is_overload = AnswerOutlook::is_overload(backends, now);
        Some(AnswerOutlook { length, usual, engine, is_overload })
    }

    /// Returns whether no engine, here or elsewhere, can end the answer before its deadline, even if
    /// it runs alone and is half as long as expected.
    pub(super) fn cannot_end(&self, item: &WorkItem, now: MonotonicTime) -> bool {
        let Some((length, ..)) = self.expected_length(item) else { return false };
        // An engine whose pace is not known may be fast enough.
        let fastest_ms = self.answers.get(&item.service).and_then(|answers| answers.fastest_ms);
        let Some(fastest_ms) = fastest_ms else { return false };
        let may_leave = item.may_forward && self.allowed_offers(item).next().is_some();
        let token_ms = if may_leave { fastest_ms / SPEED_ELSEWHERE } else { fastest_ms };
        let least_ms = length.median() * CERTAIN_LENGTH_SHARE * token_ms;
        least_ms > as_millis(item.deadline.since(now))
    }

    /// Records that a request was sent, and returns what other gateways are told of its answer.
    pub(super) fn note_answer_sent(
        &mut self,
        waiting: &Waiting,
        request: u64,
        backend: &BackendName,
        now: MonotonicTime,
    ) -> Option<AnswerHint> {
        let Waiting { ticket, item } = waiting;
        let length = self.expected_length(item).map(|(length, ..)| length);
        let backend = self.backends.get_mut(backend)?;
        item.prompt.as_ref()?;
        backend.answers.note_prefill(backend.load.is_in_prefill(now), now);
        let deadline = item.deadline;
        let answer = RequestedAnswer { request, ticket: Some(*ticket), length, deadline };
        backend.answers.note_requested(answer, now);
        length.map(|length| AnswerHint::new(&length, deadline.since(now)))
    }

    /// Records events of a stream that this gateway relays.
    pub(super) fn note_answer_events(&mut self, ticket: TicketId, events: u32, now: MonotonicTime) {
        let Some(placement) = self.sent.get(&ticket) else { return };
        let Some(backend) = backend_of_run(&mut self.backends, &placement.run) else {
            return;
        };
        let engine = self.services.get(&backend.info.service).and_then(|s| s.engine);
        let (Some(engine), Some(slowdown)) = (engine, backend.load.slowdown()) else { return };
        let state = EngineState {
            is_in_prefill: backend.load.is_in_prefill(now),
            running: running(backend, now),
            slowdown: slowdown.at(now),
            tokens_per_event: engine.tokens_per_event,
            initial: self.answers.get(&backend.info.service).and_then(|answers| answers.usual),
        };
        backend.answers.note_events(ticket, events, state, now);
    }

    /// Records the end of an answer that this gateway relayed.
    pub(super) fn note_answer_end(
        &mut self,
        ticket: TicketId,
        run: &BackendRun,
        route: &TrafficRoute,
        hint: Option<u32>,
        outcome: WorkOutcome,
    ) {
        let Some(backend) = backend_of_run(&mut self.backends, run) else { return };
        let Some(events) = backend.answers.end(ticket) else { return };
        if backend.load.slowdown().is_none() {
            return;
        }
        let service = &backend.info.service;
        let Some(engine) = self.services.get(service).and_then(|s| s.engine) else { return };
        let tokens = f64::from(events) * f64::from(engine.tokens_per_event);
        let answers = self.answers.entry(service.clone()).or_default();
        let lengths = answers.lengths.entry(route.name.clone()).or_default();
        // An answer that was cut off is longer than what arrived, which is worth noting only if
        // that was more than expected.
        let shape = PromptShape { expected_answer_tokens: hint, ..PromptShape::default() };
        let is_longer = || lengths.estimate(&shape).is_some_and(|l| tokens > l.median());
        if outcome == WorkOutcome::Answered || is_longer() {
            lengths.note(tokens, hint);
        }
    }
}

impl AnswerOutlook {
    /// Returns whether so many of the engines are strained that running answers cannot be spared.
    pub(super) fn is_overload(backends: &[&Backend], now: MonotonicTime) -> bool {
        let strained = backends.iter().filter(|backend| is_strained(backend, now)).count();
        strained as f64 > MAX_STRAINED_SHARE * backends.len() as f64
    }

    /// Returns whether the engine gets no further prompts while others can take them.
    pub(super) fn is_spared(&self, backend: &Backend, now: MonotonicTime) -> bool {
        !self.is_overload && is_strained(backend, now)
    }

    /// Returns the cost of placing a request on an engine for the end of its answer, and of those
    /// that run there.
    pub(super) fn cost(
        &self,
        item: &WorkItem,
        backend: &Backend,
        candidate: &Candidate,
        now: MonotonicTime,
    ) -> EndCost {
        let Some(pace) = engine_pace(backend, self.usual, now) else {
            return EndCost::default();
        };
        let stake_ms = MISSED_END_OBJECTIVES * as_millis(item.route.objective);
        let left_ms = as_millis(item.deadline.since(now)) - candidate.estimate.expected_ms;
        let missed = match left_ms > 0.0 {
            true => self.length.exceeds_after(0.0, pace.tokens_in(left_ms, 0.0)),
            false => 1.0,
        };
        let tokens_per_event = self.engine.tokens_per_event;
        let pause_ms = pace.prefill_ms * f64::from(tokens_per_event);
        let pauses = item.route.gap_objective.map_or(0.0, |gap| {
            // Likely once the mean pause during prefill reaches the objective.
            let ratio = pause_ms / as_millis(gap).max(1.0);
            pace.prefill_share * ratio.powi(4) / (1.0 + ratio.powi(4))
        });
        let prefill_ms = candidate.work.tokens.map_or(0.0, |tokens| {
            backend.load.service_ms(WorkCost { tokens: Some(tokens), ..candidate.work })
        });
        let lost = match self.is_overload {
            true => 0.0,
            false => backend.answers.loss_per_ms(&pace, tokens_per_event, now) * prefill_ms,
        };
        EndCost {
            own_ms: stake_ms * (missed + LONG_PAUSE_SHARE * pauses * (1.0 - missed)),
            others_ms: RUNNING_ANSWER_WEIGHT * stake_ms * lost,
        }
    }
}

/// Selects the best candidate. Engines that are strained are used if the request cannot wait.
#[derive(Default)]
pub(super) struct CandidateChoice<'a> {
    relaxed: Option<(Candidate, &'a BackendName)>,
    strained: Option<(Candidate, &'a BackendName)>,
}

impl<'a> CandidateChoice<'a> {
    /// Adds a candidate if it is the best one so far and `has_capacity`.
    pub(super) fn offer(
        &mut self,
        candidate: Candidate,
        name: &'a BackendName,
        is_strained: bool,
        has_capacity: impl FnOnce(&Candidate) -> bool,
    ) {
        let best = if is_strained { &mut self.strained } else { &mut self.relaxed };
        let is_better = best.as_ref().is_none_or(|(b, _)| candidate.cost_ms < b.cost_ms);
        if is_better && has_capacity(&candidate) {
            *best = Some((candidate, name));
        }
    }

    /// Returns whether a strained engine has capacity.
    pub(super) fn has_strained(&self) -> bool {
        self.strained.is_some()
    }

    /// Returns the best candidate, or `None` if the request has to wait.
    pub(super) fn best(
        self,
        item: &WorkItem,
        now: MonotonicTime,
    ) -> Option<(Candidate, &'a BackendName)> {
        let may_wait = now < item.arrived + item.route.objective.mul_f64(SPARING_WAIT_SHARE);
        self.relaxed.or(self.strained.filter(|_| !may_wait))
    }
}

/// Returns the expected pace of one more stream at an engine, if it is known.
fn engine_pace(
    backend: &Backend,
    usual: Option<StepTimes>,
    now: MonotonicTime,
) -> Option<EnginePace> {
    let times = backend.answers.pace.times().or(usual)?;
    let slowdown = backend.load.slowdown().map_or(1.0, |slowdown| slowdown.mean());
    let share = backend.load.prefill_share(now);
    Some(EnginePace::new(times, running(backend, now) + 1, slowdown, share))
}

fn running(backend: &Backend, now: MonotonicTime) -> usize {
    backend.load.stated_requests(now) as usize
}

/// Returns whether further prompts would keep the engine in prefill without pause.
fn is_strained(backend: &Backend, now: MonotonicTime) -> bool {
    backend.load.ahead_ms(u8::MAX, now) > STRAINED_BACKLOG_MS
}
