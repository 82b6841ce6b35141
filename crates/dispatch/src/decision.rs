//! The decisions of a scheduler.

use {
    crate::RefusalReason,
    gullglade_event::FieldValue,
    gullglade_units::{BackendRun, RegionName},
    std::{fmt, net::SocketAddr, time::Duration},
};

/// The decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to a backend server of this region.
    Send {
        /// The selected run.
        run: BackendRun,
        /// The address at which it accepts requests.
        address: SocketAddr,
        /// The priority to send with, 0 being the most urgent.
        priority: u8,
        /// Expected time to first byte, milliseconds.
        expected_ms: f64,
        /// The part of the prompt to be copied from another engine instead of a prefill.
        copy: Option<PromptCopy>,
    },
    /// Forward the request to another gateway.
    Forward {
        /// The selected region: another one, or the own one if this gateway has no path to its
        /// backend servers.
        region: RegionName,
        /// Expected time to first byte in this region, milliseconds, or `None` if no backend server
        /// here may take the request.
        local_ms: Option<f64>,
    },
    /// Refuse the request, which has not run.
    Refuse {
        /// The reason of the refusal.
        reason: RefusalReason,
        /// The time after which the caller may retry.
        retry_after: Duration,
        /// The state on which the refusal is based.
        details: RefusalDetails,
    },
}

impl Decision {
    /// Returns whether the request is to be sent, here or to another region.
    pub fn is_sent(&self) -> bool {
        !matches!(self, Self::Refuse { .. })
    }
}

/// Shared parts of a prompt that a model engine copies from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptCopy {
    /// The address of the engine that holds them.
    pub from: SocketAddr,
    /// Number of tokens to copy.
    pub tokens: u32,
    /// Number of tokens whose prefill takes as long as the copy.
    pub cost_tokens: u32,
}

/// The state on which a refusal is based.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalDetails {
    /// Known backend servers of the service in this region.
    pub known: usize,
    /// The known backend servers that accept new requests and are not evacuated.
    pub serving: usize,
    /// The serving backend servers that failed recently.
    pub suspect: usize,
    /// The serving backend servers that are cold.
    pub cold: usize,
    /// The serving backend servers from which this gateway backs off.
    pub backed_off: usize,
    /// Other regions that offer the service and may serve the request.
    pub regions: usize,
    /// The offering regions to which the path is broken or which refused requests recently.
    pub paused: usize,
    /// Requests queued at this gateway.
    pub waiting: usize,
    /// The share of the capacity that the request was confined to, if overload control did so.
    pub share: Option<FullShare>,
}

/// A share of the capacity that was full when a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullShare {
    /// The slots that a less urgent route may use.
    Route,
    /// The share of the workspace.
    Workspace,
}

impl fmt::Display for FullShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Route => "route",
            Self::Workspace => "workspace",
        })
    }
}

impl FieldValue for FullShare {}
