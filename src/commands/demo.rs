//! `gladectl demo`: a whole small deployment in this process, with failures.

use {
    super::operator::run_on_runtime,
    bpaf::{Parser, construct, long},
    gullglade_demo::{DemoError, Deployment, ServeNote, run_show, sample_plan},
    monoio::utils::CtrlC,
    std::{process::ExitCode, time::Duration},
};

/// `gladectl demo`
#[derive(Debug, Clone)]
pub struct DemoCommand {
    seconds: u64,
    serve: bool,
    port_base: Option<u16>,
}

/// The parser of `gladectl demo`.
pub(super) fn demo_parser() -> impl Parser<DemoCommand> {
    let seconds = long("seconds")
        .help("How long callers send requests")
        .argument::<u64>("N")
        .guard(|n| (2..=600).contains(n), "give 2 to 600 seconds")
        .fallback(10)
        .display_fallback();
    let serve = long("serve")
        .help("Only start the deployment, print where it listens as one line of JSON, and stay")
        .switch();
    let port_base = long("port-base")
        .help("First of the gateways' 18 ports; by default the system chooses")
        .argument::<u16>("PORT")
        .optional();
    construct!(DemoCommand { seconds, serve, port_base })
        .to_options()
        .descr("Run three regions on loopback, with callers and failures, and check the promises")
        .command("demo")
}

impl DemoCommand {
    /// Runs the demo. Status 1 where a promise broke.
    pub fn run(self) -> ExitCode {
        match run_on_runtime(self.run_async()) {
            Ok(Ok(code)) => code,
            Ok(Err(error)) => fail(&error),
            Err(error) => fail(&error),
        }
    }

    async fn run_async(self) -> Result<ExitCode, DemoError> {
        let mut plan = sample_plan()
            .map_err(|e| DemoError::Start { name: "plan".to_owned(), reason: e.to_string() })?;
        plan.port_base = self.port_base;
        let deployment = Deployment::start(plan).await?;
        if self.serve {
            return serve(&deployment).await;
        }
        show(&deployment, Duration::from_secs(self.seconds)).await
    }
}

async fn serve(deployment: &Deployment) -> Result<ExitCode, DemoError> {
    let signal = CtrlC::new()
        .map_err(|e| DemoError::Start { name: "signals".to_owned(), reason: format!("{e:?}") })?;
    let note = serde_json::to_string(&ServeNote::new(deployment));
    println!("{}", note.expect("a struct of strings always serializes"));
    signal.await;
    Ok(ExitCode::SUCCESS)
}

async fn show(deployment: &Deployment, duration: Duration) -> Result<ExitCode, DemoError> {
    let plan = deployment.plan();
    println!(
        "{} gateways and {} backend servers in {} regions, {} ms apart, run in this process",
        plan.gateways.len(),
        plan.backends.len(),
        plan.regions().len(),
        plan.region_delay.as_millis()
    );
    let start = std::time::Instant::now();
    let tell = |line: &str| println!("{:>5.1} s  {line}", start.elapsed().as_secs_f64());
    let verdict = run_show(deployment, duration, &tell).await?;
    println!("{verdict}");
    let broken = verdict.broken_promises();
    if broken.is_empty() {
        println!("every promise held");
        return Ok(ExitCode::SUCCESS);
    }
    println!("PROMISES BROKEN: {}", broken.join(", "));
    Ok(ExitCode::FAILURE)
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("gladectl demo: {error}");
    ExitCode::FAILURE
}
