//! Selection of the events to display.

use {
    crate::EventRecord,
    gullglade_units::{HybridStamp, VmName},
    std::collections::HashSet,
};

/// Key of the field that holds a request id.
const REQUEST: &str = "request";

/// Key of the field that holds the id of a configuration change.
const CHANGE: &str = "change";

/// Key of the field that holds the name of a backend server.
const BACKEND: &str = "backend";

/// Criteria that an event must meet to be displayed. The default selects all events; each criterion
/// narrows the selection, and [`context`](Self::context) widens it.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    request: Option<String>,
    change: Option<String>,
    backend: Option<String>,
    vm: Option<VmName>,
    kind: Option<String>,
    since: Option<HybridStamp>,
    context: bool,
}

impl EventFilter {
    /// Selects only events of this request.
    pub fn request(mut self, request: Option<String>) -> Self {
        self.request = request;
        self
    }

    /// Selects only events of this configuration change.
    pub fn change(mut self, change: Option<String>) -> Self {
        self.change = change;
        self
    }

    /// Selects only events that name this backend server.
    pub fn backend(mut self, backend: Option<String>) -> Self {
        self.backend = backend;
        self
    }

    /// Selects only events of this VM, or that name it in `vm_to`, `vm_from` or another `vm_`
    /// field.
    pub fn vm(mut self, vm: Option<VmName>) -> Self {
        self.vm = vm;
        self
    }

    /// Selects only events of this kind or its sub-kinds: `request` includes `request.dispatched`.
    pub fn kind(mut self, kind: Option<String>) -> Self {
        self.kind = kind;
        self
    }

    /// Selects only events stamped after `since`.
    pub fn since(mut self, since: Option<HybridStamp>) -> Self {
        self.since = since;
        self
    }

    /// Adds the events of the backend servers that the selected events name, within the time span
    /// of the selection. The reason for a retry, for example, is in the backend server's events.
    pub fn context(mut self, context: bool) -> Self {
        self.context = context;
        self
    }

    /// Returns the selected events in their given order.
    pub(super) fn select<'a>(&self, events: &'a [EventRecord]) -> Vec<&'a EventRecord> {
        let matching: Vec<&EventRecord> = events.iter().filter(|e| self.passes(e)).collect();
        match (self.context, matching.first(), matching.last()) {
            (true, Some(first), Some(last)) => {
                let backends: HashSet<&str> =
                    matching.iter().filter_map(|e| e.field(BACKEND)).collect();
                let span = first.stamp..=last.stamp;
                let is_context = |e: &EventRecord| {
                    let of_backend = e.field(BACKEND).is_some_and(|b| backends.contains(b));
                    of_backend && e.field(REQUEST).is_none() && span.contains(&e.stamp)
                };
                events.iter().filter(|e| self.passes(e) || is_context(e)).collect()
            }
            _ => matching,
        }
    }

    fn passes(&self, event: &EventRecord) -> bool {
        let field_is = |key: &str, wanted: &Option<String>| {
            wanted.as_deref().is_none_or(|wanted| event.field(key) == Some(wanted))
        };
        field_is(REQUEST, &self.request)
            && field_is(CHANGE, &self.change)
            && field_is(BACKEND, &self.backend)
            && self.vm.as_ref().is_none_or(|vm| concerns_vm(event, vm))
            && self.kind.as_deref().is_none_or(|kind| matches_kind(&event.kind, kind))
            && self.since.is_none_or(|since| event.stamp > since)
    }
}

fn concerns_vm(event: &EventRecord, vm: &VmName) -> bool {
    let named = |(key, value): &(String, String)| key.starts_with("vm_") && value == vm.as_str();
    event.vm == *vm || event.fields.iter().any(named)
}

fn matches_kind(kind: &str, wanted: &str) -> bool {
    let rest = kind.strip_prefix(wanted);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}
