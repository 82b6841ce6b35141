//! Requests forwarded by gateways of other regions, including invalid ones.

use {
    crate::{
        forward::{FORWARD_METHOD, ForwardReply, ForwardRequest},
        testing::{
            AnswerPause, BackendBehavior, DOCUMENT, LOCAL_REGION, TestGateway, TestSetup, domain,
            region,
        },
    },
    bytes::Bytes,
    gullglade_document::ServiceTarget,
    gullglade_event::Invariant,
    gullglade_peer::{PeerFault, PeerHandler, PeerIdentity, PeerReplySink, ReplySender},
    gullglade_units::{Incarnation, LocalFuture, RequestId, VmName, decode, encode},
    http::StatusCode,
    std::{cell::RefCell, rc::Rc, time::Duration},
};

const ALL_REGIONS: &str = r#"["puget", "columbia", "inland"]"#;

struct SentMessages(Rc<RefCell<Vec<Bytes>>>);

impl ReplySender for SentMessages {
    fn send(&mut self, message: Bytes) -> LocalFuture<'_, Result<(), PeerFault>> {
        self.0.borrow_mut().push(message);
        Box::pin(std::future::ready(Ok(())))
    }
}

/// The reply to a forwarded request.
struct ForwardOutcome {
    head: ForwardReply,
    ended: Result<(), PeerFault>,
}

/// Forwards a request as the gateway of `from` would.
fn forward(receiver: &TestGateway, from: &str, request: &ForwardRequest) -> ForwardOutcome {
    let from = PeerIdentity {
        vm: VmName::try_from(format!("{from}-1")).unwrap(),
        region: region(from),
        domain: domain(),
        incarnation: Incarnation(1),
    };
    let sent = Rc::<RefCell<Vec<Bytes>>>::default();
    let reply = PeerReplySink::new(SentMessages(Rc::clone(&sent)));
    let body = Bytes::from(encode(request));
    let ended =
        receiver.world.run_until(receiver.gateway.stream(&from, FORWARD_METHOD, body, reply));
    let head = decode(&sent.borrow()[0]).unwrap();
    ForwardOutcome { head, ended }
}

/// Returns a request of a caller in puget.
fn caller_request(receiver: &TestGateway) -> ForwardRequest {
    ForwardRequest {
        id: RequestId::new(&receiver.context),
        origin: region("puget"),
        gateway: VmName::try_from("puget-1").unwrap(),
        service: "ballast-order-desk".try_into().unwrap(),
        workspace: "roadmasters".try_into().unwrap(),
        target: ServiceTarget::Model("ballast".try_into().unwrap()),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: Vec::new(),
        body: b"{}".to_vec(),
        streamed: false,
        repeatable: true,
        remaining_millis: 10_000,
        offset: 0,
        prompt_tokens: 10,
        prompt_blocks: Vec::new(),
        max_tokens: 8,
    }
}

struct HopCase {
    name: &'static str,
    from: &'static str,
    origin: &'static str,
    runs: u32,
    reason: &'static str,
}

/// Guards against requests that loop between regions.
#[test]
fn refuses_requests_that_were_forwarded_before() {
    let forwarded = "the request has already been forwarded between regions";
    let cases = [
        HopCase { name: "first hop", from: "puget", origin: "puget", runs: 1, reason: "" },
        HopCase {
            name: "forwarded twice",
            from: "inland",
            origin: "puget",
            runs: 0,
            reason: forwarded,
        },
        HopCase {
            name: "sent back",
            from: "inland",
            origin: LOCAL_REGION,
            runs: 0,
            reason: forwarded,
        },
        HopCase {
            name: "from here",
            from: LOCAL_REGION,
            origin: LOCAL_REGION,
            runs: 0,
            reason: forwarded,
        },
        HopCase {
            name: "false origin",
            from: LOCAL_REGION,
            origin: "puget",
            runs: 0,
            reason: forwarded,
        },
    ];
    for case in cases {
        let receiver = TestGateway::new(DOCUMENT, true, BackendBehavior::Answers);
        let request = ForwardRequest { origin: region(case.origin), ..caller_request(&receiver) };
        let outcome = forward(&receiver, case.from, &request);
        assert_eq!(receiver.client.sends.get(), case.runs, "{}: {:?}", case.name, outcome.head);
        assert_eq!(refusal(&outcome.head), case.reason, "{}", case.name);
        let violations = u64::from(case.runs == 0);
        assert_eq!(receiver.metrics.violations(Invariant::NoLoop), violations, "{}", case.name);
    }
}

