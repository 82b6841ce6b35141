//! Simulation of a deployment in steps of a millisecond: callers, gateways and engines.

use {
    super::{
        arrival_chances, at, backend_index,
        deployment::{Deployment, HintModel, KindOutcome, Outcome, WorkspaceOutcome},
        engine::{EngineEvent, ModelEngine, Owner},
        gateway, item, region, service,
    },
    gullglade_dispatch::{
        BackendHint, BackendReport, BackendStatements, Decision, FirstByteTimes, PromptPart,
        PromptShape, RegionInfo, Scheduler, WorkOutcome,
    },
    gullglade_units::{RandomSource, RegionName, SeededRandom, VmName},
    std::{
        collections::{BTreeSet, HashMap},
        rc::Rc,
        time::Duration,
    },
};

/// One-way delay between two regions, and between a gateway and an engine.
const REGION_DELAY_MS: u64 = 56;
const ENGINE_DELAY_MS: u64 = 1;
/// The batching time of hints in a large region, and the size up to which a region is small.
const HINT_BATCH_MS: u64 = 20;
const SMALL_REGION: usize = 8;
/// The interval of the reports of control processes on other regions.
const REGION_REPORT_MS: u64 = 600;

struct Caller {
    kind: usize,
    workspace: Option<usize>,
    origin: usize,
    submitted_ms: u64,
    shape: PromptShape,
    answer: u32,
    worth: f64,
    is_large: bool,
    first: Option<f64>,
    last: f64,
    has_long_gap: bool,
    is_over: bool,
    refusals: u32,
    runs: u32,
}

/// A message or an event that arrives at a later time.
enum Delivery {
    Hints { to: usize, hints: Vec<BackendHint> },
    Arrive { caller: usize, gateway: usize },
    Forwarded { caller: usize, gateway: usize, from: usize },
    Accepted { to: usize, region: usize, offer: Option<FirstByteTimes> },
    ForwardRefused { caller: usize, to: usize, region: usize },
    Event { caller: usize, at: f64 },
    End { caller: usize },
}

