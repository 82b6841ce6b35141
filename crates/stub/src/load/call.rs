//! One call of a caller and what came of it.

use {
    crate::{
        load::{
            arrivals::PlannedCall,
            sse::{EventKind, StreamCheck},
        },
        token::TokenSource,
    },
    bytes::Bytes,
    eventsource_stream::Eventsource,
    futures::StreamExt,
    gullglade_http::{ClientReply, HttpClient, RunState},
    gullglade_units::{Clock, MonotonicTime},
    http::{
        Request, StatusCode,
        header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER},
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

/// The most bytes of an answer that is not streamed.
const ANSWER_LIMIT: usize = 64 << 20;

/// What a caller can say of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Its own answer, whole.
    Whole,
    /// Refused, and stated as not run.
    NotRun,
    /// Failed, and it may have run.
    Unknown,
    /// An answer that broke off visibly.
    Broken,
    /// An answer that looks whole and is not, or is not its own: a promise broken.
    Wrong,
}

/// What came of one call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallOutcome {
    /// In one word.
    pub kind: CallKind,
    /// The status of the reply, where there was one.
    pub status: Option<StatusCode>,
    /// When the first token came, where the answer was streamed.
    pub first_token: Option<MonotonicTime>,
    /// The pauses between tokens that came one after the other.
    pub pauses: Vec<Duration>,
    /// Tokens received.
    pub tokens: u64,
    /// When the refusal says that a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl CallOutcome {
    pub(crate) fn failed(kind: CallKind) -> Self {
        Self {
            kind,
            status: None,
            first_token: None,
            pauses: Vec::new(),
            tokens: 0,
            retry_after: None,
        }
    }
}

/// What a call needs besides its request.
pub(crate) struct CallSender<'a> {
    pub(crate) client: &'a dyn HttpClient,
    pub(crate) clock: &'a dyn Clock,
    pub(crate) model: &'a str,
    pub(crate) token: Option<&'a str>,
}

impl CallSender<'_> {
    /// Sends the call to `address` and reads the answer to its end.
    pub(crate) async fn call(&self, address: SocketAddr, call: &PlannedCall) -> CallOutcome {
        let reply = match self.client.send(address, self.request(call)).await {
            Ok(reply) => reply,
            Err(error) if error.nothing_sent() => return CallOutcome::failed(CallKind::NotRun),
            Err(_) => return CallOutcome::failed(CallKind::Unknown),
        };
        if reply.head.status != StatusCode::OK {
            return refusal(&reply);
        }
        let source = TokenSource::new(self.model, &format!("user: {}\n", call.prompt));
        let mut outcome = if call.stream {
            self.read_stream(reply, StreamCheck::new(source, call.tokens)).await
        } else {
            read_whole(reply, &source.join(0, call.tokens), call.tokens).await
        };
        outcome.status = Some(StatusCode::OK);
        outcome
    }

    fn request(&self, call: &PlannedCall) -> Request<Bytes> {
        let body = json!({
            "model": self.model,
            "messages": [{"role": "user", "content": call.prompt}],
            "max_tokens": call.tokens,
            "stream": call.stream,
        });
        let mut request =
            Request::post("/v1/chat/completions").header(CONTENT_TYPE, "application/json");
        if let Some(token) = self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        request
            .body(Bytes::from(body.to_string()))
            .expect("the path is fixed and the token was checked when it was read")
    }

    async fn read_stream(&self, reply: ClientReply, mut check: StreamCheck) -> CallOutcome {
        let mut events = reply.body.into_stream().eventsource();
        let mut outcome = CallOutcome::failed(CallKind::Wrong);
        let mut last = None;
        while let Some(event) = events.next().await {
            let kind = event.map_or(EventKind::Failed, |event| check.take(&event.data));
            outcome.tokens = check.seen();
            match kind {
                EventKind::Token => {
                    let now = self.clock.now();
                    outcome.first_token.get_or_insert(now);
                    outcome.pauses.extend(last.replace(now).map(|before| now.since(before)));
                }
                EventKind::Other | EventKind::Done => {}
                EventKind::Failed => {
                    outcome.kind = CallKind::Broken;
                    return outcome;
                }
                EventKind::Wrong => return outcome,
            }
        }
        if check.whole() {
            outcome.kind = CallKind::Whole;
        }
        outcome
    }
}

async fn read_whole(reply: ClientReply, expected: &str, tokens: u64) -> CallOutcome {
    let Ok(body) = reply.body.collect(ANSWER_LIMIT).await else {
        return CallOutcome::failed(CallKind::Broken);
    };
    let own = serde_json::from_slice(&body)
        .is_ok_and(|answer: Value| answer["choices"][0]["message"]["content"] == expected);
    let kind = if own { CallKind::Whole } else { CallKind::Wrong };
    CallOutcome { tokens: if own { tokens } else { 0 }, ..CallOutcome::failed(kind) }
}

fn refusal(reply: &ClientReply) -> CallOutcome {
    let headers = &reply.head.headers;
    let run = headers.get(RunState::HEADER).and_then(RunState::from_value);
    let kind = if run == Some(RunState::NotRun) { CallKind::NotRun } else { CallKind::Unknown };
    let seconds = headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse().ok());
    CallOutcome {
        status: Some(reply.head.status),
        retry_after: seconds.map(Duration::from_secs),
        ..CallOutcome::failed(kind)
    }
}
