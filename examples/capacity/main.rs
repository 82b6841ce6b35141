//! Measures the slopes that `docs/CAPACITY.md` computes with.
//!
//! `cargo run --release --example capacity [-- MEASURE...]`, where the measures are listed by
//! `-- help`. Each prints the sizes measured, the figures and the fitted slope. What counts bytes
//! or messages runs in virtual time from a seed and prints the same everywhere; processor time and
//! memory are of the machine.

mod announce;
mod claims;
mod configuration;
mod control;
mod decide;
mod fit;
mod frames;
mod memory_folder;
mod meter;
mod plant;
mod relay;
mod status;
mod usage;

use std::process::ExitCode;

struct Measure {
    name: &'static str,
    what: &'static str,
    run: fn(),
}

const MEASURES: [Measure; 8] = [
    Measure {
        name: "frames",
        what: "bytes and processor time that one peer call adds to its message",
        run: frames::run,
    },
    Measure {
        name: "announce",
        what: "bytes and processor time of one renewal of a backend server",
        run: announce::run,
    },
    Measure {
        name: "relay",
        what: "bytes, calls and processor time of a gateway in its region's membership",
        run: relay::run,
    },
    Measure {
        name: "decide",
        what: "processor time of one decision by candidates and regions",
        run: decide::run,
    },
    Measure {
        name: "configuration",
        what: "memory and processor time of documents and workspaces in a gateway",
        run: configuration::run,
    },
    Measure {
        name: "control",
        what: "state and messages of voters, relays and gateways",
        run: control::run,
    },
    Measure {
        name: "claims",
        what: "messages, processor time and memory of claims",
        run: claims::run,
    },
    Measure {
        name: "status",
        what: "what gladectl status reads of each process",
        run: status::run,
    },
];

fn main() -> ExitCode {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let unknown = wanted.iter().any(|name| MEASURES.iter().all(|m| m.name != name));
    if unknown {
        for measure in &MEASURES {
            println!("{:14} {}", measure.name, measure.what);
        }
        return ExitCode::from(2);
    }
    for measure in
        MEASURES.iter().filter(|m| wanted.is_empty() || wanted.iter().any(|w| w == m.name))
    {
        println!("== {}: {}", measure.name, measure.what);
        (measure.run)();
        println!();
    }
    ExitCode::SUCCESS
}
