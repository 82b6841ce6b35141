//! `POST /v1/announce`: registration, lease renewal and departure of backend servers.

use {
    crate::{gateway::Gateway, refusal},
    gullglade_backend::{AnnounceRefusal, Announcement, BackendProfile},
    gullglade_document::{ServiceDocument, TokenHash},
    gullglade_http::{ApiError, ReplyBody, RequestBody},
    gullglade_units::BackendName,
    http::{HeaderMap, Request, Response, StatusCode, header::AUTHORIZATION},
};

/// Maximum size of the body of an announcement.
const ANNOUNCEMENT_LIMIT_BYTES: usize = 256 << 10;

impl Gateway {
    pub(crate) async fn serve_announce(
        &self,
        request: Request<RequestBody>,
    ) -> Result<Response<ReplyBody>, ApiError> {
        let (head, body) = request.into_parts();
        let body = body.collect(ANNOUNCEMENT_LIMIT_BYTES).await?;
        let announcement = Announcement::try_from(body.as_ref()).map_err(|e| {
            ApiError::new(StatusCode::BAD_REQUEST, "invalid_announcement", e.to_string())
        })?;
        self.check_announcer(&head.headers, &announcement)?;
        let reply = self.relay.announce(&announcement).await.map_err(|e| announce_refusal(&e))?;
        self.backends_changed();
        Ok(Response::new(ReplyBody::json(&reply)))
    }

    /// Checks the announcer against the names and tokens that documents list for the backend
    /// servers of the models and services that it serves. Without this check, any process that
    /// reaches a gateway could receive callers' requests and their data.
    fn check_announcer(
        &self,
        headers: &HeaderMap,
        announcement: &Announcement,
    ) -> Result<(), ApiError> {
        // A renewal carries no profile, and a new profile may list other models. The recorded
        // profile is therefore checked as well: otherwise a process without the token could renew,
        // change or end the announcement of another backend server and take it out of service.
        let record = self.backends.record(&announcement.name);
        let known = record.as_ref().and_then(|record| record.profile());
        let view = self.documents.current().ok_or_else(refusal::no_configuration)?;
        let token = announcer_token(headers);
        for profile in announcement.profile.as_ref().into_iter().chain(known) {
            for document in view.documents().filter(|document| serves(profile, document)) {
                check_announce_rules(document, &announcement.name, token)?;
            }
        }
        Ok(())
    }
}

fn announcer_token(headers: &HeaderMap) -> Option<TokenHash> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (_, token) = value.split_once(' ')?;
    Some(TokenHash::of(token.trim()))
}

fn serves(profile: &BackendProfile, document: &ServiceDocument) -> bool {
    let model = document.models.iter().any(|m| profile.models.contains(&m.name));
    let plain = document.plain_services.iter().any(|p| profile.services.contains(&p.name));
    model || plain
}

fn check_announce_rules(
    document: &ServiceDocument,
    name: &BackendName,
    token: Option<TokenHash>,
) -> Result<(), ApiError> {
    let rules = &document.backends;
    let name_ok = rules.names.is_empty() || rules.names.contains(name);
    let token_ok = rules.tokens.is_empty() || token.is_some_and(|t| rules.tokens.contains(&t));
    if name_ok && token_ok {
        return Ok(());
    }
    let message = format!(
        "the document of {} does not allow {name} to announce itself; list its name and token",
        document.name
    );
    Err(ApiError::new(StatusCode::FORBIDDEN, "announcer_not_allowed", message))
}

fn announce_refusal(refusal: &AnnounceRefusal) -> ApiError {
    let (status, kind) = match refusal {
        AnnounceRefusal::WrongRegion { .. } => (StatusCode::MISDIRECTED_REQUEST, "wrong_region"),
        AnnounceRefusal::TableFull { .. } => (StatusCode::INSUFFICIENT_STORAGE, "table_full"),
        AnnounceRefusal::IdTaken { .. } => (StatusCode::CONFLICT, "id_taken"),
    };
    ApiError::new(status, kind, refusal.to_string())
}
