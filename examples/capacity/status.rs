//! What `gladectl status` reads of each process.

use {
    crate::{
        fit::print_fit,
        plant::{domain_name, name, region_name, vm_name},
        usage::micros_each,
    },
    gullglade_backend::BackendKind,
    gullglade_node::{BackendReport, NodeReport, RegionReport},
    std::{collections::BTreeMap, hint::black_box},
};

const REGIONS: usize = 20;
const GATEWAYS: usize = 18;
const READS: u32 = 200;

fn backend(number: usize) -> BackendReport {
    BackendReport {
        name: name(&format!("region-00-engine-{number:03}")),
        domain: Some(domain_name(0, number)),
        kind: Some(BackendKind::Engine),
        health: "serving".to_owned(),
        serves: vec![format!("model-{}", number % 26)],
        slots: 40,
        running: 17,
        waiting: 2,
    }
}

fn report(backends: usize) -> NodeReport {
    let region = |number| RegionReport {
        region: region_name(number),
        reachable: true,
        age_millis: 1_200,
        slots: 5_800,
        free_slots: 900,
    };
    NodeReport {
        vm: vm_name(0, 0),
        region: region_name(0),
        domain: domain_name(0, 0),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        ready: true,
        draining: false,
        open_requests: 400,
        ended_requests: 4_000_000,
        away_requests: 100_000,
        configuration_index: Some(123_456),
        configuration_stale: false,
        breaches: BTreeMap::new(),
        members: (0..GATEWAYS).map(|number| vm_name(0, number)).collect(),
        backends: (0..backends).map(backend).collect(),
        regions: (1..REGIONS).map(region).collect(),
    }
}

pub(crate) fn run() {
    println!("backend servers of the region, bytes of a report, µs to read it");
    let points: Vec<(f64, f64)> = [12, 145, 580]
        .into_iter()
        .map(|backends| {
            let body = serde_json::to_vec(&report(backends)).expect("reports encode");
            let micros = micros_each(READS, |_| {
                let read: NodeReport = serde_json::from_slice(&body).expect("its own encoding");
                black_box(read);
            });
            println!("{backends:8} {:8} {micros:8.0}", body.len());
            (backends as f64, body.len() as f64)
        })
        .collect();
    print_fit("bytes of a report", "backend servers", &points);
}
