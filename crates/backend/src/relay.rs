//! Gossip of membership between the gateways of a region.
//!
//! One task per peer sends a batch of heartbeats, loads and changed records at each interval, in
//! the two steps of the [`RelayPlan`]. Urgent changes are sent immediately and redundantly: a
//! backend server that stops accepting requests, or a gateway that joins or leaves. They are sent
//! by the gateway that received them and by every gateway that learns of them, to all peers of its
//! plan, so that they still spread if the first gateway fails while sending. Updates that are lost
//! nevertheless show up as digest mismatches and are recovered by anti-entropy sync.

mod anti_entropy;
mod config;
mod handler;
mod housekeeping;
mod peer_task;
mod region_reporter;
mod shared;

use {
    crate::{
        AnnounceRefusal, AnnounceReply, Announcement, BackendTable, BackendTarget, GatewayContact,
        GatewayLoad, GatewayProfile, RegionSummary, RelayPlan, ServingState,
        entry_table::{EntryCandidate, local_candidates, remote_candidates},
    },
    gullglade_event::EventSink,
    gullglade_peer::{PeerHandler, PeerTransport},
    gullglade_units::{Incarnation, ProcessContext, RegionName, VmName},
    handler::RelayHandler,
    shared::RelayShared,
    std::{collections::BTreeSet, net::SocketAddr, rc::Rc},
};

pub use config::RelayConfig;

/// Identity of this gateway.
#[derive(Clone, Debug)]
pub struct LocalGateway {
    /// VM of the gateway.
    pub vm: VmName,
    /// Incarnation of this run.
    pub incarnation: Incarnation,
    /// Location and addresses.
    pub profile: GatewayProfile,
}

/// Services of the process that the relay depends on.
#[derive(Clone)]
pub struct RelayDependencies {
    /// Transport for calls to other gateways.
    pub transport: Rc<dyn PeerTransport>,
    /// Sink for membership events.
    pub events: Rc<dyn EventSink>,
    /// Clock, random source and task spawner.
    pub context: ProcessContext,
}

/// Membership service of one gateway: its table, its peers and the tasks that replicate the state.
#[derive(Clone)]
pub struct BackendRelay {
    shared: Rc<RelayShared>,
}

impl BackendRelay {
    /// Creates a relay that maintains `table`. No task runs before [`start`](Self::start).
    pub fn new(
        local: LocalGateway,
        table: Rc<BackendTable>,
        config: RelayConfig,
        dependencies: RelayDependencies,
    ) -> Self {
        Self { shared: Rc::new(RelayShared::new(local, table, config, dependencies)) }
    }

    /// Starts the tasks that join the region and exchange updates with its gateways.
    pub fn start(&self) {
        let shared = self.shared.clone();
        let task = housekeeping::run(shared.clone());
        shared.dependencies.context.spawner.spawn(Box::pin(task));
    }

    /// Returns the handler for the peer methods `backend.…`.
    pub fn handler(&self) -> Rc<dyn PeerHandler> {
        Rc::new(RelayHandler { shared: self.shared.clone() })
    }

    /// Processes an announcement.
    ///
    /// If the state is `leaving`, the reply is delayed until the gateways of the region have
    /// received it, or until [`RelayConfig::urgent_timeout`]. A backend server that receives the
    /// reply can rely on getting no new requests. One that does not must announce to another
    /// gateway.
    pub async fn announce(
        &self,
        announcement: &Announcement,
    ) -> Result<AnnounceReply, AnnounceRefusal> {
        let outcome = self.shared.table.announce(announcement)?;
        self.shared.propagate_announcement(announcement, outcome.change);
        if outcome.change.membership && announcement.state == ServingState::Leaving {
            self.shared.wait_delivered().await;
        }
        Ok(outcome.reply)
    }

    /// Sets the load of this gateway, which is sent with the next heartbeats.
    pub fn set_load(&self, load: GatewayLoad) {
        self.shared.members.set_load(load);
    }

    /// Marks this gateway as draining: it accepts no new callers. Completes when the gateways of
    /// the region have been notified, or after [`RelayConfig::urgent_timeout`].
    pub async fn drain(&self) {
        self.shared.drain();
        self.shared.wait_delivered().await;
    }

    /// Returns the gateways of the region that are not known to be dead.
    pub fn members(&self) -> BTreeSet<VmName> {
        self.shared.members.alive()
    }

    /// Returns the capacity and load of each other region for `target`.
    pub fn summaries(&self, target: BackendTarget<'_>) -> Vec<RegionSummary> {
        self.shared.regions.summaries(target)
    }

    /// Returns the contacts of another region. Recently failed ones come last. The others are in an
    /// order specific to this gateway, so that the gateways of a region spread over those of the
    /// other.
    pub fn contacts(&self, region: &RegionName) -> Vec<GatewayContact> {
        self.shared.ordered_contacts(region)
    }

    /// Records a failed call to the gateway of another region at `address`.
    pub fn note_failure(&self, address: SocketAddr) {
        self.shared.regions.note_failure(address);
    }

    pub(crate) fn entry_candidates(&self) -> Vec<EntryCandidate> {
        let mut candidates = local_candidates(&self.shared.members);
        candidates.extend(remote_candidates(&self.shared.regions));
        candidates
    }

    /// Returns the current dissemination plan of this gateway.
    pub fn plan(&self) -> Rc<RelayPlan> {
        self.shared.plan()
    }

    /// Returns whether the initial sync has completed: a peer has answered since the start, or none
    /// was found.
    pub fn is_joined(&self) -> bool {
        self.shared.joined.get()
    }
}
