//! Stated capacities of VMs, and the weights that follow from them.

use gullglade_fleet::{RawVmCapacity, VmCapacity, gateway_weights};

/// Returns a capacity; 0 for what is not stated.
fn capacity(cpu: f64, memory: f64, link: f64) -> VmCapacity {
    let stated = |value: f64| Some(value).filter(|value| *value != 0.0);
    let raw = RawVmCapacity {
        cores: None,
        cpu_share: stated(cpu),
        memory_mb: stated(memory),
        link_mbps: stated(link),
    };
    VmCapacity::try_from(raw).expect("valid figures")
}

#[test]
fn capacities_are_the_product_of_cores_and_share_and_keep_small_units() {
    let raw = RawVmCapacity {
        cores: Some(3.0),
        cpu_share: Some(0.03),
        memory_mb: Some(120.0),
        link_mbps: Some(7.5),
    };
    let capacity = VmCapacity::try_from(raw).expect("valid figures");
    let figures = (capacity.cpu_millis(), capacity.memory_mb(), capacity.link_kbps());
    assert_eq!(figures, (Some(90), Some(120), Some(7_500)));
    assert_eq!(capacity.to_string(), "cpu_millis:90,memory_mb:120,link_kbps:7500");
    let unstated = VmCapacity::try_from(RawVmCapacity::default()).expect("nothing is valid");
    assert_eq!((unstated, unstated.to_string().as_str()), (VmCapacity::default(), "unstated"));
}

#[test]
fn figures_that_cannot_be_true_are_refused_by_name() {
    let valid = RawVmCapacity::default();
    for value in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e12] {
        let cases = [
            ("cores", RawVmCapacity { cores: Some(value), ..valid }),
            ("cpuShare", RawVmCapacity { cpu_share: Some(value), ..valid }),
            ("memoryMb", RawVmCapacity { memory_mb: Some(value), ..valid }),
            ("linkMbps", RawVmCapacity { link_mbps: Some(value), ..valid }),
        ];
        for (key, raw) in cases {
            let error = VmCapacity::try_from(raw).expect_err("not a capacity");
            assert!(error.to_string().starts_with(key), "{key} {value}: {error}");
        }
    }
}

#[test]
fn the_weight_is_the_least_figure_relative_to_the_mean_within_bounds() {
    struct Case {
        name: &'static str,
        capacities: Vec<VmCapacity>,
        expected: &'static [f64],
    }
    let small = capacity(0.1, 120.0, 10.0);
    let cases = [
        Case {
            name: "nothing stated",
            capacities: vec![VmCapacity::default(); 2],
            expected: &[1.0, 1.0],
        },
        Case { name: "all alike", capacities: vec![small; 3], expected: &[1.0, 1.0, 1.0] },
        Case {
            name: "the scarcest figure counts",
            capacities: vec![small, capacity(0.3, 120.0, 30.0)],
            expected: &[0.5, 1.0],
        },
        Case {
            name: "one that states nothing counts as the mean",
            capacities: vec![
                capacity(0.1, 0.0, 0.0),
                capacity(0.3, 0.0, 0.0),
                VmCapacity::default(),
            ],
            expected: &[0.5, 1.5, 1.0],
        },
        Case {
            name: "ten times and a tenth of the others' are bounded",
            capacities: [vec![capacity(1.0, 0.0, 0.0); 9], vec![capacity(100.0, 0.0, 0.0)]]
                .concat(),
            expected: &[0.25, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25, 4.0],
        },
    ];
    for case in cases {
        assert_eq!(gateway_weights(&case.capacities), case.expected, "{}", case.name);
    }
}
