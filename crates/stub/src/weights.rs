//! The stand-in weight store: `GET /weights/{name}?bytes=N` gives N bytes, all downloads together
//! at a limited rate.

use {
    crate::{
        face::{FaceReply, not_found, query_number, typed_reply},
        server::{ServerHandle, StubError, start_server},
    },
    bytes::Bytes,
    futures::stream,
    gullglade_http::{ApiError, BodyError, HttpClient, ReplyBody, RequestBody, RequestHandler},
    gullglade_units::{LocalFuture, ModelName, MonotonicTime, ProcessContext},
    http::{Method, Request, StatusCode},
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
};

/// Bytes written at a time.
const WEIGHT_CHUNK: u64 = 64 << 10;

static ZEROS: [u8; WEIGHT_CHUNK as usize] = [0; WEIGHT_CHUNK as usize];

struct WeightStore {
    bytes_per_second: f64,
    free_at: Cell<MonotonicTime>,
    context: ProcessContext,
}

impl WeightStore {
    /// Waits for the turn of the next `length` bytes; turns come in order of asking.
    async fn take_turn(&self, length: u64) {
        let now = self.context.clock.now();
        let start = self.free_at.get().max(now);
        let end = start + Duration::from_secs_f64(length as f64 / self.bytes_per_second);
        self.free_at.set(end);
        self.context.clock.sleep(end.since(now)).await;
    }
}

struct WeightHandler(Rc<WeightStore>);

impl RequestHandler for WeightHandler {
    fn handle<'a>(
        &'a self,
        request: Request<RequestBody>,
        _remote: SocketAddr,
    ) -> LocalFuture<'a, FaceReply> {
        Box::pin(async move {
            serve_weights(self.0.clone(), &request).unwrap_or_else(ApiError::into_response)
        })
    }
}

fn serve_weights(
    store: Rc<WeightStore>,
    request: &Request<RequestBody>,
) -> Result<FaceReply, ApiError> {
    let path = request.uri().path();
    if request.method() != Method::GET || !path.starts_with("/weights/") {
        return Err(not_found(path));
    }
    let length = query_number(request.uri().query(), "bytes")?;
    let chunks = stream::unfold((store, length), next_chunk);
    let body = ReplyBody::stream(chunks);
    Ok(typed_reply(StatusCode::OK, "application/octet-stream", body))
}

async fn next_chunk(
    (store, left): (Rc<WeightStore>, u64),
) -> Option<(Result<Bytes, BodyError>, (Rc<WeightStore>, u64))> {
    if left == 0 {
        return None;
    }
    let length = left.min(WEIGHT_CHUNK);
    store.take_turn(length).await;
    let chunk = Bytes::from_static(&ZEROS[..length as usize]);
    Some((Ok(chunk), (store, left - length)))
}

/// A running weight store.
pub struct StubWeights;

impl StubWeights {
    /// Starts one that gives `bytes_per_second` (above zero) over all downloads.
    pub fn start(
        listen: SocketAddr,
        bytes_per_second: f64,
        context: ProcessContext,
    ) -> Result<ServerHandle, StubError> {
        let free_at = Cell::new(context.clock.now());
        let store = WeightStore { bytes_per_second, free_at, context: context.clone() };
        start_server(listen, Rc::new(WeightHandler(Rc::new(store))), context)
    }
}

/// Fetches weights; false where the store gave less than all.
pub(crate) async fn fetch_weights(
    client: &dyn HttpClient,
    store: SocketAddr,
    name: &ModelName,
    bytes: u64,
) -> bool {
    let request = Request::get(format!("/weights/{name}?bytes={bytes}"))
        .header(http::header::HOST, store.to_string())
        .body(Bytes::new())
        .expect("a model's name fits a path");
    let Ok(mut reply) = client.send(store, request).await else { return false };
    let mut received = 0;
    while let Some(chunk) = reply.body.next().await {
        let Ok(chunk) = chunk else { return false };
        received += chunk.len() as u64;
    }
    reply.head.status.is_success() && received == bytes
}
