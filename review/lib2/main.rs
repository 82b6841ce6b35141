//! The cases of the second review that are played as scripts. `cases NUMBER RECORD` plays one.

mod cold;
mod engine;
mod flood;
mod http;
mod memory;
mod part;
mod poison;
mod site;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: cases NAME RECORD");
        std::process::exit(2);
    };
    site::begin(path);
    match case.as_str() {
        "interim-heads" => flood::run(flood::Flood::InterimHeads),
        "small-chunks" => flood::run(flood::Flood::SmallChunks),
        "memory" => memory::run(),
        "cold" => cold::run(),
        "part" => part::run(),
        "poison-restart" => poison::run_restart(),
        "poison-burst" => poison::run_burst(),
        _ => std::process::exit(2),
    }
}
