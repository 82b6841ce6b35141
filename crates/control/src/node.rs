//! The public interface of the control role of a process.

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
/// To run it, open a [`FileFolder`](crate::FileFolder) on the data folder, call
/// [`start`](Self::start) inside the runtime with the process's peer transport, then
/// [`serve`](Self::serve) with its handler table. When [`stopped`](Self::stopped) completes, the
/// process should exit with the error that it returns. Addresses in
/// [`ControlConfig::new`](ControlConfig::new) are peer addresses.
#[derive(Clone)]
pub struct ControlNode {
    core: Rc<ControlCore>,
}

impl ControlNode {
    /// Opens the data folder, recovers its state and starts the member's tasks.
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

    /// Registers the handlers that serve other control processes and distribute configuration to
    /// gateways.
    pub fn serve(&self, handlers: &HandlerTable) {
        let feed: Rc<dyn ConfigFeed> = Rc::clone(&self.core) as _;
        handlers.register(CONFIG_PREFIX, Rc::new(ConfigHandler(feed)));
        handlers.register(LOG_PREFIX, Rc::new(LogHandler(Rc::clone(&self.core))));
    }

    /// Proposes a change to a service's document and waits for its outcome: accepted, or in
    /// conflict with an earlier change. A resend of the same change returns the first outcome.
    pub async fn change(&self, request: ChangeRequest) -> Result<ChangeOutcome, ChangeError> {
        self.core.change(request).await
    }

    /// Proposes a change to a region's claim group and waits for its outcome, with the same
    /// semantics as [`change`](Self::change).
    pub async fn change_group(&self, request: GroupRequest) -> Result<GroupOutcome, ChangeError> {
        self.core.change_group(request).await
    }

    /// Proposes a change to the traffic configuration and waits for its outcome for at most `limit`,
    /// the time after which the operator turns to another process. An evacuation order that reaches
    /// the leader later is not applied if another one was acknowledged meanwhile.
    pub async fn change_traffic(
        &self,
        change: TrafficChange,
        limit: Duration,
    ) -> Result<TrafficOutcome, ChangeError> {
        self.core.change_traffic(change, limit).await
    }

    /// Waits until the traffic configuration applied by this process is newer than `index`.
    pub async fn wait_for_traffic_after(&self, index: LogIndex) {
        self.core.wait_until(|s| (s.config.traffic().changed() > index).then_some(())).await;
    }

    /// Adds peer addresses at which other control processes may be found.
    pub fn add_contacts(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.core.joining.add_contacts(addresses);
    }

    /// Returns the time since the state of this process was last known to include every accepted
    /// change, or `None` if that has not been established since the process started.
    pub fn confirmed_ago(&self) -> Option<Duration> {
        let state = self.core.state.borrow();
        self.core.confirmed_ago(&state)
    }

    /// Starts the replacement of the voter on `old` by the control process at `address`, whose data
    /// folder must be empty. Returns once the replacement has begun; the leader completes it.
    pub async fn replace(&self, old: VmName, address: SocketAddr) -> Result<(), ReplaceError> {
        self.core.replace(old, address).await
    }

    /// Waits until every change accepted before the call is applied by this process.
    pub async fn catch_up(&self) -> Result<LogIndex, ChangeError> {
        self.core.catch_up().await
    }

    /// Reads the state applied by this process, which may lag behind what other members have
    /// accepted; see [`catch_up`](Self::catch_up).
    pub fn read<T>(&self, view: impl FnOnce(&ConfigState) -> T) -> T {
        view(&self.core.state.borrow().config)
    }

    /// Returns the status of this process.
    pub fn status(&self) -> MemberStatus {
        self.core.status()
    }

    /// Collects the status of all members and gateways that answer.
    pub async fn cluster_status(&self) -> ClusterStatus {
        self.core.cluster_status().await
    }

    /// Waits until this process can no longer participate, and returns the error with its remedy.
    pub async fn stopped(&self) -> ControlError {
        self.core.wait_until(|s| s.stopped.clone()).await
    }
}
