//! Server side of forwarding: runs requests from gateways of other regions and never forwards them
//! again.

use {
    crate::{
        attempt::AttemptAnswer,
        call::{CallContent, CallPlan, Idempotency},
        forward::{ForwardReply, ForwardRequest},
        gateway::Gateway,
        placement::AttemptHistory,
        span::RequestSpan,
    },
    bytes::Bytes,
    futures::StreamExt,
    gullglade_backend::PromptBlocks,
    gullglade_event::{EventDraft, Invariant, Level},
    gullglade_http::{ApiError, RunState},
    gullglade_peer::{PeerFault, PeerHandler, PeerIdentity, PeerReplySink},
    gullglade_route::check_forward,
    gullglade_units::{LocalFuture, decode, encode},
    http::Method,
    std::{rc::Rc, time::Duration},
};

impl PeerHandler for Gateway {
    fn call<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        method: &'a str,
        _body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(async move { Err(PeerFault::unknown_method(method)) })
    }

    fn stream<'a>(
        &'a self,
        from: &'a PeerIdentity,
        _method: &'a str,
        body: Bytes,
        reply: PeerReplySink,
    ) -> LocalFuture<'a, Result<(), PeerFault>> {
        Box::pin(async move {
            let request = decode::<ForwardRequest>(&body).map_err(PeerFault::malformed)?;
            self.run_forwarded(from, request, reply).await
        })
    }
}

impl Gateway {
    async fn run_forwarded(
        &self,
        from: &PeerIdentity,
        request: ForwardRequest,
        mut reply: PeerReplySink,
    ) -> Result<(), PeerFault> {
        let plan = match self.forwarded_plan(from, request) {
            Ok(plan) => plan,
            Err(reason) => return send_head(&mut reply, &not_run(reason)).await,
        };
        self.emit(&plan, "forward.received", |e| e.optional("origin", plan.origin.as_ref()));
        let mut history = AttemptHistory::default();
        match self.run_attempts(&plan, &mut history).await {
            Ok(answer) => self.relay_forwarded(&plan, answer, reply).await,
            Err(error) => send_head(&mut reply, &refusal_reply(&error)).await,
        }
    }

    /// Relays an answer piece by piece. If the answer breaks off, the reply fails too.
    async fn relay_forwarded(
        &self,
        plan: &CallPlan,
        mut answer: AttemptAnswer,
        mut reply: PeerReplySink,
    ) -> Result<(), PeerFault> {
        let head = ForwardReply::Answer {
            id: plan.id,
            status: answer.status.as_u16(),
            headers: answer.headers.clone(),
            backend: answer.backend.clone(),
            ran: answer.run != RunState::NotRun,
        };
        send_head(&mut reply, &head).await?;
        let mut first = true;
        while let Some(piece) = answer.body.next().await {
            if std::mem::take(&mut first) {
                answer.guard.first_token();
            }
            if piece.is_err() {
                // The sender resumes the answer with a new forward to this region. Recording the
                // failure keeps that attempt from choosing the same backend server first.
                self.backends.note_failure(&answer.backend);
            }
            reply.send(piece.map_err(PeerFault::unavailable)?).await?;
        }
        Ok(())
    }

    /// Reports to operators which gateway sent a request that would violate `invariant`.
    fn report_violation(
        &self,
        invariant: Invariant,
        from: &PeerIdentity,
        request: &ForwardRequest,
    ) {
        self.metrics.record_violation(invariant);
        self.events.emit(
            EventDraft::new("forward.refused")
                .level(Level::Error)
                .field("request", request.id)
                .field("promise", invariant.label())
                .field("vm_from", &from.vm)
                .field("origin", &request.origin),
        );
    }

    /// Validates a forwarded request without trusting its sender: an outdated configuration there
    /// must not move data to this region, and a request must not loop between regions.
    fn forwarded_plan(
        &self,
        from: &PeerIdentity,
        request: ForwardRequest,
    ) -> Result<CallPlan, &'static str> {
        if check_forward(Some(&request.origin), &from.region, &self.config.region).is_err() {
            self.report_violation(Invariant::NoLoop, from, &request);
            return Err("the request has already been forwarded between regions");
        }
        if self.is_draining() {
            return Err("the gateway is shutting down");
        }
        let memory = self
            .memory
            .reserve(request.body.len())
            .ok_or("the gateway has no memory left for request bodies")?;
        let view = self.documents.current().ok_or("the gateway has no configuration")?;
        let document = view.document(&request.service).ok_or("the service is not known here")?;
        let rules = document
            .workspaces
            .iter()
            .find(|w| w.name == request.workspace)
            .ok_or("the workspace is not known here")?;
        let allowed = document.regions_of(&request.target).unwrap_or_default();
        let home_allows = rules.home.as_ref().is_none_or(|home| *home == self.config.region);
        if !allowed.contains(&self.config.region) || !home_allows {
            self.report_violation(Invariant::Residency, from, &request);
            return Err("the service's document does not allow this region");
        }
        let received = self.context.clock.now();
        let span = RequestSpan::for_forwarded(request.id, &request.service, received);
        let idempotency = match request.repeatable {
            true => Idempotency::Idempotent,
            false => Idempotency::NonIdempotent,
        };
        Ok(CallPlan {
            id: request.id,
            document: Rc::clone(document),
            workspace: request.workspace,
            home: rules.home.clone(),
            priority: rules.priority,
            share: rules.share,
            target: request.target,
            content: CallContent {
                method: Method::try_from(request.method.as_str())
                    .map_err(|_| "the request method is not valid")?,
                path: request.path,
                headers: request.headers,
                body: Bytes::from(request.body),
                streamed: request.streamed,
            },
            prompt: PromptBlocks { tokens: request.prompt_tokens, blocks: request.prompt_blocks },
            max_tokens: request.max_tokens,
            idempotency,
            received,
            deadline: received + Duration::from_millis(request.remaining_millis),
            origin: Some(request.origin),
            offset: request.offset,
            span,
            memory,
        })
    }
}

async fn send_head(reply: &mut PeerReplySink, head: &ForwardReply) -> Result<(), PeerFault> {
    reply.send(Bytes::from(encode(head))).await
}

fn not_run(reason: &str) -> ForwardReply {
    ForwardReply::NotRun { reason: reason.to_owned(), retry_millis: 1_000 }
}

fn refusal_reply(error: &ApiError) -> ForwardReply {
    if error.run != RunState::NotRun {
        return ForwardReply::Unknown;
    }
    let retry = error.retry_after.unwrap_or(Duration::from_secs(1)).as_millis();
    let retry_millis = u64::try_from(retry).unwrap_or(u64::MAX);
    ForwardReply::NotRun { reason: error.message.clone(), retry_millis }
}

#[cfg(test)]
mod tests;
