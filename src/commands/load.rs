//! `gladectl load`: callers' traffic with every answer checked.

use {
    super::operator::run_on_runtime,
    bpaf::{Parser, construct, long},
    gullglade_stub::{LoadPlan, LoadSummary, LoadTally, LoadTarget, PairPlan, run_load, run_pairs},
    gullglade_units::{ModelName, ProcessContext, ServiceName},
    serde::Serialize,
    std::{
        fmt::Display, fs, net::SocketAddr, path::PathBuf, process::ExitCode, thread, time::Duration,
    },
};

/// `gladectl load`
#[derive(Debug, Clone)]
pub struct LoadCommand {
    traffic: TrafficOptions,
    entries: Vec<SocketAddr>,
    fixed: Vec<SocketAddr>,
    pair: Option<SocketAddr>,
    service: Option<ServiceName>,
    token_file: Option<PathBuf>,
    threads: usize,
    json: bool,
}

#[derive(Debug, Clone)]
struct TrafficOptions {
    model: ModelName,
    seed: u64,
    rate: f64,
    seconds: f64,
    stream_share: f64,
    prompt_tokens: u64,
    prefixes: u64,
    answer_tokens: u64,
    retries: u32,
    limit_ms: u64,
    outstanding: usize,
}

/// The parser of `gladectl load`.
pub(super) fn load_parser() -> impl Parser<LoadCommand> {
    let traffic = traffic_parser();
    let entries = long("entry")
        .help("VM to ask for GET /v1/entry; may be repeated, the first that answers is taken")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let fixed = long("to")
        .help("Send here instead of asking for the entry; may be repeated, taken in turn")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let pair = long("pair")
        .help("Engine behind the one --to: send each request both ways and compare first tokens")
        .argument::<SocketAddr>("ADDRESS")
        .optional();
    let service = long("service")
        .help("Service to ask the entry for")
        .argument::<ServiceName>("SERVICE")
        .optional();
    let token_file = long("token-file")
        .help("File with the callers' bearer token")
        .argument::<PathBuf>("FILE")
        .optional();
    let threads = long("threads")
        .help("Threads that share the rate")
        .argument::<usize>("COUNT")
        .guard(|threads| (1..=64).contains(threads), "--threads is 1 to 64")
        .fallback(1)
        .display_fallback();
    let json = long("json").help("Print one JSON object").switch();
    construct!(LoadCommand { traffic, entries, fixed, pair, service, token_file, threads, json })
        .guard(
            |command| command.entries.is_empty() != command.fixed.is_empty(),
            "give --entry or --to, and not both",
        )
        .guard(
            |command| command.pair.is_none() || command.fixed.len() == 1,
            "--pair needs exactly one --to, the gateway",
        )
        .to_options()
        .descr("Send callers' traffic and check every answer; status 1 when one was wrong")
        .command("load")
}

fn traffic_parser() -> impl Parser<TrafficOptions> {
    let model = long("model").help("Model to ask for").argument::<ModelName>("MODEL");
    let seed = number("seed", "Seed of arrivals and prompts", 1);
    let rate = positive("rate", "Arrivals a second on average", 10.0);
    let seconds = positive("seconds", "How long requests arrive", 5.0);
    let stream_share = long("stream-share")
        .help("Share of requests that stream, 0 to 1")
        .argument::<f64>("SHARE")
        .guard(|share| (0.0..=1.0).contains(share), "--stream-share is 0 to 1")
        .fallback(0.8)
        .display_fallback();
    let prompt_tokens = number("prompt-tokens", "Prompt tokens of a request", 128);
    let prefixes = number("prefixes", "Distinct beginnings that prompts share", 16);
    let answer_tokens = number("answer-tokens", "Answer tokens of a request", 32);
    let retries = number("retries", "How often a refused request is sent again", 2)
        .map(|retries| u32::try_from(retries).unwrap_or(u32::MAX));
    let limit_ms = number("limit-ms", "Longest wait for one answer, milliseconds", 60_000);
    let outstanding = long("outstanding")
        .help("Calls in progress at once, beyond which arrivals are skipped; bounds an overload")
        .argument::<usize>("COUNT")
        .guard(|count| *count > 0, "--outstanding must be at least 1")
        .fallback(20_000)
        .display_fallback();
    construct!(TrafficOptions {
        model,
        seed,
        rate,
        seconds,
        stream_share,
        prompt_tokens,
        prefixes,
        answer_tokens,
        retries,
        limit_ms,
        outstanding,
    })
}

