//! `gladectl workspaces`: the workspaces of the configuration in force.

use {
    super::{
        configuration::{ToolError, addresses_option},
        operator::{OperatorClient, token_option},
    },
    bpaf::{Parser, construct},
    gullglade_node::WorkspaceRow,
    std::{net::SocketAddr, path::PathBuf, process::ExitCode},
};

/// Where control processes serve the list.
const PATH: &str = "/v1/workspaces";

/// `gladectl workspaces`
#[derive(Debug, Clone)]
pub struct WorkspacesCommand {
    at: Vec<SocketAddr>,
    token_file: Option<PathBuf>,
}

/// The parser of `gladectl workspaces`.
pub(super) fn workspaces_parser() -> impl Parser<WorkspacesCommand> {
    let at = addresses_option("Control addresses of some control processes");
    let token_file = token_option();
    construct!(WorkspacesCommand { at, token_file })
        .to_options()
        .descr("List the workspaces that callers have keys of, with their quotas")
        .command("workspaces")
}

impl WorkspacesCommand {
    /// Lists them, as the first control process that answers has them.
    pub fn run(self) -> ExitCode {
        super::configuration::run(self.list())
    }

    async fn list(&self) -> Result<(), ToolError> {
        let client = OperatorClient::new(self.token_file.clone())?;
        let mut refusal = ToolError::new("no control address was given; name one with --at");
        for address in &self.at {
            let body = match client.get(*address, PATH).await {
                Ok(body) => body,
                Err(error) => {
                    refusal = ToolError::from(error);
                    continue;
                }
            };
            let rows: Vec<WorkspaceRow> = serde_json::from_slice(&body).map_err(|e| {
                let hint = "is it a control address, and gladectl the same version?";
                ToolError::new(format!("the reply of {address} is not understood: {e}; {hint}"))
            })?;
            rows.iter().for_each(|row| println!("{}", line(row)));
            return Ok(());
        }
        Err(refusal)
    }
}

fn line(row: &WorkspaceRow) -> String {
    let priority = row.priority.map_or("its routes'".to_owned(), |priority| priority.to_string());
    let homes = match row.homes.is_empty() {
        true => "anywhere".to_owned(),
        false => row.homes.join(","),
    };
    let quota = match (row.rate, row.burst) {
        (Some(rate), Some(burst)) => format!("{rate} {}/s and {burst} at once", row.unit),
        _ => "no limit".to_owned(),
    };
    let WorkspaceRow { name, version, keys, .. } = row;
    let keys = keys.join(",");
    format!("{name} version {version} priority {priority} homes {homes} quota {quota} keys {keys}")
}
