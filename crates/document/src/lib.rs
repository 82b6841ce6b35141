//! The service document: what one team states about its service, parsed and checked.
//!
//! Documents are text that people write and review (TOML or JSON). They are checked once, on
//! entry; after that the system works with [`ServiceDocument`] and, for all services together,
//! with the read-only [`ConfigView`] that a [`ConfigSource`] hands out. The text itself is what
//! the control processes replicate, so a document reads back exactly as it was accepted.

mod check;
mod document;
mod error;
mod raw;
mod view;

pub use document::{
    BackendRules, IdempotencyRule, LatencyTarget, ModelUse, PlainServiceUse, Priority,
    RequestLimits, ServiceDocument, ServiceTarget, WorkspaceRules,
};
pub use error::DocumentError;
pub use gullglade_units::TokenHash;
pub use view::{ConfigSource, ConfigView, FixedConfig, TokenGrant};
