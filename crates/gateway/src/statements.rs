//! Handles the statements about their own state that backend servers make in reply headers.

use {
    crate::{
        attempt::{SelectedBackend, reported_run_state},
        gateway::Gateway,
    },
    gullglade_backend::{Announcement, RunStatus, ServingState},
    gullglade_dispatch::{BackendStatements, StatedBackoff},
    gullglade_event::EventDraft,
    gullglade_http::RunState,
    gullglade_units::BackendRun,
    http::{HeaderName, HeaderValue, StatusCode, header::RETRY_AFTER, response::Parts},
    std::time::Duration,
};

/// Reply header of a backend server that finishes its requests and accepts no new ones.
const LEAVING_HEADER: HeaderName = HeaderName::from_static("gullglade-leaving");

/// Average interval between the times at which two gateways resume after a back-off.
const RESUME_SPACING: Duration = Duration::from_millis(10);

/// Maximum time within which all gateways resume after a back-off.
const MAX_RESUME_SPREAD: Duration = Duration::from_secs(1);

impl Gateway {
    /// Applies the statements in the head of a reply.
    pub(crate) fn apply_statements(&self, selected: &SelectedBackend, head: &Parts) {
        let BackendStatements { backoff, is_leaving, .. } = parse_statements(head);
        if let Some(backoff) = backoff {
            self.apply_backoff(selected, backoff);
        }
        if is_leaving {
            self.apply_leaving(selected);
        }
    }

    /// Handles the statement like an announcement of the state `leaving`, which is final for the
    /// run and is distributed to all gateways of the region.
    fn apply_leaving(&self, selected: &SelectedBackend) {
        let BackendRun { backend, incarnation } = &selected.run;
        let Some(record) = self.backends.record(backend) else { return };
        let RunStatus { sequence, state, .. } = record.status;
        if record.status.incarnation != *incarnation || state == ServingState::Leaving {
            return;
        }
        self.events.emit(EventDraft::new("backend.states_leaving").field("backend", backend));
        self.client.retire(selected.address);
        self.pending_sends.revoke(&selected.run);
        let announcement = Announcement {
            name: backend.clone(),
            incarnation: *incarnation,
            sequence,
            state: ServingState::Leaving,
            load: record.load,
            profile: None,
            cache_events: None,
        };
        let gateway = self.clone();
        self.context.spawner.spawn(Box::pin(async move {
            // Refused only if another run has taken the name meanwhile.
            let _announced = gateway.relay.announce(&announcement).await;
            gateway.backends_changed();
        }));
    }

    /// Stops sending to the backend server until the back-off ends. Gateways that were rejected
    /// together would also resume together, so each adds a random delay.
    fn apply_backoff(&self, selected: &SelectedBackend, backoff: StatedBackoff) {
        if backoff.duration().is_zero() {
            return;
        }
        let gateways = u32::try_from(self.directory.gateway_count()).unwrap_or(u32::MAX);
        let spread = RESUME_SPACING.saturating_mul(gateways).min(MAX_RESUME_SPREAD);
        let micros = u64::try_from(spread.as_micros()).unwrap_or(u64::MAX);
        let delay = Duration::from_micros(self.context.random.below(micros));
        let wait = backoff.duration() + delay;
        if !self.backends.note_backoff(&selected.run, self.context.clock.now() + wait) {
            return;
        }
        let draft = EventDraft::new("backend.backoff_requested").field("backend", selected.name());
        self.events.emit(draft.field("backoff_ms", backoff));
        self.pending_sends.revoke(&selected.run);
        self.backends_changed();
        let (gateway, waiting) = (self.clone(), self.context.clock.sleep(wait));
        self.context.spawner.spawn(Box::pin(async move {
            waiting.await;
            gateway.backends_changed();
        }));
    }
}

fn parse_statements(head: &Parts) -> BackendStatements {
    let is_not_run = reported_run_state(&head.headers) == Some(RunState::NotRun);
    let may_request_backoff = head.status == StatusCode::SERVICE_UNAVAILABLE
        || head.status == StatusCode::TOO_MANY_REQUESTS && is_not_run;
    let text = head.headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    BackendStatements {
        backoff: text.filter(|_| may_request_backoff).and_then(parse_backoff),
        is_leaving: head.headers.get(LEAVING_HEADER).is_some_and(is_set),
        ..BackendStatements::default()
    }
}

/// Returns whether the header value is true. An unknown value counts as true, since the requests
/// kept from this backend server go to another one.
fn is_set(value: &HeaderValue) -> bool {
    !matches!(value.as_bytes().trim_ascii(), b"0" | b"false")
}

/// Parses a delay in seconds. Other forms, such as a date, are ignored.
fn parse_backoff(text: &str) -> Option<StatedBackoff> {
    let seconds: f64 = text.trim().parse().ok()?;
    StatedBackoff::try_from(seconds).ok()
}

#[cfg(test)]
mod tests;
