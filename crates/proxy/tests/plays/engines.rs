//! Backend servers that work, pause, fall silent, die or turn work away by a plan, and keep a
//! record of each run.

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

/// What will become of an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineFate {
    /// It does nothing in them, and goes on afterwards. In order, none overlaps the next one.
    pub(crate) stalls: Vec<Window>,
    /// It takes work from then on and says nothing more.
    pub(crate) dark_from: Option<MonotonicTime>,
    /// It ends with all runs, and is back afterwards.
    pub(crate) death: Option<Window>,
    /// It turns work away.
    pub(crate) full: Option<Window>,
    pub(crate) slots: usize,
}

impl EngineFate {
    /// When so much work is done that begins at `from`; `None` for never.
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
        self.dark_from.is_none_or(|dark| done < dark).then_some(done)
    }
}

/// How often runs have a trouble of their own, of 1,000.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunTroubles {
    pub(crate) pauses: u64,
    pub(crate) silences: u64,
    pub(crate) breaks: u64,
}

/// A request as its caller and the engines know it.
#[derive(Clone, Debug)]
pub(crate) struct PlayRequest {
    /// The events of its answer; `None` for a plain one.
    pub(crate) events: Option<u64>,
    pub(crate) first: Duration,
    pub(crate) gap: Duration,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    Running,
    /// Nothing was sent.
    Unreachable,
    /// The engine did not run it.
    TurnedAway,
    Whole,
    /// The engine died.
    Died,
    /// Its connection broke.
    Broke,
    /// The gateway let it go; when the engine would have sent the next piece.
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
    /// The last event that its caller had before.
    #[allow(dead_code)] // Printed with a breach.
    pub(crate) after: u64,
    /// The events that it has sent.
    pub(crate) made: u64,
    /// Whether it says nothing for a second and more at some time.
    pub(crate) is_silent: bool,
}

/// The engines of both regions.
pub(crate) struct EngineFloor {
    pub(crate) engines: [Vec<EngineFate>; 2],
    pub(crate) troubles: RunTroubles,
    pub(crate) requests: Vec<PlayRequest>,
    pub(crate) runs: RefCell<Vec<RunRecord>>,
    pub(crate) random: SeededRandom,
}

/// What an engine will send of a run.
struct RunPlan {
    head: Option<MonotonicTime>,
    pieces: VecDeque<(MonotonicTime, Bytes)>,
    end: PlannedEnd,
}

#[derive(Clone, Copy)]
enum PlannedEnd {
    At(MonotonicTime, RunEnd),
    Never,
}

/// A pause of a length that is near one at which a gateway may go over, or of any length.
pub(crate) fn pause(random: &SeededRandom) -> Duration {
    let millis = match random.below(5) {
        0 | 1 => 1_150 + random.below(400),
        2 => [1_199, 1_200, 1_201, 1_255, 1_256, 1_310, 1_311, 1_365][random.below(8) as usize],
        _ => 500 + random.below(5_500),
    };
    Duration::from_millis(millis)
}

fn piece(request: usize, event: u64) -> Bytes {
    Bytes::from(format!("id: {event}\ndata: {request}-{event}\n\n"))
}

/// The whole answer to a plain request.
pub(crate) fn plain_answer(request: usize) -> Bytes {
    Bytes::from(format!("answer {request}"))
}

impl EngineFloor {
    fn chance(&self, per_mille: u64) -> bool {
        self.random.below(1_000) < per_mille
    }

    /// The plan of a run that begins now, after so many events.
    fn plan(&self, fate: &EngineFate, request: usize, after: u64, now: MonotonicTime) -> RunPlan {
        let PlayRequest { events, first, gap } = self.requests[request].clone();
        let pieces: Vec<Bytes> = match events {
            Some(last) => (after + 1..=last).map(|event| piece(request, event)).collect(),
            None => vec![plain_answer(request)],
        };
        let count = pieces.len() as u64;
        let at = |is_there: bool| is_there.then(|| self.random.below(count + 1));
        let pauses = at(self.chance(self.troubles.pauses));
        let silent = at(self.chance(self.troubles.silences));
        let breaks = at(self.chance(self.troubles.breaks));
        let mut plan = RunPlan { head: None, pieces: VecDeque::new(), end: PlannedEnd::Never };
        let mut time = Some(now);
        for (number, piece) in (0_u64..).zip(pieces) {
            let mut work = if number == 0 { first } else { gap };
            if pauses == Some(number) {
                work += pause(&self.random);
            }
            time = time.filter(|_| silent != Some(number));
            time = time.and_then(|time| fate.done_at(time, work));
            let Some(time) = time else { break };
            if breaks == Some(number) {
                plan.pieces.push_back((time, piece.slice(..piece.len() / 2)));
                plan.end = PlannedEnd::At(time, RunEnd::Broke);
                break;
            }
            plan.pieces.push_back((time, piece));
        }
        if let (Some(time), PlannedEnd::Never) = (time, plan.end) {
            plan.end = PlannedEnd::At(time, RunEnd::Whole);
        }
        let first = plan.pieces.front().map(|(time, _)| *time);
        let early = fate.done_at(now, Duration::from_millis(5));
        plan.head = match events.is_some() && self.chance(500) {
            true => early,
            false => first.or(match plan.end {
                PlannedEnd::At(time, _) => Some(time),
                PlannedEnd::Never => None,
            }),
        };
        plan.cut_by(fate.death.as_ref().map(|death| death.start).filter(|at| *at > now));
        plan
    }

