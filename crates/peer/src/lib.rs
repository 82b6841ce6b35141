//! Sessions between the processes of the system: one kept HTTP/2 session per pair of address and
//! dialer, bincode messages on its streams.
//!
//! Every exchange is a call: a method name and a body go out, and either one message or a stream
//! of messages comes back. The part before the method's first dot selects the [`PeerHandler`] that
//! serves it ([`HandlerTable`]). Callers see only [`PeerTransport`], which tests replace.
//!
//! What may be lost goes as a notice instead ([`NoticeSender`]): one datagram without an answer.
//!
//! What the rest of the system relies on:
//!
//! - [`PeerError::nothing_sent`] is true only where no byte of the call can have reached the peer;
//!   "this request was not run" is built on it.
//! - A reply is whole or an error. It ends with an end marker that the far side writes after its
//!   handler has returned; a reset, a lost session or an early end is [`PeerError::Broken`].
//! - Dropping a call or a [`PeerStream`] resets its HTTP/2 stream, and the far side drops its
//!   handler's future: abandoned work stops.
//! - Each message carries a [`HybridStamp`](gullglade_units::HybridStamp), so events on both sides
//!   merge into one causal order.

mod config;
mod error;
#[cfg(feature = "fake")]
pub mod fake;
mod handler;
mod handshake;
mod heard;
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
