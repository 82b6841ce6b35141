//! What a gateway adds: each request is sent through it and to the engine directly, one after the
//! other and in random order, in one run.

use {
    crate::load::{
        arrivals::{ArrivalSequence, PlannedCall},
        call::{CallKind, CallSender},
        plan::LoadPlan,
        report::LatencySummary,
        runner::load_client,
    },
    futures::{StreamExt, channel::mpsc},
    gullglade_http::HttpClient,
    gullglade_units::ProcessContext,
    serde::Serialize,
    std::{cell::RefCell, fmt, net::SocketAddr, rc::Rc, time::Duration},
};

/// A paired run. All its requests stream.
#[derive(Clone, Debug)]
pub struct PairPlan {
    /// Rate, duration, prompts, answers, model and token.
    pub load: LoadPlan,
    /// The gateway.
    pub gateway: SocketAddr,
    /// The engine behind it.
    pub direct: SocketAddr,
}

/// Time to first token through the gateway and directly.
#[derive(Clone, Debug, Serialize)]
pub struct PairReport {
    /// Pairs in which both answers were whole.
    pub pairs: u64,
    /// Pairs in which one was not.
    pub failed: u64,
    /// Through the gateway, milliseconds.
    pub gateway_ms: LatencySummary,
    /// Directly, milliseconds.
    pub direct_ms: LatencySummary,
    /// Through the gateway less directly, pair by pair, milliseconds; may be below zero.
    pub added_ms: LatencySummary,
}

impl fmt::Display for PairReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "pairs        {} ({} failed)", self.pairs, self.failed)?;
        writeln!(f, "direct       {}", self.direct_ms)?;
        writeln!(f, "gateway      {}", self.gateway_ms)?;
        write!(f, "added        {}", self.added_ms)
    }
}

#[derive(Default)]
struct PairTimes {
    gateway: Vec<f64>,
    direct: Vec<f64>,
    failed: u64,
}

struct PairRun {
    plan: PairPlan,
    client: Rc<dyn HttpClient>,
    context: ProcessContext,
    times: RefCell<PairTimes>,
}

/// Runs the pairs as they arrive and waits for the last.
pub async fn run_pairs(plan: PairPlan, context: ProcessContext) -> PairReport {
    let client = load_client(&context, plan.load.limit);
    let run = Rc::new(PairRun { plan, client, context, times: RefCell::default() });
    let (alive, mut ended) = mpsc::channel::<()>(0);
    let start = run.context.clock.now();
    for call in ArrivalSequence::new(&run.plan.load) {
        let wait = (start + call.at).since(run.context.clock.now());
        if !wait.is_zero() {
            run.context.clock.sleep(wait).await;
        }
        let (pair, alive) = (run.clone(), alive.clone());
        run.context.spawner.spawn(Box::pin(async move {
            pair.run_pair(call).await;
            drop(alive);
        }));
    }
    drop(alive);
    while ended.next().await.is_some() {}
    run.times.take().report()
}

impl PairRun {
    async fn run_pair(&self, call: PlannedCall) {
        let call = PlannedCall { stream: true, ..call };
        let PairPlan { gateway, direct, .. } = self.plan;
        let (through, alone) = if self.context.random.next_u64().is_multiple_of(2) {
            let through = self.first_token(gateway, &call).await;
            (through, self.first_token(direct, &call).await)
        } else {
            let alone = self.first_token(direct, &call).await;
            (self.first_token(gateway, &call).await, alone)
        };
        let mut times = self.times.borrow_mut();
        match (through, alone) {
            (Some(through), Some(alone)) => {
                times.gateway.push(millis(through));
                times.direct.push(millis(alone));
            }
            _ => times.failed += 1,
        }
    }

    /// From sending to the first token, of a whole answer.
    async fn first_token(&self, address: SocketAddr, call: &PlannedCall) -> Option<Duration> {
        let sender = CallSender {
            client: &*self.client,
            clock: &*self.context.clock,
            model: self.plan.load.model.as_str(),
            token: self.plan.load.token.as_deref(),
        };
        let sent = self.context.clock.now();
        let outcome = sender.call(address, call).await;
        let first = outcome.first_token.filter(|_| outcome.kind == CallKind::Whole)?;
        Some(first.since(sent))
    }
}

impl PairTimes {
    fn report(self) -> PairReport {
        let added = self.gateway.iter().zip(&self.direct).map(|(through, alone)| through - alone);
        PairReport {
            pairs: self.gateway.len() as u64,
            failed: self.failed,
            added_ms: summarize(added.collect()),
            gateway_ms: summarize(self.gateway),
            direct_ms: summarize(self.direct),
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn summarize(mut values: Vec<f64>) -> LatencySummary {
    values.sort_by(f64::total_cmp);
    let Some(last) = values.len().checked_sub(1) else { return LatencySummary::default() };
    let at = |quantile: f64| values[(quantile * last as f64).round() as usize];
    LatencySummary { p50: at(0.5), p95: at(0.95), p99: at(0.99), max: values[last] }
}
