//! `gladectl claims`: which processes decide each region's non-idempotent requests.

use {
    super::configuration::{ControlClient, ToolError, control_options},
    bpaf::{Parser, construct, long},
    futures::future::join_all,
    gullglade_control::{ClaimMember, ClusterStatus, GroupEpoch, GroupRecord, GroupRequest},
    gullglade_node::ReplicaRow,
    gullglade_units::{ChangeId, ProcessContext, RegionName, VmName},
    std::{net::SocketAddr, path::PathBuf, process::ExitCode, str::FromStr},
};

/// `gladectl claims`
#[derive(Debug, Clone)]
pub enum ClaimsCommand {
    /// `gladectl claims show`
    Show {
        /// Whether every epoch is shown.
        history: bool,
        /// Operators' addresses.
        at: Vec<SocketAddr>,
        /// The operators' token.
        token_file: Option<PathBuf>,
    },
    /// `gladectl claims set`
    Set {
        /// What is to be set.
        order: SetOrder,
        /// Operators' addresses.
        at: Vec<SocketAddr>,
        /// The operators' token.
        token_file: Option<PathBuf>,
    },
}

/// A group as the operator gives it.
#[derive(Debug, Clone)]
pub struct SetOrder {
    region: RegionName,
    members: Vec<MemberOption>,
    retired: Vec<VmName>,
    base: Option<GroupEpoch>,
    change_id: Option<String>,
    author: String,
}

/// One `--member`.
#[derive(Debug, Clone)]
struct MemberOption {
    vm: VmName,
    address: SocketAddr,
}

impl FromStr for MemberOption {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let malformed = || format!("{text:?} is not VM=IP:PORT; write vm-1=10.0.0.7:8082");
        let (vm, address) = text.split_once('=').ok_or_else(malformed)?;
        let vm = VmName::try_from(vm).map_err(|error| error.to_string())?;
        let address = address.parse().map_err(|_| malformed())?;
        Ok(Self { vm, address })
    }
}

/// The parser of `gladectl claims`.
pub(super) fn claims_parser() -> impl Parser<ClaimsCommand> {
    let history = long("history").help("Show every epoch, newest first").switch();
    let (at, token_file) = control_options();
    let show = construct!(ClaimsCommand::Show { history, at, token_file })
        .to_options()
        .descr("Show each region's claim group, and its replicas as far as they answer")
        .command("show");
    let (at, token_file) = control_options();
    let order = order_parser();
    let set = construct!(ClaimsCommand::Set { order, at, token_file })
        .to_options()
        .descr("Set a region's claim group, or change one VM of it")
        .command("set");
    construct!([show, set])
        .to_options()
        .descr("Which processes decide each region's non-idempotent requests")
        .command("claims")
}

fn order_parser() -> impl Parser<SetOrder> {
    let region = long("region")
        .help("Region whose claims the group decides")
        .argument::<RegionName>("REGION");
    let members = long("member")
        .help("VM of the group and its peer address; repeat it, best for three VMs")
        .argument::<MemberOption>("VM=IP:PORT")
        .some("a claim group needs at least one --member");
    let retired = long("retired")
        .help("VM that leaves and is destroyed: nobody waits for it; may be repeated")
        .argument::<VmName>("VM")
        .many();
    let base = long("base")
        .help("Epoch that the change was made from; by default the one that stands now")
        .argument::<GroupEpoch>("EPOCH")
        .optional();
    let change_id = long("change-id")
        .help("Id of the change; give the one that was printed to send a change again")
        .argument::<String>("ID")
        .optional();
    let author = long("author")
        .env("USER")
        .help("Who changes, for the history")
        .argument::<String>("NAME")
        .fallback("operator".to_owned());
    construct!(SetOrder { region, members, retired, base, change_id, author })
}

impl ClaimsCommand {
    /// Carries out the order.
    pub fn run(self) -> ExitCode {
        super::configuration::run(async move {
            match self {
                Self::Show { history, at, token_file } => {
                    let client = ControlClient::new(at, token_file)?;
                    if history { show_history(&client).await } else { show(&client).await }
                }
                Self::Set { order, at, token_file } => {
                    order.send(&ControlClient::new(at, token_file)?).await
                }
            }
        })
    }
}

async fn show_history(client: &ControlClient) -> Result<(), ToolError> {
    let records: Vec<GroupRecord> = client.get("/v1/claims/history").await?;
    records.iter().for_each(print_record);
    Ok(())
}

async fn show(client: &ControlClient) -> Result<(), ToolError> {
    let records: Vec<GroupRecord> = client.get("/v1/claims").await?;
    if records.is_empty() {
        println!("no region has a claim group: requests under an order key are refused");
    }
    let rows = replica_rows(client).await;
    for record in &records {
        print_record(record);
        for member in &record.members {
            println!("  {} in {} at {}: {}", member.vm, member.region, member.address, {
                state_of(&rows, record, &member.vm)
            });
        }
    }
    Ok(())
}

