//! What `gladectl stub-engine` and `gladectl stub-service` share: their common options, and
//! running until a signal.

use {
    super::operator::{OperatorError, run_on_runtime},
    bpaf::{Parser, construct, long},
    gullglade_stub::StubError,
    gullglade_units::{BackendName, FailureDomain, RegionName},
    serde::Serialize,
    snafu::{ResultExt, Snafu},
    std::{future::Future, io, net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration},
};

/// Why a stand-in did not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum StubCommandError {
    /// The token cannot be read.
    #[snafu(display("--token-file {}: {source}; name a readable file", path.display()))]
    Token {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The signal handler is missing.
    #[snafu(display("signals cannot be waited for: {reason}; is another handler set?"))]
    Signal {
        /// The system's reason.
        reason: String,
    },
    /// The runtime is missing.
    #[snafu(display("{source}"))]
    Runtime {
        /// What went wrong.
        source: OperatorError,
    },
    /// The stand-in did not start.
    #[snafu(display("{source}"))]
    Start {
        /// What went wrong.
        source: StubError,
    },
}

/// The options of every stand-in.
#[derive(Debug, Clone)]
pub(super) struct StubOptions {
    pub(super) name: BackendName,
    pub(super) region: RegionName,
    pub(super) domain: FailureDomain,
    pub(super) listen: SocketAddr,
    pub(super) gateways: Vec<SocketAddr>,
    pub(super) token_file: Option<PathBuf>,
    pub(super) leave_grace: Duration,
}

/// The parser of the options of every stand-in.
pub(super) fn stub_options() -> impl Parser<StubOptions> {
    let name = long("name")
        .help("Name of this backend server, unique in its region")
        .argument::<BackendName>("NAME");
    let region = long("region").help("Region it stands in").argument::<RegionName>("REGION");
    let domain =
        long("domain").help("Failure domain inside the region").argument::<FailureDomain>("DOMAIN");
    let listen = long("listen")
        .help("Address it listens on; gateways must be able to reach it")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback();
    let gateways = long("gateway")
        .help("Gateway to announce itself to; may be repeated, the first that answers is taken")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let token_file = long("token-file")
        .help("File with the bearer token of its announcements")
        .argument::<PathBuf>("FILE")
        .optional();
    let leave_grace = long("leave-grace-ms")
        .help("After a signal, milliseconds in which it still takes requests")
        .argument::<u64>("MS")
        .fallback(2_000)
        .display_fallback()
        .map(Duration::from_millis);
    construct!(StubOptions { name, region, domain, listen, gateways, token_file, leave_grace })
}

impl StubOptions {
    /// The token of its announcements.
    pub(super) fn token(&self) -> Result<Option<String>, StubCommandError> {
        let Some(path) = &self.token_file else { return Ok(None) };
        let text = std::fs::read_to_string(path).context(TokenSnafu { path })?;
        Ok(Some(text.trim().to_owned()))
    }
}

#[derive(Serialize)]
struct StartLine<'a> {
    name: &'a BackendName,
    kind: &'static str,
    url: String,
}

/// Prints where a stand-in listens, as one line of JSON.
pub(super) fn print_start(name: &BackendName, kind: &'static str, address: SocketAddr) {
    let line = StartLine { name, kind, url: format!("http://{address}") };
    println!("{}", serde_json::to_string(&line).expect("a name and an address are plain text"));
}

/// Waits for SIGINT or SIGTERM.
pub(super) async fn wait_for_signal() -> Result<(), StubCommandError> {
    let signal = monoio::utils::CtrlC::new()
        .map_err(|e| StubCommandError::Signal { reason: format!("{e:?}") })?;
    signal.await;
    Ok(())
}

/// Runs a stand-in to its end and turns the outcome into an exit status.
pub(super) fn run_stub(work: impl Future<Output = Result<(), StubCommandError>>) -> ExitCode {
    match run_on_runtime(work).context(RuntimeSnafu).and_then(|outcome| outcome) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gladectl: {error}");
            ExitCode::FAILURE
        }
    }
}
