//! Running a plan on this thread.

use {
    crate::load::{
        arrivals::{ArrivalSequence, PlannedCall},
        call::{CallKind, CallOutcome, CallSender},
        entry::EntryDirectory,
        plan::LoadPlan,
        tally::LoadTally,
    },
    futures::{StreamExt, channel::mpsc},
    gullglade_http::{ClientConfig, HttpClient, PooledClient},
    gullglade_units::{MonotonicTime, ProcessContext, timeout},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Connections kept for one address between calls.
const KEPT_CONNECTIONS: usize = 1_024;

/// The pause before another gateway is tried after one could not be reached.
const CONNECT_PAUSE: Duration = Duration::from_millis(20);

struct LoadRun {
    plan: LoadPlan,
    directory: EntryDirectory,
    client: Rc<dyn HttpClient>,
    context: ProcessContext,
    start: MonotonicTime,
    outstanding: Cell<usize>,
    tally: RefCell<LoadTally>,
}

/// Sends a plan's requests as they arrive and waits for the last answer.
pub async fn run_load(plan: LoadPlan, context: ProcessContext) -> LoadTally {
    let client = load_client(&context, plan.limit);
    let directory = EntryDirectory::new(
        plan.target.clone(),
        plan.token.clone(),
        client.clone(),
        context.clone(),
    );
    let run = Rc::new(LoadRun {
        directory,
        client,
        start: context.clock.now(),
        context,
        plan,
        outstanding: Cell::new(0),
        tally: RefCell::default(),
    });
    run.clone().send_all().await;
    run.tally.borrow_mut().elapsed = run.context.clock.now().since(run.start);
    run.tally.take()
}

/// A client whose time limits leave the plan's own limit to decide.
pub(crate) fn load_client(context: &ProcessContext, limit: Duration) -> Rc<dyn HttpClient> {
    let config =
        ClientConfig::new().idle_limit(KEPT_CONNECTIONS).head_timeout(limit).body_timeout(limit);
    Rc::new(PooledClient::new(config, context.clone()))
}

impl LoadRun {
    async fn send_all(self: Rc<Self>) {
        // Each call holds a sender; the receiver ends when the last is dropped.
        let (alive, mut ended) = mpsc::channel::<()>(0);
        for call in ArrivalSequence::new(&self.plan) {
            let wait = (self.start + call.at).since(self.context.clock.now());
            if !wait.is_zero() {
                self.context.clock.sleep(wait).await;
            }
            if self.outstanding.get() >= self.plan.outstanding {
                self.tally.borrow_mut().skipped += 1;
                continue;
            }
            self.outstanding.set(self.outstanding.get() + 1);
            let (run, alive) = (self.clone(), alive.clone());
            self.context.spawner.spawn(Box::pin(async move {
                run.finish_call(call).await;
                run.outstanding.set(run.outstanding.get() - 1);
                drop(alive);
            }));
        }
        drop(alive);
        while ended.next().await.is_some() {}
    }

    async fn finish_call(&self, call: PlannedCall) {
        let arrival = self.start + call.at;
        let outcome = self.call_with_retries(&call).await;
        let total = self.context.clock.now().since(arrival);
        let first_token = outcome.first_token.map(|at| at.since(arrival));
        self.tally.borrow_mut().count(&outcome, first_token, total);
    }

    async fn call_with_retries(&self, call: &PlannedCall) -> CallOutcome {
        let mut retries = self.plan.retries;
        loop {
            let Some(address) = self.directory.choose().await else {
                return CallOutcome::failed(CallKind::NotRun);
            };
            let outcome = self.call_once(address, call).await;
            let pause = self.pause_before_retry(address, &outcome);
            let Some(pause) = pause.filter(|_| retries > 0) else { return outcome };
            retries -= 1;
            self.tally.borrow_mut().retries += 1;
            self.context.clock.sleep(pause).await;
        }
    }

    async fn call_once(&self, address: SocketAddr, call: &PlannedCall) -> CallOutcome {
        let sender = CallSender {
            client: &*self.client,
            clock: &*self.context.clock,
            model: self.plan.model.as_str(),
            token: self.plan.token.as_deref(),
        };
        let answer = sender.call(address, call);
        timeout(&*self.context.clock, self.plan.limit, answer)
            .await
            .unwrap_or_else(|| CallOutcome::failed(CallKind::Unknown))
    }

    /// A call that did not run may be sent again: at another gateway when this one could not be
    /// reached, or when the refusal says, and up to a quarter later, so that refused callers do
    /// not come back together.
    fn pause_before_retry(&self, address: SocketAddr, outcome: &CallOutcome) -> Option<Duration> {
        if outcome.kind != CallKind::NotRun {
            return None;
        }
        if outcome.status.is_none() {
            self.directory.avoid(address);
            return Some(CONNECT_PAUSE);
        }
        Some(outcome.retry_after?.mul_f64(1.0 + self.context.random.unit() / 4.0))
    }
}