/// The replicas of every address that answers.
async fn replica_rows(client: &ControlClient) -> Vec<ReplicaRow> {
    let asked = client.addresses().iter().map(|address| {
        let address = *address;
        async move { client.get_from::<Vec<ReplicaRow>>(address, "/v1/claims/replicas").await }
    });
    join_all(asked).await.into_iter().flatten().flatten().collect()
}

fn state_of(rows: &[ReplicaRow], record: &GroupRecord, vm: &VmName) -> String {
    let row = rows.iter().find(|row| row.vm == *vm && row.region == record.region);
    match row {
        None => "not seen; give its operators' address in --at too".to_owned(),
        Some(row) if row.epoch == record.epoch => {
            format!("{}, {} claims held", row.state, row.held)
        }
        Some(row) => format!("still at epoch {}", row.epoch),
    }
}

fn print_record(record: &GroupRecord) {
    let members: Vec<_> = record.members.iter().map(|member| member.vm.as_str()).collect();
    println!(
        "{} epoch {} [{}] since {} by {} change {}",
        record.region,
        record.epoch,
        members.join(" "),
        record.created,
        record.author,
        record.id
    );
}

impl SetOrder {
    async fn send(&self, client: &ControlClient) -> Result<(), ToolError> {
        let standing: Vec<GroupRecord> = client.get("/v1/claims").await?;
        let standing = standing.into_iter().find(|record| record.region == self.region);
        let request = self.request(client, standing.as_ref()).await?;
        println!(
            "change {} of the claim group of {} from epoch {}",
            request.id, request.region, request.base
        );
        let record: GroupRecord = client.post("/v1/claims", &request).await?;
        println!("accepted: {} epoch {} at index {}", record.region, record.epoch, record.index.0);
        warn(&record);
        Ok(())
    }

    async fn request(
        &self,
        client: &ControlClient,
        standing: Option<&GroupRecord>,
    ) -> Result<GroupRequest, ToolError> {
        let id = match &self.change_id {
            Some(id) => {
                ChangeId::try_from(id.clone()).map_err(|e| ToolError::new(e.to_string()))?
            }
            None => ChangeId::new(&ProcessContext::system()),
        };
        let status: ClusterStatus = client.get("/v1/control/status").await?;
        let place = |member: &MemberOption| {
            let region = region_of(&member.vm, standing, &status)?;
            Ok(ClaimMember { vm: member.vm.clone(), region, address: member.address })
        };
        Ok(GroupRequest {
            id,
            region: self.region.clone(),
            base: self.base.unwrap_or(standing.map_or(0, |record| record.epoch)),
            members: self.members.iter().map(place).collect::<Result<_, ToolError>>()?,
            retired: self.retired.clone(),
            author: self.author.clone(),
        })
    }
}

/// Where a VM stands, as its process says, or as the group that stands has it.
fn region_of(
    vm: &VmName,
    standing: Option<&GroupRecord>,
    status: &ClusterStatus,
) -> Result<RegionName, ToolError> {
    let told = status.replicas.iter().find(|row| row.vm == *vm).map(|row| &row.region);
    let members = standing.map(|record| record.members.as_slice()).unwrap_or_default();
    let known = members.iter().find(|member| member.vm == *vm).map(|member| &member.region);
    told.or(known).cloned().ok_or_else(|| {
        ToolError::new(format!(
            "no gateway on VM {vm} is heard of; correct the name or start its process first, and \
             see `gladectl status`"
        ))
    })
}

/// What the operator should know about a group that was accepted.
fn warn(record: &GroupRecord) {
    let count = record.members.len();
    if count.is_multiple_of(2) {
        eprintln!(
            "warning: {count} members survive no more losses than {}; three or five are better",
            count - 1
        );
    }
    if count == 1 {
        eprintln!("warning: with one member, orders are refused whenever that VM is away");
    }
    let inside = record.members.iter().filter(|member| member.region == record.region).count();
    if inside < 2 && count > 1 {
        eprintln!(
            "warning: {inside} of the members stand in {}, and only they keep answers: without \
             them a resend is told that the order has run, but not its answer",
            record.region
        );
    }
    let leaves = |vm: &VmName| !record.members.iter().any(|member| member.vm == *vm);
    let leaving = record.previous.iter().map(|member| &member.vm).filter(|vm| leaves(vm));
    for vm in leaving.filter(|vm| !record.retired.contains(vm)) {
        eprintln!(
            "keep {vm} running until `gladectl claims show` calls every replica complete: its \
             claims are copied"
        );
    }
}
