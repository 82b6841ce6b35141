//! Operator API for the configuration.
//!
//! - `POST /v1/changes` with a [`ChangeRequest`]: 200 with the
//!   [`AcceptedChange`](gullglade_control::AcceptedChange), 409 for a conflict, 503 if the
//!   change was not applied, 504 if its outcome is unknown and the client must retry it.
//! - `GET /v1/services` and `GET /v1/services/{name}`: the current services; with `?local`, the
//!   possibly outdated state of this process.
//! - `GET /v1/history?service={name}`: the newest 200 accepted changes with their authors, newest
//!   first.
//! - `GET /v1/control/status`, `POST /v1/control/replace` with a [`ReplaceVoterRequest`].

use {
    crate::OperatorRoute,
    gullglade_control::{
        AcceptedChange, ChangeError, ChangeOutcome, ChangeRequest, ConfigReplica, ControlNode,
        ServiceRecord,
    },
    gullglade_http::{ApiError, ReplyBody, RequestBody, RunState},
    gullglade_units::{LocalFuture, ServiceName, VmName},
    http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, rc::Rc},
};

/// Maximum size of a request body in bytes: a 256 KB document with every character escaped fits.
const BODY_LIMIT: usize = 2 << 20;

/// Maximum number of changes in one history response.
const HISTORY_LIMIT: usize = 200;

/// Request body of `POST /v1/control/replace`, which replaces a control voter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplaceVoterRequest {
    /// VM of the voter to remove.
    pub old: VmName,
    /// Peer address of the control process that becomes a voter instead.
    pub address: SocketAddr,
}

/// Serves the operator API for the configuration.
pub struct ConfigRoutes {
    replica: Rc<ConfigReplica>,
    control: Option<ControlNode>,
}

pub(crate) type RouteReply = Result<Response<ReplyBody>, ApiError>;

impl ConfigRoutes {
    /// Path prefixes of these routes.
    pub const PREFIXES: [&'static str; 4] =
        ["/v1/changes", "/v1/services", "/v1/history", "/v1/control/"];

    /// Creates the routes of one process. `control` is `None` without the control role.
    pub fn new(replica: Rc<ConfigReplica>, control: Option<ControlNode>) -> Self {
        Self { replica, control }
    }

    async fn serve(&self, request: Request<RequestBody>) -> RouteReply {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/changes") => self.change(read_json(request).await?).await,
            (&Method::GET, "/v1/services") => self.list(&query).await,
            (&Method::GET, "/v1/history") => self.history(&query).await,
            (&Method::GET, "/v1/control/status") => {
                Ok(json(&self.control()?.cluster_status().await))
            }
            (&Method::POST, "/v1/control/replace") => self.replace(read_json(request).await?).await,
            (&Method::GET, path) => match path.strip_prefix("/v1/services/") {
                Some(name) => self.service(&parse_service_name(name)?, &query).await,
                None => Err(not_found(path)),
            },
            (_, path) => Err(not_found(path)),
        }
    }

    fn control(&self) -> Result<&ControlNode, ApiError> {
        self.control.as_ref().ok_or_else(no_control)
    }

    async fn change(&self, request: ChangeRequest) -> RouteReply {
        match self.control()?.change(request).await {
            Ok(ChangeOutcome::Accepted(change)) => Ok(json(&change)),
            Ok(ChangeOutcome::Conflict(conflict)) => {
                Err(ApiError::new(StatusCode::CONFLICT, "version_conflict", conflict.to_string()))
            }
            Err(error) => Err(change_error(&error)),
        }
    }

    async fn replace(&self, request: ReplaceVoterRequest) -> RouteReply {
        let replaced = self.control()?.replace(request.old.clone(), request.address).await;
        replaced
            .map(|()| json(&request))
            .map_err(|error| ApiError::new(StatusCode::CONFLICT, "not_replaced", error.to_string()))
    }

    /// Waits until the control process has caught up with the log, so that a following read
    /// includes every change accepted before the call. Returns `None` without waiting if the query
    /// asks for the local state.
    async fn catch_up(&self, query: &str) -> Result<Option<&ControlNode>, ApiError> {
        if is_local(query) {
            return Ok(None);
        }
        let control = self.control()?;
        control.catch_up().await.map_err(|error| change_error(&error))?;
        Ok(Some(control))
    }

