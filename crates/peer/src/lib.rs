//! RPC between the processes of a cluster: one persistent HTTP/2 session per dialer and address,
//! with bincode messages on its streams.
//!
//! A call sends a method name and a body, and returns either one message or a stream of messages.
//! The part of the method name before the first dot selects the [`PeerHandler`] in the server's
//! [`HandlerTable`]. Callers depend only on [`PeerTransport`], which tests can replace.
//!
//! Messages that may be lost are sent as notices ([`NoticeSender`]): single datagrams without
//! acknowledgement.
//!
//! Guarantees:
//!
//! - [`PeerError::nothing_sent`] returns true only if no byte of the call can have reached the
//!   peer. Callers rely on it to report that a request was not run.
//! - A reply is either complete or an error. It ends with a trailer that the server writes after
//!   the handler has returned; a reset, a lost session or an early end of the stream yields
//!   [`PeerError::Broken`].
//! - Dropping a call or a [`PeerStream`] resets its HTTP/2 stream, and the server then drops the
//!   handler's future, so abandoned work stops.
//! - Calls and replies carry a [`HybridStamp`](gullglade_units::HybridStamp), so events of both
//!   sides can be merged into one causal order.

mod activity;
mod config;
mod error;
#[cfg(feature = "fake")]
pub mod fake;
mod handler;
mod handshake;
mod identity;
mod keepalive;
mod link;
mod notice;
mod pool;
mod server;
mod signal;
#[cfg(test)]
mod tests;
mod transport;
mod wire;

pub use config::PeerConfig;
pub use error::{FaultKind, PeerError, PeerFault, SessionRefusal};
pub use handler::{HandlerTable, PeerHandler, PeerReplySink, ReplySender};
pub use identity::{IdentityError, PeerIdentity, PeerSecret};
pub use link::{LinkPolicy, LinkShaper};
pub use notice::{MAX_NOTICE_BYTES, NoticeBindError, NoticeHandler, NoticeSender, NoticeSocket};
pub use pool::PeerPool;
pub use server::{BindError, PeerServer, PeerStopHandle};
pub use transport::{PeerStream, PeerTransport};
