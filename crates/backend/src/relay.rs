//! The relaying of membership between the gateways of one region.
//!
//! One task per peer sends it one batch a tick: heartbeats, loads and changed records, along the
//! two steps of the [`RelayPlan`]. When a backend server stops taking work, or a gateway comes or
//! goes, everybody is told at once and by many ways: by the gateway that heard it, and by each that
//! hears of it to all of its plan, so that the word gets round also if the first gateway dies in
//! the middle of telling it. Whatever is lost all the same shows in the digests and is fetched by
//! a sync.

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

/// Who the own gateway is.
#[derive(Clone, Debug)]
pub struct LocalGateway {
    /// Its VM.
    pub vm: VmName,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub profile: GatewayProfile,
}

/// What the relay needs of its process.
#[derive(Clone)]
pub struct RelayDependencies {
    /// Calls other gateways.
    pub transport: Rc<dyn PeerTransport>,
    /// Takes the events of membership.
    pub events: Rc<dyn EventSink>,
    /// Clocks, randomness, tasks.
    pub context: ProcessContext,
}

/// The membership of one gateway: its table, its peers and the tasks that keep them equal.
#[derive(Clone)]
pub struct BackendRelay {
    shared: Rc<RelayShared>,
}

impl BackendRelay {
    /// A relay that fills `table`. Nothing runs before [`start`](Self::start).
    pub fn new(
        local: LocalGateway,
        table: Rc<BackendTable>,
        config: RelayConfig,
        dependencies: RelayDependencies,
    ) -> Self {
        Self { shared: Rc::new(RelayShared::new(local, table, config, dependencies)) }
    }

    /// Starts to join the region and to keep in touch with it.
    pub fn start(&self) {
        let shared = self.shared.clone();
        let task = housekeeping::run(shared.clone());
        shared.dependencies.context.spawner.spawn(Box::pin(task));
    }

    /// Serves the peer methods `backend.…`.
    pub fn handler(&self) -> Rc<dyn PeerHandler> {
        Rc::new(RelayHandler { shared: self.shared.clone() })
    }

    /// Takes in an announcement. When it says `leaving`, the answer waits until the region's
    /// gateways have it, or for [`RelayConfig::urgent_limit`]: a backend server that got the
    /// answer may rely on getting no new work, and one that did not tells another gateway.
    pub async fn announce(
        &self,
        announcement: &Announcement,
    ) -> Result<AnnounceReply, AnnounceRefusal> {
        let outcome = self.shared.table.announce(announcement)?;
        self.shared.note_announcement(announcement, outcome.change);
        if outcome.change.membership && announcement.state == ServingState::Leaving {
            self.shared.wait_delivered().await;
        }
        Ok(outcome.reply)
    }

    /// Sets what this gateway carries; told with the next heartbeats.
    pub fn set_load(&self, load: GatewayLoad) {
        self.shared.members.set_load(load);
    }

    /// This gateway takes no new callers from now on. Completes when the region knows it, or after
    /// [`RelayConfig::urgent_limit`].
    pub async fn drain(&self) {
        self.shared.drain();
        self.shared.wait_delivered().await;
    }

    /// The gateways of the region that are not known to be dead.
    pub fn members(&self) -> BTreeSet<VmName> {
        self.shared.members.alive()
    }

    /// What each other region offers for `target`.
    pub fn summaries(&self, target: BackendTarget<'_>) -> Vec<RegionSummary> {
        self.shared.regions.summaries(target)
    }

    /// The gateways of another region to turn to, those that failed lately last, the others in an
    /// order of this gateway's own, so that a region's gateways spread over another's.
    pub fn contacts(&self, region: &RegionName) -> Vec<GatewayContact> {
        self.shared.ordered_contacts(region)
    }

    /// A call to the gateway of another region at `address` did not get through.
    pub fn note_failure(&self, address: SocketAddr) {
        self.shared.regions.note_failure(address);
    }

    pub(crate) fn entry_candidates(&self) -> Vec<EntryCandidate> {
        let mut candidates = local_candidates(&self.shared.members);
        candidates.extend(remote_candidates(&self.shared.regions));
        candidates
    }

    /// Whom this gateway tells what.
    pub fn plan(&self) -> Rc<RelayPlan> {
        self.shared.plan()
    }

    /// Whether a peer has answered since the start, or it was found that there is none: the table
    /// is as good as the region's knowledge.
    pub fn is_joined(&self) -> bool {
        self.shared.joined.get()
    }
}
