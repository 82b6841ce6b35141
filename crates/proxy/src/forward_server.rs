//! Work from another region: the gateway there.

use {
    crate::{
        CallerRequest,
        answer::AttemptAnswer,
        forward::{
            COMMIT, FORWARD, ForwardCall, ForwardPiece, LEASE, PROXY_PREFIX, WARM, pack_headers,
            unpack_headers,
        },
        journey::{ForwardedWork, Journey, SentRun},
        liveness::RunWatch,
        outcome::{AttemptEnd, AttemptPlace, NotRunReason, UnknownReason},
        proxy::Proxy,
        reservation::ReservationTable,
        search::FoundPlace,
    },
    bytes::Bytes,
    futures::future::{Either, select},
    gullglade_peer::{HandlerTable, PeerFault, PeerHandler, PeerIdentity, PeerReplySink},
    gullglade_units::{LocalFuture, ServiceName, decode, encode, timeout},
    http::Method,
    std::{pin::pin, rc::Rc, time::Duration},
};

/// How long a place is reserved for the word that it is to be used. Nobody else gets it meanwhile.
const RESERVATION_LIMIT: Duration = Duration::from_secs(1);

/// How often the calling gateway is told of a run from which nothing comes.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Makes attempts for gateways of other regions.
pub struct ForwardServer {
    proxy: Proxy,
    reservations: ReservationTable,
}

impl ForwardServer {
    /// Serves the gateways of other regions with `proxy`.
    pub fn register(proxy: &Proxy, handlers: &HandlerTable) {
        handlers.register(
            PROXY_PREFIX,
            Rc::new(Self { proxy: proxy.clone(), reservations: ReservationTable::default() }),
        );
    }

    /// What this region offers of a service, for the word that a request has arrived.
    fn offer_millis(&self, service: &ServiceName) -> Vec<u32> {
        let offer =
            self.proxy.dispatcher().with_scheduler(|scheduler, now| scheduler.offer(service, now));
        offer.map(|offer| offer.first_byte.to_millis()).unwrap_or_default()
    }

    async fn serve(&self, body: &[u8], reply: &mut PeerReplySink) -> Result<(), PeerFault> {
        let _in_progress = self.proxy.begin_forward();
        let forward: ForwardCall = decode(body).map_err(PeerFault::malformed)?;
        put(reply, &ForwardPiece::Accepted(self.offer_millis(&forward.service))).await?;
        let method = Method::from_bytes(forward.method.as_bytes()).map_err(PeerFault::malformed)?;
        let call = CallerRequest {
            id: forward.id,
            key: None,
            method,
            host: forward.host,
            target: forward.target,
            headers: unpack_headers(forward.headers),
            body: forward.body,
            caller_timeout: Some(forward.left),
            prompt: forward.prompt,
            resume_after: forward.resume_after,
        };
        let journey = Journey::forwarded(
            &self.proxy,
            call,
            ForwardedWork {
                print: forward.print,
                service: forward.service,
                workspace: forward.workspace,
                waited: forward.waited,
                left: forward.left,
                tried: forward.tried,
                returns_to: forward.returns_to,
            },
        );
        let Some(mut journey) = journey else {
            return put(reply, &ForwardPiece::NotRun(NotRunReason::RefusedAway, None)).await;
        };
        let found = match self.placed(&mut journey, reply).await? {
            Ok(found) => found,
            Err(end) => return put_end(reply, end).await,
        };
        let Some(token) = forward.reservation else {
            return self.attempt(&mut journey, found, reply).await;
        };
        let (_reservation, used) = self.reservations.offer(token);
        put(reply, &ForwardPiece::Placed).await?;
        let clock = Rc::clone(&self.proxy.context().clock);
        let committed = timeout(&*clock, RESERVATION_LIMIT, used).await;
        let may_begin = found.may_be_used() && journey.check_hold().is_ok();
        let Some(Ok(commitment)) = committed.filter(|_| may_begin) else {
            return put(reply, &ForwardPiece::NotRun(NotRunReason::Revoked, None)).await;
        };
        {
            let attempt = pin!(self.attempt(&mut journey, found, reply));
            let ended = pin!(commitment.ended(&*clock));
            if let Either::Left((end, _)) = select(attempt, ended).await {
                return end;
            }
        }
        journey.log.lease_ended();
        put(reply, &ForwardPiece::Unknown(UnknownReason::LostAway)).await
    }

    /// Makes an attempt, and passes on what comes of it. The run ends with the time of the request,
    /// also where the word of that is late or lost on its way from the calling gateway.
    async fn attempt(
        &self,
        journey: &mut Journey,
        found: FoundPlace,
        reply: &mut PeerReplySink,
    ) -> Result<(), PeerFault> {
        let SentRun { watch, end, .. } = journey.send(found);
        let clock = Rc::clone(&self.proxy.context().clock);
        let reported = timeout(&*clock, journey.left(), self.reported(&watch, reply, end)).await;
        match reported.transpose()? {
            Some(AttemptEnd::Answer(answer)) => self.relay(journey, *answer, reply).await,
            end => {
                let end = end.unwrap_or(AttemptEnd::Unknown(UnknownReason::Overdue));
                journey.note_place(&watch, &end);
                put_end(reply, end).await
            }
        }
    }

