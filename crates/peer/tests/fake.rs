//! Simulated network: outcome of each injected fault at the caller.

use {
    bytes::Bytes,
    gullglade_peer::{
        FaultKind, HandlerTable, PeerError, PeerFault, PeerHandler, PeerIdentity, PeerReplySink,
        PeerTransport,
        fake::{
            FakeLink, FakeNetwork, FakeNode, FakePolicy, FakeTransport, MessageAction,
            MessageDirection, MessagePath,
        },
    },
    gullglade_units::{
        FailureDomain, HybridClock, Incarnation, LocalFuture, ProcessContext, RegionName, VmName,
        fake::FakeWorld,
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
};

const DELAY: Duration = Duration::from_millis(55);
const LIMIT: Duration = Duration::from_secs(1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Echoes calls, after a delay of 1 s for `echo.slow`. Streams the bytes of the body one by one;
/// `echo.hang` never ends the stream.
struct EchoHandler {
    context: ProcessContext,
    runs: Cell<u32>,
    ended_count: Rc<Cell<u32>>,
}

struct EndGuard(Rc<Cell<u32>>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

impl PeerHandler for EchoHandler {
    fn call<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(async move {
            let _ended = EndGuard(self.ended_count.clone());
            self.runs.set(self.runs.get() + 1);
            if method == "echo.slow" {
                self.context.clock.sleep(Duration::from_secs(1)).await;
            }
            Ok(body)
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
            let _ended = EndGuard(self.ended_count.clone());
            for index in 0..body.len() {
                reply.send(body.slice(index..=index)).await?;
            }
            match method {
                "echo.hang" => std::future::pending().await,
                _ => Ok(()),
            }
        })
    }
}

/// A caller at port 1 and a process with an [`EchoHandler`] at port 2.
struct Pair {
    world: FakeWorld,
    network: FakeNetwork,
    caller: FakeTransport,
    clock: Rc<HybridClock>,
    server: gullglade_units::fake::FakeProcess,
    handler: Rc<EchoHandler>,
}

fn start_pair(policy: Rc<dyn FakePolicy>) -> Pair {
    let (world, context) = FakeWorld::new(11);
    let server = world.process();
    let handler = Rc::new(EchoHandler {
        context: server.context().clone(),
        runs: Cell::new(0),
        ended_count: Rc::default(),
    });
    let network = FakeNetwork::new(policy);
    let caller = node(1, &context);
    let clock = caller.clock.clone();
    let serving = node(2, server.context());
    serving.handlers.register("echo", handler.clone());
    network.join(serving);
    Pair { world, caller: network.join(caller), network, clock, server, handler }
}

fn node(port: u16, context: &ProcessContext) -> FakeNode {
    FakeNode {
        address: address(port),
        identity: PeerIdentity {
            vm: VmName::try_from(format!("vm-{port}")).unwrap(),
            region: RegionName::try_from("puget").unwrap(),
            domain: FailureDomain::try_from("puget-a").unwrap(),
            incarnation: Incarnation(1),
        },
        context: context.clone(),
        clock: Rc::default(),
        handlers: Rc::new(HandlerTable::new()),
    }
}

/// Applies one action to all requests and one to all replies.
struct FixedPolicy {
    request: MessageAction,
    reply: MessageAction,
}

impl FakePolicy for FixedPolicy {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        match path.direction {
            MessageDirection::Request => self.request,
            MessageDirection::Reply => self.reply,
        }
    }
}

#[test]
fn injected_faults_have_the_outcomes_of_the_real_transport() {
    #[derive(Debug, PartialEq)]
    enum Outcome {
        Answer,
        NothingSent,
        TimeoutSent,
        BrokenSent,
        Fault(FaultKind),
    }
    struct Case {
        method: &'static str,
        port: u16,
        request: MessageAction,
        reply: MessageAction,
        runs: u32,
        millis: u64,
        outcome: Outcome,
    }
    let ok = MessageAction::Deliver(DELAY);
    let case = |method, port, request, reply, runs, millis, outcome| Case {
        method,
        port,
        request,
        reply,
        runs,
        millis,
        outcome,
    };
    let cases = [
        case("echo.it", 2, ok, ok, 1, 110, Outcome::Answer),
        case("echo.it", 3, ok, ok, 0, 0, Outcome::NothingSent),
        case("echo.it", 2, MessageAction::Refuse, ok, 0, 0, Outcome::NothingSent),
        case("echo.it", 2, MessageAction::Drop, ok, 0, 1_000, Outcome::TimeoutSent),
        case("echo.it", 2, ok, MessageAction::Drop, 1, 1_000, Outcome::TimeoutSent),
        case("echo.it", 2, ok, MessageAction::Refuse, 1, 55, Outcome::BrokenSent),
        case("echo.it", 2, MessageAction::Duplicate(DELAY, DELAY), ok, 2, 110, Outcome::Answer),
        case("echo.slow", 2, ok, ok, 1, 1_000, Outcome::TimeoutSent),
        case("none.it", 2, ok, ok, 0, 110, Outcome::Fault(FaultKind::UnknownMethod)),
    ];
    for (index, case) in cases.into_iter().enumerate() {
        let pair = start_pair(Rc::new(FixedPolicy { request: case.request, reply: case.reply }));
        let body = Bytes::from_static(b"body");
        let calling = pair.caller.call(address(case.port), case.method, body.clone(), LIMIT);
        let outcome = match pair.world.run_until(calling) {
            Ok(answer) if answer == body => Outcome::Answer,
            Ok(answer) => panic!("case {index}: {answer:?}"),
            Err(error) if error.nothing_sent() => Outcome::NothingSent,
            Err(PeerError::Timeout { .. }) => Outcome::TimeoutSent,
            Err(PeerError::Broken { .. }) => Outcome::BrokenSent,
            Err(PeerError::Fault { source }) => Outcome::Fault(source.kind),
            Err(error) => panic!("case {index}: {error}"),
        };
        let millis = pair.world.now().0.as_millis() as u64;
        pair.world.run_for(LIMIT);
        let seen = (outcome, pair.handler.runs.get(), millis);
        assert_eq!(seen, (case.outcome, case.runs, case.millis), "case {index}");
    }
}

#[test]
fn delay_does_not_reduce_stream_throughput() {
    let pair = start_pair(Rc::new(FakeLink::new(DELAY)));
    let body = Bytes::from(vec![5; 100]);
    let count = pair.world.run_until(async {
        let mut stream = pair.caller.open(address(2), "echo.it", body).await.unwrap();
        let mut count = 0;
        while let Some(message) = stream.next().await {
            assert_eq!(message.unwrap().len(), 1);
            count += 1;
        }
        count
    });
    assert_eq!((count, pair.world.now().0), (100, 2 * DELAY));
}

#[test]
fn killing_a_process_breaks_replies_and_dropping_a_reply_cancels_the_handler() {
    let pair = start_pair(Rc::new(FakeLink::new(DELAY)));
    let open = || async {
        let body = Bytes::from_static(b"x");
        let mut stream = pair.caller.open(address(2), "echo.hang", body).await.unwrap();
        stream.next().await.unwrap().unwrap();
        stream
    };
    let dropped = pair.world.run_until(open());
    assert_eq!(pair.handler.ended_count.get(), 0);
    drop(dropped);
    pair.world.run_for(DELAY);
    assert_eq!(pair.handler.ended_count.get(), 1);

    let mut broken = pair.world.run_until(open());
    pair.server.kill();
    pair.network.leave(address(2));
    let item = pair.world.run_until(broken.next());
    assert!(matches!(item, Some(Err(PeerError::Broken { sent: true, .. }))), "{item:?}");
    assert_eq!(pair.handler.ended_count.get(), 2);
}

#[test]
fn partitioned_link_drops_messages_until_healed() {
    let link = Rc::new(FakeLink::new(DELAY));
    let pair = start_pair(link.clone());
    let call = || {
        let calling = pair.caller.call(address(2), "echo.it", Bytes::new(), LIMIT);
        pair.world.run_until(calling)
    };
    link.isolate(address(2), &[address(1), address(2)]);
    assert!(matches!(call(), Err(PeerError::Timeout { sent: true, .. })));
    link.heal_all();
    assert_eq!(call(), Ok(Bytes::new()));
}

#[test]
fn reply_stamp_is_later_than_the_servers_clock() {
    let pair = start_pair(Rc::new(FakeLink::new(DELAY)));
    pair.server.set_wall_offset(60_000);
    let calling = pair.caller.call(address(2), "echo.it", Bytes::new(), LIMIT);
    pair.world.run_until(calling).unwrap();
    let next = pair.clock.stamp(gullglade_units::WallMillis(0));
    let sent = pair.server.context().clock.wall().0 - DELAY.as_millis() as u64;
    assert!(next.wall.0 >= sent, "{next} is before {sent}");
}
