//! Forwarding of requests between gateways, server side.

use {
    crate::{
        CallerRequest,
        execution::{ForwardedRequest, RequestExecution, SentRun},
        forward::{COMMIT, FORWARD, KEEP_ALIVE, LEASE, PROXY_PREFIX},
        forward_message::{ForwardFrame, ForwardRequest, pack_headers, unpack_headers},
        liveness::RunMonitor,
        outcome::{AttemptOutcome, AttemptTarget, NotRunReason, UnknownReason},
        proxy::Proxy,
        reservation::ReservationTable,
        response::{AttemptResponse, LateOutput},
        search::FoundPlace,
    },
    bytes::Bytes,
    futures::future::{Either, select},
    gullglade_peer::{HandlerTable, PeerFault, PeerHandler, PeerIdentity, PeerReplySink},
    gullglade_units::{LocalFuture, ServiceName, decode, encode, timeout},
    http::Method,
    std::{pin::pin, rc::Rc, time::Duration},
};

/// Time for which a place is reserved until it is committed. It is given to no other request in
/// this time.
const RESERVATION_LIMIT: Duration = Duration::from_secs(1);

/// Interval of reports to the calling gateway on a silent run.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Makes attempts on behalf of other gateways.
pub struct ForwardServer {
    proxy: Proxy,
    reservations: ReservationTable,
}

impl ForwardServer {
    /// Registers a server that makes attempts with `proxy`.
    pub fn register(proxy: &Proxy, handlers: &HandlerTable) {
        handlers.register(
            PROXY_PREFIX,
            Rc::new(Self { proxy: proxy.clone(), reservations: ReservationTable::default() }),
        );
    }

    /// Returns this region's offer for a service in milliseconds, as sent with the confirmation of
    /// arrival.
    fn offer_millis(&self, service: &ServiceName) -> Vec<u32> {
        let offer =
            self.proxy.dispatcher().with_scheduler(|scheduler, now| scheduler.offer(service, now));
        offer.map(|offer| offer.first_byte.to_millis()).unwrap_or_default()
    }

    /// Returns whether this gateway has the time and the memory for the request, and accounts for the
    /// memory of its body.
    fn can_take(&self, forward: &mut ForwardRequest) -> bool {
        let mut lease = self.proxy.body_budget().lease();
        if lease.grow_to(forward.body.len()).is_err()
            || !self.proxy.has_time_for_forward(forward.left)
        {
            return false;
        }
        forward.body = lease.attach(std::mem::take(&mut forward.body));
        true
    }

    async fn serve(&self, message: Bytes, reply: &mut PeerReplySink) -> Result<(), PeerFault> {
        let _in_progress = self.proxy.begin_forward();
        let mut forward: ForwardRequest = decode(&message).map_err(PeerFault::malformed)?;
        // It holds another copy of the body.
        drop(message);
        send_frame(reply, &ForwardFrame::Accepted(self.offer_millis(&forward.service))).await?;
        if !self.can_take(&mut forward) {
            return send_frame(reply, &ForwardFrame::NotRun(NotRunReason::GatewayUnfit, None))
                .await;
        }
        let method = Method::from_bytes(forward.method.as_bytes()).map_err(PeerFault::malformed)?;
        let request = CallerRequest {
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
        let execution = RequestExecution::forwarded(
            &self.proxy,
            request,
            ForwardedRequest {
                fingerprint: forward.print,
                service: forward.service,
                workspace: forward.workspace,
                waited: forward.waited,
                left: forward.left,
                tried: forward.tried,
                returns_to: forward.returns_to,
            },
        );
        let Some(mut execution) = execution else {
            return send_frame(reply, &ForwardFrame::NotRun(NotRunReason::RefusedAway, None)).await;
        };
        let found = match self.await_placement(&mut execution, reply).await? {
            Ok(found) => found,
            Err(outcome) => return send_outcome(reply, outcome).await,
        };
        let Some(token) = forward.reservation else {
            return self.attempt(&mut execution, found, reply).await;
        };
        let (_reservation, commit_receiver) = self.reservations.offer(token);
        send_frame(reply, &ForwardFrame::Placed).await?;
        let clock = Rc::clone(&self.proxy.context().clock);
        let committed = timeout(&*clock, RESERVATION_LIMIT, commit_receiver).await;
        let may_begin = found.may_be_used() && execution.check_hold().is_ok();
        let Some(Ok(commitment)) = committed.filter(|_| may_begin) else {
            return send_frame(reply, &ForwardFrame::NotRun(NotRunReason::Revoked, None)).await;
        };
        {
            let attempt = pin!(self.attempt(&mut execution, found, reply));
            let lease_expired = pin!(commitment.lease_expired(&*clock));
            if let Either::Left((outcome, _)) = select(attempt, lease_expired).await {
                return outcome;
            }
        }
        execution.log.record_lease_ended();
        send_frame(reply, &ForwardFrame::Unknown(UnknownReason::LostAway)).await
    }

    /// Makes an attempt and relays its outcome. The run ends with the time of the request, even if
    /// the cancellation by the calling gateway is late or lost.
    async fn attempt(
        &self,
        execution: &mut RequestExecution,
        found: FoundPlace,
        reply: &mut PeerReplySink,
    ) -> Result<(), PeerFault> {
        let SentRun { monitor, outcome, .. } = execution.send(found);
        let clock = Rc::clone(&self.proxy.context().clock);
        let result =
            timeout(&*clock, execution.left(), self.report_while_waiting(&monitor, reply, outcome))
                .await;
        match result.transpose()? {
            Some(AttemptOutcome::Response(response)) => {
                self.relay(execution, *response, reply).await
            }
            outcome => {
                let outcome = outcome.unwrap_or(AttemptOutcome::Unknown(UnknownReason::Overdue));
                execution.record_attempt(&monitor, &outcome);
                send_outcome(reply, outcome).await
            }
        }
    }

    /// Waits for a place, and reports to the calling gateway meanwhile that the request is queued.
    async fn await_placement(
        &self,
        execution: &mut RequestExecution,
        reply: &mut PeerReplySink,
    ) -> Result<Result<FoundPlace, AttemptOutcome>, PeerFault> {
        let clock = Rc::clone(&self.proxy.context().clock);
        let mut placement = pin!(execution.find_single_place());
        loop {
            if let Some(found) = timeout(&*clock, REPORT_INTERVAL, placement.as_mut()).await {
                return Ok(found);
            }
            send_frame(reply, &ForwardFrame::Queued).await?;
        }
    }

    /// Waits for `next`, the next output of `run`. Meanwhile reports at intervals to the calling
    /// gateway if the backend server is at work, so that it can decide to keep waiting.
    async fn report_while_waiting<T>(
        &self,
        run: &RunMonitor,
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
            // The calling gateway may cancel the run at any moment.
            run.note_silence(silence);
            let is_due = silence >= run.silence_limit;
            if let AttemptTarget::Local(backend) = &run.target {
                let is_at_work = !is_due || run.liveness.is_at_work();
                send_frame(reply, &ForwardFrame::Waiting { backend: backend.clone(), is_at_work })
                    .await?;
            }
        }
    }

