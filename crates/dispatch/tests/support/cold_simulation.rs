//! Simulation of the gateways of one region and a cold engine, while gateways are killed and
//! restart.

use {
    super::{at, backend_info, gateway, item, pool, prompt, route, settings},
    gullglade_dispatch::{Decision, Scheduler, WorkOutcome},
    gullglade_units::{RandomSource, SeededRandom, VmName},
    std::{collections::BTreeSet, rc::Rc},
};

pub(crate) const PER_SECOND: f64 = 3.6;
const STEP_MS: u64 = 10;
/// The maximum delay with which a gateway learns of changes of others. Each gateway has its own
/// delay.
const MAX_MEMBERSHIP_DELAY_MS: u64 = 1_200;
/// A gateway that is down stays listed for this long.
const ABSENCE_TIMEOUT_MS: u64 = 2_400;

#[derive(Clone, Debug)]
pub(crate) struct ColdScenario {
    pub(crate) gateways: usize,
    /// The times at which gateways are killed, with the probability for each gateway and the
    /// downtime.
    pub(crate) kills: Vec<(u64, f64, u64)>,
    pub(crate) length_ms: u64,
}

struct SimulatedGateway {
    run: Option<Scheduler>,
    /// When it was last killed or started.
    changed_ms: u64,
    /// The delay with which it learns of changes of others.
    membership_delay_ms: u64,
    known: Vec<usize>,
}

pub(crate) struct ColdSimulation<'a> {
    scenario: &'a ColdScenario,
    random: SeededRandom,
    gateways: Vec<SimulatedGateway>,
    now_ms: u64,
    arrivals: Vec<u64>,
}

impl<'a> ColdSimulation<'a> {
    pub(crate) fn new(scenario: &'a ColdScenario, seed: u64) -> Self {
        let random = SeededRandom::new(seed);
        let gateways = (0..scenario.gateways)
            .map(|index| SimulatedGateway {
                run: Some(new_run(index)),
                changed_ms: 0,
                membership_delay_ms: random.below(MAX_MEMBERSHIP_DELAY_MS),
                known: Vec::new(),
            })
            .collect();
        Self { scenario, random, gateways, now_ms: 0, arrivals: Vec::new() }
    }

    /// Runs the simulation and returns the arrival times at the engine.
    pub(crate) fn simulate(mut self) -> Vec<u64> {
        while self.now_ms < self.scenario.length_ms {
            self.apply_kills();
            self.update_membership();
            (0..self.gateways.len()).for_each(|index| self.send(index));
            self.now_ms += STEP_MS;
        }
        self.arrivals
    }

    fn apply_kills(&mut self) {
        let now_ms = self.now_ms;
        let is_now = |at_ms: u64| (at_ms..at_ms + STEP_MS).contains(&now_ms);
        for (at_ms, share, down_ms) in &self.scenario.kills {
            for (index, gateway) in self.gateways.iter_mut().enumerate() {
                if is_now(*at_ms) && gateway.run.is_some() && self.random.unit() < *share {
                    gateway.run = None;
                    gateway.changed_ms = now_ms;
                }
                if is_now(at_ms + down_ms) && gateway.run.is_none() {
                    gateway.run = Some(new_run(index));
                    gateway.changed_ms = now_ms;
                    gateway.known.clear();
                }
            }
        }
    }

    fn update_membership(&mut self) {
        let now_ms = self.now_ms;
        // A run that has just started is not ready yet, and replaces the listed state of the
        // previous run.
        let is_listed_at = |gateway: &SimulatedGateway, then_ms: u64| match gateway.run {
            Some(_) => gateway.changed_ms == 0 || then_ms >= gateway.changed_ms + 300,
            None => then_ms < gateway.changed_ms + ABSENCE_TIMEOUT_MS,
        };
        let lists: Vec<Vec<usize>> = self
            .gateways
            .iter()
            .map(|to| {
                let then_ms = now_ms.saturating_sub(to.membership_delay_ms);
                let is_listed = |of: &usize| is_listed_at(&self.gateways[*of], then_ms);
                (0..self.gateways.len()).filter(is_listed).collect()
            })
            .collect();
        for (gateway, list) in self.gateways.iter_mut().zip(lists) {
            let is_ready = gateway.changed_ms == 0 || now_ms >= gateway.changed_ms + 300;
            let Some(run) = gateway.run.as_mut().filter(|_| is_ready) else { continue };
            if gateway.known != list {
                run.set_gateways(names(&list), at(now_ms));
                run.set_gateway_total(list.len(), at(now_ms));
                gateway.known = list;
            }
        }
    }

    /// Submits a request; every gateway always has one for the engine.
    fn send(&mut self, index: usize) {
        let now = at(self.now_ms);
        let number = self.random.below(1 << 40);
        let gateway = &mut self.gateways[index];
        if gateway.known.is_empty() {
            return;
        }
        let Some(run) = gateway.run.as_mut() else { return };
        let ticket =
            run.submit(item(&route(0, 1_200, 2_500), Some(prompt(1, 100, 100, number)), now), now);
        for (sent, decision) in run.poll(now) {
            if matches!(decision, Decision::Send { .. }) {
                self.arrivals.push(self.now_ms);
                run.end(sent, WorkOutcome::Answered, now);
            }
        }
        run.withdraw(ticket);
    }
}

fn names(list: &[usize]) -> Vec<VmName> {
    list.iter().copied().map(gateway).collect()
}

fn new_run(index: usize) -> Scheduler {
    let mut run = Scheduler::new(settings(index));
    run.set_configuration([pool(PER_SECOND)], &Rc::new(BTreeSet::new()), at(0));
    let mut cold = backend_info(0);
    cold.cold_until = at(3_600_000);
    run.set_backends([cold], at(0));
    run
}
