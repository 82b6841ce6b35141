//! Helpers of the session tests: identities, clocks, a server, a configurable handler and a
//! runtime.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use {
    bytes::Bytes,
    futures::channel::oneshot,
    gullglade_peer::{
        HandlerTable, PeerConfig, PeerFault, PeerHandler, PeerIdentity, PeerPool, PeerReplySink,
        PeerSecret, PeerServer, PeerStopHandle,
    },
    gullglade_units::{
        Clock, ClusterName, FailureDomain, HybridClock, Incarnation, LocalFuture, MonotonicTime,
        ProcessContext, RegionName, SystemClock, VmName, WallMillis, timeout,
    },
    monoio::{LegacyDriver, RuntimeBuilder},
    std::{
        cell::{Cell, RefCell},
        future::{Future, poll_fn},
        net::SocketAddr,
        rc::Rc,
        task::{Poll, Waker},
        time::{Duration, Instant},
    },
};

/// Time limit of a test, far longer than any test takes.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    let clock = PauseTolerantClock::default();
    runtime.block_on(async { timeout(&clock, TEST_TIMEOUT, future).await.expect("the test hangs") })
}

/// Maximum step by which a [`PauseTolerantClock`] advances between two reads.
const MAX_CLOCK_STEP: Duration = Duration::from_millis(100);

/// Clock that advances only while the test runs, so that a machine that pauses for seconds causes
/// neither keepalive failures nor test timeouts.
struct PauseTolerantClock {
    now: Cell<Duration>,
    last_read: Cell<Instant>,
}

impl Default for PauseTolerantClock {
    fn default() -> Self {
        Self { now: Cell::default(), last_read: Cell::new(Instant::now()) }
    }
}

impl Clock for PauseTolerantClock {
    fn now(&self) -> MonotonicTime {
        let passed = self.last_read.replace(Instant::now()).elapsed();
        self.now.set(self.now.get() + passed.min(MAX_CLOCK_STEP));
        MonotonicTime(self.now.get())
    }

    fn wall(&self) -> WallMillis {
        SystemClock::new().wall()
    }

    fn sleep(&self, duration: Duration) -> LocalFuture<'static, ()> {
        Box::pin(async move {
            let mut left = duration;
            while !left.is_zero() {
                let step = left.min(MAX_CLOCK_STEP);
                monoio::time::sleep(step).await;
                left -= step;
            }
        })
    }
}

/// System context with a [`PauseTolerantClock`].
fn pause_tolerant_context() -> ProcessContext {
    ProcessContext { clock: Rc::new(PauseTolerantClock::default()), ..ProcessContext::system() }
}

pub(crate) fn identity(vm: &str) -> PeerIdentity {
    PeerIdentity {
        vm: VmName::try_from(vm).unwrap(),
        region: RegionName::try_from("puget").unwrap(),
        domain: FailureDomain::try_from("puget-a").unwrap(),
        incarnation: Incarnation(1),
    }
}

pub(crate) fn config(vm: &str) -> PeerConfig {
    config_of(vm, "ballast", "a secret for tests only")
}

pub(crate) fn config_of(vm: &str, cluster: &str, secret: &str) -> PeerConfig {
    let cluster = ClusterName::try_from(cluster).unwrap();
    PeerConfig::new(identity(vm), cluster, PeerSecret::try_from(secret).unwrap())
}

pub(crate) fn pool(config: PeerConfig) -> PeerPool {
    PeerPool::new(config, pause_tolerant_context(), Rc::default())
}

/// System context with a [`ManualClock`].
pub(crate) fn manual_context() -> (ProcessContext, Rc<ManualClock>) {
    let clock = Rc::new(ManualClock::default());
    (ProcessContext { clock: clock.clone(), ..ProcessContext::system() }, clock)
}

/// Clock that advances only when a test calls [`ManualClock::advance`].
#[derive(Default)]
pub(crate) struct ManualClock {
    now: Cell<Duration>,
    sleeps: RefCell<Vec<ManualSleep>>,
    changed: ChangeNotifier,
}

struct ManualSleep {
    duration: Duration,
    until: Duration,
    wake: oneshot::Sender<()>,
}

impl ManualClock {
    /// Advances the time and wakes the sleeps that have expired.
    pub(crate) fn advance(&self, duration: Duration) {
        let now = self.now.get() + duration;
        self.now.set(now);
        for sleep in self.sleeps.borrow_mut().extract_if(.., |sleep| sleep.until <= now) {
            let _ = sleep.wake.send(());
        }
    }

