//! Answers that pause, and answers that are abandoned.

use {
    crate::testing::{
        AnswerPause, BackendBehavior, DOCUMENT, PeerBehavior, TestGateway, TestSetup,
    },
    http::StatusCode,
    std::time::Duration,
};

const STREAMED_BODY: &str =
    r#"{"model":"ballast","stream":true,"messages":[{"role":"user","content":"Quote."}]}"#;
const BUFFERED_BODY: &str =
    r#"{"model":"ballast","messages":[{"role":"user","content":"Quote."}]}"#;

struct PauseCase<'a> {
    name: &'static str,
    setup: TestSetup<'a>,
    has_budget: bool,
}

/// Returns setups in which no other backend server or region can take the request over.
fn setups_without_alternative(pause: AnswerPause, local_only: &str) -> Vec<PauseCase<'_>> {
    let behavior = BackendBehavior::Pauses(pause);
    let refuses = PeerBehavior::Refuses(Duration::from_millis(100));
    let base = || TestSetup { behavior, peers: refuses, ..TestSetup::default() };
    let remote = || TestSetup { has_engines: false, peers: PeerBehavior::Pauses(pause), ..base() };
    vec![
        PauseCase {
            name: "no other backend server and no other region",
            setup: TestSetup { document: local_only, ..base() },
            has_budget: true,
        },
        PauseCase { name: "the other region refuses", setup: base(), has_budget: true },
        PauseCase {
            name: "last attempt",
            setup: TestSetup { attempt_limit: 1, ..base() },
            has_budget: true,
        },
        PauseCase { name: "no budget", setup: base(), has_budget: false },
        PauseCase { name: "in the other region", setup: remote(), has_budget: true },
        PauseCase {
            name: "in the other region, last attempt",
            setup: TestSetup { attempt_limit: 1, ..remote() },
            has_budget: true,
        },
        PauseCase { name: "in the other region, no budget", setup: remote(), has_budget: false },
    ]
}