    async fn list(&self, query: &str) -> RouteReply {
        let records: Vec<ServiceRecord> = match self.catch_up(query).await? {
            Some(control) => control.read(|state| state.services().cloned().collect()),
            None => self.replica.services(),
        };
        let existing = records.into_iter().filter(|r| r.text.is_some());
        Ok(json(&existing.map(|r| r.change).collect::<Vec<AcceptedChange>>()))
    }

    async fn service(&self, name: &ServiceName, query: &str) -> RouteReply {
        let record = match self.catch_up(query).await? {
            Some(control) => control.read(|state| state.service(name).cloned()),
            None => self.replica.service(name),
        };
        record.map(|record| json(&record)).ok_or_else(|| {
            let message = format!("there is no service {name}; `gladectl get` lists them");
            ApiError::new(StatusCode::NOT_FOUND, "no_service", message)
        })
    }

    async fn history(&self, query: &str) -> RouteReply {
        let service = query.split('&').find_map(|part| part.strip_prefix("service="));
        let service = service.map(parse_service_name).transpose()?;
        let control = self.control()?;
        control.catch_up().await.map_err(|error| change_error(&error))?;
        Ok(control.read(|state| {
            let matches_service =
                |c: &&AcceptedChange| service.as_ref().is_none_or(|name| c.service == *name);
            let changes = state.history().rev().filter(matches_service).take(HISTORY_LIMIT);
            json(&changes.collect::<Vec<_>>())
        }))
    }
}

/// Returns true if the query string asks for the local state of this process (`?local`).
pub(crate) fn is_local(query: &str) -> bool {
    query.split('&').any(|part| part == "local")
}

pub(crate) fn no_control() -> ApiError {
    ApiError::new(
        StatusCode::NOT_FOUND,
        "no_control",
        "this process has no control role; ask the operators' port of a control VM",
    )
}

pub(crate) fn change_error(error: &ChangeError) -> ApiError {
    let (status, kind) = match error {
        ChangeError::Invalid { .. } => (StatusCode::BAD_REQUEST, "invalid_change"),
        ChangeError::Refused { .. } => (StatusCode::CONFLICT, "change_refused"),
        ChangeError::NoLeader => (StatusCode::SERVICE_UNAVAILABLE, "no_leader"),
        ChangeError::Overloaded { .. } => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
        ChangeError::Superseded { .. } => (StatusCode::CONFLICT, "superseded"),
        ChangeError::Stopped { .. } => (StatusCode::SERVICE_UNAVAILABLE, "control_stopped"),
        ChangeError::Unknown { .. } => (StatusCode::GATEWAY_TIMEOUT, "outcome_unknown"),
    };
    let run = if error.may_have_run() { RunState::Unknown } else { RunState::NotRun };
    ApiError::new(status, kind, error.to_string()).run(run)
}

fn parse_service_name(text: &str) -> Result<ServiceName, ApiError> {
    ServiceName::try_from(text)
        .map_err(|e| ApiError::new(StatusCode::BAD_REQUEST, "invalid_service", e.to_string()))
}

pub(crate) fn not_found(path: &str) -> ApiError {
    let message = format!("nothing is served at {path}; see docs/operators/state.md");
    ApiError::new(StatusCode::NOT_FOUND, "not_found", message)
}

pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<RequestBody>,
) -> Result<T, ApiError> {
    let invalid = |reason: String| ApiError::new(StatusCode::BAD_REQUEST, "invalid_body", reason);
    let body = request.into_body().collect(BODY_LIMIT).await;
    let body = body.map_err(|e| invalid(e.to_string()))?;
    serde_json::from_slice(&body).map_err(|e| invalid(format!("the body is not valid: {e}")))
}

pub(crate) fn json<T: Serialize>(value: &T) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::json(value));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(RunState::HEADER, RunState::NotRun.to_value());
    response
}

impl OperatorRoute for ConfigRoutes {
    fn handle<'a>(&'a self, request: Request<RequestBody>) -> LocalFuture<'a, RouteReply> {
        Box::pin(self.serve(request))
    }
}
