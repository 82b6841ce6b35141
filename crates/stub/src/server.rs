//! Starting and stopping the HTTP server of a stand-in.

use {
    gullglade_http::{HttpServer, RequestHandler, ServerConfig, StopHandle},
    gullglade_units::ProcessContext,
    snafu::Snafu,
    std::{net::SocketAddr, rc::Rc},
};

/// Why a stand-in did not start.
#[derive(Debug, Snafu)]
pub enum StubError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {reason}; give a free address of this VM"))]
    Listen {
        /// The address given.
        address: SocketAddr,
        /// The system's words.
        reason: String,
    },
}

/// A running server.
pub struct ServerHandle {
    address: SocketAddr,
    stop: StopHandle,
}

impl ServerHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes nothing new and waits until the requests in progress are answered.
    pub async fn stop(&self) {
        self.stop.stop();
        self.stop.finished().await;
    }

    /// Drops every connection at once, as a kill would.
    pub fn kill(&self) {
        self.stop.abort();
    }
}

/// A stand-in is no place for bounds: they are the gateway's, and are tested there.
fn server_config() -> ServerConfig {
    ServerConfig::new().connection_limit(usize::MAX).per_address_limit(usize::MAX)
}

/// Binds and serves in a task of its own.
pub(crate) fn start_server(
    listen: SocketAddr,
    handler: Rc<dyn RequestHandler>,
    context: ProcessContext,
) -> Result<ServerHandle, StubError> {
    let spawner = context.spawner.clone();
    let server = HttpServer::bind(listen, server_config(), context, handler)
        .map_err(|e| StubError::Listen { address: listen, reason: e.to_string() })?;
    let handle = ServerHandle { address: server.local_addr(), stop: server.stop_handle() };
    spawner.spawn(Box::pin(server.run()));
    Ok(handle)
}
