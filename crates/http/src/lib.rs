//! Bounded HTTP/1.1 for callers, backend servers and operators: a server and a pooled client over
//! `hyper`, driven by monoio's epoll driver.
//!
//! Why a layer of its own: `hyper` parses and frames, but a gateway must also say about every
//! request whether it ran. So each refusal made here carries a [`RunState`] and a typed
//! [`ApiError`]; each bound (head, body, time, connections) has a default and a refusal; each
//! reply that the client hands on is either whole or ends in an error; and a failed send says
//! whether a byte of the request may have reached the other side
//! ([`ClientError::nothing_sent`]).
//!
//! The traits [`RequestHandler`] and [`HttpClient`] are the borders at which other crates put
//! their work and their fakes.

mod api_error;
mod body;
mod body_budget;
mod client;
mod event_boundary;
mod headers;
mod read_turn;
mod request;
mod request_limits;
mod server;
mod work_lane;

pub use api_error::{ApiError, RunState};
pub use body::{BodyError, LocalStream, ReplyBody};
pub use body_budget::{BodyBudget, BodyLease, BodyUpload};
pub use client::{
    ClientBody, ClientConfig, ClientError, ClientReply, CloseObserver, CorrelationKey,
    ExchangeTrace, FreshConnection, HeadTimeout, HttpClient, KeptWithin, PooledClient, SendPermit,
    UnframedBody, send_unless_revoked,
};
pub use event_boundary::{EventBoundary, MAX_EVENT_BYTES};
pub use headers::strip_hop_by_hop;
pub use request::RequestBody;
pub use request_limits::{RequestLimits, SharedLimits};
pub use server::{BindError, HttpServer, RequestHandler, ServerConfig, StopHandle};
pub use work_lane::WorkLane;
