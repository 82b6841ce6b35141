//! Quotas of workspaces, enforced across all gateways.
//!
//! A quota is a token bucket of the whole deployment. Each gateway keeps a replica of every bucket
//! ([`QuotaLedger`]) and takes from it what it spends itself and what the others report. Reports
//! contain counters since the start of a run, so the next report makes up for a lost one. Gateways
//! of a region report to each other within tens of milliseconds, and two gateways of each region
//! report its total to the other regions.
//!
//! During a partition, a silent region is assumed to spend its share of the limit, in proportion to
//! its earlier spending, until it reports again or can no longer check keys. Partitioned regions
//! therefore stay within the limit together, and a gateway that was suspended or has just started
//! begins with its own share.
//!
//! The crate does no I/O, and callers pass in the time.

mod bucket;
mod ledger;
mod message;
mod settings;
mod source;
mod weight;

pub use {
    ledger::{QuotaCharge, QuotaLedger, QuotaRefusal},
    message::{RegionSpend, SpendCount, SpendNotice, VmSpend},
    settings::{QuotaSettings, QuotaTolerance},
    weight::request_weight,
};
