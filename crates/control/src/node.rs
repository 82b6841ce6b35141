//! A control process's part of the system, for those who put a process together.

use {
    crate::{
        change::{ChangeOutcome, ChangeRequest},
        config::ControlConfig,
        consensus::{
            ChangeError, ControlCore, ControlError, LOG_PREFIX, LogHandler, MemberStatus,
            ReplaceError,
        },
        disk::DataFolder,
        distribution::{CONFIG_PREFIX, ClusterStatus, ConfigFeed, ConfigHandler},
        entry::LogIndex,
        groups::{GroupOutcome, GroupRequest},
        state::ConfigState,
        traffic::{TrafficChange, TrafficOutcome},
    },
    gullglade_event::EventSink,
    gullglade_peer::{HandlerTable, PeerTransport},
    gullglade_units::{ProcessContext, VmName},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// The control role of a process: one member of the replicated log.
///
/// To wire it: open a [`FileFolder`](crate::FileFolder) on the data folder, call
/// [`start`](Self::start) inside the runtime with the process's peer transport, then
/// [`serve`](Self::serve) with its handler table. The process should end, with the message of
/// [`stopped`](Self::stopped), once that completes. Addresses in
/// [`ControlConfig::new`](ControlConfig::new) are peer addresses.
#[derive(Clone)]
pub struct ControlNode {
    core: Rc<ControlCore>,
}

impl ControlNode {
    /// Opens the data folder, brings back its state and starts to take part.
    pub async fn start(
        config: ControlConfig,
        context: ProcessContext,
        transport: Rc<dyn PeerTransport>,
        folder: Rc<dyn DataFolder>,
        events: Rc<dyn EventSink>,
    ) -> Result<Self, ControlError> {
        let core = ControlCore::open(config, context, transport, folder, events).await?;
        core.start();
        Ok(Self { core })
    }

    /// Serves the other control processes, and configuration to gateways.
    pub fn serve(&self, handlers: &HandlerTable) {
        let feed: Rc<dyn ConfigFeed> = Rc::clone(&self.core) as _;
        handlers.register(CONFIG_PREFIX, Rc::new(ConfigHandler(feed)));
        handlers.register(LOG_PREFIX, Rc::new(LogHandler(Rc::clone(&self.core))));
    }

    /// Has a change decided by the log: accepted, or in conflict with the one that won. A resend
    /// of the same change gets the first outcome.
    pub async fn change(&self, request: ChangeRequest) -> Result<ChangeOutcome, ChangeError> {
        self.core.change(request).await
    }

    /// Has a change of a region's claim group decided by the log, under the same rules as
    /// [`change`](Self::change).
    pub async fn change_group(&self, request: GroupRequest) -> Result<GroupOutcome, ChangeError> {
        self.core.change_group(request).await
    }

    /// Has a change of the traffic configuration decided by the log.
    pub async fn change_traffic(
        &self,
        change: TrafficChange,
    ) -> Result<TrafficOutcome, ChangeError> {
        self.core.change_traffic(change).await
    }

    /// Completes once the traffic configuration applied here is newer than `index`.
    pub async fn wait_for_traffic_after(&self, index: LogIndex) {
        self.core.until(|s| (s.config.traffic().changed() > index).then_some(())).await;
    }

    /// Adds peer addresses at which other control processes may be found.
    pub fn add_contacts(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.core.joining.add_contacts(addresses);
    }

    /// How long ago the state here was known to be everything that had been accepted; `None`
    /// where that was never known in this run.
    pub fn confirmed_ago(&self) -> Option<Duration> {
        let state = self.core.state.borrow();
        self.core.confirmed_ago(&state)
    }

    /// Has the voter on `old` replaced by the control process at `address`, which must have an
    /// empty folder. Returns once the replacement is begun; the leader carries it out.
    pub async fn replace(&self, old: VmName, address: SocketAddr) -> Result<(), ReplaceError> {
        self.core.replace(old, address).await
    }

    /// Waits until everything accepted before the call is applied here.
    pub async fn catch_up(&self) -> Result<LogIndex, ChangeError> {
        self.core.catch_up().await
    }

    /// Reads the state as it is applied here, which may be older than what was accepted
    /// elsewhere: see [`catch_up`](Self::catch_up).
    pub fn read<T>(&self, view: impl FnOnce(&ConfigState) -> T) -> T {
        view(&self.core.state.borrow().config)
    }

    /// What this process says about itself.
    pub fn status(&self) -> MemberStatus {
        self.core.status()
    }

    /// What all members and gateways say, as far as they answer.
    pub async fn cluster_status(&self) -> ClusterStatus {
        self.core.cluster_status().await
    }

    /// Completes when this process can no longer take part, with the reason and the remedy.
    pub async fn stopped(&self) -> ControlError {
        self.core.until(|s| s.stopped.clone()).await
    }
}