/// Guards against requests that are forwarded to a third region.
#[test]
fn never_forwards_a_forwarded_request() {
    let receiver = TestGateway::new(DOCUMENT, false, BackendBehavior::Answers);
    let outcome = forward(&receiver, "puget", &caller_request(&receiver));
    assert_eq!(receiver.transport.opened.get(), 0, "it was forwarded: {:?}", outcome.head);
    assert_ne!(refusal(&outcome.head), "", "{:?}", outcome.head);
}

struct DocumentCase {
    name: &'static str,
    /// A part of the receiver's document and its replacement.
    change: (&'static str, &'static str),
    reason: &'static str,
}

/// Guards against requests that run in a region which the service's document has just excluded.
#[test]
fn checks_forwarded_requests_against_the_receivers_document() {
    let forbidden = "the service's document does not allow this region";
    let cases = [
        DocumentCase {
            name: "the service excludes the region",
            change: (ALL_REGIONS, r#"["puget", "inland"]"#),
            reason: forbidden,
        },
        DocumentCase {
            name: "the model excludes the region",
            change: ("name = \"ballast\"", "name = \"ballast\"\nregions = [\"puget\"]"),
            reason: forbidden,
        },
        DocumentCase {
            name: "the workspace has another home region",
            change: ("name = \"roadmasters\"", "name = \"roadmasters\"\nhome = \"puget\""),
            reason: forbidden,
        },
        DocumentCase {
            name: "the workspace was removed",
            change: ("name = \"roadmasters\"", "name = \"clerks\""),
            reason: "the workspace is not known here",
        },
        DocumentCase {
            name: "the service was removed",
            change: ("service = \"ballast-order-desk\"", "service = \"another\""),
            reason: "the service is not known here",
        },
    ];
    for case in cases {
        let document = DOCUMENT.replacen(case.change.0, case.change.1, 1);
        assert_ne!(document, DOCUMENT, "{}", case.name);
        let receiver = TestGateway::new(&document, true, BackendBehavior::Answers);
        let outcome = forward(&receiver, "puget", &caller_request(&receiver));
        assert_eq!(receiver.client.sends.get(), 0, "{}: {:?}", case.name, outcome.head);
        assert_eq!(refusal(&outcome.head), case.reason, "{}", case.name);
    }
}

/// Guards against orders that are placed twice, and incomplete answers that appear complete, after
/// a lost connection.
#[test]
fn reports_lost_answers_as_unknown_or_incomplete() {
    let receiver = TestGateway::new(DOCUMENT, true, BackendBehavior::LosesConnection);
    let order = ForwardRequest { repeatable: false, ..caller_request(&receiver) };
    let outcome = forward(&receiver, "puget", &order);
    assert!(matches!(outcome.head, ForwardReply::Unknown), "{:?}", outcome.head);
    assert_eq!(receiver.client.sends.get(), 1);
    let receiver = TestGateway::new(DOCUMENT, true, BackendBehavior::BreaksOff);
    let outcome = forward(&receiver, "puget", &caller_request(&receiver));
    assert!(matches!(outcome.head, ForwardReply::Answer { .. }), "{:?}", outcome.head);
    assert!(outcome.ended.is_err(), "an incomplete answer ended without an error");
}

/// Guards against a shutdown that is delayed by requests from other regions.
#[test]
fn refuses_forwarded_requests_while_draining() {
    let receiver = TestGateway::new(DOCUMENT, true, BackendBehavior::Answers);
    receiver.gateway.drain();
    let outcome = forward(&receiver, "puget", &caller_request(&receiver));
    assert_eq!(refusal(&outcome.head), "the gateway is shutting down");
    assert_eq!(receiver.client.sends.get(), 0);
}

struct SenderDeadlineCase {
    name: &'static str,
    /// A part of the receiver's document and its replacement.
    change: (&'static str, &'static str),
    attempt_limit: u32,
    remaining_millis: u64,
    is_served: bool,
}

/// Guards against runs for another region's caller that end before the deadline set by the gateway
/// of this caller.
#[test]
fn forwarded_run_ends_at_the_senders_deadline() {
    let shorter = ("[[models]]", "limits = { deadline_ms = 500 }\n[[models]]");
    let same = ("", "");
    let cases = [
        SenderDeadlineCase {
            name: "answers in time",
            change: same,
            attempt_limit: 4,
            remaining_millis: 10_000,
            is_served: true,
        },
        SenderDeadlineCase {
            name: "last attempt",
            change: same,
            attempt_limit: 1,
            remaining_millis: 10_000,
            is_served: true,
        },
        SenderDeadlineCase {
            name: "shorter deadline in the document of the receiver",
            change: shorter,
            attempt_limit: 4,
            remaining_millis: 10_000,
            is_served: true,
        },
        SenderDeadlineCase {
            name: "the deadline of the sender passes",
            change: same,
            attempt_limit: 1,
            remaining_millis: 5_000,
            is_served: false,
        },
    ];
    for case in cases {
        let document = DOCUMENT.replacen(case.change.0, case.change.1, 1);
        let pause = AnswerPause { before: 0, length: Duration::from_secs(6) };
        let receiver = TestGateway::warmed_up(&TestSetup {
            document: &document,
            behavior: BackendBehavior::Pauses(pause),
            attempt_limit: case.attempt_limit,
            ..TestSetup::default()
        });
        let remaining_millis = case.remaining_millis;
        let request = ForwardRequest { remaining_millis, ..caller_request(&receiver) };
        let began = receiver.world.now();
        let outcome = forward(&receiver, "puget", &request);
        let is_served = matches!(outcome.head, ForwardReply::Answer { .. });
        assert_eq!(is_served, case.is_served, "{}: {:?}", case.name, outcome.head);
        let took = receiver.world.now().since(began);
        assert!(took >= Duration::from_millis(5_000), "{}: {took:?}", case.name);
        assert_eq!(receiver.client.sends.get(), 1, "{}", case.name);
    }
}

/// Guards against runs for another region's caller that are cut off when this gateway drains.
#[test]
fn draining_does_not_interrupt_forwarded_runs() {
    for before in 0..4 {
        let pause = AnswerPause { before, length: Duration::from_secs(6) };
        let receiver = TestGateway::warmed_up(&TestSetup {
            behavior: BackendBehavior::Pauses(pause),
            ..TestSetup::default()
        });
        let (gateway, clock) = (receiver.gateway.clone(), receiver.context.clock.clone());
        receiver.context.spawner.spawn(Box::pin(async move {
            clock.sleep(Duration::from_secs(1)).await;
            gateway.drain();
        }));
        let outcome = forward(&receiver, "puget", &caller_request(&receiver));
        let is_answer = matches!(outcome.head, ForwardReply::Answer { .. });
        assert!(is_answer && outcome.ended.is_ok(), "{pause:?}: {:?}", outcome.head);
        assert_eq!(receiver.client.sends.get(), 1, "{pause:?}");
    }
}

/// Guards against forwarded requests that wait here for the end of a back-off, while their region
/// of origin may have capacity.
#[test]
fn refuses_forwarded_requests_during_a_back_off() {
    let headers = &[("gullglade-run", "not-run"), ("retry-after", "2")];
    let receiver = TestGateway::warmed_up(&TestSetup {
        behavior: BackendBehavior::Rejects(1, StatusCode::SERVICE_UNAVAILABLE, headers),
        ..TestSetup::default()
    });
    let began = receiver.world.now();
    for _ in 0..2 {
        let outcome = forward(&receiver, "puget", &caller_request(&receiver));
        assert!(refusal(&outcome.head).contains("back-off"), "{:?}", outcome.head);
    }
    assert_eq!(receiver.world.now(), began);
    assert_eq!(receiver.client.sends.get(), 1);
}

/// Returns the reason why the request did not run, or an empty string if it may have run.
fn refusal(head: &ForwardReply) -> &str {
    match head {
        ForwardReply::NotRun { reason, .. } => reason,
        ForwardReply::Answer { .. } | ForwardReply::Unknown => "",
    }
}
