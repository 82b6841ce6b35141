//! What backend servers state of themselves with their answers, and what this gateway does by it.

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

/// Says that the backend server finishes what it has and wants nothing new.
const LEAVING_HEADER: HeaderName = HeaderName::from_static("gullglade-leaving");

/// The time between two gateways that resume after a back-off, on average.
const RESUME_SPACING: Duration = Duration::from_millis(10);

/// All gateways resume within this.
const MAX_RESUME_SPREAD: Duration = Duration::from_secs(1);

impl Gateway {
    /// Acts by what the head of an answer states.
    pub(crate) fn apply_statements(&self, selected: &SelectedBackend, head: &Parts) {
        let BackendStatements { backoff, is_leaving, .. } = parse_statements(head);
        if let Some(backoff) = backoff {
            self.apply_backoff(selected, backoff);
        }
        if is_leaving {
            self.apply_leaving(selected);
        }
    }

    /// Counts the statement as the announcement `leaving`, which is final for the run and told to
    /// all gateways of the region.
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
            // Refused only where another run has taken the name meanwhile.
            let _told = gateway.relay.announce(&announcement).await;
            gateway.backends_changed();
        }));
    }

    /// Sends nothing to the backend server until the back-off is over. Gateways that were rejected
    /// together would also resume together, so each adds a part of its own.
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

/// A form that nobody knows counts as stated: work that is kept from one backend server goes to
/// another one.
fn is_set(value: &HeaderValue) -> bool {
    !matches!(value.as_bytes().trim_ascii(), b"0" | b"false")
}

/// A time that cannot be read, as a date, is not stated.
fn parse_backoff(text: &str) -> Option<StatedBackoff> {
    let seconds: f64 = text.trim().parse().ok()?;
    StatedBackoff::try_from(seconds).ok()
}

#[cfg(test)]
mod tests;
