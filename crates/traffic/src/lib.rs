//! The traffic configuration: which host and path go to which service, and under which rules.
//!
//! A service document ([`gullglade-document`]) states what one team's callers may request through
//! the gateway's own API. The traffic configuration, by contrast, routes requests that are
//! forwarded unchanged. It is a single document for all routes, with version numbers assigned by
//! the operators. The text format is pluggable: a [`TrafficFormat`] parses the text into
//! [`RawTraffic`], which is validated by its conversion to [`TrafficConfig`], the form that all
//! other crates use.
//!
//! [`gullglade-document`]: https://docs.rs/gullglade-document

mod config;
mod error;
mod raw;
mod route;
mod service;
mod table;
mod workspace;

pub use {
    config::{CallerLimits, TrafficConfig},
    error::TrafficError,
    raw::{RawQuota, RawRoute, RawService, RawTraffic, RawWorkspace, TrafficFormat},
    route::{RequestKind, TrafficRoute, WeightedTarget},
    service::{EngineProfile, ServicePool, WarmupRules},
    table::RouteTable,
    workspace::{QuotaUnit, TrafficWorkspace, WorkspaceQuota, WorkspaceTable},
};
