//! What a gateway does with requests that other regions' gateways hand over, some of them wrongly.

use {
    crate::{
        forward::{FORWARD_METHOD, ForwardReply, ForwardRequest},
        testing::{
            AnswerPause, BackendFate, DOCUMENT, HERE, TestGateway, TestSetup, domain, region,
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

/// The reply to one forwarded request.
struct ForwardOutcome {
    head: ForwardReply,
    ended: Result<(), PeerFault>,
}

/// Hands over a request as the gateway of `from` would.
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

/// A request of a caller in puget.
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

/// Guards against a request that goes round between regions.
#[test]
fn a_request_on_its_second_hop_is_refused() {
    let travelled = "the request has travelled between regions before";
    let cases = [
        HopCase { name: "first hop", from: "puget", origin: "puget", runs: 1, reason: "" },
        HopCase { name: "passed on", from: "inland", origin: "puget", runs: 0, reason: travelled },
        HopCase { name: "sent back", from: "inland", origin: HERE, runs: 0, reason: travelled },
        HopCase { name: "from here", from: HERE, origin: HERE, runs: 0, reason: travelled },
        HopCase { name: "false name", from: HERE, origin: "puget", runs: 0, reason: travelled },
    ];
    for case in cases {
        let receiver = TestGateway::new(DOCUMENT, true, BackendFate::Answers);
        let request = ForwardRequest { origin: region(case.origin), ..caller_request(&receiver) };
        let outcome = forward(&receiver, case.from, &request);
        assert_eq!(receiver.client.sends.get(), case.runs, "{}: {:?}", case.name, outcome.head);
        assert_eq!(refusal(&outcome.head), case.reason, "{}", case.name);
        let violations = u64::from(case.runs == 0);
        assert_eq!(receiver.metrics.violations(Invariant::NoLoop), violations, "{}", case.name);
    }
}

/// Guards against a request that travels on to a third region.
#[test]
fn a_forwarded_request_is_run_here_or_nowhere() {
    let receiver = TestGateway::new(DOCUMENT, false, BackendFate::Answers);
    let outcome = forward(&receiver, "puget", &caller_request(&receiver));
    assert_eq!(receiver.transport.opened.get(), 0, "it was passed on: {:?}", outcome.head);
    assert_ne!(refusal(&outcome.head), "", "{:?}", outcome.head);
}

struct PlaceCase {
    name: &'static str,
    /// Replaced in the receiver's document, and by what.
    change: (&'static str, &'static str),
    reason: &'static str,
}

/// Guards against a request that runs in a region that its team has just forbidden.
#[test]
fn the_receivers_document_decides_whatever_the_sender_knew() {
    let forbidden = "the service's document does not allow this region";
    let cases = [
        PlaceCase {
            name: "the service may not be here",
            change: (ALL_REGIONS, r#"["puget", "inland"]"#),
            reason: forbidden,
        },
        PlaceCase {
            name: "the model may not be here",
            change: ("name = \"ballast\"", "name = \"ballast\"\nregions = [\"puget\"]"),
            reason: forbidden,
        },
        PlaceCase {
            name: "the workspace is bound to its home",
            change: ("name = \"roadmasters\"", "name = \"roadmasters\"\nhome = \"puget\""),
            reason: forbidden,
        },
        PlaceCase {
            name: "the workspace is gone",
            change: ("name = \"roadmasters\"", "name = \"clerks\""),
            reason: "the workspace is not known here",
        },
        PlaceCase {
            name: "the service is gone",
            change: ("service = \"ballast-order-desk\"", "service = \"another\""),
            reason: "the service is not known here",
        },
    ];
    for case in cases {
        let document = DOCUMENT.replacen(case.change.0, case.change.1, 1);
        assert_ne!(document, DOCUMENT, "{}", case.name);
        let receiver = TestGateway::new(&document, true, BackendFate::Answers);
        let outcome = forward(&receiver, "puget", &caller_request(&receiver));
        assert_eq!(receiver.client.sends.get(), 0, "{}: {:?}", case.name, outcome.head);
        assert_eq!(refusal(&outcome.head), case.reason, "{}", case.name);
    }
}

/// Guards against orders placed twice, and half answers that look whole, after a lost connection.
#[test]
fn what_was_lost_here_is_not_told_as_refused_or_whole() {
    let receiver = TestGateway::new(DOCUMENT, true, BackendFate::Loses);
    let order = ForwardRequest { repeatable: false, ..caller_request(&receiver) };
    let outcome = forward(&receiver, "puget", &order);
    assert!(matches!(outcome.head, ForwardReply::Unknown), "{:?}", outcome.head);
    assert_eq!(receiver.client.sends.get(), 1);
    let receiver = TestGateway::new(DOCUMENT, true, BackendFate::Breaks);
    let outcome = forward(&receiver, "puget", &caller_request(&receiver));
    assert!(matches!(outcome.head, ForwardReply::Answer { .. }), "{:?}", outcome.head);
    assert!(outcome.ended.is_err(), "a broken answer ended as a whole one");
}

/// Guards against a stop that is held up by work of other regions.
#[test]
fn a_draining_gateway_takes_nothing_over() {
    let receiver = TestGateway::new(DOCUMENT, true, BackendFate::Answers);
    receiver.gateway.drain();
    let outcome = forward(&receiver, "puget", &caller_request(&receiver));
    assert_eq!(refusal(&outcome.head), "the gateway is shutting down");
    assert_eq!(receiver.client.sends.get(), 0);
}

struct SilentCase {
    name: &'static str,
    /// Replaced in the receiver's document, and by what.
    change: (&'static str, &'static str),
    attempt_limit: u32,
    remaining_millis: u64,
    is_served: bool,
}

/// Guards against runs for another region's caller that end before the limit of the gateway that
/// has this caller.
#[test]
fn the_senders_limit_binds_a_silent_run() {
    let shorter = ("[[models]]", "limits = { deadline_ms = 500 }\n[[models]]");
    let same = ("", "");
    let cases = [
        SilentCase {
            name: "in time",
            change: same,
            attempt_limit: 4,
            remaining_millis: 10_000,
            is_served: true,
        },
        SilentCase {
            name: "last attempt",
            change: same,
            attempt_limit: 1,
            remaining_millis: 10_000,
            is_served: true,
        },
        SilentCase {
            name: "shorter limit in the receiver's version",
            change: shorter,
            attempt_limit: 4,
            remaining_millis: 10_000,
            is_served: true,
        },
        SilentCase {
            name: "the sender gives up",
            change: same,
            attempt_limit: 1,
            remaining_millis: 5_000,
            is_served: false,
        },
    ];
    for case in cases {
        let document = DOCUMENT.replacen(case.change.0, case.change.1, 1);
        let pause = AnswerPause { before: 0, length: Duration::from_secs(6) };
        let receiver = TestGateway::with(&TestSetup {
            document: &document,
            fate: BackendFate::Pauses(pause),
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

/// Guards against runs for another region's caller that the stop of this gateway cuts off.
#[test]
fn a_stop_midway_ends_no_run_for_another_region() {
    for before in 0..4 {
        let pause = AnswerPause { before, length: Duration::from_secs(6) };
        let receiver = TestGateway::with(&TestSetup {
            fate: BackendFate::Pauses(pause),
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

/// Guards against requests of other regions that wait here for the end of a back-off, while their
/// own region may have room.
#[test]
fn a_region_whose_backend_servers_back_off_takes_nothing_over() {
    let headers = &[("gullglade-run", "not-run"), ("retry-after", "2")];
    let receiver = TestGateway::with(&TestSetup {
        fate: BackendFate::Rejects(1, StatusCode::SERVICE_UNAVAILABLE, headers),
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

/// Why it was not run; empty where it may have.
fn refusal(head: &ForwardReply) -> &str {
    match head {
        ForwardReply::NotRun { reason, .. } => reason,
        ForwardReply::Answer { .. } | ForwardReply::Unknown => "",
    }
}
