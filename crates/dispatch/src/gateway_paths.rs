//! Gateways that have no path to the backend servers of a service.
//!
//! The load pattern: some gateways are partitioned from all backend servers, while callers and the
//! other gateways still reach them. A forwarded request that such a gateway refuses says nothing
//! about its region, whose other gateways still serve. So a refusal for lack of a path pauses only
//! the gateway that refused. The pause grows while the refusals continue, which bounds the requests
//! that visit a partitioned gateway first.

use {
    gullglade_units::{MonotonicTime, ServiceName, VmName},
    std::{
        collections::{BTreeMap, btree_map::Entry},
        time::Duration,
    },
};

/// The pause after the first refusal.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);

/// The longest pause, which bounds the time until a gateway that has its path back is used again.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// A gateway whose last pause ended longer ago than this starts over with the shortest pause.
const PAUSE_MEMORY: Duration = Duration::from_secs(4);

/// A pause of one gateway for one service.
#[derive(Clone, Copy, Debug)]
struct PathPause {
    until: MonotonicTime,
    length: Duration,
}

impl PathPause {
    fn new(now: MonotonicTime) -> Self {
        Self { until: now + INITIAL_PAUSE, length: INITIAL_PAUSE }
    }

    fn extend(&mut self, now: MonotonicTime) {
        // Several requests may be refused at once, by the same state of the gateway.
        if now < self.until {
            return;
        }
        self.length = match now.since(self.until) < PAUSE_MEMORY {
            true => MAX_PAUSE.min(self.length * 2),
            false => INITIAL_PAUSE,
        };
        self.until = now + self.length;
    }
}

/// The paths of other gateways to backend servers, as learned from forwarded requests.
#[derive(Debug, Default)]
pub(crate) struct GatewayPaths {
    pauses: BTreeMap<VmName, BTreeMap<ServiceName, PathPause>>,
}

impl GatewayPaths {
    /// Records that `gateway` refused a request because it has no path to backend servers of
    /// `service`. Returns whether this was not known before.
    pub(crate) fn note_lost(
        &mut self,
        gateway: &VmName,
        service: &ServiceName,
        now: MonotonicTime,
    ) -> bool {
        self.expire(now);
        match self.pauses.entry(gateway.clone()).or_default().entry(service.clone()) {
            Entry::Occupied(mut known) => {
                known.get_mut().extend(now);
                false
            }
            Entry::Vacant(vacant) => {
                vacant.insert(PathPause::new(now));
                true
            }
        }
    }

    /// Records that `gateway` reached a backend server of `service`.
    pub(crate) fn note_reached(&mut self, gateway: &VmName, service: &ServiceName) {
        if let Some(services) = self.pauses.get_mut(gateway) {
            services.remove(service);
        }
    }

    /// Returns whether requests of `service` may be forwarded to `gateway`.
    pub(crate) fn is_open(
        &self,
        gateway: &VmName,
        service: &ServiceName,
        now: MonotonicTime,
    ) -> bool {
        let pause = self.pauses.get(gateway).and_then(|services| services.get(service));
        pause.is_none_or(|pause| now >= pause.until)
    }

    /// Removes pauses that no longer count.
    fn expire(&mut self, now: MonotonicTime) {
        self.pauses.retain(|_, services| {
            services.retain(|_, pause| now < pause.until + PAUSE_MEMORY);
            !services.is_empty()
        });
    }
}