/// Guards against runs that are abandoned after a pause although nothing else can answer.
#[test]
fn pause_does_not_end_a_run_without_alternative() {
    let local_only = DOCUMENT.replace(r#"["puget", "columbia", "inland"]"#, r#"["columbia"]"#);
    let paths = [
        ("/v1/chat/completions", STREAMED_BODY),
        ("/v1/chat/completions", BUFFERED_BODY),
        ("/services/order-desk/list", "{}"),
    ];
    for millis in [500, 1_200, 1_300, 2_600, 6_000] {
        for before in 0..5 {
            let pause = AnswerPause { before, length: Duration::from_millis(millis) };
            for PauseCase { name, setup, has_budget } in
                setups_without_alternative(pause, &local_only)
            {
                for (path, body) in paths {
                    let gateway = TestGateway::warmed_up(&setup);
                    let answering = gateway.send(path, body);
                    let spending = gateway.keep_retry_budget_empty(has_budget);
                    let ((head, answer), ()) =
                        gateway.world.run_until(async { futures::join!(answering, spending) });
                    let name = format!("{name}, {pause:?}, {path} {body}");
                    assert_eq!(head.status, StatusCode::OK, "{name}");
                    assert!(answer.is_some(), "{name}: the answer is incomplete");
                    let runs = gateway.client.sends.get() + gateway.transport.opened.get();
                    assert_eq!(runs, 1, "{name}");
                }
            }
        }
    }
}

struct ChangeCase {
    name: &'static str,
    change: fn(&TestGateway),
    /// Set if the run is in the other region.
    is_remote: bool,
}

/// Guards against runs that are cut off by a state change of the gateway or of the backend server
/// that runs them.
#[test]
fn state_change_does_not_interrupt_a_run() {
    let cases = [
        ChangeCase {
            name: "the gateway drains",
            change: |gateway| gateway.gateway.drain(),
            is_remote: false,
        },
        ChangeCase {
            name: "the gateway drains",
            change: |gateway| gateway.gateway.drain(),
            is_remote: true,
        },
        ChangeCase {
            name: "the backend server leaves",
            change: |gateway| gateway.announce_leaving(10),
            is_remote: false,
        },
        ChangeCase {
            name: "another run announces its name",
            change: |gateway| gateway.renew(2, 10),
            is_remote: false,
        },
        ChangeCase { name: "its announcement is not renewed", change: |_| (), is_remote: false },
    ];
    let paths = [("/v1/chat/completions", STREAMED_BODY), ("/v1/chat/completions", BUFFERED_BODY)];
    for ChangeCase { name, change, is_remote } in cases {
        for before in 0..5 {
            for (path, body) in paths {
                let pause = AnswerPause { before, length: Duration::from_secs(20) };
                let gateway = TestGateway::warmed_up(&TestSetup {
                    has_engines: !is_remote,
                    behavior: BackendBehavior::Pauses(pause),
                    peers: PeerBehavior::Pauses(pause),
                    ..TestSetup::default()
                });
                let changing = async {
                    gateway.context.clock.sleep(Duration::from_secs(1)).await;
                    change(&gateway);
                };
                let answering = gateway.send(path, body);
                let ((head, answer), ()) =
                    gateway.world.run_until(async { futures::join!(answering, changing) });
                let name = format!("{name}, remote: {is_remote}, {pause:?}, {body}");
                assert_eq!(head.status, StatusCode::OK, "{name}");
                assert!(answer.is_some(), "{name}: the answer is incomplete");
                let runs = gateway.client.sends.get() + gateway.transport.opened.get();
                assert_eq!(runs, 1, "{name}");
            }
        }
    }
}

/// Guards against two backend servers that run one request at the same time: the one whose answer
/// is unusable, and the next.
#[test]
fn unusable_run_ends_before_the_next_begins() {
    let gateway = TestGateway::warmed_up(&TestSetup {
        behavior: BackendBehavior::OutOfOrder,
        ..TestSetup::default()
    });
    let (head, _) = gateway.post_without_key("/v1/chat/completions", STREAMED_BODY);
    assert!(gateway.client.sends.get() > 1, "{}", head.status);
    assert_eq!(gateway.client.runs.max.get(), 1, "{}", head.status);
}

/// Guards against a faulty backend server whose answer has no end: it fills the gateway's memory, or
/// holds the request for as long as it goes on.
#[test]
fn answers_without_end_are_given_up() {
    const EVENT: &str =
        "data: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n";
    struct Case {
        name: &'static str,
        text: &'static str,
        path: &'static str,
        body: &'static str,
        is_complete: bool,
    }
    let model = "/v1/chat/completions";
    let event: &'static str = EVENT.repeat(100).leak();
    let comments: &'static str = ": busy\n\n".repeat(1_000).leak();
    for Case { name, text, path, body, is_complete } in [
        Case { name: "an event", text: event, path: model, body: STREAMED_BODY, is_complete: true },
        Case {
            name: "comments",
            text: comments,
            path: model,
            body: STREAMED_BODY,
            is_complete: true,
        },
        Case {
            name: "slow comments",
            text: ":\n\n",
            path: model,
            body: STREAMED_BODY,
            is_complete: false,
        },
        Case {
            name: "a buffered answer",
            text: event,
            path: model,
            body: BUFFERED_BODY,
            is_complete: true,
        },
        Case {
            name: "a slow buffered answer",
            text: "{",
            path: model,
            body: BUFFERED_BODY,
            is_complete: false,
        },
        Case {
            name: "a plain answer",
            text: event,
            path: "/services/order-desk/list",
            body: "{}",
            is_complete: false,
        },
        Case {
            name: "a slow plain answer",
            text: "{",
            path: "/services/order-desk/list",
            body: "{}",
            is_complete: false,
        },
    ] {
        let document = format!("{DOCUMENT}[limits]\ndeadline_ms = 5000\n");
        let gateway = TestGateway::warmed_up(&TestSetup {
            document: &document,
            behavior: BackendBehavior::Unending(text),
            has_second_engine: true,
            peers: PeerBehavior::Refuses(Duration::from_millis(1)),
            ..TestSetup::default()
        });
        let began = gateway.context.clock.now();
        let (head, answer) = gateway.post_without_key(path, body);
        let took = gateway.context.clock.now().since(began);
        let context = format!("{name}: {} after {took:?}", head.status);
        assert_eq!(answer.is_some() && head.status == StatusCode::OK, is_complete, "{context}");
        assert!(took < Duration::from_millis(7_500), "{context}");
        assert_eq!(gateway.client.runs.current.get(), 0, "{context}: the run goes on");
    }
}

/// Guards against a started answer that breaks off although the retry budget refills before the
/// deadline.
#[test]
fn started_answer_waits_for_the_retry_budget_until_its_deadline() {
    struct Case {
        deadline_ms: u64,
        is_complete: bool,
    }
    for Case { deadline_ms, is_complete } in [
        Case { deadline_ms: 5_000, is_complete: true },
        Case { deadline_ms: 300, is_complete: false },
    ] {
        let document = format!("{DOCUMENT}[limits]\ndeadline_ms = {deadline_ms}\n");
        let gateway = TestGateway::warmed_up(&TestSetup {
            document: &document,
            behavior: BackendBehavior::Unfinished,
            has_second_engine: true,
            ..TestSetup::default()
        });
        gateway.drain_retry_budget();
        let began = gateway.context.clock.now();
        let (head, answer) = gateway.post_without_key("/v1/chat/completions", STREAMED_BODY);
        let took = gateway.context.clock.now().since(began);
        let context = format!("{deadline_ms} ms: {answer:?} after {took:?}");
        assert_eq!(head.status, StatusCode::OK, "{context}");
        assert_eq!(answer.is_some(), is_complete, "{context}");
        assert_eq!(gateway.client.sends.get(), if is_complete { 2 } else { 1 }, "{context}");
        assert!(is_complete || took < Duration::from_millis(50), "{context}");
    }
}
