//! `gladectl drain`: takes a gateway or a backend server out of use, and shows the progress.

use {
    super::{
        configuration::{ToolError, addresses_option},
        operator::{OperatorClient, token_option},
    },
    bpaf::{Parser, construct, long},
    bytes::Bytes,
    gullglade_node::{BackendReport, NodeReport},
    gullglade_units::{BackendName, Clock, ProcessContext},
    http::Method,
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration},
};

/// How often the progress is looked at.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// How long it is waited for, where the operator does not say.
const DEFAULT_LIMIT_S: u64 = 600;

/// What is to be drained. One gateway at a time and always by name: the addresses of all VMs may
/// stand in an environment variable, and nobody means to drain them all.
#[derive(Debug, Clone)]
enum DrainTarget {
    Gateway { gateway: SocketAddr },
    Backend { backend: BackendName, at: Vec<SocketAddr> },
}

/// `gladectl drain`
#[derive(Debug, Clone)]
pub struct DrainCommand {
    target: DrainTarget,
    token_file: Option<PathBuf>,
    limit_s: u64,
}

/// The parser of `gladectl drain`.
pub(super) fn drain_parser() -> impl Parser<DrainCommand> {
    let gateway = long("gateway")
        .help("Operators' address of the gateway to drain")
        .argument::<SocketAddr>("IP:PORT");
    let gateway = construct!(DrainTarget::Gateway { gateway });
    let backend = long("backend")
        .help("Backend server to drain, this run of it in its whole region")
        .argument::<BackendName>("NAME");
    let at = addresses_option("Operators' addresses, some of them in the backend server's region");
    let backend = construct!(DrainTarget::Backend { backend, at });
    let target = construct!([gateway, backend]);
    let token_file = token_option();
    let limit_s = long("limit-s")
        .help("Seconds to wait for the last request")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_LIMIT_S)
        .display_fallback();
    construct!(DrainCommand { target, token_file, limit_s })
        .to_options()
        .descr("Give a gateway or a backend server no new work and wait for the last request")
        .command("drain")
}

impl DrainCommand {
    /// Drains and waits.
    pub fn run(self) -> ExitCode {
        super::configuration::run(self.drain())
    }

    async fn drain(&self) -> Result<(), ToolError> {
        let client = OperatorClient::new(self.token_file.clone())?;
        match &self.target {
            DrainTarget::Gateway { gateway } => self.drain_gateway(&client, *gateway).await,
            DrainTarget::Backend { backend, at } => self.drain_backend(&client, at, backend).await,
        }
    }

    async fn drain_gateway(
        &self,
        client: &OperatorClient,
        address: SocketAddr,
    ) -> Result<(), ToolError> {
        client.call(address, Method::POST, "/v1/drain", Bytes::new()).await?;
        self.wait(async || {
            let report: NodeReport = read(client.get(address, "/v1/status").await?)?;
            println!("{}: {} requests in progress", report.vm, report.open_requests);
            Ok(report.open_requests == 0)
        })
        .await
    }

    /// Orders it at the first gateway that knows the backend server; those of its region tell each
    /// other.
    async fn drain_backend(
        &self,
        client: &OperatorClient,
        at: &[SocketAddr],
        backend: &BackendName,
    ) -> Result<(), ToolError> {
        let path = format!("/v1/backends/{backend}/drain");
        let mut refusal = None;
        for address in at {
            match client.call(*address, Method::POST, &path, Bytes::new()).await {
                Ok(body) => {
                    let report: BackendReport = read(body)?;
                    println!("{backend}: {}", report.health);
                    return self.wait_for_backend(client, *address, backend).await;
                }
                Err(error) => refusal = Some(error),
            }
        }
        Err(refusal.map_or_else(|| ToolError::new("--at names nobody".to_owned()), Into::into))
    }

    async fn wait_for_backend(
        &self,
        client: &OperatorClient,
        address: SocketAddr,
        backend: &BackendName,
    ) -> Result<(), ToolError> {
        self.wait(async || {
            let report: NodeReport = read(client.get(address, "/v1/status").await?)?;
            let Some(row) = report.backends.into_iter().find(|row| row.name == *backend) else {
                println!("{backend}: forgotten");
                return Ok(true);
            };
            println!("{backend}: {}, {} running, {} waiting", row.health, row.running, row.waiting);
            Ok(row.running + row.waiting == 0)
        })
        .await
    }

    /// Looks until `is_done`, or fails when the limit has passed.
    async fn wait(
        &self,
        mut is_done: impl AsyncFnMut() -> Result<bool, ToolError>,
    ) -> Result<(), ToolError> {
        let clock = ProcessContext::system().clock;
        let end = clock.now() + Duration::from_secs(self.limit_s);
        while !is_done().await? {
            if clock.now() >= end {
                return Err(ToolError::new(format!(
                    "requests are still in progress after {} s; it takes no new work, so wait \
                     longer with a higher --limit-s, or stop it and cut them off",
                    self.limit_s
                )));
            }
            sleep(&*clock).await;
        }
        Ok(())
    }
}

async fn sleep(clock: &dyn Clock) {
    clock.sleep(LOOK_EVERY).await;
}

fn read<T: DeserializeOwned>(body: Bytes) -> Result<T, ToolError> {
    serde_json::from_slice(&body).map_err(|e| {
        ToolError::new(format!("the reply is not understood: {e}; is gladectl the same version?"))
    })
}
