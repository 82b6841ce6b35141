//! Errors as callers see them: a status, a JSON body in the shape that the stock OpenAI client
//! libraries understand, and a statement whether the request ran.

use {
    crate::ReplyBody,
    http::{
        HeaderName, HeaderValue, Response, StatusCode,
        header::{CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE},
    },
    serde::Serialize,
    std::{fmt, time::Duration},
};

/// Whether a request ran on a backend server; header `gullglade-run` of every reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunState {
    /// A backend server ran it.
    Run,
    /// No backend server ran it or will run it.
    NotRun,
    /// It may have run.
    Unknown,
}

impl RunState {
    /// The name of the header that carries the state.
    pub const HEADER: HeaderName = HeaderName::from_static("gullglade-run");

    /// The state as header value: `run`, `not-run` or `unknown`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// The state as header value.
    pub fn to_value(self) -> HeaderValue {
        HeaderValue::from_static(self.as_str())
    }

    /// The state that a header value names.
    pub fn from_value(value: &HeaderValue) -> Option<Self> {
        [Self::Run, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|state| state.as_str().as_bytes() == value.as_bytes())
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal or failure, as a caller is told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// Status of the reply.
    pub status: StatusCode,
    /// Stable code for programs, such as `body_too_large`.
    pub kind: &'static str,
    /// Text for people; names the remedy.
    pub message: String,
    /// Whether the request ran; [`RunState::NotRun`] unless set otherwise.
    pub run: RunState,
    /// When a retry may succeed; sent in whole seconds, rounded up.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorDocument<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    class: &'static str,
    code: &'static str,
    param: Option<&'a str>,
    run: &'static str,
}

impl ApiError {
    /// An error of a request that did not run.
    pub fn new(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        Self { status, kind, message: message.into(), run: RunState::NotRun, retry_after: None }
    }

    /// States whether the request ran.
    pub fn run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    /// States when a retry may succeed.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The JSON body: `{"error":{"message","type","code","param","run"}}`.
    pub fn to_json(&self) -> Vec<u8> {
        let error = ErrorFields {
            message: &self.message,
            class: error_class(self.status),
            code: self.kind,
            param: None,
            run: self.run.as_str(),
        };
        serde_json::to_vec(&ErrorDocument { error })
            .expect("a struct of strings always serializes: it has no map with other keys")
    }

    /// The reply that tells of this error.
    pub fn into_response(self) -> Response<ReplyBody> {
        let mut response = Response::new(ReplyBody::full(self.to_json()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(RunState::HEADER, self.run.to_value());
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(wait) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
        }
        response
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.status.as_u16(), self.kind, self.message)
    }
}

impl std::error::Error for ApiError {}

fn whole_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

/// The `type` by which stock client libraries choose their exception.
fn error_class(status: StatusCode) -> &'static str {
    match status.as_u16() {
        401 => "authentication_error",
        403 => "permission_error",
        404 => "not_found_error",
        409 => "conflict_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
