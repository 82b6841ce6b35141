//! What the stand-ins' HTTP faces share: small replies, reading of bodies, faults.

use {
    crate::fault::{FaultOrder, FaultSwitch},
    bytes::Bytes,
    futures::{StreamExt, future::poll_fn, stream},
    gullglade_http::{ApiError, BodyError, ReplyBody, RequestBody},
    http::{Response, StatusCode, header::CONTENT_TYPE},
    serde::{Serialize, de::DeserializeOwned},
    std::task::Poll,
};

/// The most bytes of a request to a stand-in.
const BODY_LIMIT: usize = 16 << 20;

/// A reply of the stand-ins.
pub(crate) type FaceReply = Response<ReplyBody>;

/// 400, nothing ran.
pub(crate) fn bad_request(message: impl ToString) -> ApiError {
    ApiError::new(StatusCode::BAD_REQUEST, "bad_request", message.to_string())
}

/// 404, nothing ran.
pub(crate) fn not_found(what: &str) -> ApiError {
    ApiError::new(StatusCode::NOT_FOUND, "not_found", format!("there is no {what} here"))
}

/// The refusal of a fault: 503, nothing ran.
pub(crate) fn refused() -> ApiError {
    let message = "this backend server refuses requests for now; try another".to_owned();
    ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "refused", message)
}

/// 200 with `value` as JSON.
pub(crate) fn json_reply<T: Serialize>(value: &T) -> FaceReply {
    json_with(StatusCode::OK, Bytes::from(serde_json::to_vec(value).expect("plain data")))
}

/// A reply whose body is JSON already.
pub(crate) fn json_with(status: StatusCode, body: Bytes) -> FaceReply {
    typed_reply(status, "application/json", ReplyBody::full(body))
}

/// A reply of some content type.
pub(crate) fn typed_reply(status: StatusCode, kind: &'static str, body: ReplyBody) -> FaceReply {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, kind)
        .body(body)
        .expect("the head is made of valid parts")
}

/// The whole body of a request.
pub(crate) async fn read_body(body: RequestBody) -> Result<Bytes, ApiError> {
    Ok(body.collect(BODY_LIMIT).await?)
}

/// The body of a request as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(body: RequestBody) -> Result<T, ApiError> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).map_err(bad_request)
}

/// `POST /stub/fault`.
pub(crate) async fn switch_fault(
    faults: &FaultSwitch,
    body: RequestBody,
) -> Result<FaceReply, ApiError> {
    let order: FaultOrder = read_json(body).await?;
    faults.set(order);
    Ok(json_reply(&order))
}

/// The number that the query gives `name`, zero where it does not.
pub(crate) fn query_number(query: Option<&str>, name: &str) -> Result<u64, ApiError> {
    let pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, text)) = pairs.into_iter().find(|(key, _)| *key == name) else { return Ok(0) };
    text.parse().map_err(|_| bad_request(format!("{name} is {text:?}; give a whole number")))
}

/// The first half of an answer.
pub(crate) fn first_half(whole: &Bytes) -> Bytes {
    whole.slice(..whole.len() / 2)
}

/// A body that breaks visibly after its first bytes.
pub(crate) fn broken_body(start: Bytes) -> ReplyBody {
    ReplyBody::stream(stream::once(async { Ok(start) }).chain(stream::once(break_off())))
}

/// No reply at all: a body that fails before anything of the reply was flushed.
pub(crate) fn reset_body() -> ReplyBody {
    ReplyBody::stream(stream::iter([Err(broken())]))
}

/// Breaks a body off once everything before is on its way. Without the pause a reply whose parts
/// are all ready is dropped unflushed, and the caller sees no reply instead of a broken one.
pub(crate) async fn break_off() -> Result<Bytes, BodyError> {
    yield_once().await;
    Err(broken())
}

/// Lets the connection's task flush.
async fn yield_once() {
    let mut yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

fn broken() -> BodyError {
    BodyError::Aborted { reason: "a fault was switched on".to_owned() }
}