fn number(name: &'static str, help: &'static str, default: u64) -> impl Parser<u64> {
    long(name).help(help).argument::<u64>("NUMBER").fallback(default).display_fallback()
}

fn positive(name: &'static str, help: &'static str, default: f64) -> impl Parser<f64> {
    long(name)
        .help(help)
        .argument::<f64>("NUMBER")
        .guard(|value| value.is_finite() && *value > 0.0, "must be above 0")
        .fallback(default)
        .display_fallback()
}

impl LoadCommand {
    /// Runs the traffic and prints its figures.
    pub fn run(self) -> ExitCode {
        let token = match self.token_file.as_ref().map(fs::read_to_string).transpose() {
            Ok(token) => token.map(|text| text.trim().to_owned()),
            Err(error) => return fail(&format!("--token-file: {error}; name a readable file")),
        };
        let plan = self.plan(token);
        match self.pair {
            Some(direct) => self.run_pairs(plan, direct),
            None => self.run_threads(&plan),
        }
    }

    fn plan(&self, token: Option<String>) -> LoadPlan {
        let target = match self.fixed.is_empty() {
            true => LoadTarget::Entry { ask: self.entries.clone(), service: self.service.clone() },
            false => LoadTarget::Fixed(self.fixed.clone()),
        };
        let traffic = &self.traffic;
        LoadPlan {
            token,
            seed: traffic.seed,
            rate: traffic.rate,
            duration: Duration::from_secs_f64(traffic.seconds),
            stream_share: traffic.stream_share,
            prompt_tokens: traffic.prompt_tokens,
            prefixes: traffic.prefixes,
            answer_tokens: traffic.answer_tokens,
            retries: traffic.retries,
            limit: Duration::from_millis(traffic.limit_ms),
            outstanding: traffic.outstanding.div_ceil(self.threads),
            ..LoadPlan::new(target, traffic.model.clone())
        }
    }

    fn run_pairs(&self, load: LoadPlan, direct: SocketAddr) -> ExitCode {
        let plan = PairPlan { load, gateway: self.fixed[0], direct };
        let run = run_on_runtime(async { run_pairs(plan, ProcessContext::system()).await });
        match run {
            Ok(report) => self.print(&report, report.failed == 0),
            Err(error) => fail(&error),
        }
    }

    fn run_threads(&self, plan: &LoadPlan) -> ExitCode {
        let threads: Vec<_> = (0..self.threads)
            .map(|number| {
                let plan = self.share_of(plan, number);
                thread::spawn(move || {
                    run_on_runtime(async { run_load(plan, ProcessContext::system()).await })
                })
            })
            .collect();
        let mut tally = LoadTally::default();
        for thread in threads {
            match thread.join() {
                Ok(Ok(part)) => tally.merge(&part),
                Ok(Err(error)) => return fail(&error),
                Err(_) => return fail(&"a thread of callers panicked; its words are above"),
            }
        }
        self.print(&LoadSummary::from(&tally), tally.wrong == 0)
    }

    /// The part of the plan that thread `number` runs, under a seed of its own.
    fn share_of(&self, plan: &LoadPlan, number: usize) -> LoadPlan {
        let seed = plan.seed.wrapping_add(number as u64);
        LoadPlan { seed, rate: plan.rate / self.threads as f64, ..plan.clone() }
    }

    fn print<T: Display + Serialize>(&self, report: &T, kept: bool) -> ExitCode {
        if self.json {
            println!("{}", serde_json::to_string(report).expect("figures and names only"));
        } else {
            println!("{report}");
        }
        if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}

fn fail(error: &dyn Display) -> ExitCode {
    eprintln!("gladectl: {error}");
    ExitCode::from(2)
}
