//! Validates a caller's HTTP request and turns it into a [`CallPlan`].

use {
    crate::{
        attempt::content_headers,
        call::{CallContent, CallPlan, Idempotency},
        chat::CompletionRequest,
        gateway::Gateway,
        memory::MemoryReservation,
        refusal,
        span::RequestSpan,
    },
    bytes::Bytes,
    gullglade_backend::PromptBlocks,
    gullglade_document::{ServiceTarget, TokenGrant},
    gullglade_http::{ApiError, RequestBody},
    gullglade_units::{OrderKey, RequestId, ServiceName},
    http::{HeaderMap, HeaderName, Request, header::AUTHORIZATION, request::Parts},
    std::rc::Rc,
};

/// Request header with the idempotency key of a non-idempotent request.
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

impl Gateway {
    /// Returns the grants of the request's bearer token.
    pub(crate) fn grants(&self, headers: &HeaderMap) -> Result<Vec<TokenGrant>, ApiError> {
        let view = self.documents.current().ok_or_else(refusal::no_configuration)?;
        let value = headers.get(AUTHORIZATION).ok_or_else(refusal::no_token)?;
        let token = value.to_str().ok().and_then(bearer_token).ok_or_else(refusal::no_token)?;
        match view.grants(token) {
            [] => Err(refusal::unknown_token()),
            grants => Ok(grants.to_vec()),
        }
    }

    /// Reads a completion request and binds it to the workspace whose service offers the model.
    pub(crate) async fn plan_completion(
        &self,
        request: Request<RequestBody>,
    ) -> Result<CallPlan, ApiError> {
        let (head, body) = request.into_parts();
        let grants = self.admit_caller(&head)?;
        let limit = grants.iter().map(|g| g.document.limits.body_bytes).max().unwrap_or(0);
        let memory = self.reserve(&body, limit)?;
        let body = body.collect(limit).await?;
        let completion = CompletionRequest::try_from(body.as_ref())?;
        let target = ServiceTarget::Model(completion.model.clone());
        let grant = choose_grant(grants, &target)?;
        check_length(&body, &grant)?;
        let path = head.uri.path().to_owned();
        let mut plan = self.plan(&head, path, body, grant, target)?;
        plan.memory = memory.shrink(plan.content.body.len());
        plan.content.streamed = completion.streamed;
        plan.max_tokens = completion.max_tokens;
        plan.prompt = completion.prompt;
        Ok(plan)
    }

    /// Reads a request to a plain service.
    pub(crate) async fn plan_plain(
        &self,
        request: Request<RequestBody>,
    ) -> Result<CallPlan, ApiError> {
        let (head, body) = request.into_parts();
        let grants = self.admit_caller(&head)?;
        let (name, path) = split_service(&head)?;
        let target = ServiceTarget::Plain(name);
        let grant = choose_grant(grants, &target)?;
        let limit = grant.document.limits.body_bytes;
        let memory = self.reserve(&body, limit)?;
        let body = body.collect(limit).await?;
        let mut plan = self.plan(&head, path, body, grant, target)?;
        plan.memory = memory.shrink(plan.content.body.len());
        Ok(plan)
    }

    /// Reserves memory for a body: its declared length, or `limit` bytes if it declares none.
    fn reserve(&self, body: &RequestBody, limit: usize) -> Result<MemoryReservation, ApiError> {
        let declared = body.declared_length().and_then(|length| usize::try_from(length).ok());
        let bytes = declared.unwrap_or(limit).min(limit);
        self.memory.reserve(bytes).ok_or_else(refusal::no_memory)
    }

    fn admit_caller(&self, head: &Parts) -> Result<Vec<TokenGrant>, ApiError> {
        if self.is_draining() {
            return Err(refusal::draining());
        }
        self.grants(&head.headers)
    }

    fn plan(
        &self,
        head: &Parts,
        path: String,
        body: Bytes,
        grant: TokenGrant,
        target: ServiceTarget,
    ) -> Result<CallPlan, ApiError> {
        let is_marked_non_idempotent =
            grant.document.is_non_idempotent(head.method.as_str(), head.uri.path(), &target);
        let idempotency = idempotency_of(&head.headers, is_marked_non_idempotent)?;
        let received = self.context.clock.now();
        let rules = grant.rules();
        let id = RequestId::new(&self.context);
        let span = RequestSpan::begin(self, id, &grant.document, &rules.name);
        Ok(CallPlan {
            id,
            document: Rc::clone(&grant.document),
            workspace: rules.name.clone(),
            home: rules.home.clone(),
            priority: rules.priority,
            share: rules.share,
            target,
            content: CallContent {
                method: head.method.clone(),
                path,
                headers: content_headers(head.headers.clone()),
                body,
                streamed: false,
            },
            prompt: PromptBlocks::default(),
            max_tokens: 0,
            idempotency,
            received,
            deadline: received + grant.document.limits.deadline,
            origin: None,
            offset: 0,
            span,
            memory: MemoryReservation::default(),
        })
    }
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

/// Returns the grant whose service offers `target`. If there is none, the error is the same whether
/// or not the target exists.
fn choose_grant(grants: Vec<TokenGrant>, target: &ServiceTarget) -> Result<TokenGrant, ApiError> {
    let offers_target = |grant: &TokenGrant| grant.document.regions_of(target).is_some();
    grants.into_iter().find(offers_target).ok_or_else(|| refusal::not_allowed(target))
}

fn check_length(body: &Bytes, grant: &TokenGrant) -> Result<(), ApiError> {
    let limit = grant.document.limits.body_bytes;
    if body.len() > limit { Err(refusal::too_large(limit)) } else { Ok(()) }
}

/// Determines the idempotency of a request. A key marks it as non-idempotent even if the document
/// does not.
fn idempotency_of(
    headers: &HeaderMap,
    is_marked_non_idempotent: bool,
) -> Result<Idempotency, ApiError> {
    match headers.get(KEY_HEADER) {
        None if is_marked_non_idempotent => Ok(Idempotency::NonIdempotent),
        None => Ok(Idempotency::Idempotent),
        Some(value) => {
            let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
            OrderKey::try_from(text)
                .map(Idempotency::Keyed)
                .map_err(|e| refusal::bad_header(KEY_HEADER.as_str(), &e))
        }
    }
}

/// Splits `/services/{name}/rest?query` into the name and the path that the service receives.
fn split_service(head: &Parts) -> Result<(ServiceName, String), ApiError> {
    let path = head.uri.path();
    let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, service_path) = rest.split_once('/').unwrap_or((rest, ""));
    let name = ServiceName::try_from(name).map_err(|_| refusal::not_found(path))?;
    let query = head.uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    Ok((name, format!("/{service_path}{query}")))
}
