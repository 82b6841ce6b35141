//! Faults that can be switched on, by configuration or with `POST /stub/fault`.

use {
    crate::{face::refused, headers::LEAVING_HEADER},
    gullglade_http::ApiError,
    http::{HeaderMap, HeaderValue},
    serde::{Deserialize, Serialize},
    std::{cell::Cell, time::Duration},
};

/// What goes wrong with the next answers, or is stated with them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// The connection breaks after some tokens; a whole answer breaks in its middle.
    Die {
        /// Tokens sent before.
        after_tokens: u64,
    },
    /// The answer carries another request's id.
    WrongId,
    /// The answer stops early but the HTTP message ends as if it were whole.
    Truncate {
        /// Tokens sent before.
        after_tokens: u64,
    },
    /// One token is sent twice; a whole answer is sent twice in one body.
    Duplicate {
        /// Tokens sent before.
        after_tokens: u64,
    },
    /// Nothing further comes, and the connection stays open.
    Freeze {
        /// Tokens sent before.
        after_tokens: u64,
    },
    /// The request is refused before it runs: 503, `gullglade-run: not-run`.
    Refuse,
    /// The request is refused before it runs, and the server asks for a back-off: `retry-after`.
    Backoff {
        /// How long it wants nothing.
        seconds: u64,
    },
    /// The answer is whole and says that the server leaves, which goes on announcing that it serves.
    Leaving,
    /// The request is read and run, then the connection breaks without an answer.
    Reset,
}

/// The body of `POST /stub/fault`: switches a fault on, or off with `{"fault": null}`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultOrder {
    /// The fault, if any.
    pub fault: Option<FaultKind>,
    /// How many requests it meets; all of them where absent.
    #[serde(default)]
    pub times: Option<u32>,
}

/// The fault that is switched on.
#[derive(Debug, Default)]
pub(crate) struct FaultSwitch {
    order: Cell<FaultOrder>,
}

impl FaultKind {
    /// The refusal of a request that is not to run.
    pub(crate) fn refusal(self) -> Option<ApiError> {
        match self {
            Self::Refuse => Some(refused()),
            Self::Backoff { seconds } => Some(refused().retry_after(Duration::from_secs(seconds))),
            _ => None,
        }
    }

    /// Adds what the server states with its answer.
    pub(crate) fn state(self, headers: &mut HeaderMap) {
        if self == Self::Leaving {
            headers.insert(LEAVING_HEADER, HeaderValue::from_static("true"));
        }
    }
}

impl FaultSwitch {
    /// Replaces what was switched on before.
    pub(crate) fn set(&self, order: FaultOrder) {
        self.order.set(order);
    }

    /// The fault for the next request; counts it.
    pub(crate) fn take(&self) -> Option<FaultKind> {
        let order = self.order.get();
        let fault = order.fault?;
        let left = match order.times {
            None => return Some(fault),
            Some(0) => return None,
            Some(times) => times - 1,
        };
        self.order.set(FaultOrder { times: Some(left), ..order });
        Some(fault)
    }
}
