//! Backend servers as the routing decision sees them.

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

/// What candidates are asked for.
#[derive(Clone, Copy, Debug)]
pub enum BackendTarget<'a> {
    /// Engines that have the model loaded.
    Model(&'a ModelName),
    /// Plain services of that name.
    Service(&'a ServiceName),
}

/// One backend server that may get new work, borrowed from the table.
#[derive(Clone, Copy, Debug)]
pub struct BackendView<'a> {
    /// The backend server.
    pub name: &'a BackendName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The region it stands in.
    pub region: &'a RegionName,
    /// Its failure domain.
    pub domain: &'a FailureDomain,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// A model engine or a plain service.
    pub kind: BackendKind,
    /// What it can carry.
    pub capacity: BackendCapacity,
    /// The load it reported last.
    pub load: LoadReport,
    /// How old that report is.
    pub load_age: Duration,
    /// This gateway's own work there.
    pub own: OwnLoad,
    /// Silent for long, or a dispatch just failed: only where nothing better is left.
    pub suspect: bool,
    /// The end of the back-off that it has requested of this gateway, while it lasts.
    pub backoff_until: Option<MonotonicTime>,
    /// The models that it has loaded.
    pub models: &'a [ModelName],
    /// How long it has served without a break, also as other gateways saw it: what was lately
    /// started or cut off has a cold cache and should get its share of work only by degrees.
    pub serving_for: Duration,
    pub(crate) cache: &'a CacheEstimate,
    pub(crate) now: MonotonicTime,
}

impl BackendView<'_> {
    /// Requests running or waiting there now, as far as can be known here.
    pub fn requests(&self) -> u32 {
        self.own.requests(&self.load)
    }

    /// Prompt tokens still to be read there, as far as can be known here.
    pub fn queued_prefill_tokens(&self) -> u64 {
        self.own.queued_prefill_tokens(&self.load)
    }

    /// Tokens of a prompt, cut into these blocks, that its cache is expected to hold.
    pub fn expected_cached_tokens(&self, blocks: &[PrefixHash]) -> u32 {
        let tokens = self.cache.expected_blocks(blocks, self.now) * BLOCK_TOKENS as f32;
        tokens as u32
    }
}
