//! The request path of the gateway: authenticate, claim, admit, route and relay.
//!
//! A [`Gateway`] serves callers over HTTP and accepts requests forwarded by gateways of other
//! regions. Configuration, membership, routing policy, admission, claims and transports are traits
//! or separate crates; this crate calls them in the order that upholds these guarantees:
//!
//! 1. A request is authenticated and bound to one workspace of one service before anything else.
//! 2. A non-idempotent request with an idempotency key is claimed before it is routed, and the
//!    claim is exchanged for a run permit immediately before the first byte is sent.
//! 3. Every attempt is routed separately, so no attempt can leave the allowed regions.
//! 4. A failed attempt states whether it may have run. Only a request that is idempotent or
//!    certainly did not run is retried, and the caller receives the same statement.
//! 5. An answer is relayed only after its id is checked, and its end is passed on only when the
//!    answer is complete. An incomplete answer ends with a visible error.

mod announce;
mod answer;
mod attempt;
mod attempt_guard;
mod bounded_body;
mod call;
mod chat;
mod claimed;
mod completion;
mod config;
mod decide;
mod directory;
mod forward;
mod forward_server;
mod gateway;
mod ingress;
mod listing;
mod memory;
mod pending_sends;
mod placement;
mod plain;
mod queue_position;
mod refusal;
mod relay;
mod span;
mod statements;
#[cfg(test)]
mod testing;

pub use config::GatewayConfig;
pub use directory::{EntryAnswer, EntryGateway, RegionDirectory, RegionStatus, RelayDirectory};
pub use gateway::{Gateway, GatewayDependencies, GatewayStatus};
