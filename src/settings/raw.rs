//! Settings as given: one flag and one environment variable each, not yet checked.

use {
    bpaf::{Parser, construct, long},
    std::path::PathBuf,
};

/// The settings as given.
#[derive(Debug, Clone)]
pub struct RawSettings {
    /// `--name`
    pub name: String,
    /// `--region`
    pub region: String,
    /// `--failure-domain`
    pub failure_domain: String,
    /// `--cluster`
    pub cluster: String,
    /// `--roles`
    pub roles: String,
    /// `--caller-address`
    pub caller_address: String,
    /// `--operator-address`
    pub operator_address: String,
    /// `--peer-address`
    pub peer_address: String,
    /// `--peers`
    pub peers: Option<String>,
    /// `--voters`
    pub voters: Option<String>,
    /// `--documents`
    pub documents: Option<PathBuf>,
    /// `--data-dir`
    pub data_dir: Option<PathBuf>,
    /// `--peer-secret-file`
    pub peer_secret_file: PathBuf,
    /// `--operator-token-file`
    pub operator_token_file: PathBuf,
    /// `--drain-limit-ms`
    pub drain_limit_ms: u64,
    /// `--clock-error-ms`
    pub clock_error_ms: u64,
    /// `--connection-limit`
    pub connection_limit: usize,
    /// `--per-address-limit`
    pub per_address_limit: usize,
    /// `--log`
    pub log: String,
    /// `--log-dir`
    pub log_dir: Option<PathBuf>,
    /// `--check`
    pub check: bool,
}

/// The parser of [`RawSettings`]. A flag goes before its environment variable.
pub fn settings_parser() -> impl Parser<RawSettings> {
    let name = long("name")
        .env("GULLGLADE_NAME")
        .help("Name of this VM, different from every other VM's")
        .argument::<String>("NAME");
    let region = long("region")
        .env("GULLGLADE_REGION")
        .help("Region this VM stands in")
        .argument::<String>("REGION");
    let failure_domain = long("failure-domain")
        .env("GULLGLADE_FAILURE_DOMAIN")
        .help("Failure domain this VM stands in")
        .argument::<String>("DOMAIN");
    let cluster = long("cluster")
        .env("GULLGLADE_CLUSTER")
        .help("Name of the deployment; processes of another one are refused")
        .argument::<String>("NAME")
        .fallback("gullglade".to_owned())
        .display_fallback();
    let roles = long("roles")
        .env("GULLGLADE_ROLES")
        .help("What this process does: gateway, control, or both")
        .argument::<String>("ROLE,ROLE")
        .fallback("gateway".to_owned())
        .display_fallback();
    let caller_address = long("caller-address")
        .env("GULLGLADE_CALLER_ADDRESS")
        .help("Address for callers and backend servers; port 0 lets the system choose")
        .argument::<String>("IP:PORT")
        .fallback("127.0.0.1:8080".to_owned())
        .display_fallback();
    let operator_address = long("operator-address")
        .env("GULLGLADE_OPERATOR_ADDRESS")
        .help("Address for operators: health, metrics, status, changes")
        .argument::<String>("IP:PORT")
        .fallback("127.0.0.1:8081".to_owned())
        .display_fallback();
    let peer_address = long("peer-address")
        .env("GULLGLADE_PEER_ADDRESS")
        .help("Address for the other processes of the system; they must be able to reach it")
        .argument::<String>("IP:PORT")
        .fallback("127.0.0.1:8082".to_owned())
        .display_fallback();
    let peers = long("peers")
        .env("GULLGLADE_PEERS")
        .help("Peer addresses of some other VMs; the rest is learned from them")
        .argument::<String>("IP:PORT,...")
        .optional();
    let voters = long("voters")
        .env("GULLGLADE_VOTERS")
        .help("First control voters, the same list on every VM")
        .argument::<String>("NAME=IP:PORT,...")
        .optional();
    let documents = long("documents")
        .env("GULLGLADE_DOCUMENTS")
        .help("Folder of service documents, for a deployment without control processes")
        .argument::<PathBuf>("DIR")
        .optional();
    let data_dir = long("data-dir")
        .env("GULLGLADE_DATA_DIR")
        .help("Data folder of a control process, on a disk")
        .argument::<PathBuf>("DIR")
        .optional();
    let peer_secret_file = long("peer-secret-file")
        .env("GULLGLADE_PEER_SECRET_FILE")
        .help("File with the secret that the processes of the system share")
        .argument::<PathBuf>("FILE");
    let operator_token_file = long("operator-token-file")
        .env("GULLGLADE_OPERATOR_TOKEN_FILE")
        .help("File with the operators' bearer token")
        .argument::<PathBuf>("FILE");
    let drain_limit_ms = long("drain-limit-ms")
        .env("GULLGLADE_DRAIN_LIMIT_MS")
        .help("Longest wait for requests in progress at a graceful shutdown")
        .argument::<u64>("MS")
        .fallback(120_000)
        .display_fallback();
    let clock_error_ms = long("clock-error-ms")
        .env("GULLGLADE_CLOCK_ERROR_MS")
        .help("The most by which any VM's clock is wrong, the same on every VM")
        .argument::<u64>("MS")
        .fallback(5_000)
        .display_fallback();
    let connection_limit = long("connection-limit")
        .env("GULLGLADE_CONNECTION_LIMIT")
        .help("Most caller connections at a time")
        .argument::<usize>("N")
        .fallback(20_000)
        .display_fallback();
    let per_address_limit = long("per-address-limit")
        .env("GULLGLADE_PER_ADDRESS_LIMIT")
        .help("Most caller connections from one IP address, where a whole site may stand behind")
        .argument::<usize>("N")
        .fallback(4_000)
        .display_fallback();
    let log = long("log")
        .env("GULLGLADE_LOG")
        .help("Log level, or levels by module, such as info,request=warn")
        .argument::<String>("SPEC")
        .fallback("info".to_owned())
        .display_fallback();
    let log_dir = long("log-dir")
        .env("GULLGLADE_LOG_DIR")
        .help("Folder for rotated log files; by default the log goes to standard error")
        .argument::<PathBuf>("DIR")
        .optional();
    let check = long("check").help("Check the settings, print them and exit").switch();
    construct!(RawSettings {
        name,
        region,
        failure_domain,
        cluster,
        roles,
        caller_address,
        operator_address,
        peer_address,
        peers,
        voters,
        documents,
        data_dir,
        peer_secret_file,
        operator_token_file,
        drain_limit_ms,
        clock_error_ms,
        connection_limit,
        per_address_limit,
        log,
        log_dir,
        check,
    })
}
