//! The choice of the gateway that takes a forwarded request, in a region of different VMs.

use {
    gullglade_proxy::{GatewayOption, choose_gateways},
    gullglade_units::{RandomSource, SeededRandom},
};

fn option(weight: f64, in_progress: usize) -> GatewayOption {
    GatewayOption { weight, in_progress }
}

#[test]
fn the_gateway_with_fewer_requests_for_its_weight_is_tried_first() {
    struct Case {
        name: &'static str,
        options: Vec<GatewayOption>,
        expected: Option<Vec<usize>>,
    }
    let cases = [
        Case { name: "no gateway", options: Vec::new(), expected: Some(Vec::new()) },
        Case { name: "one gateway", options: vec![option(0.25, 9)], expected: Some(vec![0]) },
        Case {
            name: "more requests, but less for its weight",
            options: vec![option(0.5, 3), option(2.0, 8)],
            expected: Some(vec![1, 0]),
        },
        Case {
            name: "a large one whose requests take long",
            options: vec![option(0.5, 1), option(2.0, 9)],
            expected: Some(vec![0, 1]),
        },
        Case {
            name: "idle",
            options: vec![option(0.5, 0), option(2.0, 0)],
            expected: Some(vec![1, 0]),
        },
        Case {
            name: "all alike",
            options: vec![option(1.0, 2), option(1.0, 2), option(1.0, 2)],
            expected: None,
        },
    ];
    for seed in 0..20 {
        for case in &cases {
            let chosen = choose_gateways(&case.options, &SeededRandom::new(seed));
            assert_eq!(chosen.len(), case.options.len().min(2), "{}", case.name);
            let is_expected = case.expected.as_ref().is_none_or(|expected| chosen == *expected);
            assert!(is_expected, "{}: {chosen:?}", case.name);
        }
    }
}

/// Guards against small VMs that get as many forwarded streams as large ones, at low load and at
/// high load. With a uniform choice each small VM gets 1.78 times its part.
#[test]
fn forwarded_requests_are_in_proportion_to_the_weights() {
    for mean_in_progress in [1.0, 60.0] {
        let weights = [0.5, 0.5, 1.67];
        let random = SeededRandom::new(3);
        let mut ends: Vec<Vec<f64>> = vec![Vec::new(); weights.len()];
        let (mut now, mut counts) = (0.0, [0_u32; 3]);
        for _ in 0..20_000 {
            now += -(1.0 - random.unit()).ln();
            ends.iter_mut().for_each(|ends| ends.retain(|end| *end > now));
            let row = ends.iter().zip(weights);
            let options: Vec<_> = row.map(|(ends, weight)| option(weight, ends.len())).collect();
            let chosen = choose_gateways(&options, &random)[0];
            ends[chosen].push(now - (1.0 - random.unit()).ln() * mean_in_progress);
            counts[chosen] += 1;
        }
        let total: f64 = weights.iter().sum();
        for (count, weight) in counts.into_iter().zip(weights) {
            let relative = f64::from(count) / 20_000.0 / (weight / total);
            assert!(
                (0.85..=1.15).contains(&relative),
                "{mean_in_progress} {weight}: {relative:.3}"
            );
        }
    }
}
