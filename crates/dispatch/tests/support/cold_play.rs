//! Gateways of one region before a cold engine, while gateways are killed and start again.

use {
    super::{at, facts, gateway, item, pool, prompt, route, settings},
    gullglade_dispatch::{Decision, Scheduler, WorkOutcome},
    gullglade_units::{RandomSource, SeededRandom, VmName},
    std::{collections::BTreeSet, rc::Rc},
};

pub(crate) const PER_SECOND: f64 = 3.6;
const STEP_MS: u64 = 10;
/// A gateway tells of itself, and is heard of, up to this much later; each other one hears of it
/// at a moment of its own.
const LATEST_NEWS_MS: u64 = 1_200;
/// Gateways that are down are heard of this long.
const SILENCE_MS: u64 = 2_400;

#[derive(Clone, Debug)]
pub(crate) struct ColdScenario {
    pub(crate) gateways: usize,
    /// When gateways are killed, each with this chance, and for how long they are down.
    pub(crate) kills: Vec<(u64, f64, u64)>,
    pub(crate) length_ms: u64,
}

struct PlayedGateway {
    run: Option<Scheduler>,
    /// When it was last killed or started.
    changed_ms: u64,
    /// How late it hears of what happens to others.
    news_ms: u64,
    told: Vec<usize>,
}

pub(crate) struct ColdPlay<'a> {
    scenario: &'a ColdScenario,
    random: SeededRandom,
    gateways: Vec<PlayedGateway>,
    now_ms: u64,
    arrivals: Vec<u64>,
}

impl<'a> ColdPlay<'a> {
    pub(crate) fn new(scenario: &'a ColdScenario, seed: u64) -> Self {
        let random = SeededRandom::new(seed);
        let gateways = (0..scenario.gateways)
            .map(|index| PlayedGateway {
                run: Some(new_run(index)),
                changed_ms: 0,
                news_ms: random.below(LATEST_NEWS_MS),
                told: Vec::new(),
            })
            .collect();
        Self { scenario, random, gateways, now_ms: 0, arrivals: Vec::new() }
    }

    /// Plays to the end: when the engine got requests.
    pub(crate) fn play(mut self) -> Vec<u64> {
        while self.now_ms < self.scenario.length_ms {
            self.change_gateways();
            self.tell_gateways();
            (0..self.gateways.len()).for_each(|index| self.send(index));
            self.now_ms += STEP_MS;
        }
        self.arrivals
    }

    fn change_gateways(&mut self) {
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
                    gateway.told.clear();
                }
            }
        }
    }

    fn tell_gateways(&mut self) {
        let now_ms = self.now_ms;
        // A run that has just started is not ready yet, which ends what was said of the one before.
        let heard_at = |gateway: &PlayedGateway, then_ms: u64| match gateway.run {
            Some(_) => gateway.changed_ms == 0 || then_ms >= gateway.changed_ms + 300,
            None => then_ms < gateway.changed_ms + SILENCE_MS,
        };
        let lists: Vec<Vec<usize>> = self
            .gateways
            .iter()
            .map(|to| {
                let then_ms = now_ms.saturating_sub(to.news_ms);
                let heard = |of: &usize| heard_at(&self.gateways[*of], then_ms);
                (0..self.gateways.len()).filter(heard).collect()
            })
            .collect();
        for (gateway, list) in self.gateways.iter_mut().zip(lists) {
            let is_ready = gateway.changed_ms == 0 || now_ms >= gateway.changed_ms + 300;
            let Some(run) = gateway.run.as_mut().filter(|_| is_ready) else { continue };
            if gateway.told != list {
                run.set_gateways(names(&list), at(now_ms));
                run.set_gateway_total(list.len(), at(now_ms));
                gateway.told = list;
            }
        }
    }

    /// Every gateway always has work for it.
    fn send(&mut self, index: usize) {
        let now = at(self.now_ms);
        let number = self.random.below(1 << 40);
        let gateway = &mut self.gateways[index];
        if gateway.told.is_empty() {
            return;
        }
        let Some(run) = gateway.run.as_mut() else { return };
        let ticket =
            run.submit(item(&route(0, 1_200, 2_500), Some(prompt(1, 100, 100, number)), now), now);
        for (sent, verdict) in run.poll(now) {
            if matches!(verdict, Decision::Send { .. }) {
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
    let mut cold = facts(0);
    cold.cold_until = at(3_600_000);
    run.set_backends([cold], at(0));
    run
}
