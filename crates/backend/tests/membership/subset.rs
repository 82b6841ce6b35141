//! Subsets: every engine has followers, choices span failure domains, and changes are local.

use {
    gullglade_backend::{RelayPlan, SubsetConfig, SubsetMember, SubsetPlan},
    gullglade_units::{BackendName, FailureDomain, VmName},
    std::collections::{BTreeMap, BTreeSet},
};

fn gateways(count: usize) -> BTreeSet<VmName> {
    (0..count).map(|i| format!("vm-{i}").parse().unwrap()).collect()
}

fn assign_domains(gateways: &BTreeSet<VmName>) -> BTreeMap<VmName, FailureDomain> {
    let domain = |index: usize| format!("domain-{}", index % 3).parse().unwrap();
    gateways.iter().enumerate().map(|(index, vm)| (vm.clone(), domain(index))).collect()
}

/// Returns engines of 26 models in 4 failure domains. The first models have more engines.
fn engines(count: usize) -> Vec<SubsetMember> {
    let member = |i: usize| SubsetMember {
        name: format!("engine-{i}").parse().unwrap(),
        domain: format!("domain-{}", i % 4).parse().unwrap(),
        targets: vec![format!("model-{}", (i * i / 7) % 26)],
    };
    (0..count).map(member).collect()
}

fn followed(
    gateways: &BTreeSet<VmName>,
    engines: &[SubsetMember],
) -> BTreeMap<VmName, BTreeSet<BackendName>> {
    let plan = SubsetPlan::new(gateways, engines, SubsetConfig::default());
    gateways.iter().map(|g| (g.clone(), plan.followed_by(g))).collect()
}

#[test]
fn every_engine_has_enough_followers_and_every_gateway_enough_choices() {
    for (gateway_count, engine_count) in [(3, 15), (9, 15), (18, 145), (74, 580)] {
        let (gateways, engines) = (gateways(gateway_count), engines(engine_count));
        let followed = followed(&gateways, &engines);
        for engine in &engines {
            let followers = followed.values().filter(|f| f.contains(&engine.name)).count();
            assert!(followers >= gateway_count.min(8), "{}: {followers}", engine.name);
        }
        let mut by_model: BTreeMap<&str, Vec<&SubsetMember>> = BTreeMap::new();
        for engine in &engines {
            by_model.entry(&engine.targets[0]).or_default().push(engine);
        }
        for own in followed.values() {
            for members in by_model.values() {
                let chosen: Vec<_> = members.iter().filter(|m| own.contains(&m.name)).collect();
                assert!(chosen.len() >= members.len().min(6));
                let spread = |list: &mut dyn Iterator<Item = &&SubsetMember>| {
                    list.map(|m| &m.domain).collect::<BTreeSet<_>>().len()
                };
                let (chosen, all) = (spread(&mut chosen.into_iter()), spread(&mut members.iter()));
                assert!(chosen >= all.min(6), "{chosen} of {all} failure domains");
            }
        }
    }
}

struct ChangeCase {
    name: &'static str,
    gateways: (usize, usize),
    engines: (usize, usize),
    /// Maximum share of the pairs of gateway and followed engine that may change.
    share: f64,
}

// Guards against cold caches and load shifts in the whole region when a single gateway or engine is
// added or removed. Subsets chosen by list position would change for every member after the
// affected one.
#[test]
fn one_change_reassigns_only_its_share() {
    let cases = [
        ChangeCase { name: "gateway", gateways: (74, 73), engines: (580, 580), share: 2.5 / 74.0 },
        ChangeCase { name: "engine", gateways: (74, 74), engines: (580, 579), share: 2.5 / 580.0 },
        ChangeCase {
            name: "engine, mean region",
            gateways: (18, 18),
            engines: (145, 144),
            share: 2.5 / 145.0,
        },
    ];
    for case in cases {
        let before = followed(&gateways(case.gateways.0), &engines(case.engines.0));
        let after = followed(&gateways(case.gateways.1), &engines(case.engines.1));
        let all: usize = before.values().map(BTreeSet::len).sum();
        let none = BTreeSet::new();
        let changed: usize = before
            .iter()
            .map(|(g, f)| f.symmetric_difference(after.get(g).unwrap_or(&none)).count())
            .sum();
        let share = changed as f64 / all as f64;
        assert!(share <= case.share, "{}: {share} of {all} pairs changed", case.name);
    }
}

#[test]
fn every_update_reaches_every_gateway_once_in_two_steps() {
    for count in [1, 2, 9, 12, 13, 18, 40, 74] {
        let members = assign_domains(&gateways(count));
        let plans: BTreeMap<_, _> =
            members.keys().map(|m| (m.clone(), RelayPlan::new(m, &members))).collect();
        for (own, plan) in &plans {
            let mut reached: Vec<&VmName> =
                plan.row_peers.iter().chain(&plan.relay_targets).collect();
            reached.extend(plan.row_peers.iter().flat_map(|peer| &plans[peer].relay_targets));
            reached.push(own);
            reached.sort();
            let once: BTreeSet<_> = reached.iter().collect();
            assert_eq!(once.len(), members.len(), "{own} of {count} does not reach every gateway");
            assert_eq!(reached.len(), members.len(), "{own} of {count} reaches a gateway twice");
        }
    }
}

#[test]
fn every_gateway_is_watched_from_other_failure_domains() {
    for count in [4, 9, 18, 40, 74] {
        let members = assign_domains(&gateways(count));
        let plans: BTreeMap<_, _> =
            members.keys().map(|m| (m.clone(), RelayPlan::new(m, &members))).collect();
        for vm in members.keys() {
            let watchers: Vec<_> =
                plans.iter().filter(|(_, p)| p.watched.contains(vm)).map(|(w, _)| w).collect();
            let row_peers = &plans[vm].row_peers;
            let in_other_domain = |peer: &&VmName| members[*peer] != members[vm];
            assert_eq!(watchers.len(), row_peers.len().min(3), "{vm} of {count}");
            let watchers_in_other_domain = watchers.iter().copied().filter(in_other_domain).count();
            assert_eq!(
                watchers_in_other_domain,
                row_peers.iter().filter(in_other_domain).count().min(3),
                "{vm} of {count}"
            );
        }
    }
}