    /// Waits until a sleep of exactly `limit` is pending, and advances the time by `limit`.
    pub(crate) async fn advance_past_sleep(&self, limit: Duration) {
        let asleep = |sleep: &ManualSleep| sleep.duration == limit && !sleep.wake.is_canceled();
        self.changed.until(|| self.sleeps.borrow().iter().any(asleep)).await;
        self.advance(limit);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.now.get())
    }

    fn wall(&self) -> WallMillis {
        WallMillis::default()
    }

    fn sleep(&self, duration: Duration) -> LocalFuture<'static, ()> {
        if duration.is_zero() {
            return Box::pin(std::future::ready(()));
        }
        let (wake, woken) = oneshot::channel();
        let until = self.now.get() + duration;
        self.sleeps.borrow_mut().push(ManualSleep { duration, until, wake });
        self.changed.notify();
        Box::pin(async move {
            let _ = woken.await;
        })
    }
}

/// Running server.
pub(crate) struct TestServer {
    pub(crate) address: SocketAddr,
    pub(crate) handle: PeerStopHandle,
    pub(crate) clock: Rc<HybridClock>,
}

pub(crate) fn serve(config: PeerConfig, handler: Rc<dyn PeerHandler>) -> TestServer {
    serve_at("127.0.0.1:0".parse().unwrap(), config, handler)
}

pub(crate) fn serve_at(
    address: SocketAddr,
    config: PeerConfig,
    handler: Rc<dyn PeerHandler>,
) -> TestServer {
    let handlers = Rc::new(HandlerTable::new());
    handlers.register("test", handler);
    let clock = Rc::<HybridClock>::default();
    let context = pause_tolerant_context();
    let server = PeerServer::bind(address, config, context, clock.clone(), handlers).unwrap();
    let test = TestServer { address: server.local_addr(), handle: server.stop_handle(), clock };
    monoio::spawn(server.run());
    test
}

/// Handler with these methods. Calls: `test.echo`, `test.double`, `test.fault`, `test.never` (does
/// not complete), `test.gate` (completes once the test opens the gate). Streams: `test.count` (as
/// many messages as the first byte of the body), `test.flood` (until cancelled), `test.half` (one
/// message, then no end), `test.fault` (one message, then a fault).
#[derive(Default)]
pub(crate) struct TestHandler {
    pub(crate) calls: Cell<usize>,
    pub(crate) sent: Cell<usize>,
    pub(crate) running: Rc<Cell<usize>>,
    pub(crate) from: RefCell<Option<PeerIdentity>>,
    pub(crate) changed: ChangeNotifier,
    pub(crate) gate: RefCell<Option<oneshot::Receiver<()>>>,
}

/// Wakes the tasks that wait for a change.
#[derive(Clone, Default)]
pub(crate) struct ChangeNotifier(Rc<RefCell<Vec<Waker>>>);

impl ChangeNotifier {
    fn notify(&self) {
        self.0.take().into_iter().for_each(Waker::wake);
    }

    /// Completes once `done` returns true; evaluates it after each change.
    async fn until(&self, done: impl Fn() -> bool) {
        poll_fn(|cx| {
            self.0.borrow_mut().push(cx.waker().clone());
            if done() { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    }
}

/// Guard that counts a handler future in `running` while it exists.
struct RunningGuard {
    count: Rc<Cell<usize>>,
    changed: ChangeNotifier,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
        self.changed.notify();
    }
}

impl TestHandler {
    /// Completes once `done` returns true; evaluates it after each change of the counters.
    pub(crate) async fn wait_until(&self, done: impl Fn(&Self) -> bool) {
        self.changed.until(|| done(self)).await;
    }

    fn start(&self) -> RunningGuard {
        self.calls.set(self.calls.get() + 1);
        self.running.set(self.running.get() + 1);
        self.changed.notify();
        RunningGuard { count: self.running.clone(), changed: self.changed.clone() }
    }
}

impl PeerHandler for TestHandler {
    fn call<'a>(
        &'a self,
        from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(async move {
            let _running = self.start();
            self.from.replace(Some(from.clone()));
            match method {
                "test.echo" => Ok(body),
                "test.double" => Ok([body.clone(), body].concat().into()),
                "test.fault" => Err(PeerFault::refused("ask again tomorrow")),
                "test.never" => std::future::pending().await,
                "test.gate" => {
                    let gate = self.gate.take().expect("the test must set a gate for each call");
                    gate.await.map(|()| body).map_err(PeerFault::internal)
                }
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
            let _running = self.start();
            match method {
                "test.count" => {
                    for number in 0..body[0] {
                        reply.send(Bytes::from(vec![number; usize::from(number)])).await?;
                    }
                    Ok(())
                }
                "test.flood" => loop {
                    reply.send(body.clone()).await?;
                    self.sent.set(self.sent.get() + 1);
                    self.changed.notify();
                },
                "test.half" => {
                    reply.send(body).await?;
                    std::future::pending().await
                }
                "test.fault" => {
                    reply.send(body).await?;
                    Err(PeerFault::internal("half way"))
                }
                _ => Err(PeerFault::unknown_method(method)),
            }
        })
    }
}
