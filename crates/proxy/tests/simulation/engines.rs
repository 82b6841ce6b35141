//! Simulated engines that work, pause, fall silent, end or reject requests by a schedule, and
//! record each run.

use {
    super::{START, Window},
    bytes::Bytes,
    futures::stream,
    gullglade_http::{
        BodyError, ClientBody, ClientError, ClientReply, HeadTimeout, HttpClient, SendPermit,
    },
    gullglade_units::{
        Clock, LocalFuture, MonotonicTime, ProcessContext, RandomSource, SeededRandom, timeout,
    },
    http::{HeaderValue, Request, Response, StatusCode},
    std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration},
};

/// Faults of an engine over time.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineSchedule {
    /// Stalls, after which the engine continues; ordered and without overlaps.
    pub(crate) stalls: Vec<Window>,
    /// Time from which the engine accepts requests but sends nothing.
    pub(crate) silent_from: Option<MonotonicTime>,
    /// Time during which the engine is down. All its runs end at the beginning.
    pub(crate) downtime: Option<Window>,
    /// Time during which the engine rejects requests.
    pub(crate) full: Option<Window>,
    pub(crate) slots: usize,
}

impl EngineSchedule {
    /// Returns the time at which `work` that begins at `from` is done; `None` for never.
    fn done_at(&self, from: MonotonicTime, work: Duration) -> Option<MonotonicTime> {
        let (mut at, mut left) = (from, work);
        for stall in self.stalls.iter().filter(|stall| stall.end > from) {
            let room = stall.start.since(at);
            if left < room {
                break;
            }
            left -= room;
            at = stall.end.max(at);
        }
        let done = at + left;
        self.silent_from.is_none_or(|silent| done < silent).then_some(done)
    }
}

/// Frequency of faults of single runs, per 1,000.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunFaults {
    pub(crate) pauses: u64,
    pub(crate) silences: u64,
    pub(crate) breaks: u64,
}

/// A request as known to its caller and to the engines.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedRequest {
    /// Number of events of the response; `None` for a plain response.
    pub(crate) events: Option<u64>,
    pub(crate) first: Duration,
    pub(crate) gap: Duration,
}

/// End of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    Running,
    /// Nothing was sent.
    Unreachable,
    /// The engine rejected the request.
    TurnedAway,
    Whole,
    /// The engine ended.
    Died,
    /// The connection broke.
    Broke,
    /// The gateway cancelled the run; the time at which the engine would have sent the next chunk.
    Cancelled(Option<MonotonicTime>),
}

/// One arrival of a request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct RunRecord {
    pub(crate) request: usize,
    pub(crate) region: usize,
    pub(crate) engine: usize,
    pub(crate) gateway: usize,
    pub(crate) begin: MonotonicTime,
    pub(crate) finish: Option<MonotonicTime>,
    pub(crate) end: RunEnd,
    /// Last event that the caller had before.
    #[allow(dead_code)] // Printed with a violation.
    pub(crate) after: u64,
    /// Number of events sent.
    pub(crate) made: u64,
    /// True if the run is silent for a second or more at some time.
    pub(crate) is_silent: bool,
}

/// Engines of both regions.
pub(crate) struct EnginePool {
    pub(crate) engines: [Vec<EngineSchedule>; 2],
    pub(crate) faults: RunFaults,
    pub(crate) requests: Vec<SimulatedRequest>,
    pub(crate) runs: RefCell<Vec<RunRecord>>,
    pub(crate) random: SeededRandom,
}

/// Planned output of a run.
struct RunPlan {
    head: Option<MonotonicTime>,
    chunks: VecDeque<(MonotonicTime, Bytes)>,
    end: PlannedEnd,
}

#[derive(Clone, Copy)]
enum PlannedEnd {
    At(MonotonicTime, RunEnd),
    Never,
}

/// Returns a pause that is close to a silence limit of the gateways, or of any length.
pub(crate) fn pause(random: &SeededRandom) -> Duration {
    let millis = match random.below(5) {
        0 | 1 => 1_150 + random.below(400),
        2 => [1_199, 1_200, 1_201, 1_255, 1_256, 1_310, 1_311, 1_365][random.below(8) as usize],
        _ => 500 + random.below(5_500),
    };
    Duration::from_millis(millis)
}

fn event_chunk(request: usize, event: u64) -> Bytes {
    Bytes::from(format!("id: {event}\ndata: {request}-{event}\n\n"))
}

/// The complete response to a plain request.
pub(crate) fn plain_response(request: usize) -> Bytes {
    Bytes::from(format!("answer {request}"))
}

impl EnginePool {
    fn chance(&self, per_mille: u64) -> bool {
        self.random.below(1_000) < per_mille
    }

