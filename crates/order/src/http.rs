//! HTTP client of the platform: `POST` and `GET /platform/orders` of each engine.

use {
    crate::{
        EngineOrders, EngineTarget, FenceNumber, PlatformClient, PlatformError, PlatformOrder,
    },
    bytes::Bytes,
    gullglade_http::{ClientError, ClientReply, HttpClient},
    gullglade_units::{ChangeId, LocalFuture},
    http::{Request, StatusCode, header},
    serde::Deserialize,
    std::rc::Rc,
};

/// Path of an engine's orders.
const ORDERS_PATH: &str = "/platform/orders";

/// Maximum size in bytes of an engine's answer: about its thousand latest orders.
const ANSWER_LIMIT: usize = 1 << 20;

/// Sends orders over HTTP.
pub struct HttpPlatform {
    client: Rc<dyn HttpClient>,
}

/// An engine's answer. Additional fields are ignored.
#[derive(Deserialize)]
struct OrdersReply {
    #[serde(default)]
    fence: FenceNumber,
    #[serde(default)]
    orders: Vec<ListedOrder>,
}

#[derive(Deserialize)]
struct ListedOrder {
    order: ListedOrderId,
    outcome: ListedOutcome,
}

#[derive(Deserialize)]
struct ListedOrderId {
    #[serde(default)]
    id: Option<ChangeId>,
}

#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
enum ListedOutcome {
    Obeyed,
    #[serde(other)]
    Other,
}

impl HttpPlatform {
    /// Creates a platform client that uses `client` and its time limits.
    pub fn new(client: Rc<dyn HttpClient>) -> Self {
        Self { client }
    }

    async fn call(
        &self,
        target: &EngineTarget,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = request
            .header(header::HOST, target.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .expect("the path is constant and the headers are printable");
        let sent = self.client.send(target.address, request).await;
        let reply = sent.map_err(|error| client_error(target, &error))?;
        read_answer(target, reply).await
    }
}

async fn read_answer(
    target: &EngineTarget,
    reply: ClientReply,
) -> Result<(StatusCode, Bytes), PlatformError> {
    let body = reply.body.collect(ANSWER_LIMIT).await.map_err(|error| {
        let backend = target.backend.clone();
        PlatformError::Unanswered { backend, reason: error.to_string() }
    })?;
    Ok((reply.head.status, body))
}

fn client_error(target: &EngineTarget, error: &ClientError) -> PlatformError {
    let (backend, reason) = (target.backend.clone(), error.to_string());
    match error.nothing_sent() {
        true => PlatformError::Unreachable { backend, reason },
        false => PlatformError::Unanswered { backend, reason },
    }
}

/// Maps an unsuccessful answer to an error. A conflict means a stale fencing number, any other
/// client error is a refusal, and after a server error the engine may have taken the order.
fn refusal(target: &EngineTarget, status: StatusCode, body: &[u8]) -> PlatformError {
    let backend = target.backend.clone();
    if status == StatusCode::CONFLICT {
        let answer = serde_json::from_slice(body);
        let seen = answer.map_or(FenceNumber(0), |answer: OrdersReply| answer.fence);
        return PlatformError::StaleFence { backend, seen };
    }
    let reason = format!("status {}", status.as_u16());
    match status.is_client_error() {
        true => PlatformError::Refused { backend, reason },
        false => PlatformError::Unanswered { backend, reason },
    }
}

impl PlatformClient for HttpPlatform {
    fn send<'a>(
        &'a self,
        target: &'a EngineTarget,
        order: &'a PlatformOrder,
    ) -> LocalFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move {
            let body = serde_json::to_vec(order).expect("an order serializes to JSON");
            let (status, body) = self.call(target, Request::post(ORDERS_PATH), body.into()).await?;
            match status.is_success() {
                true => Ok(()),
                false => Err(refusal(target, status, &body)),
            }
        })
    }

    fn orders<'a>(
        &'a self,
        target: &'a EngineTarget,
    ) -> LocalFuture<'a, Result<EngineOrders, PlatformError>> {
        Box::pin(async move {
            let (status, body) = self.call(target, Request::get(ORDERS_PATH), Bytes::new()).await?;
            if !status.is_success() {
                return Err(refusal(target, status, &body));
            }
            let answer: OrdersReply = serde_json::from_slice(&body).map_err(|error| {
                let reason = format!("its list of orders cannot be parsed: {error}");
                PlatformError::Refused { backend: target.backend.clone(), reason }
            })?;
            let obeyed = answer.orders.into_iter().filter(|o| o.outcome == ListedOutcome::Obeyed);
            let taken = obeyed.filter_map(|order| order.order.id).collect();
            Ok(EngineOrders { fence: answer.fence, taken })
        })
    }
}
