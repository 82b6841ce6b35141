//! What the commands about configuration share: whom to ask, and how errors are shown.

use {
    super::operator::{OperatorClient, OperatorError, run_on_runtime, token_option},
    bpaf::{Parser, long},
    bytes::Bytes,
    gullglade_control::{DocumentVersion, ServiceRecord},
    gullglade_units::ServiceName,
    http::{Method, StatusCode},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    snafu::Snafu,
    std::{future::Future, net::SocketAddr, path::PathBuf, process::ExitCode},
};

/// How often all addresses are tried before a request is given up.
const ROUNDS: usize = 3;

/// Why a command failed, in words for people.
#[derive(Debug, Snafu)]
#[snafu(display("{message}"))]
pub(super) struct ToolError {
    message: String,
}

impl ToolError {
    /// An error of these words.
    pub(super) fn new(message: impl Into<String>) -> Self {
        Self { message: message.into() }
    }
}

impl From<OperatorError> for ToolError {
    fn from(error: OperatorError) -> Self {
        Self::new(error.to_string())
    }
}

/// Runs a command and prints its error.
pub(super) fn run(work: impl Future<Output = Result<(), ToolError>>) -> ExitCode {
    match run_on_runtime(work) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            eprintln!("gladectl: {error}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("gladectl: {error}");
            ExitCode::from(2)
        }
    }
}

/// The options that say whom to ask, and with which token.
pub(super) fn control_options() -> (impl Parser<Vec<SocketAddr>>, impl Parser<Option<PathBuf>>) {
    (addresses_option("Operators' addresses of control VMs; each is tried"), token_option())
}

/// The option that lists operators' addresses.
pub(super) fn addresses_option(help: &'static str) -> impl Parser<Vec<SocketAddr>> {
    long("at")
        .env("GULLGLADE_OPERATOR_ADDRESSES")
        .help(help)
        .argument::<String>("IP:PORT,...")
        .parse(parse_addresses)
}

fn parse_addresses(list: String) -> Result<Vec<SocketAddr>, String> {
    let parse = |text: &str| {
        text.trim().parse().map_err(|_| format!("{text:?} is not IP:PORT; write 10.0.0.7:8081"))
    };
    list.split(',').map(parse).collect()
}

/// Calls whichever control VM answers.
pub(super) struct ControlClient {
    client: OperatorClient,
    addresses: Vec<SocketAddr>,
}

/// The part of an error's body that is shown.
#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorText,
}

#[derive(Deserialize)]
struct ErrorText {
    message: String,
}

impl ControlClient {
    /// A client of the VMs at `addresses`. To be used inside a runtime.
    pub(super) fn new(
        addresses: Vec<SocketAddr>,
        token_file: Option<PathBuf>,
    ) -> Result<Self, ToolError> {
        Ok(Self { client: OperatorClient::new(token_file)?, addresses })
    }

    /// `GET`.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ToolError> {
        let body = self.send(Method::GET, path, Bytes::new()).await?;
        read(&body)
    }

    /// The addresses that are asked.
    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// `GET` from one process.
    pub(super) async fn get_from<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, ToolError> {
        read(&self.client.get(address, path).await.map_err(shown)?)
    }

    /// `POST`. Sent again where no answer comes, so only for requests that may be repeated.
    pub(super) async fn post<Q: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<T, ToolError> {
        let body = serde_json::to_vec(request).map_err(|e| ToolError::new(e.to_string()))?;
        read(&self.send(Method::POST, path, Bytes::from(body)).await?)
    }

    /// The version at which a service stands; 0 where there is none.
    pub(super) async fn version(
        &self,
        service: &ServiceName,
    ) -> Result<DocumentVersion, ToolError> {
        let path = format!("/v1/services/{service}");
        match self.call(Method::GET, &path, Bytes::new()).await {
            Ok(body) => Ok(read::<ServiceRecord>(&body)?.change.version),
            Err(OperatorError::Refused { status: StatusCode::NOT_FOUND, .. }) => Ok(0),
            Err(error) => Err(shown(error)),
        }
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, ToolError> {
        self.call(method, path, body).await.map_err(shown)
    }

    /// Tries each address in turn until one answers for good.
    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, OperatorError> {
        let mut result = Ok(Bytes::new());
        for address in std::iter::repeat_n(&self.addresses, ROUNDS).flatten() {
            result = self.client.call(*address, method.clone(), path, body.clone()).await;
            if !is_worth_trying_again(&result) {
                break;
            }
        }
        result
    }
}

/// No answer, or one that says "not now" or "outcome unknown".
fn is_worth_trying_again(result: &Result<Bytes, OperatorError>) -> bool {
    match result {
        Err(OperatorError::Refused { status, .. }) => {
            matches!(*status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        }
        Err(OperatorError::Unreachable { .. } | OperatorError::Broken { .. }) => true,
        _ => false,
    }
}

/// The message of the process where it sent one.
fn shown(error: OperatorError) -> ToolError {
    if let OperatorError::Refused { text, .. } = &error
        && let Ok(body) = serde_json::from_str::<ErrorBody>(text)
    {
        return ToolError::new(body.error.message);
    }
    ToolError::from(error)
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, ToolError> {
    serde_json::from_slice(body).map_err(|e| {
        ToolError::new(format!("the reply is not understood: {e}; is gladectl the same version?"))
    })
}