/// The state of a simulation.
pub(super) struct Simulation<'a> {
    model: &'a Deployment,
    random: SeededRandom,
    gateways: Vec<Scheduler>,
    region_of: Vec<usize>,
    engines: Vec<ModelEngine>,
    engine_region: Vec<usize>,
    /// For each engine: the end of its downtime, its incarnation, and when it stops being cold.
    engine_state: Vec<(u64, u64, u64)>,
    callers: Vec<Caller>,
    owners: HashMap<Owner, (usize, bool, Option<usize>, f64)>,
    deliveries: HashMap<u64, Vec<Delivery>>,
    is_due: Vec<bool>,
    flush_at: Vec<Option<u64>>,
    seen_parts: BTreeSet<u64>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(model: &'a Deployment) -> Self {
        let mut gateways = Vec::new();
        let mut region_of = Vec::new();
        let mut engine_region = Vec::new();
        for (index, region) in model.regions.iter().enumerate() {
            for _ in 0..region.gateways {
                gateways.push(model.scheduler(gateways.len(), index));
                region_of.push(index);
            }
            engine_region.extend(std::iter::repeat_n(index, region.engines));
        }
        let engines: Vec<_> =
            engine_region.iter().map(|_| ModelEngine::new(model.engine)).collect();
        let mut simulation = Self {
            model,
            random: SeededRandom::new(model.seed),
            is_due: vec![false; gateways.len()],
            flush_at: vec![None; gateways.len()],
            engine_state: vec![(0, 0, 0); engines.len()],
            gateways,
            region_of,
            engines,
            engine_region,
            callers: Vec::new(),
            owners: HashMap::new(),
            deliveries: HashMap::new(),
            seen_parts: BTreeSet::new(),
            outcome: Outcome {
                kinds: vec![KindOutcome::default(); model.kinds.len()],
                workspaces: vec![
                    vec![WorkspaceOutcome::default(); model.kinds.len()];
                    model.workspaces.len()
                ],
                preempted: 0,
                prefilled: 0.0,
                repeated_prefill: 0.0,
                windows: vec![(0.0, 0.0); model.seconds as usize / 2 + 1],
                by_region: vec![(0.0, 0.0); model.regions.len()],
                prefill_share: Vec::new(),
            },
        };
        let total = simulation.gateways.len();
        for index in 0..total {
            let region = simulation.region_of[index];
            let first = model.first_gateway(region);
            let names: Vec<VmName> =
                (first..first + model.regions[region].gateways).map(gateway).collect();
            simulation.gateways[index].set_gateways(names, at(0));
            simulation.gateways[index].set_gateway_total(total, at(0));
        }
        simulation.set_backends(0);
        simulation
    }

    fn set_backends(&mut self, ms: u64) {
        for index in 0..self.gateways.len() {
            let region = self.region_of[index];
            let backend_info: Vec<_> = (0..self.engines.len())
                .filter(|e| self.engine_region[*e] == region && self.engine_state[*e].0 <= ms)
                .map(|e| self.model.engine_info(e, self.engine_state[e].1, self.engine_state[e].2))
                .collect();
            self.gateways[index].set_backends(backend_info, at(ms));
            self.is_due[index] = true;
        }
    }

    fn deliver(&mut self, ms: u64, delivery: Delivery) {
        self.deliveries.entry(ms).or_default().push(delivery);
    }

    fn lognormal(&self, (mean, spread, most): (f64, f64, f64)) -> f64 {
        let (u, v) = (self.random.unit().max(1e-12), self.random.unit());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        (mean * (spread * normal - spread * spread / 2.0).exp()).min(most)
    }

    pub(super) fn simulate(mut self) -> Outcome {
        let end = self.model.seconds * 1_000;
        for ms in 0..end + 11_000 {
            if ms < end {
                self.arrivals(ms);
            }
            self.crashes(ms);
            if ms % REGION_REPORT_MS == 0 {
                self.report_regions(ms);
            }
            for delivery in self.deliveries.remove(&ms).unwrap_or_default() {
                self.handle(delivery, ms);
            }
            self.advance_engines(ms);
            self.disconnect_callers(ms);
            for index in 0..self.gateways.len() {
                let is_woken = self.gateways[index].next_wake().is_some_and(|w| w <= at(ms));
                if std::mem::take(&mut self.is_due[index]) || is_woken {
                    self.poll(index, ms);
                }
                self.flush(index, ms);
            }
        }
        self.outcome.prefilled = self.engines.iter().map(|e| e.prefill_tokens).sum::<f64>() / 1e6;
        self.outcome.preempted = self.engines.iter().map(|e| e.preempted).sum();
        for region in 0..self.model.regions.len() {
            let mine = (0..self.engines.len()).filter(|e| self.engine_region[*e] == region);
            let busy: f64 = mine.clone().map(|e| self.engines[e].busy_ms).sum();
            self.outcome.prefill_share.push(busy / (mine.count() as f64 * end as f64));
        }
        self.outcome
    }

    fn arrivals(&mut self, ms: u64) {
        for index in 0..self.model.regions.len() {
            let rates = &self.model.regions[index].per_second;
            let rate = rates[(ms as usize / 1_000).min(rates.len() - 1)];
            // There may be several arrivals per millisecond.
            for chance in arrival_chances(rate / 1_000.0) {
                if self.random.unit() < chance {
                    self.arrive(index, ms);
                }
            }
        }
    }

    /// Returns an index drawn with these probabilities.
    fn draw(&self, shares: impl Iterator<Item = f64>) -> usize {
        let mut drawn = self.random.unit();
        let mut selected = 0;
        for (index, share) in shares.enumerate() {
            selected = index;
            if drawn < share {
                break;
            }
            drawn -= share;
        }
        selected
    }

    fn arrive(&mut self, origin: usize, ms: u64) {
        let kind = self.draw(self.model.kinds.iter().map(|k| k.share));
        let workspaces = &self.model.workspaces;
        let workspace =
            (!workspaces.is_empty()).then(|| self.draw(workspaces.iter().map(|w| w.share)));
        let model = &self.model.kinds[kind];
        let mut parts = Vec::new();
        for (level, (count, tokens)) in model.chain.iter().enumerate() {
            let id = (kind as u64 * 10 + level as u64) * 1_000_000 + self.random.below(*count);
            // The length of a part is derived from its id.
            let tokens = (tokens
                * (0.4 + 1.2 * (id.wrapping_mul(2_654_435_761) % 1_000) as f64 / 1_000.0))
                as u32;
            parts.push(PromptPart { id, tokens });
        }
        let shared: u32 = parts.iter().map(|p| p.tokens).sum();
        let own = self.lognormal(model.own).max(10.0) as u32;
        let events = self.lognormal(model.events).max(1.0) as u32;
        let answer = events * self.model.engine.tokens_per_event;
        parts.push(PromptPart { id: 1_000_000_000 + self.callers.len() as u64, tokens: own });
        // Without hints the maximum of an answer is its length.
        let (maximum, expected_answer_tokens) = match model.hints {
            None => (answer, None),
            Some(HintModel { spread, bias }) => {
                let tokens_per_event = f64::from(self.model.engine.tokens_per_event);
                let median = f64::from(answer) * bias * (spread * spread / 2.0).exp();
                let hint = self.lognormal((median, spread, f64::MAX)).max(1.0);
                ((model.events.2 * tokens_per_event) as u32, Some(hint as u32))
            }
        };
        let shape = PromptShape {
            parts,
            prompt_tokens: shared + own,
            answer_tokens: maximum,
            expected_answer_tokens,
        };
        let size = |prompt: f64, answer: f64| prompt + 10.0 * answer;
        let mean = size(
            model.chain.iter().map(|(_, t)| t).sum::<f64>() + model.own.0,
            model.events.0 * f64::from(self.model.engine.tokens_per_event),
        );
        let relative = size(f64::from(shape.prompt_tokens), f64::from(answer)) / mean;
        let first = self.model.first_gateway(origin);
        let count = self.model.regions[origin].gateways as u64;
        let gateway = first + self.random.below(count) as usize;
        let worth = (0.3 + 0.7 * relative).min(4.0);
        let caller = self.callers.len();
        self.callers.push(Caller {
            kind,
            workspace,
            origin,
            submitted_ms: ms,
            shape,
            answer,
            worth,
            is_large: relative > 2.0,
            first: None,
            last: ms as f64,
            has_long_gap: false,
            is_over: false,
            refusals: 0,
            runs: 0,
        });
        let outcome = &mut self.outcome.kinds[kind];
        outcome.submitted += 1;
        outcome.owed += worth * model.worth;
        if let Some(workspace) = workspace {
            self.outcome.workspaces[workspace][kind].submitted += 1;
        }
        if relative > 2.0 {
            outcome.large_owed += worth * model.worth;
        }
        self.outcome.windows[ms as usize / 2_000].1 += worth * model.worth;
        self.outcome.by_region[origin].1 += worth * model.worth;
        self.deliver(ms + ENGINE_DELAY_MS, Delivery::Arrive { caller, gateway });
    }

    fn submit(&mut self, caller: usize, gateway: usize, may_forward: bool, ms: u64) {
        let submitted = &self.callers[caller];
        if submitted.is_over {
            return;
        }
        let kind = &self.model.kinds[submitted.kind];
        let mut work = item(&kind.route, Some(submitted.shape.clone()), at(submitted.submitted_ms));
        work.workspace =
            submitted.workspace.map(|w| Rc::clone(&self.model.workspaces[w].workspace));
        work.may_forward = may_forward;
        work.is_new = submitted.runs == 0;
        let ticket = self.gateways[gateway].submit(work, at(ms));
        self.owners.insert((gateway, ticket), (caller, !may_forward, None, 0.0));
        self.is_due[gateway] = true;
    }

    fn report_regions(&mut self, ms: u64) {
        let mut reported = Vec::new();
        for (index, model) in self.model.regions.iter().enumerate() {
            let first = self.model.first_gateway(index);
            let offers: Vec<Vec<u32>> = (first..first + model.gateways)
                .filter_map(|g| self.gateways[g].offer(&service("pool"), at(ms)))
                .map(|o| o.first_byte.to_millis())
                .collect();
            if offers.is_empty() {
                continue;
            }
            let mean: Vec<u32> = (0..offers[0].len())
                .map(|p| offers.iter().map(|o| o[p]).sum::<u32>() / offers.len() as u32)
                .collect();
            reported.push(RegionInfo {
                region: region(model.name),
                service: service("pool"),
                backends: model.engines as u32,
                first_byte: FirstByteTimes::from_millis(&mean),
            });
        }
        for gateway in &mut self.gateways {
            gateway.set_regions(reported.clone());
        }
    }

    fn crashes(&mut self, ms: u64) {
        let Some(crash) = self.model.crash else { return };
        if ms == crash.at_ms {
            for index in (0..self.engines.len()).filter(|e| e % crash.every == 0) {
                let lost = self.engines[index].crash();
                self.engine_state[index] = (ms + crash.for_ms, ms, ms + crash.for_ms + 3_000);
                for owner in lost {
                    self.lose(owner, ms);
                }
            }
        }
        if ms == crash.at_ms + 600 || ms == crash.at_ms + crash.for_ms {
            self.set_backends(ms);
        }
    }

    fn lose(&mut self, owner: Owner, ms: u64) {
        let Some((caller, is_forwarded, ..)) = self.owners.remove(&owner) else { return };
        self.gateways[owner.0].end(owner.1, WorkOutcome::Broken, at(ms));
        self.is_due[owner.0] = true;
        let submitted = &mut self.callers[caller];
        submitted.runs += 1;
        if submitted.runs >= 2 || !self.model.kinds[submitted.kind].route.kind.may_repeat() {
            self.finish(caller, false);
        } else {
            self.submit(caller, owner.0, !is_forwarded, ms);
        }
    }

    fn region_index(&self, name: &RegionName) -> usize {
        self.model.regions.iter().position(|r| region(r.name) == *name).expect("a region")
    }

    fn poll(&mut self, index: usize, ms: u64) {
        for (ticket, decision) in self.gateways[index].poll(at(ms)) {
            let owner = (index, ticket);
            let Some(&(caller, is_forwarded, ..)) = self.owners.get(&owner) else { continue };
            match decision {
                Decision::Send { run, priority, expected_ms, copy, .. } => {
                    let engine = backend_index(&run.backend);
                    self.send(owner, engine, priority, expected_ms, copy.map(|c| c.from), ms);
                }
                Decision::Forward { region, .. } => {
                    self.gateways[index].end(ticket, WorkOutcome::Cancelled, at(ms));
                    self.owners.remove(&owner);
                    let to = self.region_index(&region);
                    let first = self.model.first_gateway(to);
                    let some = (index as u64 * 7 + self.random.below(3))
                        % self.model.regions[to].gateways as u64;
                    let gateway = first + some as usize;
                    self.outcome.kinds[self.callers[caller].kind].forwarded += 1;
                    self.deliver(
                        ms + REGION_DELAY_MS,
                        Delivery::Forwarded { caller, gateway, from: index },
                    );
                }
                Decision::Refuse { .. } => {
                    self.owners.remove(&owner);
                    if is_forwarded {
                        let region = self.region_of[index];
                        let to = self.callers[caller].origin;
                        let first = self.model.first_gateway(to);
                        let count = self.model.regions[to].gateways;
                        self.deliver(
                            ms + REGION_DELAY_MS,
                            Delivery::ForwardRefused { caller, to: first + caller % count, region },
                        );
                    } else {
                        self.outcome.kinds[self.callers[caller].kind].refused += 1;
                        self.callers[caller].is_over = true;
                    }
                }
            }
        }
    }

    fn send(
        &mut self,
        owner: Owner,
        engine: usize,
        priority: u8,
        expected_ms: f64,
        copy_from: Option<std::net::SocketAddr>,
        ms: u64,
    ) {
        let Some(place) = self.owners.get_mut(&owner) else { return };
        place.2 = Some(engine);
        place.3 = ms as f64 + expected_ms;
        let caller = place.0;
        if self.engine_state[engine].0 > ms {
            self.lose(owner, ms);
            return;
        }
        let submitted = &self.callers[caller];
        let shape = submitted.shape.clone();
        let answer = submitted.answer;
        let held = self.engines[engine].held_tokens(&shape);
        let source = copy_from.map(|from| match from {
            std::net::SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]),
            std::net::SocketAddr::V6(_) => engine,
        });
        let copied = source.map_or(0, |s| self.engines[s].held_tokens(&shape).saturating_sub(held));
        let shared = shape.shared_tokens().saturating_sub(held + copied);
        let was_read = shape.shared_parts().iter().all(|p| self.seen_parts.contains(&p.id));
        if was_read {
            self.outcome.repeated_prefill += f64::from(shared) / 1e6;
        }
        self.seen_parts.extend(shape.shared_parts().iter().map(|p| p.id));
        let now = (ms + ENGINE_DELAY_MS) as f64;
        self.engines[engine].enqueue(owner, priority, &shape, answer, copied, now);
    }

    fn advance_engines(&mut self, ms: u64) {
        for index in 0..self.engines.len() {
            if let Some(machines) = &self.model.machines {
                let speed = machines.speeds[index % machines.speeds.len()];
                self.engines[index].slowdown = machines.slowdown_at(index, ms) / speed;
            }
            for event in self.engines[index].advance(ms as f64) {
                let (owner, is_end, happened) = match event {
                    EngineEvent::Event { owner, at } => (owner, false, at),
                    EngineEvent::End { owner, at } => (owner, true, at),
                };
                let Some(&(caller, is_forwarded, _, due)) = self.owners.get(&owner) else {
                    continue;
                };
                let back = if is_forwarded { REGION_DELAY_MS } else { 0 };
                if is_end {
                    self.gateways[owner.0].end(owner.1, WorkOutcome::Answered, at(ms));
                    self.owners.remove(&owner);
                    self.is_due[owner.0] = true;
                    self.deliver(ms + ENGINE_DELAY_MS + back, Delivery::End { caller });
                    continue;
                }
                if self.callers[caller].first.is_none() && due > 0.0 {
                    let kind = self.callers[caller].kind;
                    self.outcome.kinds[kind].prediction_errors_ms.push(happened - due);
                    let (running, waiting) = self.engines[index].load();
                    let slots = self.model.engine.slots as u32;
                    let machines = self.model.machines.as_ref().filter(|m| m.is_stated);
                    let slowdown_percent =
                        machines.map(|m| (m.slowdown_at(index, ms) * 100.0) as u32);
                    let report = BackendReport { running, waiting, slots, slowdown_percent };
                    let stated =
                        BackendStatements { load: Some(report), ..BackendStatements::default() };
                    self.gateways[owner.0].note_statements(owner.1, &stated, at(ms));
                    if let Some(place) = self.owners.get_mut(&owner) {
                        place.3 = 0.0;
                    }
                }
                self.gateways[owner.0].note_progress(owner.1, at(ms));
                self.deliver(
                    ms + ENGINE_DELAY_MS + back,
                    Delivery::Event { caller, at: happened + (1 + back) as f64 },
                );
            }
        }
    }

    fn handle(&mut self, delivery: Delivery, ms: u64) {
        match delivery {
            Delivery::Hints { to, hints } => self.gateways[to].note_hints(hints, at(ms)),
            Delivery::Arrive { caller, gateway } => self.submit(caller, gateway, true, ms),
            Delivery::Forwarded { caller, gateway, from } => {
                let offer = self.gateways[gateway].offer(&service("pool"), at(ms));
                let offer = offer.map(|w| w.first_byte);
                let region = self.region_of[gateway];
                self.deliver(ms + REGION_DELAY_MS, Delivery::Accepted { to: from, region, offer });
                self.submit(caller, gateway, false, ms);
            }
            Delivery::Accepted { to, region: from, offer } => {
                let name = region(self.model.regions[from].name);
                self.gateways[to]
                    .note_region_rtt(&name, Duration::from_millis(2 * REGION_DELAY_MS));
                if let Some(offer) = offer {
                    self.gateways[to].note_region_offer(&name, &service("pool"), offer, at(ms));
                }
            }
            Delivery::ForwardRefused { caller, to, region: from } => {
                let name = region(self.model.regions[from].name);
                let pause = Duration::from_millis(200);
                self.gateways[to].pause_service(&name, &service("pool"), pause, at(ms));
                self.callers[caller].refusals += 1;
                if self.callers[caller].refusals < 4 {
                    self.submit(caller, to, true, ms);
                } else {
                    self.outcome.kinds[self.callers[caller].kind].refused += 1;
                    self.callers[caller].is_over = true;
                }
            }
            Delivery::Event { caller, at } => {
                let submitted = &mut self.callers[caller];
                if submitted.first.is_none() {
                    submitted.first = Some(at);
                } else if let Some(longest) = self.model.kinds[submitted.kind].route.gap_objective {
                    submitted.has_long_gap |= at - submitted.last > longest.as_secs_f64() * 1_000.0;
                }
                submitted.last = at;
            }
            Delivery::End { caller } => self.finish(caller, true),
        }
    }

    fn finish(&mut self, caller: usize, is_complete: bool) {
        let submitted = &mut self.callers[caller];
        if std::mem::replace(&mut submitted.is_over, true) {
            return;
        }
        let kind = &self.model.kinds[submitted.kind];
        let outcome = &mut self.outcome.kinds[submitted.kind];
        let objective = kind.route.objective.as_secs_f64() * 1_000.0;
        let is_late =
            submitted.first.is_some_and(|at| at - submitted.submitted_ms as f64 > objective);
        let earned = match (is_complete, is_late || submitted.has_long_gap) {
            (false, _) => {
                outcome.failed += 1;
                0.0
            }
            (true, true) => {
                if is_late {
                    outcome.late_first += 1
                } else {
                    outcome.late_pause += 1
                }
                submitted.worth * kind.late_worth
            }
            (true, false) => {
                outcome.in_time += 1;
                if let Some(workspace) = submitted.workspace {
                    self.outcome.workspaces[workspace][submitted.kind].in_time += 1;
                }
                submitted.worth * kind.worth
            }
        };
        outcome.earned += earned;
        if submitted.is_large {
            outcome.large_earned += earned;
        }
        self.outcome.windows[submitted.submitted_ms as usize / 2_000].0 += earned;
        self.outcome.by_region[submitted.origin].0 += earned;
    }

    /// Callers disconnect at their deadline, and after a long pause.
    fn disconnect_callers(&mut self, ms: u64) {
        if !ms.is_multiple_of(50) {
            return;
        }
        let gone: Vec<(Owner, usize, Option<usize>)> = self
            .owners
            .iter()
            .filter(|(_, (caller, ..))| {
                let submitted = &self.callers[*caller];
                let route = &self.model.kinds[submitted.kind].route;
                let deadline = submitted.submitted_ms + route.timeout.as_millis() as u64;
                let max_gap_ms = (route.objective.as_millis() as f64 * 4.0).max(2_000.0);
                ms >= deadline || ms as f64 > submitted.last + max_gap_ms
            })
            .map(|(owner, (caller, _, engine, _))| (*owner, *caller, *engine))
            .collect();
        for (owner, caller, engine) in gone {
            self.owners.remove(&owner);
            if let Some(engine) = engine {
                self.engines[engine].cancel(owner);
            }
            self.gateways[owner.0].withdraw(owner.1);
            self.gateways[owner.0].end(owner.1, WorkOutcome::Cancelled, at(ms));
            self.finish(caller, false);
        }
    }

    fn flush(&mut self, index: usize, ms: u64) {
        let region = self.region_of[index];
        let count = self.model.regions[region].gateways;
        if self.flush_at[index].is_none() && self.gateways[index].has_hints() {
            let batch_ms = if count > SMALL_REGION { HINT_BATCH_MS } else { 8 };
            self.flush_at[index] = Some(ms + batch_ms);
        }
        if self.flush_at[index].is_none_or(|due| due > ms) {
            return;
        }
        self.flush_at[index] = None;
        let hints = self.gateways[index].take_hints(at(ms + 1));
        if self.model.loses_hints {
            return;
        }
        let first = self.model.first_gateway(region);
        for to in (first..first + count).filter(|to| *to != index) {
            let hints = hints.clone();
            self.deliver(ms + 1, Delivery::Hints { to, hints });
        }
    }
}
