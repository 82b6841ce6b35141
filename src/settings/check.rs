//! The checks that turn settings as given into settings to act on.

use {
    super::{RawSettings, SettingError},
    gullglade_event::{LogOutput, LogSettings},
    gullglade_peer::PeerSecret,
    gullglade_units::{ClusterName, FailureDomain, NameError, RegionName, VmName},
    std::{
        collections::BTreeSet,
        fmt::Display,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        str::FromStr,
        time::Duration,
    },
};

/// The fewest characters of a secret; shorter ones are guessed.
const MIN_SECRET_CHARS: usize = 16;

/// The largest error of clocks that is accepted.
const MAX_CLOCK_ERROR_MS: u64 = 60_000;

/// The numbers of voters that make sense: each survives one failure more than the one before.
const VOTER_COUNTS: [usize; 3] = [1, 3, 5];

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Serves callers.
    Gateway,
    /// Keeps the replicated configuration.
    Control,
}

/// Settings of a control process.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The data folder.
    pub data_dir: PathBuf,
}

/// The checked settings of a process.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// Name of this VM.
    pub name: VmName,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Name of the deployment.
    pub cluster: ClusterName,
    /// Whether it serves callers.
    pub gateway: bool,
    /// Present where it keeps the configuration.
    pub control: Option<ControlSettings>,
    /// Address for callers and backend servers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for the other processes.
    pub peer_address: SocketAddr,
    /// Addresses of some other processes.
    pub peers: Vec<SocketAddr>,
    /// The first control voters.
    pub voters: Vec<(VmName, SocketAddr)>,
    /// Folder of fixed documents, where there are no control processes.
    pub documents: Option<PathBuf>,
    /// The secret that processes share.
    pub peer_secret: PeerSecret,
    /// The operators' bearer token.
    pub operator_token: String,
    /// Longest wait at a graceful shutdown.
    pub drain_limit: Duration,
    /// The most by which a VM's clock is wrong.
    pub clock_error: Duration,
    /// Most caller connections.
    pub connection_limit: usize,
    /// Most caller connections from one IP address.
    pub per_address_limit: usize,
    /// Log levels and where lines go.
    pub log: LogSettings,
}

impl TryFrom<RawSettings> for ProcessSettings {
    type Error = SettingError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingError> {
        let roles = check_roles(&raw.roles)?;
        let control = check_control(&raw, &roles)?;
        let voters = check_voters(raw.voters.as_deref())?;
        if control.is_some() && voters.is_empty() {
            return Err(SettingError::Conflict {
                flag: "voters",
                reason: "a control process must know the first voters".to_owned(),
                remedy: "give the same NAME=IP:PORT list on every control VM".to_owned(),
            });
        }
        check_documents(&raw, &voters)?;
        check_limit("connection-limit", raw.connection_limit)?;
        check_limit("per-address-limit", raw.per_address_limit)?;
        Ok(Self {
            name: check_name("name", &raw.name)?,
            region: check_name("region", &raw.region)?,
            domain: check_name("failure-domain", &raw.failure_domain)?,
            cluster: check_name("cluster", &raw.cluster)?,
            gateway: roles.contains(&Role::Gateway),
            control,
            caller_address: check_reachable("caller-address", &raw.caller_address)?,
            operator_address: check_address("operator-address", &raw.operator_address)?,
            peer_address: check_reachable("peer-address", &raw.peer_address)?,
            peers: check_addresses("peers", raw.peers.as_deref())?,
            voters,
            documents: raw.documents,
            peer_secret: check_peer_secret(&raw.peer_secret_file)?,
            operator_token: read_secret("operator-token-file", &raw.operator_token_file)?,
            drain_limit: Duration::from_millis(raw.drain_limit_ms),
            clock_error: check_clock_error(raw.clock_error_ms)?,
            connection_limit: raw.connection_limit,
            per_address_limit: raw.per_address_limit,
            log: check_log(&raw.log, raw.log_dir)?,
        })
    }
}

fn check_limit(flag: &'static str, connections: usize) -> Result<(), SettingError> {
    match connections {
        0 => Err(bad_value(flag, "0", "no caller could connect", "give 1 or more")),
        _ => Ok(()),
    }
}

fn check_clock_error(millis: u64) -> Result<Duration, SettingError> {
    match millis {
        0..=MAX_CLOCK_ERROR_MS => Ok(Duration::from_millis(millis)),
        _ => Err(bad_value(
            "clock-error-ms",
            &millis.to_string(),
            "after a restart no order would be taken for twice this long",
            format_args!("synchronize the clocks and give {MAX_CLOCK_ERROR_MS} or less"),
        )),
    }
}

fn bad_value(
    flag: &'static str,
    value: &str,
    reason: impl Display,
    remedy: impl Display,
) -> SettingError {
    SettingError::BadValue {
        flag,
        value: value.to_owned(),
        reason: reason.to_string(),
        remedy: remedy.to_string(),
    }
}