    /// Waits for a place, and tells the calling gateway meanwhile that the request is in the queue.
    async fn placed(
        &self,
        journey: &mut Journey,
        reply: &mut PeerReplySink,
    ) -> Result<Result<FoundPlace, AttemptEnd>, PeerFault> {
        let clock = Rc::clone(&self.proxy.context().clock);
        let mut place = pin!(journey.single_place());
        loop {
            if let Some(found) = timeout(&*clock, REPORT_INTERVAL, place.as_mut()).await {
                return Ok(found);
            }
            put(reply, &ForwardPiece::Queued).await?;
        }
    }

    /// Waits for `next`, the next thing of `run`, and tells the calling gateway meanwhile whether the
    /// backend server is at work. That gateway decides whether to wait on.
    async fn reported<T>(
        &self,
        run: &RunWatch,
        reply: &mut PeerReplySink,
        next: impl Future<Output = T>,
    ) -> Result<T, PeerFault> {
        let mut next = pin!(next);
        let clock = Rc::clone(&self.proxy.context().clock);
        let began = clock.now();
        loop {
            if let Some(output) = timeout(&*clock, REPORT_INTERVAL, next.as_mut()).await {
                run.liveness.set_overdue(None);
                return Ok(output);
            }
            let silence = clock.now().since(began);
            // The calling gateway may cancel it at any moment.
            run.note_silence(silence);
            let is_due = silence >= run.patience;
            if let AttemptPlace::Here(backend) = &run.place {
                let is_at_work = !is_due || run.liveness.is_at_work();
                put(reply, &ForwardPiece::Waiting { backend: backend.clone(), is_at_work }).await?;
            }
        }
    }

    async fn relay(
        &self,
        journey: &mut Journey,
        answer: AttemptAnswer,
        reply: &mut PeerReplySink,
    ) -> Result<(), PeerFault> {
        let AttemptAnswer { place, liveness, status, headers, mut body } = answer;
        let AttemptPlace::Here(backend) = &place else {
            // A forwarded request is never forwarded again.
            return put(reply, &ForwardPiece::Unknown(UnknownReason::LostAway)).await;
        };
        let (backend, headers) = (backend.clone(), pack_headers(&headers));
        put(reply, &ForwardPiece::Head { status: status.as_u16(), headers, backend }).await?;
        let run = RunWatch { place, liveness, patience: Duration::ZERO, work_patience: None };
        let clock = Rc::clone(&self.proxy.context().clock);
        loop {
            let next = self.reported(&run, reply, body.next());
            let reason = match timeout(&*clock, journey.left(), next).await.transpose()? {
                Some(Some(Ok(bytes))) => {
                    journey.note_begun();
                    put(reply, &ForwardPiece::Chunk(bytes)).await?;
                    continue;
                }
                Some(None) => return Ok(()),
                Some(Some(Err(_))) => UnknownReason::Incomplete,
                None => UnknownReason::Overdue,
            };
            return put(reply, &ForwardPiece::Unknown(reason)).await;
        }
    }

    /// Has the place used for good that `body` names, where it is still reserved.
    fn commit(&self, body: &[u8]) -> Result<Bytes, PeerFault> {
        let token: u64 = decode(body).map_err(PeerFault::malformed)?;
        Ok(Bytes::from(encode(&self.reservations.commit(token, None))))
    }

    /// Has it used with a lease.
    fn lease(&self, body: &[u8]) -> Result<Bytes, PeerFault> {
        let (token, lease): (u64, Duration) = decode(body).map_err(PeerFault::malformed)?;
        Ok(Bytes::from(encode(&self.reservations.commit(token, Some(lease)))))
    }
}

/// Tells how an attempt ended without an answer.
async fn put_end(reply: &mut PeerReplySink, end: AttemptEnd) -> Result<(), PeerFault> {
    let piece = match end {
        AttemptEnd::NotRun(reason, wait) => ForwardPiece::NotRun(reason, wait),
        AttemptEnd::Unknown(reason) => ForwardPiece::Unknown(reason),
        AttemptEnd::Answer(_) => ForwardPiece::Unknown(UnknownReason::LostAway),
    };
    put(reply, &piece).await
}

async fn put(reply: &mut PeerReplySink, piece: &ForwardPiece) -> Result<(), PeerFault> {
    reply.send(Bytes::from(encode(piece))).await
}

impl PeerHandler for ForwardServer {
    fn call<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(async move {
            match method {
                WARM => Ok(Bytes::new()),
                COMMIT => self.commit(&body),
                LEASE => self.lease(&body),
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
