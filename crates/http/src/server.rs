//! The HTTP server: accepts connections under bounds and hands requests to a [`RequestHandler`].

mod accept;
mod chunk_decoder;
mod config;
mod connection;
mod connection_table;
mod exchange;
mod guard;
mod head;
mod linger_slots;
mod refusal;
mod reply_buffers;
mod scratch;
mod stop;
mod wire_body;

use {
    crate::{ReplyBody, RequestBody},
    gullglade_units::LocalFuture,
    http::{Request, Response},
    std::net::SocketAddr,
};

pub use {
    accept::{BindError, HttpServer},
    config::ServerConfig,
    stop::StopHandle,
};

/// What answers requests.
pub trait RequestHandler {
    /// The reply to `request` of the caller at `remote`.
    ///
    /// The future is dropped when the caller hangs up before the reply begins.
    fn handle<'a>(
        &'a self,
        request: Request<RequestBody>,
        remote: SocketAddr,
    ) -> LocalFuture<'a, Response<ReplyBody>>;
}
