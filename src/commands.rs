//! The subcommands of `gladectl`, one file each.

mod apply;
mod claims;
mod configuration;
mod control;
mod demo;
mod drain;
mod experiment;
mod get;
mod held;
mod key;
mod load;
mod operator;
mod output;
mod status;
mod status_screen;
mod stub;
mod stub_engine;
mod stub_service;
mod timeline;
mod workspaces;

use {
    bpaf::{OptionParser, Parser, construct},
    std::process::ExitCode,
};

/// A parsed command line of `gladectl`.
#[derive(Debug, Clone)]
pub enum ToolCommand {
    /// `gladectl status`
    Status(status::StatusCommand),
    /// `gladectl get`
    Get(get::GetCommand),
    /// `gladectl held`
    Held(held::HeldCommand),
    /// `gladectl workspaces`
    Workspaces(workspaces::WorkspacesCommand),
    /// `gladectl control`
    Control(control::ControlCommand),
    /// `gladectl claims`
    Claims(claims::ClaimsCommand),
    /// `gladectl apply`
    Apply(apply::ApplyCommand),
    /// `gladectl drain`
    Drain(drain::DrainCommand),
    /// `gladectl demo`
    Demo(demo::DemoCommand),
    /// `gladectl experiment`
    Experiment(experiment::ExperimentCommand),
    /// `gladectl key`
    Key(key::KeyCommand),
    /// `gladectl load`
    Load(load::LoadCommand),
    /// `gladectl stub-engine`
    StubEngine(stub_engine::StubEngineCommand),
    /// `gladectl stub-service`
    StubService(stub_service::StubServiceCommand),
    /// `gladectl timeline`
    Timeline(timeline::TimelineCommand),
}

/// The parser of `gladectl`.
pub fn tool_parser() -> OptionParser<ToolCommand> {
    let status = status::status_parser().map(ToolCommand::Status);
    let get = get::get_parser().map(ToolCommand::Get);
    let held = held::held_parser().map(ToolCommand::Held);
    let workspaces = workspaces::workspaces_parser().map(ToolCommand::Workspaces);
    let control = control::control_parser().map(ToolCommand::Control);
    let apply = apply::apply_parser().map(ToolCommand::Apply);
    let claims = claims::claims_parser().map(ToolCommand::Claims);
    let drain = drain::drain_parser().map(ToolCommand::Drain);
    let demo = demo::demo_parser().map(ToolCommand::Demo);
    let experiment = experiment::experiment_parser().map(ToolCommand::Experiment);
    let key = key::key_parser().map(ToolCommand::Key);
    let load = load::load_parser().map(ToolCommand::Load);
    let stub_engine = stub_engine::stub_engine_parser().map(ToolCommand::StubEngine);
    let stub_service = stub_service::stub_service_parser().map(ToolCommand::StubService);
    let timeline = timeline::timeline_parser().map(ToolCommand::Timeline);
    construct!([
        status,
        get,
        held,
        workspaces,
        control,
        apply,
        claims,
        drain,
        demo,
        experiment,
        key,
        load,
        stub_engine,
        stub_service,
        timeline
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Operates and tries out gullglade")
}

impl ToolCommand {
    /// Runs the command to its end.
    pub fn run(self) -> ExitCode {
        match self {
            Self::Status(command) => command.run(),
            Self::Get(command) => command.run(),
            Self::Held(command) => command.run(),
            Self::Workspaces(command) => command.run(),
            Self::Control(command) => command.run(),
            Self::Claims(command) => command.run(),
            Self::Apply(command) => command.run(),
            Self::Drain(command) => command.run(),
            Self::Demo(command) => command.run(),
            Self::Experiment(command) => command.run(),
            Self::Key(command) => command.run(),
            Self::Load(command) => command.run(),
            Self::StubEngine(command) => command.run(),
            Self::StubService(command) => command.run(),
            Self::Timeline(command) => command.run(),
        }
    }
}
