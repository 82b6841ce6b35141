//! `GET /v1/models` and `GET /v1/entry`.

use {
    crate::{gateway::Gateway, refusal},
    gullglade_document::TokenGrant,
    gullglade_http::{ApiError, ReplyBody, RequestBody, RunState},
    gullglade_units::{RegionName, ServiceName},
    http::{HeaderValue, Request, Response, header::CONTENT_TYPE},
    serde::Serialize,
    std::collections::BTreeMap,
};

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'a str,
}

impl Gateway {
    /// Serves the models that the caller's token allows.
    pub(crate) fn serve_models(
        &self,
        request: &Request<RequestBody>,
    ) -> Result<Response<ReplyBody>, ApiError> {
        let grants = self.grants(request.headers())?;
        let mut models = BTreeMap::new();
        for grant in &grants {
            for model in &grant.document.models {
                models.insert(model.name.as_str(), grant.document.name.as_str());
            }
        }
        let entry = |(id, owned_by)| ModelEntry { id, object: "model", created: 0, owned_by };
        let data = models.into_iter().map(entry).collect();
        Ok(json(&ModelList { object: "list", data }))
    }

    /// Serves the gateways that the caller should use, from the local state of this gateway.
    pub(crate) fn serve_entry(
        &self,
        request: &Request<RequestBody>,
    ) -> Result<Response<ReplyBody>, ApiError> {
        let grants = self.grants(request.headers())?;
        let requested = requested_service(request)?;
        let grant = match &requested {
            Some(service) => grants.iter().find(|g| g.document.name == *service),
            None => grants.first(),
        };
        let grant = grant.ok_or_else(|| refusal::not_allowed(&"this service"))?;
        Ok(json(&self.directory.entry(&entry_regions(grant))))
    }
}

/// Returns the regions whose gateways the caller may use. A gateway reads the requests it receives,
/// so a workspace bound to a home region may only enter there.
fn entry_regions(grant: &TokenGrant) -> Vec<RegionName> {
    match &grant.rules().home {
        Some(home) => vec![home.clone()],
        None => grant.document.regions.clone(),
    }
}

fn requested_service(request: &Request<RequestBody>) -> Result<Option<ServiceName>, ApiError> {
    let query = request.uri().query().unwrap_or_default();
    let named = query.split('&').find_map(|pair| pair.strip_prefix("service="));
    named.map(ServiceName::try_from).transpose().map_err(|e| refusal::bad_header("service", &e))
}

fn json<T: Serialize>(value: &T) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::json(value));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(RunState::HEADER, RunState::NotRun.to_value());
    response
}
