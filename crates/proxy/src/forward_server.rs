//! Work from another region: the gateway there.

use {
    crate::{
        CallerCall,
        answer::AttemptAnswer,
        forward::{
            FORWARD, ForwardCall, ForwardPiece, PROXY_PREFIX, WARM, pack_headers, unpack_headers,
        },
        journey::{ForwardedWork, Journey},
        outcome::{AttemptEnd, NotRunReason, UnknownReason},
        proxy::Proxy,
    },
    bytes::Bytes,
    gullglade_peer::{HandlerTable, PeerFault, PeerHandler, PeerIdentity, PeerReplySink},
    gullglade_units::{LocalFuture, ServiceName, decode, encode},
    http::Method,
    std::rc::Rc,
};

/// Makes attempts for gateways of other regions.
pub struct ForwardServer(Proxy);

impl ForwardServer {
    /// Serves the gateways of other regions with `proxy`.
    pub fn register(proxy: &Proxy, handlers: &HandlerTable) {
        handlers.register(PROXY_PREFIX, Rc::new(Self(proxy.clone())));
    }

    /// What this region offers of a service, for the word that a request has arrived.
    fn offer_millis(&self, service: &ServiceName) -> Vec<u32> {
        let offer = self.0.dispatcher().ask(|scheduler, now| scheduler.offer(service, now));
        offer.map(|offer| offer.first_byte.to_millis()).unwrap_or_default()
    }

    async fn serve(&self, body: &[u8], reply: &mut PeerReplySink) -> Result<(), PeerFault> {
        let _in_progress = self.0.begin_forward();
        let forward: ForwardCall = decode(body).map_err(PeerFault::malformed)?;
        put(reply, &ForwardPiece::Accepted(self.offer_millis(&forward.service))).await?;
        let method = Method::from_bytes(forward.method.as_bytes()).map_err(PeerFault::malformed)?;
        let call = CallerCall {
            id: forward.id,
            key: None,
            method,
            host: forward.host,
            target: forward.target,
            headers: unpack_headers(forward.headers),
            body: forward.body,
            patience: Some(forward.left),
            prompt: forward.prompt,
            resume_after: forward.resume_after,
        };
        let journey = Journey::forwarded(
            &self.0,
            call,
            ForwardedWork {
                print: forward.print,
                service: forward.service,
                workspace: forward.workspace,
                waited: forward.waited,
                left: forward.left,
            },
        );
        let end = match journey {
            Some(mut journey) => journey.single_attempt().await,
            None => AttemptEnd::NotRun(NotRunReason::RefusedAway, None),
        };
        match end {
            AttemptEnd::NotRun(reason, wait) => {
                put(reply, &ForwardPiece::NotRun(reason, wait)).await
            }
            AttemptEnd::Unknown(reason) => put(reply, &ForwardPiece::Unknown(reason)).await,
            AttemptEnd::Answer(answer) => relay(*answer, reply).await,
        }
    }
}

async fn relay(answer: AttemptAnswer, reply: &mut PeerReplySink) -> Result<(), PeerFault> {
    let AttemptAnswer { source, status, headers, mut body } = answer;
    let crate::answer::AnswerSource::Backend(backend) = source else {
        // A forwarded request is never forwarded again.
        return put(reply, &ForwardPiece::Unknown(UnknownReason::LostAway)).await;
    };
    let headers = pack_headers(&headers);
    put(reply, &ForwardPiece::Head { status: status.as_u16(), headers, backend }).await?;
    while let Some(piece) = body.next().await {
        let Ok(bytes) = piece else {
            return put(reply, &ForwardPiece::Unknown(UnknownReason::Incomplete)).await;
        };
        put(reply, &ForwardPiece::Chunk(bytes)).await?;
    }
    Ok(())
}

async fn put(reply: &mut PeerReplySink, piece: &ForwardPiece) -> Result<(), PeerFault> {
    reply.send(Bytes::from(encode(piece))).await
}

impl PeerHandler for ForwardServer {
    fn call<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        method: &'a str,
        _body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(async move {
            match method {
                WARM => Ok(Bytes::new()),
                _ => Err(PeerFault::unknown_method(method)),
            }
        })
    }

    fn stream<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
        mut reply: PeerReplySink,
    ) -> LocalFuture<'a, Result<(), PeerFault>> {
        Box::pin(async move {
            if method != FORWARD {
                return Err(PeerFault::unknown_method(method));
            }
            self.serve(&body, &mut reply).await
        })
    }
}
