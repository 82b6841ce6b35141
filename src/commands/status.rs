//! `gladectl status`: the whole deployment on one screen.

use {
    super::{
        configuration::{ToolError, addresses_option},
        operator::{OperatorClient, OperatorError, token_option},
        output::write_out,
        status_screen::screen,
    },
    bpaf::{Parser, construct, long},
    bytes::Bytes,
    futures::future::join_all,
    gullglade_control::ClusterStatus,
    gullglade_node::NodeReport,
    gullglade_units::{RegionName, VmName},
    serde::{Serialize, de::DeserializeOwned},
    std::{collections::BTreeSet, net::SocketAddr, path::PathBuf, process::ExitCode},
};

/// `gladectl status`
#[derive(Debug, Clone)]
pub struct StatusCommand {
    at: Vec<SocketAddr>,
    token_file: Option<PathBuf>,
    json: bool,
}

/// One process that was asked.
#[derive(Debug, Serialize)]
pub(super) struct AskedNode {
    pub(super) address: SocketAddr,
    pub(super) report: Option<NodeReport>,
    pub(super) error: Option<String>,
}

/// The deployment, as far as it can be seen from here.
#[derive(Debug, Serialize)]
pub(super) struct DeploymentStatus {
    pub(super) nodes: Vec<AskedNode>,
    /// What control says, where a control process answers.
    pub(super) control: Option<ClusterStatus>,
    pub(super) control_error: Option<String>,
    /// VMs that others tell of and that did not answer or were not asked.
    pub(super) unseen_vms: BTreeSet<VmName>,
    /// Regions that others tell of and of which no process answers.
    pub(super) unseen_regions: BTreeSet<RegionName>,
}

/// The parser of `gladectl status`.
pub(super) fn status_parser() -> impl Parser<StatusCommand> {
    let at =
        addresses_option("Operators' addresses of all VMs; those that do not answer are named");
    let token_file = token_option();
    let json = long("json").help("Print JSON for programs").switch();
    construct!(StatusCommand { at, token_file, json })
        .to_options()
        .descr("Show the whole deployment, as far as it can be seen from here")
        .command("status")
}

impl StatusCommand {
    /// Prints what answers, and names what does not.
    pub fn run(self) -> ExitCode {
        super::configuration::run(self.show())
    }

    async fn show(&self) -> Result<(), ToolError> {
        let client = OperatorClient::new(self.token_file.clone())?;
        let status = gather(&client, &self.at).await;
        if self.json {
            let text = serde_json::to_string_pretty(&status);
            write_out(&format!("{}\n", text.map_err(|e| ToolError::new(e.to_string()))?));
        } else {
            write_out(&screen(&status));
        }
        match status.nodes.iter().any(|node| node.report.is_some()) {
            true => Ok(()),
            false => Err(ToolError::new(
                "no process answers; check --at, the token, and the way there".to_owned(),
            )),
        }
    }
}

/// Asks everybody at once: a region that is cut off must not delay the others.
async fn gather(client: &OperatorClient, addresses: &[SocketAddr]) -> DeploymentStatus {
    let nodes = join_all(addresses.iter().map(|address| ask(client, *address))).await;
    let (control, control_error) = ask_control(client, &nodes).await;
    let unseen_vms = unseen_vms(&nodes, control.as_ref());
    let unseen_regions = unseen_regions(&nodes, control.as_ref());
    DeploymentStatus { nodes, control, control_error, unseen_vms, unseen_regions }
}

async fn ask(client: &OperatorClient, address: SocketAddr) -> AskedNode {
    match client.get_quickly(address, "/v1/status").await.map_err(|e| e.to_string()).and_then(read)
    {
        Ok(report) => AskedNode { address, report: Some(report), error: None },
        Err(error) => AskedNode { address, report: None, error: Some(error) },
    }
}

/// The newest word of control: each control process that answers is asked, since one that is cut
/// off would show an old state.
async fn ask_control(
    client: &OperatorClient,
    nodes: &[AskedNode],
) -> (Option<ClusterStatus>, Option<String>) {
    let answering = nodes.iter().filter(|node| node.report.is_some());
    let asked = answering.map(|node| client.get_quickly(node.address, "/v1/control/status"));
    let mut newest: Option<ClusterStatus> = None;
    let mut error = None;
    for reply in join_all(asked).await {
        match reply {
            Ok(body) => match read::<ClusterStatus>(body) {
                Ok(status) if newest.as_ref().is_none_or(|n| n.index < status.index) => {
                    newest = Some(status);
                }
                Ok(_) => {}
                Err(reason) => error = Some(reason),
            },
            Err(OperatorError::Refused { status, .. }) if status == http::StatusCode::NOT_FOUND => {
            }
            Err(reason) => error = Some(reason.to_string()),
        }
    }
    match newest {
        Some(status) => (Some(status), None),
        None => {
            let none = || "none of the processes that answer has the control role".to_owned();
            (None, Some(error.unwrap_or_else(none)))
        }
    }
}

fn read<T: DeserializeOwned>(body: Bytes) -> Result<T, String> {
    let version = "is gladectl the same version?";
    serde_json::from_slice(&body)
        .map_err(|e| format!("the reply is not understood: {e}; {version}"))
}

fn reports(nodes: &[AskedNode]) -> impl Iterator<Item = &NodeReport> {
    nodes.iter().filter_map(|node| node.report.as_ref())
}

fn unseen_vms(nodes: &[AskedNode], control: Option<&ClusterStatus>) -> BTreeSet<VmName> {
    let told = reports(nodes).flat_map(|report| &report.members);
    let replicas = control.into_iter().flat_map(|c| c.replicas.iter().map(|row| &row.vm));
    let members = control.into_iter().flat_map(|c| c.members.iter().map(|row| &row.member.vm));
    let all: BTreeSet<VmName> = told.chain(replicas).chain(members).cloned().collect();
    let seen: BTreeSet<VmName> = reports(nodes).map(|report| report.vm.clone()).collect();
    all.difference(&seen).cloned().collect()
}

fn unseen_regions(nodes: &[AskedNode], control: Option<&ClusterStatus>) -> BTreeSet<RegionName> {
    let told = reports(nodes).flat_map(|report| report.regions.iter().map(|r| &r.region));
    let replicas = control.into_iter().flat_map(|c| c.replicas.iter().map(|row| &row.region));
    let members = control.into_iter().flat_map(|c| c.members.iter().map(|row| &row.member.region));
    let all: BTreeSet<RegionName> = told.chain(replicas).chain(members).cloned().collect();
    let seen: BTreeSet<RegionName> = reports(nodes).map(|report| report.region.clone()).collect();
    all.difference(&seen).cloned().collect()
}
