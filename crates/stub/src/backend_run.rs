//! What running stand-ins share: how they leave and how they die.

use {
    crate::{announcer::BackendAnnouncer, server::ServerHandle},
    gullglade_units::ProcessContext,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// The server and the announcer of one stand-in.
pub(crate) struct BackendRun {
    pub(crate) server: ServerHandle,
    pub(crate) announcer: Rc<BackendAnnouncer>,
    pub(crate) context: ProcessContext,
    pub(crate) leave_grace: Duration,
}

impl BackendRun {
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Says that it leaves, takes requests for the grace that gateways need to hear of it,
    /// finishes what is in progress and falls silent.
    pub(crate) async fn leave(&self) {
        self.announcer.leave();
        self.context.clock.sleep(self.leave_grace).await;
        self.server.stop().await;
        self.announcer.stop();
    }

    pub(crate) fn kill(&self) {
        self.announcer.stop();
        self.server.kill();
    }
}
