//! The HTTP client: keeps connections, and is honest about what was sent.

mod body_turn;
mod config;
mod connection;
mod correlation;
mod error;
mod interim_heads;
mod permit;
mod pool;
mod reply;
mod trace;
mod wire_source;

use {
    bytes::Bytes,
    gullglade_units::LocalFuture,
    http::Request,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

pub use {
    config::ClientConfig,
    correlation::CorrelationKey,
    error::ClientError,
    permit::{SendPermit, send_unless_revoked},
    pool::PooledClient,
    reply::{ClientBody, ClientReply, UnframedBody},
    trace::ExchangeTrace,
};

/// What is called when the other side has closed all kept connections to an address.
pub type CloseObserver = Rc<dyn Fn(SocketAddr)>;

/// Sends requests to backend servers and other VMs.
pub trait HttpClient {
    /// Sends `request` to `address` and waits for the head of the reply.
    ///
    /// Of the URI only path and query are used. Hop-by-hop headers are not sent; `host` is set
    /// to `address` where the request has none. Dropping the future, or the reply's body before
    /// its end, closes the connection at once. [`HeadTimeout`], [`KeptWithin`], [`FreshConnection`],
    /// [`CorrelationKey`] and [`SendPermit`] among the request's extensions change how it is sent.
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> LocalFuture<'a, Result<ClientReply, ClientError>>;

    /// Connects to `address` and keeps the connection for the next request. A client that keeps
    /// none has nothing to do.
    fn connect<'a>(&'a self, _address: SocketAddr) -> LocalFuture<'a, Result<(), ClientError>> {
        Box::pin(std::future::ready(Ok(())))
    }

    /// Closes the connections to `address` that no request uses, and those in use once their
    /// request has ended, until the next request goes there. For a client that keeps none, nothing.
    fn retire(&self, _address: SocketAddr) {}

    /// Has `observer` called with an address when the other side has closed the last of the idle
    /// connections that were kept to it. For a client that keeps none, nothing.
    fn observe_closes(&self, _observer: CloseObserver) {}

    /// Notes that the server at `address` sent a reply to another request than the one that waited.
    /// For some time, requests with [`KeptWithin`] go there on new connections only, on which no
    /// earlier request can have a reply. For a client that keeps none, nothing.
    fn note_misplaced_reply(&self, _address: SocketAddr) {}
}

/// Request extension: the time from sending to the head of the reply, in place of the client's.
#[derive(Clone, Copy, Debug)]
pub struct HeadTimeout(pub Duration);

/// Request extension: sends on a kept connection only if that was used within this time, and on a
/// new one otherwise.
///
/// The longer a connection is idle, the likelier the other side is about to close it. If the server
/// has lately sent bytes out of place, such a request goes on a new connection.
#[derive(Clone, Copy, Debug)]
pub struct KeptWithin(pub Duration);

/// Request extension: sends on a new connection, never on a kept one.
///
/// A kept connection may be closed by the other side while the request is on its way, which
/// leaves unknown whether it ran. A new connection has no such window, so non-idempotent
/// requests pay for the connect and get fewer unknown outcomes.
#[derive(Clone, Copy, Debug)]
pub struct FreshConnection;
