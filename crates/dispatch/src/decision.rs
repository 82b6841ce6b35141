//! What a scheduler decides.

use {
    crate::RefusalReason,
    gullglade_units::{BackendRun, RegionName},
    std::{net::SocketAddr, time::Duration},
};

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it.
    Send {
        /// To this run of a backend server.
        run: BackendRun,
        /// Which takes requests here.
        address: SocketAddr,
        /// With this priority, 0 the most urgent.
        priority: u8,
        /// The first byte is expected after this many milliseconds.
        expected_ms: f64,
        /// What it copies of the prompt instead of reading it.
        copy: Option<PromptCopy>,
    },
    /// Let a gateway of another region serve it.
    Forward {
        /// The region.
        region: RegionName,
        /// The first byte was expected after this many milliseconds here; `None` where no backend
        /// server here may take it.
        local_ms: Option<f64>,
    },
    /// Turn it away: it has not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
        /// What was known.
        facts: RefusalDetails,
    },
}

impl Decision {
    /// Whether the request is to be sent, wherever to.
    pub fn is_sent(&self) -> bool {
        !matches!(self, Self::Refuse { .. })
    }
}

/// Shared parts of a prompt that a model engine copies from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptCopy {
    /// Where the engine that holds them takes requests.
    pub from: SocketAddr,
    /// Their tokens.
    pub tokens: u32,
    /// The tokens that could be read in the time that the copy takes.
    pub cost_tokens: u32,
}

/// What a refusal was decided from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalDetails {
    /// Backend servers of the service that are known in the own region.
    pub known: usize,
    /// Of these, those that take new work and are not evacuated.
    pub serving: usize,
    /// Of these, those that failed lately.
    pub suspect: usize,
    /// Of those that serve, those that are cold.
    pub cold: usize,
    /// Of those that serve, those from which this gateway backs off.
    pub backed_off: usize,
    /// Other regions that offer the service and may serve the request.
    pub regions: usize,
    /// Of these, those to which the path is broken or that turned work away.
    pub paused: usize,
    /// Requests that wait at this gateway.
    pub waiting: usize,
}
