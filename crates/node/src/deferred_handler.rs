//! HTTP handler that is set after its server has bound its port.

use {
    gullglade_http::{ApiError, ReplyBody, RequestBody, RequestHandler},
    gullglade_units::LocalFuture,
    http::{Request, Response, StatusCode},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
};

/// Breaks a dependency cycle: the gateway needs the port that its server was assigned, and the
/// server needs the gateway as its handler. No request arrives in between, because the handler is
/// set before the server's task is spawned.
#[derive(Default)]
pub(crate) struct DeferredHandler {
    handler: RefCell<Option<Rc<dyn RequestHandler>>>,
}

impl DeferredHandler {
    pub(crate) fn set(&self, handler: Rc<dyn RequestHandler>) {
        *self.handler.borrow_mut() = Some(handler);
    }
}

impl RequestHandler for DeferredHandler {
    fn handle<'a>(
        &'a self,
        request: Request<RequestBody>,
        remote: SocketAddr,
    ) -> LocalFuture<'a, Response<ReplyBody>> {
        let handler = self.handler.borrow().clone();
        Box::pin(async move {
            match handler {
                Some(handler) => handler.handle(request, remote).await,
                None => starting_error().into_response(),
            }
        })
    }
}

fn starting_error() -> ApiError {
    let message = "the process is starting; retry in 1 s";
    ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "starting", message)
        .retry_after(Duration::from_secs(1))
}
