//! The `gullglade` process: logs, one runtime, its parts, and a graceful end.

use {
    crate::settings::ProcessSettings,
    futures::future::{Either, select},
    gullglade_claim::ClaimSettings,
    gullglade_control::{ControlError, ControlNode, DataFolder, DiskError, FileFolder},
    gullglade_document::{ConfigSource, ConfigView, DocumentError, FixedConfig, ServiceDocument},
    gullglade_event::{EventDraft, EventSink, Level, SettingsError},
    gullglade_node::{
        ConfigRuntime, ConfigSettings, GatewayNode, NodeDependencies, NodeSettings, StartError,
    },
    gullglade_units::{Incarnation, ProcessContext},
    monoio::{LegacyDriver, RuntimeBuilder, utils::CtrlC},
    snafu::{ResultExt, Snafu},
    std::{
        fs, io,
        path::{Path, PathBuf},
        pin::pin,
        rc::Rc,
    },
};

/// Events kept in memory for the operators' port.
const EVENT_LIMIT: usize = 20_000;

/// Why the process ended before it was asked to.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// The log could not be started.
    #[snafu(display("log: {source}"))]
    Log {
        /// What failed.
        source: SettingsError,
    },
    /// The system refuses a runtime or signal handlers.
    #[snafu(display("{what}: {source}; check the limits on open files and threads"))]
    System {
        /// What was refused.
        what: &'static str,
        /// The system's reason.
        source: io::Error,
    },
    /// A folder or file of documents cannot be read.
    #[snafu(display("--documents {}: {source}; make it readable", path.display()))]
    Unreadable {
        /// The path.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// A document is not acceptable.
    #[snafu(display("--documents {}: {source}", path.display()))]
    Document {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: DocumentError,
    },
    /// The data folder cannot be used.
    #[snafu(display("--data-dir: {source}"))]
    Folder {
        /// Why.
        source: DiskError,
    },
    /// The control role can no longer take part.
    #[snafu(display("control: {reason}"))]
    Control {
        /// Why.
        reason: ControlError,
    },
    /// A part did not start.
    #[snafu(display("{source}"))]
    Start {
        /// Which, and why.
        source: StartError,
    },
}

/// Runs the process until SIGINT or SIGTERM, then shuts it down gracefully. True where every
/// request in progress was finished.
pub fn run_process(settings: &ProcessSettings) -> Result<bool, ProcessError> {
    let log = settings.log.clone().start().context(LogSnafu)?;
    let view = match &settings.documents {
        Some(folder) => Some(read_documents(folder)?),
        None => None,
    };
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .context(SystemSnafu { what: "runtime" })?;
    let finished = runtime.block_on(serve(settings, view));
    log.flush();
    finished
}

async fn serve(settings: &ProcessSettings, view: Option<ConfigView>) -> Result<bool, ProcessError> {
    let signal = CtrlC::new().map_err(io::Error::other).context(SystemSnafu { what: "signals" })?;
    let context = ProcessContext::system();
    let config_runtime = ConfigRuntime::new(config_settings(settings), context.clone());
    let fixed = view.map(|view| Rc::new(FixedConfig::new(view)) as Rc<dyn ConfigSource>);
    let is_fixed = fixed.is_some();
    let dependencies = NodeDependencies {
        documents: fixed.unwrap_or_else(|| Rc::clone(config_runtime.replica()) as _),
        link: None,
    };
    let node = GatewayNode::start(&node_settings(settings, &context), context, dependencies)
        .context(StartSnafu)?;
    let control = match is_fixed {
        true => {
            decide_claims(settings, &node);
            None
        }
        false => start_configuration(settings, &config_runtime, &node).await?,
    };
    match control {
        None => signal.await,
        Some(control) => {
            if let Either::Left((reason, _)) = select(pin!(control.stopped()), signal).await {
                node.shut_down(settings.drain_limit).await;
                return ControlSnafu { reason }.fail();
            }
        }
    }
    Ok(node.shut_down(settings.drain_limit).await)
}

/// Without control processes nobody tells the gateways of a region apart from a gateway that is
/// alone there, but `--peers` does: with it each of several gateways would decide alone, and the
/// same order sent to two of them would run twice. Such gateways refuse keyed requests.
fn decide_claims(settings: &ProcessSettings, node: &GatewayNode) {
    if settings.peers.is_empty() {
        return node.adopt_single_member_group(&settings.name, &settings.region);
    }
    node.events().emit(
        EventDraft::new("claim.group.none")
            .level(Level::Warn)
            .field("effect", "requests under an order key are refused")
            .field("remedy", "run control processes, or leave --peers out for a lone gateway"),
    );
}

async fn start_configuration(
    settings: &ProcessSettings,
    config_runtime: &ConfigRuntime,
    node: &GatewayNode,
) -> Result<Option<ControlNode>, ProcessError> {
    let folder = match &settings.control {
        Some(control) => {
            let folder = FileFolder::open(&control.data_dir).context(FolderSnafu)?;
            Some(Rc::new(folder) as Rc<dyn DataFolder>)
        }
        None => None,
    };
    config_runtime.start(node, folder).await.context(StartSnafu)
}

fn config_settings(settings: &ProcessSettings) -> ConfigSettings {
    ConfigSettings {
        cluster: settings.cluster.clone(),
        vm: settings.name.clone(),
        region: settings.region.clone(),
        peer_address: settings.peer_address,
        voters: settings.voters.clone(),
    }
}

fn node_settings(settings: &ProcessSettings, context: &ProcessContext) -> NodeSettings {
    NodeSettings {
        vm: settings.name.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        incarnation: Incarnation(context.clock.wall().0),
        cluster: settings.cluster.clone(),
        secret: settings.peer_secret.clone(),
        caller_address: settings.caller_address,
        operator_address: settings.operator_address,
        peer_address: settings.peer_address,
        operator_token: settings.operator_token.clone(),
        connection_limit: settings.connection_limit,
        per_address_limit: settings.per_address_limit,
        event_limit: EVENT_LIMIT,
        seeds: settings.peers.clone(),
        claims: ClaimSettings::default().clock_error(settings.clock_error),
    }
}

fn read_documents(folder: &Path) -> Result<ConfigView, ProcessError> {
    let unreadable = || UnreadableSnafu { path: folder };
    let mut documents = Vec::new();
    for entry in fs::read_dir(folder).with_context(|_| unreadable())? {
        let path = entry.with_context(|_| unreadable())?.path();
        let known = path.extension().is_some_and(|e| e == "toml" || e == "json");
        if !known {
            continue;
        }
        let text = fs::read_to_string(&path).context(UnreadableSnafu { path: &path })?;
        let document =
            ServiceDocument::try_from(text.as_str()).context(DocumentSnafu { path: &path })?;
        documents.push(Rc::new(document));
    }
    Ok(ConfigView::new(1, documents))
}
