//! `gladectl apply`: changes one service's document.

use {
    super::configuration::{ControlClient, ToolError, control_options},
    bpaf::{Parser, construct, long, positional},
    gullglade_control::{AcceptedChange, ChangeRequest, ClusterStatus, DocumentVersion},
    gullglade_document::ServiceDocument,
    gullglade_units::{ChangeId, ProcessContext, RegionName},
    std::{
        collections::BTreeMap, fs, net::SocketAddr, path::PathBuf, process::ExitCode,
        time::Duration,
    },
};

/// How long `--wait` waits.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// How often `--wait` looks.
const WAIT_PAUSE: Duration = Duration::from_millis(200);

/// A gateway not heard of for this long is not waited for: it may be gone.
const SILENT_AFTER_MS: u64 = 30_000;

/// `gladectl apply`
#[derive(Debug, Clone)]
pub struct ApplyCommand {
    base: Option<DocumentVersion>,
    change_id: Option<String>,
    author: String,
    wait: bool,
    at: Vec<SocketAddr>,
    token_file: Option<PathBuf>,
    file: PathBuf,
}

/// The parser of `gladectl apply`.
pub(super) fn apply_parser() -> impl Parser<ApplyCommand> {
    let base = long("base")
        .help("Version that the change was made from; by default the one that stands now")
        .argument::<DocumentVersion>("VERSION")
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
    let wait = long("wait").help("Wait until it is in force, and say so region by region").switch();
    let (at, token_file) = control_options();
    let file = positional::<PathBuf>("FILE").help("The service's document, TOML or JSON");
    construct!(ApplyCommand { base, change_id, author, wait, at, token_file, file })
        .to_options()
        .descr("Change one service's document in every region")
        .command("apply")
}

impl ApplyCommand {
    /// Sends the change until its outcome is known, and prints that.
    pub fn run(self) -> ExitCode {
        super::configuration::run(self.apply())
    }

    async fn apply(&self) -> Result<(), ToolError> {
        let client = ControlClient::new(self.at.clone(), self.token_file.clone())?;
        let request = self.request(&client).await?;
        println!("change {} of {} from version {}", request.id, request.service, request.base);
        let change: AcceptedChange = client.post("/v1/changes", &request).await?;
        println!(
            "accepted: {} version {} at index {}",
            change.service, change.version, change.index.0
        );
        if self.wait { wait_in_force(&client, &change).await } else { Ok(()) }
    }

    async fn request(&self, client: &ControlClient) -> Result<ChangeRequest, ToolError> {
        let text = fs::read_to_string(&self.file)
            .map_err(|e| ToolError::new(format!("{}: {e}", self.file.display())))?;
        let document = ServiceDocument::try_from(text.as_str())
            .map_err(|e| ToolError::new(format!("{}: {e}", self.file.display())))?;
        let id = match &self.change_id {
            Some(id) => {
                ChangeId::try_from(id.clone()).map_err(|e| ToolError::new(e.to_string()))?
            }
            None => ChangeId::new(&ProcessContext::system()),
        };
        let base = match self.base {
            Some(base) => base,
            None => client.version(&document.name).await?,
        };
        let author = self.author.clone();
        let text = Some(text.into());
        Ok(ChangeRequest { id, service: document.name, base, text, author })
    }
}

/// Waits until every gateway that is heard of has the change in force.
async fn wait_in_force(client: &ControlClient, change: &AcceptedChange) -> Result<(), ToolError> {
    let clock = ProcessContext::system().clock;
    let limit = clock.now() + WAIT_LIMIT;
    let mut told = BTreeMap::new();
    loop {
        let status: ClusterStatus = client.get("/v1/control/status").await?;
        let regions = count_regions(&status, change);
        for (region, (done, all)) in regions.iter().filter(|(_, (done, all))| done == all) {
            if told.insert(region.clone(), *all) != Some(*all) {
                println!("in force in {region}: {done} of {all} gateways");
            }
        }
        if regions.values().all(|(done, all)| done == all) {
            return Ok(());
        }
        if clock.now() >= limit {
            return Err(ToolError::new(behind(&regions)));
        }
        clock.sleep(WAIT_PAUSE).await;
    }
}

/// For each region, how many of its gateways have the change in force, and how many there are.
type RegionCount = BTreeMap<RegionName, (usize, usize)>;

fn count_regions(status: &ClusterStatus, change: &AcceptedChange) -> RegionCount {
    let mut regions = RegionCount::new();
    for row in status.replicas.iter().filter(|r| r.heard_ms < SILENT_AFTER_MS) {
        let (done, all) = regions.entry(row.region.clone()).or_default();
        *done += usize::from(row.applied >= Some(change.index));
        *all += 1;
    }
    regions
}

fn behind(regions: &RegionCount) -> String {
    let late = regions.iter().filter(|(_, (done, all))| done < all);
    let late: Vec<_> = late.map(|(r, (done, all))| format!("{r} ({done} of {all})")).collect();
    format!(
        "accepted, but after {WAIT_LIMIT:?} not yet in force in {}; the region may be cut off: it \
         follows once it is reached, see `gladectl status`",
        late.join(", ")
    )
}
