//! A caller: a plain HTTP client with a token.

use {
    crate::DemoError,
    bytes::Bytes,
    gullglade_http::{ClientConfig, ClientReply, HttpClient, PooledClient},
    gullglade_units::ProcessContext,
    http::{
        HeaderMap, Method, Request, StatusCode,
        header::{AUTHORIZATION, CONTENT_TYPE},
    },
    std::{net::SocketAddr, rc::Rc},
};

const CHAT_PATH: &str = "/v1/chat/completions";

/// Tokens of the answers to [`CallerClient::chat`].
const SHORT_ANSWER: u64 = 8;

/// Sends requests with one workspace's token.
#[derive(Clone)]
pub struct CallerClient {
    client: Rc<PooledClient>,
    token: String,
}

/// A whole reply.
#[derive(Clone, Debug)]
pub struct CallerReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, as far as it came.
    pub body: Bytes,
    /// Whether its end was seen.
    pub whole: bool,
}

impl CallerReply {
    /// The `gullglade-run` header.
    pub fn run(&self) -> Option<&str> {
        self.headers.get("gullglade-run").and_then(|value| value.to_str().ok())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl CallerClient {
    /// A caller with `token`. To be made inside a monoio runtime.
    pub fn new(token: impl Into<String>) -> Self {
        let client = PooledClient::new(ClientConfig::new(), ProcessContext::system());
        Self { client: Rc::new(client), token: token.into() }
    }

    /// Sends a request and reads the reply as far as it comes.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> Result<CallerReply, DemoError> {
        Ok(read_reply(self.open(address, method, path, key, body).await?).await)
    }

    /// Sends a request and waits for the head of the reply.
    pub async fn open(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> Result<ClientReply, DemoError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let failed = |reason: String| DemoError::Call { what: path.to_owned(), reason };
        let request = request.body(body.into()).map_err(|e| failed(e.to_string()))?;
        self.client.send(address, request).await.map_err(|e| failed(e.to_string()))
    }

    /// Asks for a streamed chat completion of `tokens` tokens and waits for its head.
    pub async fn open_chat(
        &self,
        address: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u64,
    ) -> Result<ClientReply, DemoError> {
        let body = chat_body(model, prompt, true, tokens);
        self.open(address, Method::POST, CHAT_PATH, None, body).await
    }

    /// Asks for a chat completion.
    pub async fn chat(
        &self,
        address: SocketAddr,
        model: &str,
        prompt: &str,
        streamed: bool,
    ) -> Result<CallerReply, DemoError> {
        let body = chat_body(model, prompt, streamed, SHORT_ANSWER);
        self.send(address, Method::POST, CHAT_PATH, None, body).await
    }
}

/// Reads a reply as far as it comes.
pub async fn read_reply(mut reply: ClientReply) -> CallerReply {
    let mut body = Vec::new();
    let whole = loop {
        match reply.body.next().await {
            Some(Ok(piece)) => body.extend_from_slice(&piece),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    let (status, headers) = (reply.head.status, reply.head.headers);
    CallerReply { status, headers, body: Bytes::from(body), whole }
}

fn chat_body(model: &str, prompt: &str, streamed: bool, tokens: u64) -> String {
    serde_json::json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "stream": streamed,
        "max_tokens": tokens,
    })
    .to_string()
}
