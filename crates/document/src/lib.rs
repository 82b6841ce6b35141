//! The service document: one team's configuration of its service, parsed and validated.
//!
//! Documents are text that people write and review, in TOML or JSON. A document is validated once,
//! when it is submitted. From then on the system uses [`ServiceDocument`] and, for all services
//! together, the read-only [`ConfigView`] that a [`ConfigSource`] provides. The control processes
//! replicate the text itself, so a document reads back exactly as it was accepted.

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
