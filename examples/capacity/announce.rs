//! One renewal of a backend server at the gateway that it announces to.

use {
    crate::{plant::region_name, relay::announcement, usage::micros_each},
    gullglade_backend::{Announcement, BackendConfig, BackendTable, LoadReport},
    gullglade_units::SystemClock,
    std::{hint::black_box, rc::Rc},
};

const RENEWALS: u32 = 200_000;
const ENGINES: u32 = 145;

pub(crate) fn run() {
    let clock = Rc::new(SystemClock::new());
    let table = BackendTable::new(region_name(0), BackendConfig::default(), clock);
    let load = LoadReport {
        running: 17,
        waiting: 2,
        queued_prefill_tokens: 9_000,
        cached_tokens: 350_000,
    };
    let bodies: Vec<Vec<u8>> = (0..ENGINES as usize)
        .map(|engine| {
            let first = announcement(0, engine, 1, load);
            table.announce(&first).expect("the first announcement is taken");
            serde_json::to_vec(&announcement(0, engine, 2, load)).expect("announcements encode")
        })
        .collect();
    let first = serde_json::to_vec(&announcement(0, 0, 1, load)).expect("announcements encode");
    println!("body of a first announcement {} B, of a renewal {} B", first.len(), bodies[0].len());
    let micros = micros_each(RENEWALS, |number| {
        let body = &bodies[(number % ENGINES) as usize];
        let mut renewal = Announcement::try_from(body.as_slice()).expect("a good announcement");
        renewal.sequence = u64::from(number / ENGINES) + 2;
        black_box(table.announce(&renewal).expect("a renewal is taken"));
    });
    println!("parse and take in a renewal: {micros:.2} µs (without HTTP)");
}
