//! Which engines of its region a gateway follows in detail.
//!
//! Every engine is followed by the gateways that rank highest for it (rendezvous hash), so none is
//! forgotten, however many share its model; and every gateway follows a few engines of each model
//! and service, spread over failure domains, so that it has a choice for each. A gateway or an
//! engine that comes or goes changes only its own share of this. Up to
//! [`SubsetConfig::followers`] gateways, everyone follows everything.

use {
    gullglade_units::{
        BackendName, FailureDomain, VmName,
        rendezvous::{ranked, score},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// How many follow whom. Start from [`SubsetConfig::default`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetConfig {
    /// Gateways that follow each engine; 8.
    pub followers: usize,
    /// Engines of each model or service that each gateway follows, at least; 6.
    pub choices: usize,
}

impl Default for SubsetConfig {
    fn default() -> Self {
        Self { followers: 8, choices: 6 }
    }
}

/// One engine or plain service as far as the choice of a subset goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetMember {
    /// Its name.
    pub name: BackendName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The models and services that it serves, under names that tell the two apart.
    pub targets: Vec<String>,
}

/// The choice for one set of gateways and engines.
#[derive(Clone, Debug, Default)]
pub struct SubsetPlan {
    followers: BTreeMap<VmName, BTreeSet<BackendName>>,
    by_target: BTreeMap<String, Vec<SubsetMember>>,
    all_backends: Option<BTreeSet<BackendName>>,
    choices: usize,
}

impl SubsetPlan {
    /// The choice for these gateways and engines.
    pub fn new(
        gateways: &BTreeSet<VmName>,
        engines: &[SubsetMember],
        config: SubsetConfig,
    ) -> Self {
        if gateways.len() <= config.followers {
            let all = engines.iter().map(|e| e.name.clone()).collect();
            return Self { all_backends: Some(all), ..Self::default() };
        }
        let mut plan = Self { choices: config.choices, ..Self::default() };
        for engine in engines {
            plan.add_followers(gateways, engine, config.followers);
            plan.index_targets(engine);
        }
        plan
    }

    fn add_followers(&mut self, gateways: &BTreeSet<VmName>, engine: &SubsetMember, count: usize) {
        for gateway in ranked(engine.name.as_str(), gateways).into_iter().take(count) {
            self.followers.entry(gateway.clone()).or_default().insert(engine.name.clone());
        }
    }

    fn index_targets(&mut self, engine: &SubsetMember) {
        for target in &engine.targets {
            self.by_target.entry(target.clone()).or_default().push(engine.clone());
        }
    }

    /// The engines that `gateway` follows.
    pub fn followed_by(&self, gateway: &VmName) -> BTreeSet<BackendName> {
        if let Some(all_backends) = &self.all_backends {
            return all_backends.clone();
        }
        let mut followed = self.followers.get(gateway).cloned().unwrap_or_default();
        for engines in self.by_target.values() {
            followed.extend(select_across_domains(gateway, engines, self.choices));
        }
        followed
    }
}

/// The `count` engines that rank highest for `gateway` when failure domains take turns.
fn select_across_domains<'a>(
    gateway: &VmName,
    engines: &'a [SubsetMember],
    count: usize,
) -> impl Iterator<Item = BackendName> + use<'a> {
    let score_of = |name: &str| Reverse(score(gateway.as_str(), name));
    let mut by_domain: BTreeMap<&FailureDomain, Vec<_>> = BTreeMap::new();
    for engine in engines {
        let entry = (score_of(engine.name.as_str()), &engine.name);
        by_domain.entry(&engine.domain).or_default().push(entry);
    }
    let mut turns = Vec::with_capacity(engines.len());
    for (domain, mut ranked) in by_domain {
        ranked.sort();
        let domain_score = score_of(domain.as_str());
        let places = ranked.into_iter().enumerate();
        turns.extend(places.map(|(turn, (_, name))| (turn, domain_score, name)));
    }
    turns.sort();
    turns.into_iter().take(count).map(|(_, _, name)| name.clone())
}
