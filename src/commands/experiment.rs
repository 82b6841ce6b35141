//! `gladectl experiment`: replays seeded arrivals against the decision code and compares policies.

use {
    bpaf::{Parser, construct, long},
    gullglade_experiment::{
        DeploymentKind, PolicyKind, ReplaySettings, ReplayTable, ScenarioKind, plot_table,
        replay_fairness, replay_table,
    },
    gullglade_route::LatencySettings,
    serde::Serialize,
    snafu::{ResultExt, Snafu},
    std::{fmt::Display, fs, io, path::PathBuf, process::ExitCode},
};

/// Why there is no outcome.
#[derive(Debug, Snafu)]
enum ExperimentError {
    /// The picture cannot be drawn.
    #[snafu(display("{source}"))]
    Plot {
        /// What went wrong.
        source: gullglade_experiment::PlotError,
    },
    /// The picture cannot be written.
    #[snafu(display("--svg {}: {source}; name a file in a writable folder", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The table cannot be written as JSON.
    #[snafu(display("the table cannot be written as JSON: {source}; leave --json out"))]
    Json {
        /// What went wrong.
        source: serde_json::Error,
    },
}

/// `gladectl experiment`
#[derive(Debug, Clone)]
pub struct ExperimentCommand {
    deployment: DeploymentKind,
    scenarios: Vec<ScenarioKind>,
    policies: Vec<PolicyKind>,
    load: f64,
    seed: u64,
    threads: usize,
    fairness: bool,
    json: bool,
    svg: Option<PathBuf>,
}

/// The parser of `gladectl experiment`.
pub(super) fn experiment_parser() -> impl Parser<ExperimentCommand> {
    let deployment = long("deployment")
        .help("ballast, pipeline or letter")
        .argument::<DeploymentKind>("NAME")
        .fallback(DeploymentKind::Ballast);
    let scenarios = long("scenario")
        .help("A scenario; may be given several times; all of them where none is given")
        .argument::<ScenarioKind>("NAME")
        .many();
    let policies = long("policy")
        .help("A policy; may be given several times; all of them where none is given")
        .argument::<PolicyKind>("NAME")
        .many();
    let load = long("load")
        .help("Load as a part of the capacity; 0.85 where none is given")
        .argument::<f64>("PART")
        .guard(|load| (0.01..=3.0).contains(load), "give a load between 0.01 and 3")
        .fallback(0.85);
    let seed = long("seed").help("Seed of the arrivals").argument::<u64>("NUMBER").fallback(1);
    let threads = long("threads")
        .help("Replays at a time; 3 where none is given")
        .argument::<usize>("COUNT")
        .fallback(3);
    let fairness = long("fairness")
        .help("Replay steady traffic beside one workspace that sends a hundred times its share")
        .switch();
    let json = long("json").help("Print the table as JSON").switch();
    let svg = long("svg")
        .help("Write a picture, p99 against share sent away, to this file")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(ExperimentCommand {
        deployment,
        scenarios,
        policies,
        load,
        seed,
        threads,
        fairness,
        json,
        svg
    })
    .to_options()
    .descr("Replay seeded arrivals against the decision code and compare policies")
    .command("experiment")
}

fn all_if_none<T: Copy>(chosen: Vec<T>, all: &[T]) -> Vec<T> {
    if chosen.is_empty() { all.to_vec() } else { chosen }
}

impl ExperimentCommand {
    /// Replays and prints the outcome.
    pub fn run(self) -> ExitCode {
        match self.replay() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        }
    }

    fn replay(self) -> Result<(), ExperimentError> {
        let settings = ReplaySettings {
            plan: self.deployment.plan(),
            scenarios: all_if_none(self.scenarios, &ScenarioKind::ALL),
            policies: all_if_none(self.policies, &PolicyKind::ALL),
            load: self.load,
            seed: self.seed,
            threads: self.threads,
            glade: LatencySettings::default(),
        };
        if self.fairness {
            let row = replay_fairness(&settings);
            return print(&row, self.json);
        }
        let table = replay_table(&settings);
        print(&table, self.json)?;
        self.svg.map_or(Ok(()), |path| write_plot(&table, path))
    }
}

fn print<T: Serialize + Display>(outcome: &T, json: bool) -> Result<(), ExperimentError> {
    match json {
        true => println!("{}", serde_json::to_string_pretty(outcome).context(JsonSnafu)?),
        false => print!("{outcome}"),
    }
    Ok(())
}

fn write_plot(table: &ReplayTable, path: PathBuf) -> Result<(), ExperimentError> {
    let text = plot_table(table).context(PlotSnafu)?;
    fs::write(&path, text).context(WriteSnafu { path })
}
