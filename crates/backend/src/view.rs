//! View of backend servers for the routing decision.

use {
    crate::{
        BLOCK_TOKENS, BackendCapacity, BackendKind, LoadReport, OwnLoad, PrefixHash,
        cache::CacheEstimate,
    },
    gullglade_units::{
        BackendName, FailureDomain, Incarnation, ModelName, MonotonicTime, RegionName, ServiceName,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Target for which candidates are selected.
#[derive(Clone, Copy, Debug)]
pub enum BackendTarget<'a> {
    /// Engines that have the model loaded.
    Model(&'a ModelName),
    /// Plain services of this name.
    Service(&'a ServiceName),
}

/// A backend server that may get new requests, borrowed from the table.
#[derive(Clone, Copy, Debug)]
pub struct BackendView<'a> {
    /// Name of the backend server.
    pub name: &'a BackendName,
    /// Incarnation of the backend server.
    pub incarnation: Incarnation,
    /// Region of the backend server.
    pub region: &'a RegionName,
    /// Failure domain of the backend server.
    pub domain: &'a FailureDomain,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Model engine or plain service.
    pub kind: BackendKind,
    /// Processing capacity.
    pub capacity: BackendCapacity,
    /// Last reported load.
    pub load: LoadReport,
    /// Age of the last report.
    pub load_age: Duration,
    /// Requests of this gateway at the backend server.
    pub own: OwnLoad,
    /// The backend server has not reported for some time, restarts often, or a dispatch to it has
    /// failed. It is used only if no better one is left.
    pub suspect: bool,
    /// End of the back-off that the backend server has requested of this gateway, if not yet
    /// passed.
    pub backoff_until: Option<MonotonicTime>,
    /// Models that are loaded.
    pub models: &'a [ModelName],
    /// Time for which it has served without interruption, as observed by any gateway. A backend
    /// server that was recently started or cut off has a cold cache, and its share of requests
    /// should be increased gradually.
    pub serving_for: Duration,
    pub(crate) cache: &'a CacheEstimate,
    pub(crate) now: MonotonicTime,
}

impl BackendView<'_> {
    /// Estimates the number of requests running or waiting at the backend server now.
    pub fn requests(&self) -> u32 {
        self.own.requests(&self.load)
    }

    /// Estimates the number of prompt tokens queued for prefill at the backend server now.
    pub fn queued_prefill_tokens(&self) -> u64 {
        self.own.queued_prefill_tokens(&self.load)
    }

    /// Returns the expected number of cached tokens of a prompt with these blocks.
    pub fn expected_cached_tokens(&self, blocks: &[PrefixHash]) -> u32 {
        let tokens = self.cache.expected_blocks(blocks, self.now) * BLOCK_TOKENS as f32;
        tokens as u32
    }
}