    async fn relay(
        &self,
        execution: &mut RequestExecution,
        response: AttemptResponse,
        reply: &mut PeerReplySink,
    ) -> Result<(), PeerFault> {
        let AttemptResponse { target, liveness, status, headers, mut body } = response;
        let AttemptTarget::Local(backend) = &target else {
            // A forwarded request is never forwarded again.
            return send_frame(reply, &ForwardFrame::Unknown(UnknownReason::LostAway)).await;
        };
        let (backend, headers) = (backend.clone(), pack_headers(&headers));
        send_frame(reply, &ForwardFrame::Head { status: status.as_u16(), headers, backend })
            .await?;
        let run = RunMonitor {
            target,
            liveness,
            silence_limit: Duration::ZERO,
            at_work_silence_limit: None,
        };
        let clock = Rc::clone(&self.proxy.context().clock);
        let mut late = LateOutput::default();
        loop {
            let before = clock.now();
            let limit = late.wait_limit(&body, execution.left());
            let next = self.report_while_waiting(&run, reply, body.next());
            let next = timeout(&*clock, limit, next).await.transpose()?;
            let waited = clock.now().since(before);
            let reason = match next {
                Some(Some(Ok(bytes))) => {
                    // Comments do not begin the answer.
                    if body.has_begun() {
                        execution.note_response_begun();
                    }
                    late.note(bytes.len(), waited, execution.left());
                    send_frame(reply, &ForwardFrame::Chunk(bytes)).await?;
                    if !late.is_exceeded() {
                        continue;
                    }
                    UnknownReason::Overdue
                }
                Some(None) => return Ok(()),
                Some(Some(Err(error))) => UnknownReason::of_body(&error),
                None => UnknownReason::Overdue,
            };
            return send_frame(reply, &ForwardFrame::Unknown(reason)).await;
        }
    }

    /// Commits the place that `body` names, if it is still reserved.
    fn commit(&self, body: &[u8]) -> Result<Bytes, PeerFault> {
        let token: u64 = decode(body).map_err(PeerFault::malformed)?;
        Ok(Bytes::from(encode(&self.reservations.commit(token, None))))
    }

    /// Uses the place with a lease.
    fn lease(&self, body: &[u8]) -> Result<Bytes, PeerFault> {
        let (token, lease): (u64, Duration) = decode(body).map_err(PeerFault::malformed)?;
        Ok(Bytes::from(encode(&self.reservations.commit(token, Some(lease)))))
    }
}

/// Sends the outcome of an attempt without a response.
async fn send_outcome(reply: &mut PeerReplySink, outcome: AttemptOutcome) -> Result<(), PeerFault> {
    let frame = match outcome {
        AttemptOutcome::NotRun(reason, wait) => ForwardFrame::NotRun(reason, wait),
        AttemptOutcome::Unknown(reason) => ForwardFrame::Unknown(reason),
        AttemptOutcome::Response(_) => ForwardFrame::Unknown(UnknownReason::LostAway),
    };
    send_frame(reply, &frame).await
}

async fn send_frame(reply: &mut PeerReplySink, frame: &ForwardFrame) -> Result<(), PeerFault> {
    reply.send(Bytes::from(encode(frame))).await
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
                KEEP_ALIVE => Ok(Bytes::new()),
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
            self.serve(body, &mut reply).await
        })
    }
}
