//! The traffic configuration: which host and path go to which service, and under which rules.
//!
//! Where a service document ([`gullglade-document`]) states what a team's callers may ask by the
//! usual protocols, this configuration routes requests that pass through unchanged. It is one
//! document for all routes, under version numbers that its operators give. Its text is whatever
//! format the operators write; a [`TrafficFormat`] reads it into [`RawTraffic`], and
//! [`TrafficConfig`] is the checked form that everything else works with.
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
