//! `gladectl timeline`: the events of log files and live processes in one causal order.

use {
    super::{
        operator::{OperatorClient, OperatorError, run_on_runtime, token_option},
        output::write_out,
    },
    bpaf::{Parser, construct, long, positional},
    gullglade_event::{EventFilter, EventRecord, Timeline},
    gullglade_units::{HybridStamp, VmName},
    snafu::{ResultExt, Snafu},
    std::{fs, io, net::SocketAddr, path::PathBuf, process::ExitCode},
};

/// Events asked of a live process at a time.
const PAGE: usize = 5_000;

/// Why there is no time line.
#[derive(Debug, Snafu)]
enum TimelineError {
    /// The client cannot be made.
    #[snafu(display("{source}"))]
    Client {
        /// What went wrong.
        source: OperatorError,
    },
    /// The page cannot be written.
    #[snafu(display("--output {}: {source}; name a file in a writable folder", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
}

/// `gladectl timeline`
#[derive(Debug, Clone)]
pub struct TimelineCommand {
    request: Option<String>,
    change: Option<String>,
    backend: Option<String>,
    vm: Option<VmName>,
    kind: Option<String>,
    since: Option<HybridStamp>,
    context: bool,
    html: bool,
    output: Option<PathBuf>,
    token_file: Option<PathBuf>,
    sources: Vec<String>,
}

/// The parser of `gladectl timeline`.
pub(super) fn timeline_parser() -> impl Parser<TimelineCommand> {
    let request = long("request")
        .help("Only events of this request, as its gullglade-request header names it")
        .argument::<String>("ID")
        .optional();
    let change = long("change")
        .help("Only events of this change of configuration")
        .argument::<String>("ID")
        .optional();
    let backend = long("backend")
        .help("Only events that name this backend server")
        .argument::<String>("NAME")
        .optional();
    let vm = long("vm")
        .help("Only events of this VM, or that name it")
        .argument::<VmName>("NAME")
        .optional();
    let kind = long("kind")
        .help("Only events of this kind or below it, such as request or request.dispatched")
        .argument::<String>("KIND")
        .optional();
    let since = long("since")
        .help("Only events after this stamp, as log lines write it")
        .argument::<HybridStamp>("STAMP")
        .optional();
    let context = long("context")
        .help("Add what happened meanwhile to the backend servers concerned")
        .switch();
    let html = long("html").help("Print one self-contained HTML page").switch();
    let output = long("output")
        .help("Write into this file instead of the standard output")
        .argument::<PathBuf>("FILE")
        .optional();
    let token_file = token_option();
    let sources = positional::<String>("FILE|IP:PORT")
        .help("Log files, and operators' addresses of live processes")
        .some("name at least one log file or operators' address");
    construct!(TimelineCommand {
        request,
        change,
        backend,
        vm,
        kind,
        since,
        context,
        html,
        output,
        token_file,
        sources,
    })
    .to_options()
    .descr("Show the events of many processes in one causal order")
    .command("timeline")
}

impl TimelineCommand {
    /// Reads every source and prints the time line. A source that cannot be read is noted in it,
    /// and the exit code says so.
    pub fn run(self) -> ExitCode {
        match self.build() {
            Ok(complete) if complete => ExitCode::SUCCESS,
            Ok(_) => ExitCode::FAILURE,
            Err(error) => {
                eprintln!("gladectl: {error}");
                ExitCode::from(2)
            }
        }
    }

    fn build(&self) -> Result<bool, TimelineError> {
        let read = run_on_runtime(self.read()).context(ClientSnafu)?;
        let (line, complete) = read.context(ClientSnafu)?;
        let events = line.select(&self.filter());
        self.print(&self.render(&line, &events))?;
        Ok(complete)
    }

    fn filter(&self) -> EventFilter {
        EventFilter::default()
            .request(self.request.clone())
            .change(self.change.clone())
            .backend(self.backend.clone())
            .vm(self.vm.clone())
            .kind(self.kind.clone())
            .since(self.since)
            .context(self.context)
    }

    /// The time line of all sources, and whether each could be read.
    async fn read(&self) -> Result<(Timeline, bool), OperatorError> {
        let client = OperatorClient::new(self.token_file.clone())?;
        let mut line = Timeline::default();
        let mut complete = true;
        for source in &self.sources {
            let result = match source.parse::<SocketAddr>() {
                Ok(address) => read_process(&client, address, self.since, &mut line).await,
                Err(_) => read_file(source, &mut line),
            };
            if let Err(reason) = result {
                line.note(format!("{source} is missing: {reason}"));
                complete = false;
            }
        }
        line.sort();
        Ok((line, complete))
    }

    fn render(&self, line: &Timeline, events: &[&EventRecord]) -> String {
        if !self.html {
            return line.text(events);
        }
        let subject = [&self.request, &self.change, &self.backend, &self.kind];
        let subject: Vec<&str> = subject.into_iter().flatten().map(String::as_str).collect();
        line.html(format!("Time line {}", subject.join(" ")).trim_end(), events)
    }

    fn print(&self, text: &str) -> Result<(), TimelineError> {
        match &self.output {
            Some(path) => fs::write(path, text).context(WriteSnafu { path }),
            None => {
                write_out(text);
                Ok(())
            }
        }
    }
}

fn read_file(path: &str, line: &mut Timeline) -> Result<(), String> {
    let bytes = fs::read(path).map_err(|e| format!("{e}; is it a log file or IP:PORT?"))?;
    line.add(path, &String::from_utf8_lossy(&bytes));
    Ok(())
}

/// Reads a live process page by page, up to a page without events. A process may send fewer than
/// asked for, so a short page is not the last one.
async fn read_process(
    client: &OperatorClient,
    address: SocketAddr,
    since: Option<HybridStamp>,
    line: &mut Timeline,
) -> Result<(), String> {
    let mut after = since.unwrap_or_default();
    loop {
        let path = format!("/v1/events?since={after}&limit={PAGE}");
        let body = client.get(address, &path).await.map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&body);
        line.add(&address.to_string(), &text);
        match text.lines().next_back().and_then(|l| EventRecord::try_from(l).ok()) {
            Some(event) if event.stamp > after => after = event.stamp,
            _ => return Ok(()),
        }
    }
}