    fn note(&self, record: RunRecord) -> usize {
        self.runs.borrow_mut().push(record);
        self.runs.borrow().len() - 1
    }
}

impl RunPlan {
    /// Leaves what comes before the engine's death.
    fn cut_by(&mut self, death: Option<MonotonicTime>) {
        let Some(death) = death else { return };
        self.pieces.retain(|(time, _)| *time < death);
        self.head = self.head.filter(|time| *time < death);
        self.end = match self.end {
            PlannedEnd::At(time, end) if time < death => PlannedEnd::At(time, end),
            _ => PlannedEnd::At(death, RunEnd::Died),
        };
    }

    /// When something comes next.
    fn next_due(&self) -> Option<MonotonicTime> {
        let end = match self.end {
            PlannedEnd::At(time, RunEnd::Whole) => Some(time),
            PlannedEnd::At(..) | PlannedEnd::Never => None,
        };
        self.pieces.front().map(|(time, _)| *time).or(end)
    }

    /// Whether it pauses for a second or more.
    fn is_silent(&self, begin: MonotonicTime) -> bool {
        let mut last = begin;
        let end = match self.end {
            PlannedEnd::At(time, _) => time,
            PlannedEnd::Never => return true,
        };
        self.pieces.iter().map(|(time, _)| *time).chain([end]).any(|time| {
            let pause = time.since(std::mem::replace(&mut last, time));
            pause >= Duration::from_secs(1)
        })
    }
}

/// A run in progress; its drop before its end is the gateway's doing.
struct LiveRun {
    floor: Rc<EngineFloor>,
    clock: Rc<dyn Clock>,
    at: usize,
    plan: RunPlan,
    is_over: bool,
}

impl LiveRun {
    fn finish(&mut self, end: RunEnd) {
        self.is_over = true;
        let record = &mut self.floor.runs.borrow_mut()[self.at];
        record.finish = Some(self.clock.now());
        record.end = end;
    }

    async fn wait_until(&self, time: MonotonicTime) {
        let wait = time.since(self.clock.now());
        if !wait.is_zero() {
            self.clock.sleep(wait).await;
        }
    }

    /// The next piece, at its time.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.is_over {
            return None;
        }
        if let Some((time, _)) = self.plan.pieces.front() {
            self.wait_until(*time).await;
            let (_, piece) = self.plan.pieces.pop_front()?;
            self.floor.runs.borrow_mut()[self.at].made += 1;
            return Some(Ok(piece));
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
        if !self.is_over {
            let due = self.plan.next_due().map(|due| due.max(self.clock.now()));
            self.finish(RunEnd::Cancelled(due));
        }
    }
}

/// How one gateway reaches the engines of its region.
pub(crate) struct FloorClient {
    pub(crate) floor: Rc<EngineFloor>,
    pub(crate) gateway: usize,
    pub(crate) context: ProcessContext,
}

/// The first address of backend servers in the bed.
const FIRST_HOST: u8 = 100;

impl FloorClient {
    async fn act(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<ClientReply, ClientError> {
        let SocketAddr::V4(v4) = address else { unreachable!("the bed uses v4") };
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
        let fate = &self.floor.engines[region][engine];
        let is_in = |window: &Option<Window>| window.as_ref().is_some_and(|w| w.contains(&begin));
        if is_in(&fate.death) {
            self.floor.note(ended(RunEnd::Unreachable));
            return Err(ClientError::Connect { address, reason: "refused".to_owned() });
        }
        if request.extensions().get::<SendPermit>().is_some_and(|permit| !permit.begin()) {
            return Err(ClientError::Revoked { address });
        }
        let is_here = |run: &&RunRecord| (run.region, run.engine) == (region, engine);
        let is_running = |run: &&RunRecord| run.end == RunEnd::Running;
        let running = self.floor.runs.borrow().iter().filter(is_here).filter(is_running).count();
        if is_in(&fate.full) || running >= fate.slots {
            self.floor.note(ended(RunEnd::TurnedAway));
            clock.sleep(Duration::from_millis(3)).await;
            let body = ClientBody::from_bytes(Bytes::new());
            let mut head = head(&id, StatusCode::SERVICE_UNAVAILABLE);
            head.headers_mut().insert("not-run", HeaderValue::from_static("1"));
            return Ok(ClientReply { head: head.into_parts().0, body });
        }
        let plan = self.floor.plan(fate, number, after, begin);
        let is_silent = plan.is_silent(begin);
        let at = self.floor.note(RunRecord { is_silent, ..record });
        let (floor, clock) = (Rc::clone(&self.floor), Rc::clone(clock));
        let mut run = LiveRun { floor, clock, at, plan, is_over: false };
        let Some(time) = run.plan.head else {
            let PlannedEnd::At(time, end) = run.plan.end else { std::future::pending().await };
            run.wait_until(time).await;
            run.finish(end);
            return Err(ClientError::Sent { address, reason: "closed".to_owned() });
        };
        run.wait_until(time).await;
        let mut head = head(&id, StatusCode::OK);
        if self.floor.requests[number].events.is_some() {
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

impl HttpClient for FloorClient {
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

/// So many milliseconds after the play's begin.
pub(crate) fn at(millis: u64) -> MonotonicTime {
    START + Duration::from_millis(millis)
}
