//! Errors of calls, and whether a failed call may have reached the peer.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, net::SocketAddr, time::Duration},
};

/// Kind of a [`PeerFault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FaultKind {
    /// No handler is registered for the method; nothing was run.
    UnknownMethod,
    /// The body cannot be decoded or is not a valid request.
    Malformed,
    /// The request is valid and the handler rejects it.
    Refused,
    /// The handler cannot serve the request now; a retry, or another process, may succeed.
    Unavailable,
    /// The caller abandoned the call before the handler had finished.
    Cancelled,
    /// The handler failed because of an internal error.
    Internal,
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownMethod => "unknown method",
            Self::Malformed => "malformed",
            Self::Refused => "refused",
            Self::Unavailable => "unavailable",
            Self::Cancelled => "cancelled",
            Self::Internal => "internal fault",
        })
    }
}

/// Error returned by a handler and sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display("{kind}: {message}"))]
pub struct PeerFault {
    /// Error category.
    pub kind: FaultKind,
    /// Human-readable description, including the remedy.
    pub message: String,
}

impl PeerFault {
    /// Creates a fault of `kind`.
    pub fn new(kind: FaultKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }

    /// Creates a [`FaultKind::UnknownMethod`] fault.
    pub fn unknown_method(method: &str) -> Self {
        let message = format!("no handler serves {method:?}; are both ends the same version?");
        Self::new(FaultKind::UnknownMethod, message)
    }

    /// Creates a [`FaultKind::Malformed`] fault.
    pub fn malformed(message: impl fmt::Display) -> Self {
        Self::new(FaultKind::Malformed, message.to_string())
    }

    /// Creates a [`FaultKind::Refused`] fault.
    pub fn refused(message: impl fmt::Display) -> Self {
        Self::new(FaultKind::Refused, message.to_string())
    }

    /// Creates a [`FaultKind::Unavailable`] fault.
    pub fn unavailable(message: impl fmt::Display) -> Self {
        Self::new(FaultKind::Unavailable, message.to_string())
    }

    /// Creates a [`FaultKind::Internal`] fault.
    pub fn internal(message: impl fmt::Display) -> Self {
        Self::new(FaultKind::Internal, message.to_string())
    }

    /// Creates a [`FaultKind::Cancelled`] fault.
    pub fn cancelled() -> Self {
        Self::new(
            FaultKind::Cancelled,
            "the caller abandoned the call before the reply was complete",
        )
    }
}

/// Reason for which a process refuses a session.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum SessionRefusal {
    /// The protocol versions differ.
    #[snafu(display(
        "it speaks protocol version {theirs} and this process {ours}: upgrade the older of the two"
    ))]
    Protocol {
        /// Protocol version of the dialer.
        ours: u32,
        /// Protocol version of the process that refuses.
        theirs: u32,
    },
    /// The cluster names differ.
    #[snafu(display(
        "it belongs to cluster {theirs:?} and this process to {ours:?}: correct the address, or \
         give both the same cluster name"
    ))]
    Cluster {
        /// Cluster of the dialer.
        ours: String,
        /// Cluster of the process that refuses.
        theirs: String,
    },
    /// The peer secrets differ.
    #[snafu(display("the peer secrets differ: give every VM of the cluster the same secret file"))]
    Secret,
    /// A handshake message is missing, out of order or cannot be decoded.
    #[snafu(display("the handshake is not understood ({reason}): is the address a peer address?"))]
    Malformed {
        /// Description of the violation.
        reason: String,
    },
    /// The process already holds its maximum number of sessions.
    #[snafu(display("it holds its limit of {limit} sessions: raise the limit or add VMs"))]
    Busy {
        /// Maximum number of sessions.
        limit: usize,
    },
}

/// Reason for which a call has no complete reply.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PeerError {
    /// No session could be established.
    #[snafu(display(
        "no session with the peer at {address}: {reason}; check that the process runs there and \
         that the network lets this VM reach it"
    ))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
    /// The peer refuses sessions with this process.
    #[snafu(display("the peer at {address} refuses this process: {refusal}"))]
    Refused {
        /// Address of the peer.
        address: SocketAddr,
        /// Reason given by the peer.
        refusal: SessionRefusal,
    },
    /// The call is invalid or exceeds a limit and was not sent.
    #[snafu(display("the call of {method:?} was not sent: {reason}"))]
    Unsendable {
        /// Method of the call.
        method: String,
        /// Description of the problem, including the remedy.
        reason: String,
    },
    /// The call did not complete within its time limit.
    #[snafu(display(
        "no answer from {address} within {limit:?}; the peer is slow, frozen or cut off"
    ))]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
        /// Time limit of the call.
        limit: Duration,
        /// True if bytes of the call may have reached the peer.
        sent: bool,
    },
    /// The session or the stream ended before the reply was complete.
    #[snafu(display("the call to {address} was cut off: {reason}"))]
    Broken {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the cause.
        reason: String,
        /// True if bytes of the call may have reached the peer.
        sent: bool,
    },
    /// The peer's handler returned a fault.
    #[snafu(context(false), display("the peer answered: {source}"))]
    Fault {
        /// Fault returned by the handler.
        source: PeerFault,
    },
}

impl PeerError {
    /// Returns true only if no byte of the call can have reached the peer. False means that this is
    /// unknown, so the call may have run.
    pub fn nothing_sent(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::Refused { .. } | Self::Unsendable { .. } => true,
            Self::Timeout { sent, .. } | Self::Broken { sent, .. } => !sent,
            Self::Fault { .. } => false,
        }
    }

    /// Returns whether the peer serves no such method, as one of an earlier release may.
    pub fn is_unknown_method(&self) -> bool {
        matches!(self, Self::Fault { source } if source.kind == FaultKind::UnknownMethod)
    }
}