fn check_name<N>(flag: &'static str, value: &str) -> Result<N, SettingError>
where
    N: for<'a> TryFrom<&'a str, Error = NameError>,
{
    N::try_from(value).map_err(|e| bad_value(flag, value, e, "it names this VM to the others"))
}

fn check_roles(value: &str) -> Result<BTreeSet<Role>, SettingError> {
    value
        .split(',')
        .map(|role| match role.trim() {
            "gateway" => Ok(Role::Gateway),
            "control" => Ok(Role::Control),
            other => Err(bad_value(
                "roles",
                value,
                format_args!("{other:?} is not a role"),
                "give gateway, control, or gateway,control",
            )),
        })
        .collect()
}

fn check_control(
    raw: &RawSettings,
    roles: &BTreeSet<Role>,
) -> Result<Option<ControlSettings>, SettingError> {
    match (roles.contains(&Role::Control), &raw.data_dir) {
        (true, Some(data_dir)) => Ok(Some(ControlSettings { data_dir: data_dir.clone() })),
        (false, None) => Ok(None),
        (true, None) => Err(SettingError::Conflict {
            flag: "data-dir",
            reason: "the control role keeps state on a disk".to_owned(),
            remedy: "name a folder on a disk, or leave control out of --roles".to_owned(),
        }),
        (false, Some(_)) => Err(SettingError::Conflict {
            flag: "data-dir",
            reason: "a gateway keeps nothing on a disk".to_owned(),
            remedy: "add control to --roles, or leave --data-dir out".to_owned(),
        }),
    }
}

fn check_log(levels: &str, folder: Option<PathBuf>) -> Result<LogSettings, SettingError> {
    let log = LogSettings::from_str(levels)
        .map_err(|e| bad_value("log", levels, e, "write it as info,request=warn"))?;
    Ok(match folder {
        Some(folder) => log.output(LogOutput::Folder(folder)),
        None => log,
    })
}

fn check_documents(raw: &RawSettings, voters: &[(VmName, SocketAddr)]) -> Result<(), SettingError> {
    match (&raw.documents, voters) {
        (Some(_), [_, ..]) => Err(SettingError::Conflict {
            flag: "documents",
            reason: "with control processes the configuration comes from them".to_owned(),
            remedy: "leave --documents out and use `gladectl apply`, or leave --voters out"
                .to_owned(),
        }),
        (None, []) => Err(SettingError::Conflict {
            flag: "voters",
            reason: "the gateway would have no configuration to serve".to_owned(),
            remedy: "give --voters, or --documents for a deployment without control processes"
                .to_owned(),
        }),
        _ => Ok(()),
    }
}

fn check_peer_secret(path: &Path) -> Result<PeerSecret, SettingError> {
    let text = read_secret("peer-secret-file", path)?;
    PeerSecret::try_from(text.as_str()).map_err(|e| {
        bad_value("peer-secret-file", &path.display().to_string(), e, "write a longer secret")
    })
}

fn check_address(flag: &'static str, value: &str) -> Result<SocketAddr, SettingError> {
    value.trim().parse().map_err(|_| {
        bad_value(flag, value, "not an IP number and a port", "write it as 10.0.0.7:8080")
    })
}

fn check_reachable(flag: &'static str, value: &str) -> Result<SocketAddr, SettingError> {
    let address = check_address(flag, value)?;
    if address.ip().is_unspecified() {
        return Err(bad_value(
            flag,
            value,
            "others are told this address and cannot reach it",
            "give the IP number by which they reach this VM",
        ));
    }
    Ok(address)
}

fn check_addresses(
    flag: &'static str,
    list: Option<&str>,
) -> Result<Vec<SocketAddr>, SettingError> {
    list.unwrap_or_default()
        .split(',')
        .filter(|text| !text.trim().is_empty())
        .map(|text| check_address(flag, text))
        .collect()
}

fn check_voters(list: Option<&str>) -> Result<Vec<(VmName, SocketAddr)>, SettingError> {
    let Some(list) = list else { return Ok(Vec::new()) };
    let voters = list.split(',').map(check_voter).collect::<Result<Vec<_>, _>>()?;
    let names: BTreeSet<_> = voters.iter().map(|(name, _)| name).collect();
    if names.len() < voters.len() {
        return Err(bad_value("voters", list, "a name stands twice", "name each voter once"));
    }
    if !VOTER_COUNTS.contains(&voters.len()) {
        let reason = format!("{} voters survive no more failures than one fewer", voters.len());
        return Err(bad_value("voters", list, reason, "give 1, 3 or 5 voters"));
    }
    Ok(voters)
}

fn check_voter(text: &str) -> Result<(VmName, SocketAddr), SettingError> {
    let Some((name, address)) = text.trim().split_once('=') else {
        return Err(bad_value(
            "voters",
            text,
            "not NAME=IP:PORT",
            "write it as vm-1=10.0.0.7:8082",
        ));
    };
    Ok((check_name("voters", name)?, check_address("voters", address)?))
}

fn read_secret(flag: &'static str, path: &Path) -> Result<String, SettingError> {
    let text = fs::read_to_string(path).map_err(|source| SettingError::Unreadable {
        flag,
        path: path.to_owned(),
        source,
    })?;
    let secret = text.trim();
    let printable = secret.bytes().all(|b| b.is_ascii_graphic());
    if secret.len() >= MIN_SECRET_CHARS && printable {
        return Ok(secret.to_owned());
    }
    Err(bad_value(
        flag,
        &path.display().to_string(),
        format_args!("holds {} characters, or characters that are not printable", secret.len()),
        format_args!("write {MIN_SECRET_CHARS} or more printable characters: `gladectl key token`"),
    ))
}
