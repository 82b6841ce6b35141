//! Why a request has no reply, and whether it may have run all the same.

use {
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
};

/// Why a request has no reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No connection: nothing was sent.
    #[snafu(display("cannot connect to {address}: {reason}; check that the server listens there"))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The operating system's words.
        reason: String,
    },
    /// No connection in time: nothing was sent.
    #[snafu(display(
        "{address} did not accept a connection within {limit:?}; check the VM, the network and \
         firewalls between"
    ))]
    ConnectTimeout {
        /// The address.
        address: SocketAddr,
        /// The time allowed.
        limit: Duration,
    },
    /// The request cannot be written as HTTP: nothing was sent.
    #[snafu(display("the request to {address} is not valid HTTP: {reason}; correct the sender"))]
    Invalid {
        /// The address.
        address: SocketAddr,
        /// What is wrong.
        reason: String,
    },
    /// The connection broke before a byte of the request was written: nothing was sent.
    #[snafu(display(
        "the connection to {address} ended before the request was sent ({reason}); send it again"
    ))]
    Unsent {
        /// The address.
        address: SocketAddr,
        /// What ended it.
        reason: String,
    },
    /// Its sender took it back before the connection was open: nothing was sent.
    #[snafu(display(
        "the request to {address} was taken back before it was sent; send it elsewhere"
    ))]
    Revoked {
        /// The address.
        address: SocketAddr,
    },
    /// The connection broke after bytes of the request were written: it may have run.
    #[snafu(display(
        "the connection to {address} broke after the request was sent ({reason}); it may have \
         run, so repeat only what is idempotent"
    ))]
    Sent {
        /// The address.
        address: SocketAddr,
        /// What broke it.
        reason: String,
    },
    /// The reply breaks the protocol, or its head has more bytes or lines than allowed: the request
    /// may have run.
    #[snafu(display(
        "the reply of {address} is not valid HTTP or its head is too long ({reason}); the request \
         may have run, so repeat only what is idempotent, and check the server there"
    ))]
    Malformed {
        /// The address.
        address: SocketAddr,
        /// What is wrong.
        reason: String,
    },
    /// No head of a reply in time: the request may have run or still run.
    #[snafu(display(
        "{address} did not answer within {limit:?}; it may have run, so repeat only what is \
         idempotent"
    ))]
    HeadTimeout {
        /// The address.
        address: SocketAddr,
        /// The time allowed.
        limit: Duration,
    },
    /// The reply has neither a length nor chunks, so its end cannot be told from a break.
    #[snafu(display(
        "the reply of {address} has neither content-length nor chunks, so it cannot be known \
         whole; let that server frame its replies"
    ))]
    Unframed {
        /// The address.
        address: SocketAddr,
    },
}

impl ClientError {
    /// Whether it is certain that no byte of the request reached the other side.
    pub fn nothing_sent(&self) -> bool {
        match self {
            Self::Connect { .. }
            | Self::ConnectTimeout { .. }
            | Self::Invalid { .. }
            | Self::Unsent { .. }
            | Self::Revoked { .. } => true,
            Self::Sent { .. }
            | Self::Malformed { .. }
            | Self::HeadTimeout { .. }
            | Self::Unframed { .. } => false,
        }
    }
}
