//! Leave to send a request that may be taken back while it waits for its connection.

use {
    super::{ClientError, ClientReply, HttpClient},
    bytes::Bytes,
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    http::Request,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU8, Ordering},
        },
    },
};

const WAITING: u8 = 0;
const BEGUN: u8 = 1;
const REVOKED: u8 = 2;

/// Sends until the head of the reply, or until `revoked` is told: that the request's [`SendPermit`]
/// was taken back before anything was sent.
pub async fn send_unless_revoked(
    client: &dyn HttpClient,
    address: SocketAddr,
    request: Request<Bytes>,
    revoked: &mut oneshot::Receiver<()>,
) -> Result<ClientReply, ClientError> {
    match select(client.send(address, request), revoked).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right((Ok(()), _)) => Err(ClientError::Revoked { address }),
        // It is being sent, and can no longer be taken back.
        Either::Right((Err(_), sending)) => sending.await,
    }
}

/// Request extension: the request is sent only if this has not been revoked by the time at which
/// its connection is open. It may wait for a connection for as long as the client is allowed to
/// connect.
#[derive(Clone, Debug, Default)]
pub struct SendPermit {
    // Extensions of a request have to be shareable between threads.
    state: Arc<AtomicU8>,
}

impl SendPermit {
    /// Takes it back; false where the request is being sent, or was.
    pub fn revoke(&self) -> bool {
        self.state.compare_exchange(WAITING, REVOKED, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }

    /// Uses it, right before the first byte is written; false where it was revoked.
    pub fn begin(&self) -> bool {
        let begun =
            self.state.compare_exchange(WAITING, BEGUN, Ordering::Relaxed, Ordering::Relaxed);
        begun != Err(REVOKED)
    }

    /// Whether the request is being sent, or was.
    pub fn has_begun(&self) -> bool {
        self.state.load(Ordering::Relaxed) == BEGUN
    }
}
