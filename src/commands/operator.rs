//! Calls of `gladectl` to the operators' ports of processes.

use {
    bpaf::{Parser, long},
    bytes::Bytes,
    gullglade_http::{BodyError, ClientConfig, ClientError, HeadTimeout, HttpClient, PooledClient},
    gullglade_units::ProcessContext,
    http::{Method, Request, StatusCode, header},
    monoio::{LegacyDriver, RuntimeBuilder},
    snafu::{ResultExt, Snafu},
    std::{future::Future, io, net::SocketAddr, path::PathBuf, time::Duration},
};

/// The longest wait for a connection; a region that is cut off answers never.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest wait for the head of a reply.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest wait for the head of a reply that takes no work.
const QUICK_TIMEOUT: Duration = Duration::from_secs(3);

/// The most bytes of one reply.
const REPLY_LIMIT: usize = 64 << 20;

/// Why a call to an operators' port failed.
#[derive(Debug, Snafu)]
pub(super) enum OperatorError {
    /// The token cannot be read.
    #[snafu(display("--operator-token-file {}: {source}", path.display()))]
    Token {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The runtime cannot start.
    #[snafu(display("the runtime cannot start: {source}; are there file descriptors left?"))]
    Runtime {
        /// The system's reason.
        source: io::Error,
    },
    /// The request cannot be made.
    #[snafu(display("the request cannot be made: {source}; is the token one printable line?"))]
    Request {
        /// What is wrong with it.
        source: http::Error,
    },
    /// No reply came.
    #[snafu(display("{address} does not answer: {source}; is it the operators' address?"))]
    Unreachable {
        /// Where it was sent.
        address: SocketAddr,
        /// What went wrong.
        source: ClientError,
    },
    /// The reply broke off.
    #[snafu(display("the reply of {address} broke off: {source}; try again"))]
    Broken {
        /// Where it was sent.
        address: SocketAddr,
        /// What went wrong.
        source: BodyError,
    },
    /// The process refused.
    #[snafu(display("{address} answered {status}: {text}"))]
    Refused {
        /// Where it was sent.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
        /// The body, with the remedy.
        text: String,
    },
}

/// The option that names the file of the operators' token.
pub(super) fn token_option() -> impl Parser<Option<PathBuf>> {
    long("operator-token-file")
        .env("GULLGLADE_OPERATOR_TOKEN_FILE")
        .help("File with the operators' bearer token")
        .argument::<PathBuf>("FILE")
        .optional()
}

/// Calls operators' ports under the operators' token.
pub(super) struct OperatorClient {
    client: PooledClient,
    token: Option<String>,
}

impl OperatorClient {
    /// A client that shows the token in `token_file`. To be used inside a runtime.
    pub(super) fn new(token_file: Option<PathBuf>) -> Result<Self, OperatorError> {
        let read = |path: PathBuf| std::fs::read_to_string(&path).context(TokenSnafu { path });
        let token = token_file.map(read).transpose()?;
        let config =
            ClientConfig::new().connect_timeout(CONNECT_TIMEOUT).head_timeout(HEAD_TIMEOUT);
        Ok(Self {
            client: PooledClient::new(config, ProcessContext::system()),
            token: token.map(|text| text.trim().to_owned()),
        })
    }

    /// `GET` of `path`; the body of a good reply.
    pub(super) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Bytes, OperatorError> {
        self.call(address, Method::GET, path, Bytes::new()).await
    }

    /// `GET` of a path that is answered at once; a process that hangs is not waited for long.
    pub(super) async fn get_quickly(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Bytes, OperatorError> {
        let mut request = self.request(Method::GET, path, Bytes::new())?;
        request.extensions_mut().insert(HeadTimeout(QUICK_TIMEOUT));
        self.send(address, request).await
    }

    /// Any request; the body of a good reply.
    pub(super) async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, OperatorError> {
        self.send(address, self.request(method, path, body)?).await
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Bytes>, OperatorError> {
        let mut request = Request::builder().method(method).uri(path);
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        request.body(body).context(RequestSnafu)
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Bytes, OperatorError> {
        let reply =
            self.client.send(address, request).await.context(UnreachableSnafu { address })?;
        let status = reply.head.status;
        let body = reply.body.collect(REPLY_LIMIT).await.context(BrokenSnafu { address })?;
        if status.is_success() {
            return Ok(body);
        }
        let text = String::from_utf8_lossy(&body).into_owned();
        RefusedSnafu { address, status, text }.fail()
    }
}

/// Runs a command's work on a runtime of its own.
pub(super) fn run_on_runtime<T>(work: impl Future<Output = T>) -> Result<T, OperatorError> {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().context(RuntimeSnafu)?;
    Ok(runtime.block_on(work))
}
