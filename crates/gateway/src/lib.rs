//! The caller session: authenticate, claim, admit, route, relay.
//!
//! A [`Gateway`] answers callers' HTTP and the forwarded requests of gateways in other regions. It
//! owns no policy: configuration, membership, the decision, admission, claims and transports are
//! traits or libraries of their own, and this crate is the order in which they are asked. That
//! order keeps the promises:
//!
//! 1. a request is checked and bound to one workspace of one service before anything else;
//! 2. a non-idempotent request under a key is claimed before it is placed, and the claim is turned
//!    into a permit just before the first byte goes out;
//! 3. a decision is asked for each attempt, so no attempt can leave the allowed regions;
//! 4. an attempt that failed says whether it may have run; only what was certainly not run, or is
//!    idempotent, is attempted again, and the caller is told the same;
//! 5. an answer is relayed with its id and its end checked; whatever is not whole ends visibly.

mod announce;
mod answer;
mod attempt;
mod attempt_guard;
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
