//! Operator API for the status of the process and its backend servers.
//!
//! - `GET /v1/status`: a [`NodeReport`](crate::NodeReport).
//! - `POST /v1/backends/{name}/drain`: stops new requests to this incarnation of a backend server
//!   from all gateways of its region; the reply is its [`BackendReport`](crate::BackendReport).

use {
    crate::{BackendReport, OperatorRoute, report::ReportSource},
    gullglade_backend::{Announcement, ServingState},
    gullglade_event::{EventDraft, EventSink},
    gullglade_http::{ApiError, ReplyBody, RequestBody, RunState},
    gullglade_units::{BackendName, LocalFuture},
    http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE},
    serde::Serialize,
    std::rc::Rc,
};

/// Serves the operator API for the status of the process and its backend servers.
pub(crate) struct ReportRoutes {
    pub(crate) source: ReportSource,
    pub(crate) events: Rc<dyn EventSink>,
}

impl ReportRoutes {
    pub(crate) const PREFIXES: [&'static str; 2] = ["/v1/status", "/v1/backends/"];

    async fn serve(&self, request: Request<RequestBody>) -> Result<Response<ReplyBody>, ApiError> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/status") => Ok(json(&self.source.node())),
            (&Method::POST, path) => match drain_target(path) {
                Some(name) => Ok(json(&self.drain(name).await?)),
                None => Err(not_found(path)),
            },
            (_, path) => Err(not_found(path)),
        }
    }

    /// Announces `Leaving` on behalf of the backend server. `Leaving` is final for an incarnation,
    /// so later announcements of the backend server do not revert it. After a restart the backend
    /// server announces a higher incarnation and receives requests again.
    async fn drain(&self, text: &str) -> Result<BackendReport, ApiError> {
        let invalid_backend =
            |e: String| ApiError::new(StatusCode::BAD_REQUEST, "invalid_backend", e);
        let name = BackendName::try_from(text).map_err(|e| invalid_backend(e.to_string()))?;
        let record = self.source.backends.record(&name).ok_or_else(|| unknown_backend(&name))?;
        let announcement = Announcement {
            name: name.clone(),
            incarnation: record.status.incarnation,
            sequence: record.status.sequence,
            state: ServingState::Leaving,
            load: record.load,
            profile: None,
            cache_events: None,
        };
        let announced = self.source.relay.announce(&announcement).await;
        announced.map_err(|e| ApiError::new(StatusCode::CONFLICT, "not_drained", e.to_string()))?;
        self.events.emit(EventDraft::new("backend.drained").field("backend", &name));
        self.source.backend(&name).ok_or_else(|| unknown_backend(&name))
    }
}

fn drain_target(path: &str) -> Option<&str> {
    path.strip_prefix("/v1/backends/")?.strip_suffix("/drain")
}

fn unknown_backend(name: &BackendName) -> ApiError {
    let message = format!(
        "{name} is not known in this region; `gladectl status` lists the backend servers, each at \
         the gateways of its own region"
    );
    ApiError::new(StatusCode::NOT_FOUND, "no_backend", message)
}

fn not_found(path: &str) -> ApiError {
    let message = format!("nothing is served at {path}; see docs/operators/drain.md");
    ApiError::new(StatusCode::NOT_FOUND, "not_found", message)
}

fn json<T: Serialize>(value: &T) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::json(value));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(RunState::HEADER, RunState::NotRun.to_value());
    response
}

impl OperatorRoute for ReportRoutes {
    fn handle<'a>(
        &'a self,
        request: Request<RequestBody>,
    ) -> LocalFuture<'a, Result<Response<ReplyBody>, ApiError>> {
        Box::pin(self.serve(request))
    }
}
