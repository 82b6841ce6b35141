//! `gladectl stub-engine`: a stand-in model engine in a process of its own.

use {
    super::stub::{
        StartSnafu, StubCommandError, StubOptions, print_start, run_stub, stub_options,
        wait_for_signal,
    },
    bpaf::{Parser, construct, long},
    gullglade_backend::FencingMode,
    gullglade_stub::{EngineConfig, EngineLimits, StubEngine},
    gullglade_units::{ModelName, ProcessContext},
    snafu::ResultExt,
    std::{net::SocketAddr, process::ExitCode, time::Duration},
};

/// `gladectl stub-engine`
#[derive(Debug, Clone)]
pub struct StubEngineCommand {
    options: StubOptions,
    models: Vec<ModelName>,
    limits: EngineLimits,
    check_fencing: bool,
    weight_store: Option<SocketAddr>,
}

/// The parser of `gladectl stub-engine`.
pub(super) fn stub_engine_parser() -> impl Parser<StubEngineCommand> {
    let options = stub_options();
    let models = long("model")
        .help("Model it has loaded; may be repeated")
        .argument::<ModelName>("MODEL")
        .some("an engine needs at least one --model");
    let limits = limits_parser();
    let check_fencing = long("check-fencing")
        .help("Refuse orders under an old fencing number, which it obeys otherwise")
        .switch();
    let weight_store = long("weight-store")
        .help("Weight store to load from when ordered; weights are there at once otherwise")
        .argument::<SocketAddr>("ADDRESS")
        .optional();
    construct!(StubEngineCommand { options, models, limits, check_fencing, weight_store })
        .to_options()
        .descr("Run a stand-in model engine until SIGINT or SIGTERM")
        .command("stub-engine")
}

fn limits_parser() -> impl Parser<EngineLimits> {
    let defaults = EngineLimits::default();
    let slots = long("slots")
        .help("Requests that run at once")
        .argument::<usize>("COUNT")
        .fallback(defaults.slots)
        .display_fallback();
    let prefill_tokens_per_second =
        rate("prefill-rate", "Prompt tokens read a second", defaults.prefill_tokens_per_second);
    let decode_tokens_per_second =
        rate("decode-rate", "Tokens a second, all requests", defaults.decode_tokens_per_second);
    let sequence_tokens_per_second =
        rate("sequence-rate", "Tokens a second, one request", defaults.sequence_tokens_per_second);
    let cache_tokens = long("cache-tokens")
        .help("Prompt tokens that the prefix cache holds")
        .argument::<u64>("COUNT")
        .fallback(defaults.cache_tokens)
        .display_fallback();
    let load_lag = millis("load-lag-ms", "How late load is reported", defaults.load_lag);
    let cache_event_delay =
        millis("cache-delay-ms", "How late cache events are shown", defaults.cache_event_delay);
    let cache_event_loss = long("cache-loss")
        .help("Share of cache events that are lost, 0 to 1")
        .argument::<f64>("SHARE")
        .fallback(defaults.cache_event_loss)
        .display_fallback();
    construct!(EngineLimits {
        slots,
        prefill_tokens_per_second,
        decode_tokens_per_second,
        sequence_tokens_per_second,
        cache_tokens,
        load_lag,
        cache_event_delay,
        cache_event_loss,
    })
    .guard(|limits| limits.slots > 0, "--slots must be at least 1")
    .guard(|limits| (0.0..=1.0).contains(&limits.cache_event_loss), "--cache-loss is 0 to 1")
}

fn rate(name: &'static str, help: &'static str, default: f64) -> impl Parser<f64> {
    long(name)
        .help(format!("{help}; 0 is without limit").as_str())
        .argument::<f64>("RATE")
        .guard(|rate| rate.is_finite() && *rate >= 0.0, "a rate is a number of at least 0")
        .fallback(default)
        .display_fallback()
}

fn millis(name: &'static str, help: &'static str, default: Duration) -> impl Parser<Duration> {
    long(name)
        .help(help)
        .argument::<u64>("MS")
        .fallback(default.as_millis() as u64)
        .display_fallback()
        .map(Duration::from_millis)
}

impl StubEngineCommand {
    /// Runs the engine until a signal; requests in progress are finished.
    pub fn run(self) -> ExitCode {
        run_stub(self.serve())
    }

    async fn serve(self) -> Result<(), StubCommandError> {
        let engine = StubEngine::start(self.config()?, ProcessContext::system());
        let engine = engine.context(StartSnafu)?;
        print_start(engine.name(), "engine", engine.address());
        wait_for_signal().await?;
        engine.leave().await;
        Ok(())
    }

    fn config(self) -> Result<EngineConfig, StubCommandError> {
        let token = self.options.token()?;
        let StubOptions { name, region, domain, listen, gateways, leave_grace, .. } = self.options;
        let fencing = if self.check_fencing { FencingMode::Checks } else { FencingMode::Ignores };
        Ok(EngineConfig {
            name,
            region,
            domain,
            models: self.models,
            listen,
            limits: self.limits,
            fencing,
            incarnation: None,
            gateways,
            token,
            leave_grace,
            weight_store: self.weight_store,
            fault: Default::default(),
        })
    }
}