    /// Plans a run that begins at `now`, after the event `after`.
    fn plan(
        &self,
        schedule: &EngineSchedule,
        request: usize,
        after: u64,
        now: MonotonicTime,
    ) -> RunPlan {
        let SimulatedRequest { events, first, gap } = self.requests[request].clone();
        let chunks: Vec<Bytes> = match events {
            Some(last) => (after + 1..=last).map(|event| event_chunk(request, event)).collect(),
            None => vec![plain_response(request)],
        };
        let count = chunks.len() as u64;
        let at = |is_there: bool| is_there.then(|| self.random.below(count + 1));
        let pauses = at(self.chance(self.faults.pauses));
        let silent = at(self.chance(self.faults.silences));
        let breaks = at(self.chance(self.faults.breaks));
        let mut plan = RunPlan { head: None, chunks: VecDeque::new(), end: PlannedEnd::Never };
        let mut time = Some(now);
        for (number, chunk) in (0_u64..).zip(chunks) {
            let mut work = if number == 0 { first } else { gap };
            if pauses == Some(number) {
                work += pause(&self.random);
            }
            time = time.filter(|_| silent != Some(number));
            time = time.and_then(|time| schedule.done_at(time, work));
            let Some(time) = time else { break };
            if breaks == Some(number) {
                plan.chunks.push_back((time, chunk.slice(..chunk.len() / 2)));
                plan.end = PlannedEnd::At(time, RunEnd::Broke);
                break;
            }
            plan.chunks.push_back((time, chunk));
        }
        if let (Some(time), PlannedEnd::Never) = (time, plan.end) {
            plan.end = PlannedEnd::At(time, RunEnd::Whole);
        }
        let first = plan.chunks.front().map(|(time, _)| *time);
        let early = schedule.done_at(now, Duration::from_millis(5));
        plan.head = match events.is_some() && self.chance(500) {
            true => early,
            false => first.or(match plan.end {
                PlannedEnd::At(time, _) => Some(time),
                PlannedEnd::Never => None,
            }),
        };
        plan.truncate_at(
            schedule.downtime.as_ref().map(|downtime| downtime.start).filter(|at| *at > now),
        );
        plan
    }

    fn record_run(&self, record: RunRecord) -> usize {
        self.runs.borrow_mut().push(record);
        self.runs.borrow().len() - 1
    }
}

impl RunPlan {
    /// Removes the output after the engine's end.
    fn truncate_at(&mut self, downtime: Option<MonotonicTime>) {
        let Some(downtime) = downtime else { return };
        self.chunks.retain(|(time, _)| *time < downtime);
        self.head = self.head.filter(|time| *time < downtime);
        self.end = match self.end {
            PlannedEnd::At(time, end) if time < downtime => PlannedEnd::At(time, end),
            _ => PlannedEnd::At(downtime, RunEnd::Died),
        };
    }

    /// Returns the time of the next output.
    fn next_due(&self) -> Option<MonotonicTime> {
        let end = match self.end {
            PlannedEnd::At(time, RunEnd::Whole) => Some(time),
            PlannedEnd::At(..) | PlannedEnd::Never => None,
        };
        self.chunks.front().map(|(time, _)| *time).or(end)
    }

    /// Returns `true` if the run pauses for a second or more.
    fn is_silent(&self, begin: MonotonicTime) -> bool {
        let mut last = begin;
        let end = match self.end {
            PlannedEnd::At(time, _) => time,
            PlannedEnd::Never => return true,
        };
        self.chunks.iter().map(|(time, _)| *time).chain([end]).any(|time| {
            let pause = time.since(std::mem::replace(&mut last, time));
            pause >= Duration::from_secs(1)
        })
    }
}

/// A run in progress. Dropping it before its end means that the gateway cancelled it.
struct LiveRun {
    pool: Rc<EnginePool>,
    clock: Rc<dyn Clock>,
    at: usize,
    plan: RunPlan,
    is_finished: bool,
}

impl LiveRun {
    fn finish(&mut self, end: RunEnd) {
        self.is_finished = true;
        let record = &mut self.pool.runs.borrow_mut()[self.at];
        record.finish = Some(self.clock.now());
        record.end = end;
    }

    async fn wait_until(&self, time: MonotonicTime) {
        let wait = time.since(self.clock.now());
        if !wait.is_zero() {
            self.clock.sleep(wait).await;
        }
    }

    /// Returns the next chunk at its planned time.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.is_finished {
            return None;
        }
        if let Some((time, _)) = self.plan.chunks.front() {
            self.wait_until(*time).await;
            let (_, chunk) = self.plan.chunks.pop_front()?;
            self.pool.runs.borrow_mut()[self.at].made += 1;
            return Some(Ok(chunk));
        }
        let PlannedEnd::At(time, end) = self.plan.end else { std::future::pending().await };
        self.wait_until(time).await;
        self.finish(end);
        match end {
            RunEnd::Whole => None,
            _ => Some(Err(BodyError::Incomplete { reason: "reset".to_owned() })),
        }
    }
}

