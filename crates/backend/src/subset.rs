//! Deterministic subsetting: selects the engines of a region that each gateway follows in detail.
//!
//! Every engine is followed by the gateways that rank highest for it by rendezvous hash, so no
//! engine is left out, however many engines share its model. In addition, every gateway follows a
//! few engines of each model and service, spread over failure domains, so that it has a choice for
//! each of them. A gateway or engine that joins or leaves affects only its own share of the
//! assignment. In regions of up to [`SubsetConfig::followers`] gateways, every gateway follows
//! every engine.

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

/// Configuration of subsetting, based on [`SubsetConfig::default`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetConfig {
    /// Number of gateways that follow each engine. Default 8.
    pub followers: usize,
    /// Minimum number of engines of each model or service that a gateway follows. Default 6.
    pub choices: usize,
}

impl Default for SubsetConfig {
    fn default() -> Self {
        Self { followers: 8, choices: 6 }
    }
}

/// Properties of an engine or plain service that determine the subsets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetMember {
    /// Name of the backend server.
    pub name: BackendName,
    /// Failure domain of the backend server.
    pub domain: FailureDomain,
    /// Models and services that it serves, prefixed so that a model and a service of the same name
    /// differ.
    pub targets: Vec<String>,
}

/// Subsets for one set of gateways and engines.
#[derive(Clone, Debug, Default)]
pub struct SubsetPlan {
    followers: BTreeMap<VmName, BTreeSet<BackendName>>,
    by_target: BTreeMap<String, Vec<SubsetMember>>,
    all_backends: Option<BTreeSet<BackendName>>,
    choices: usize,
}

impl SubsetPlan {
    /// Computes the subsets for these gateways and engines.
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

    /// Returns the engines that `gateway` follows.
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

/// Returns the `count` engines that rank highest for `gateway`, selected round-robin over failure
/// domains.
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
    let mut candidates = Vec::with_capacity(engines.len());
    for (domain, mut ranked) in by_domain {
        ranked.sort();
        let domain_score = score_of(domain.as_str());
        let positions = ranked.into_iter().enumerate();
        candidates.extend(positions.map(|(turn, (_, name))| (turn, domain_score, name)));
    }
    candidates.sort();
    candidates.into_iter().take(count).map(|(_, _, name)| name.clone())
}
