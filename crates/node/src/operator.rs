//! Operator API: health, metrics, events, status and commands to this process.

use {
    gullglade_event::{EventLog, EventQuery, MetricSet},
    gullglade_gateway::Gateway,
    gullglade_http::{ApiError, ReplyBody, RequestBody, RequestHandler, RunState},
    gullglade_units::{LocalFuture, RegionName, VmName},
    http::{
        HeaderMap, HeaderValue, Method, Request, Response, StatusCode,
        header::{AUTHORIZATION, CONTENT_TYPE},
    },
    serde::Serialize,
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
};

/// Serves the requests below a path prefix that another component registers.
pub trait OperatorRoute {
    /// Handles a request whose operator token was already verified.
    fn handle<'a>(
        &'a self,
        request: Request<RequestBody>,
    ) -> LocalFuture<'a, Result<Response<ReplyBody>, ApiError>>;
}

/// HTTP handler of the operator API. All paths but health, readiness and metrics require the
/// operator token.
pub struct OperatorPort {
    token: String,
    vm: VmName,
    region: RegionName,
    gateway: Gateway,
    events: Rc<EventLog>,
    metrics: Rc<MetricSet>,
    routes: RefCell<Vec<(&'static str, Rc<dyn OperatorRoute>)>>,
}

#[derive(Serialize)]
struct NodeStatus<'a> {
    vm: &'a VmName,
    region: &'a RegionName,
    ready: bool,
    draining: bool,
    open_requests: u64,
    configuration_index: Option<u64>,
}

impl OperatorPort {
    /// Creates the operator API of one process, without additional routes.
    pub fn new(
        token: String,
        (vm, region): (VmName, RegionName),
        gateway: Gateway,
        events: Rc<EventLog>,
        metrics: Rc<MetricSet>,
    ) -> Self {
        let routes = RefCell::default();
        Self { token, vm, region, gateway, events, metrics, routes }
    }

    /// Routes paths that begin with `prefix` to `route`, starting with the next request.
    pub fn register(&self, prefix: &'static str, route: Rc<dyn OperatorRoute>) {
        self.routes.borrow_mut().push((prefix, route));
    }

    async fn serve(&self, request: Request<RequestBody>) -> Result<Response<ReplyBody>, ApiError> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/healthz" => return Ok(text("ok\n")),
            "/readyz" => return self.ready(),
            "/metrics" => return self.metrics_text(),
            _ => self.check_token(request.headers())?,
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/events") => self.events_page(&request),
            (&Method::GET, "/v1/node") => Ok(json(&self.status())),
            (&Method::POST, "/v1/drain") => {
                self.gateway.drain();
                Ok(json(&self.status()))
            }
            _ => self.route(&path, request).await,
        }
    }

    async fn route(
        &self,
        path: &str,
        request: Request<RequestBody>,
    ) -> Result<Response<ReplyBody>, ApiError> {
        let matching_route = self
            .routes
            .borrow()
            .iter()
            .find_map(|(prefix, route)| path.starts_with(prefix).then(|| Rc::clone(route)));
        match matching_route {
            Some(route) => route.handle(request).await,
            None => Err(ApiError::new(
                StatusCode::NOT_FOUND,
                "not_found",
                format!("nothing is served at {path}; is this the operators' port of that VM?"),
            )),
        }
    }

    fn ready(&self) -> Result<Response<ReplyBody>, ApiError> {
        if self.gateway.is_ready() {
            return Ok(text("ready\n"));
        }
        let reason = match self.gateway.status().draining {
            true => "this gateway is draining; route callers elsewhere",
            false => "this gateway has no configuration; check that a control process is reachable",
        };
        Err(ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "not_ready", reason))
    }

    fn metrics_text(&self) -> Result<Response<ReplyBody>, ApiError> {
        if let Some(index) = self.gateway.configuration_index() {
            self.metrics.configuration_in_force(index);
        }
        self.metrics.text().map(|metrics| text(&metrics)).map_err(|e| {
            ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, "metrics_failed", e.to_string())
        })
    }

    fn events_page(&self, request: &Request<RequestBody>) -> Result<Response<ReplyBody>, ApiError> {
        let query = EventQuery::try_from(request.uri().query())
            .map_err(|e| ApiError::new(StatusCode::BAD_REQUEST, "invalid_query", e.to_string()))?;
        Ok(text(&self.events.answer(query).into_text()))
    }

    fn status(&self) -> NodeStatus<'_> {
        let status = self.gateway.status();
        NodeStatus {
            vm: &self.vm,
            region: &self.region,
            ready: self.gateway.is_ready(),
            draining: status.draining,
            open_requests: status.open_requests,
            configuration_index: self.gateway.configuration_index(),
        }
    }

    fn check_token(&self, headers: &HeaderMap) -> Result<(), ApiError> {
        let given = headers.get(AUTHORIZATION).map(HeaderValue::as_bytes).unwrap_or_default();
        let expected = format!("Bearer {}", self.token);
        if constant_time_equal(given, expected.as_bytes()) {
            return Ok(());
        }
        Err(ApiError::new(
            StatusCode::UNAUTHORIZED,
            "invalid_operator_token",
            "send the token of --operator-token-file as `authorization: Bearer ...`",
        ))
    }
}

/// Compares in constant time for inputs of equal length. A comparison that stops at the first
/// difference would reveal through its duration how many leading bytes of a guess are correct.
fn constant_time_equal(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

impl RequestHandler for OperatorPort {
    fn handle<'a>(
        &'a self,
        request: Request<RequestBody>,
        _remote: SocketAddr,
    ) -> LocalFuture<'a, Response<ReplyBody>> {
        Box::pin(async move { self.serve(request).await.unwrap_or_else(ApiError::into_response) })
    }
}

fn text(content: &str) -> Response<ReplyBody> {
    with_type(ReplyBody::full(content.to_owned()), "text/plain; charset=utf-8")
}

fn json<T: Serialize>(value: &T) -> Response<ReplyBody> {
    with_type(ReplyBody::json(value), "application/json")
}

fn with_type(body: ReplyBody, content_type: &'static str) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(RunState::HEADER, RunState::NotRun.to_value());
    response
}