impl Drop for LiveRun {
    fn drop(&mut self) {
        if !self.is_finished {
            let due = self.plan.next_due().map(|due| due.max(self.clock.now()));
            self.finish(RunEnd::Cancelled(due));
        }
    }
}

/// Client of one gateway for the engines of its region.
pub(crate) struct EngineClient {
    pub(crate) pool: Rc<EnginePool>,
    pub(crate) gateway: usize,
    pub(crate) context: ProcessContext,
}

/// Last octet of the address of the first backend server.
const FIRST_HOST: u8 = 100;

impl EngineClient {
    async fn act(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<ClientReply, ClientError> {
        let SocketAddr::V4(v4) = address else { unreachable!("the test bed uses IPv4") };
        let engine = usize::from(v4.ip().octets()[3] - FIRST_HOST);
        let region = self.gateway % 2;
        let clock = &self.context.clock;
        let begin = clock.now();
        let id = request.headers()["call"].to_str().expect("text").to_owned();
        let number: usize = id.trim_start_matches("call-").parse().expect("a number");
        let after = request.headers().get("after").map(|after| after.to_str().expect("text"));
        let after: u64 = after.map_or(0, |after| after.parse().expect("a number"));
        let record = RunRecord {
            request: number,
            region,
            engine,
            gateway: self.gateway,
            begin,
            finish: None,
            end: RunEnd::Running,
            after,
            made: 0,
            is_silent: false,
        };
        let ended = |end| RunRecord { finish: Some(begin), end, ..record.clone() };
        let schedule = &self.pool.engines[region][engine];
        let is_in = |window: &Option<Window>| window.as_ref().is_some_and(|w| w.contains(&begin));
        if is_in(&schedule.downtime) {
            self.pool.record_run(ended(RunEnd::Unreachable));
            return Err(ClientError::Connect { address, reason: "refused".to_owned() });
        }
        if request.extensions().get::<SendPermit>().is_some_and(|permit| !permit.begin()) {
            return Err(ClientError::Revoked { address });
        }
        let is_here = |run: &&RunRecord| (run.region, run.engine) == (region, engine);
        let is_running = |run: &&RunRecord| run.end == RunEnd::Running;
        let running = self.pool.runs.borrow().iter().filter(is_here).filter(is_running).count();
        if is_in(&schedule.full) || running >= schedule.slots {
            self.pool.record_run(ended(RunEnd::TurnedAway));
            clock.sleep(Duration::from_millis(3)).await;
            let body = ClientBody::from_bytes(Bytes::new());
            let mut head = head(&id, StatusCode::SERVICE_UNAVAILABLE);
            head.headers_mut().insert("not-run", HeaderValue::from_static("1"));
            return Ok(ClientReply { head: head.into_parts().0, body });
        }
        let plan = self.pool.plan(schedule, number, after, begin);
        let is_silent = plan.is_silent(begin);
        let at = self.pool.record_run(RunRecord { is_silent, ..record });
        let (pool, clock) = (Rc::clone(&self.pool), Rc::clone(clock));
        let mut run = LiveRun { pool, clock, at, plan, is_finished: false };
        let Some(time) = run.plan.head else {
            let PlannedEnd::At(time, end) = run.plan.end else { std::future::pending().await };
            run.wait_until(time).await;
            run.finish(end);
            return Err(ClientError::Sent { address, reason: "closed".to_owned() });
        };
        run.wait_until(time).await;
        let mut head = head(&id, StatusCode::OK);
        if self.pool.requests[number].events.is_some() {
            let kind = HeaderValue::from_static("text/event-stream");
            head.headers_mut().insert("content-type", kind);
        }
        let body = stream::unfold(run, |mut run| async move { Some((run.next().await?, run)) });
        Ok(ClientReply { head: head.into_parts().0, body: ClientBody::from_stream(body) })
    }
}

fn head(id: &str, status: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let id = HeaderValue::from_str(id).expect("a header value");
    response.headers_mut().insert("id", id);
    response.headers_mut().insert("signed", HeaderValue::from_static("yes"));
    response
}

impl HttpClient for EngineClient {
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> LocalFuture<'a, Result<ClientReply, ClientError>> {
        let limit = request.extensions().get::<HeadTimeout>().map(|limit| limit.0);
        let limit = limit.unwrap_or(Duration::MAX);
        Box::pin(async move {
            let head = timeout(&*self.context.clock, limit, self.act(address, request)).await;
            head.unwrap_or(Err(ClientError::HeadTimeout { address, limit }))
        })
    }
}

/// Returns the time `millis` milliseconds after the beginning of the simulation.
pub(crate) fn at(millis: u64) -> MonotonicTime {
    START + Duration::from_millis(millis)
}
