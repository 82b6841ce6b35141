//! `gladectl control`: the control processes themselves.

use {
    super::configuration::{ControlClient, ToolError, control_options},
    bpaf::{Parser, construct, long},
    gullglade_node::ReplaceVoterRequest,
    gullglade_units::VmName,
    std::{net::SocketAddr, path::PathBuf, process::ExitCode},
};

/// `gladectl control`
#[derive(Debug, Clone)]
pub enum ControlCommand {
    /// `gladectl control replace`
    Replace {
        /// The VM of the voter to be replaced.
        vm: VmName,
        /// Peer address of the control process that takes its place.
        by: SocketAddr,
        /// Operators' addresses.
        at: Vec<SocketAddr>,
        /// The operators' token.
        token_file: Option<PathBuf>,
    },
}

/// The parser of `gladectl control`.
pub(super) fn control_parser() -> impl Parser<ControlCommand> {
    let vm = long("vm")
        .help("VM of the voter that is gone, or whose disk is")
        .argument::<VmName>("NAME");
    let by = long("by")
        .help("Peer address of a control process with an empty data folder")
        .argument::<SocketAddr>("IP:PORT");
    let (at, token_file) = control_options();
    let replace = construct!(ControlCommand::Replace { vm, by, at, token_file })
        .to_options()
        .descr("Replace a control voter; the new one counts once it has caught up")
        .command("replace");
    construct!([replace]).to_options().descr("Operate the control processes").command("control")
}

impl ControlCommand {
    /// Carries out the order.
    pub fn run(self) -> ExitCode {
        super::configuration::run(self.send())
    }

    async fn send(&self) -> Result<(), ToolError> {
        let Self::Replace { vm, by, at, token_file } = self;
        let client = ControlClient::new(at.clone(), token_file.clone())?;
        let order = ReplaceVoterRequest { old: vm.clone(), address: *by };
        let _: ReplaceVoterRequest = client.post("/v1/control/replace", &order).await?;
        println!("begun: {vm} is replaced by {by} once that has caught up; see `gladectl status`");
        Ok(())
    }
}
