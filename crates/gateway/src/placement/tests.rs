//! Requests that wait in the queue while another region is tried.

use {
    crate::testing::{AnswerPause, BackendBehavior, PeerBehavior, TestGateway, TestSetup},
    futures::future::join_all,
    http::StatusCode,
    std::time::Duration,
};

/// More requests than the backend server runs concurrently.
const REQUESTS: usize = 14;

const CHAT_BODY: &str = r#"{"model":"ballast","messages":[{"role":"user","content":"Quote."}]}"#;

struct QueueCase {
    name: &'static str,
    attempt_limit: u32,
    has_budget: bool,
    refuses_after: Duration,
}

/// Guards against a region that is given up for a request because one of its gateways refused it.
#[test]
fn asks_other_gateways_of_a_region_that_one_refused_for() {
    struct Case {
        refusing: u16,
        status: StatusCode,
        asked: u32,
    }
    let cases = [
        Case { refusing: 0, status: StatusCode::OK, asked: 1 },
        Case { refusing: 1, status: StatusCode::OK, asked: 2 },
        Case { refusing: 2, status: StatusCode::OK, asked: 3 },
        Case { refusing: 4, status: StatusCode::SERVICE_UNAVAILABLE, asked: 3 },
    ];
    for Case { refusing, status, asked } in cases {
        let gateway = TestGateway::warmed_up(&TestSetup {
            has_engines: false,
            peers: PeerBehavior::SomeRefuse(refusing),
            remote_gateways: 4,
            ..TestSetup::default()
        });
        let sending = gateway.send("/v1/chat/completions", CHAT_BODY);
        let (head, _) = gateway.world.run_until(sending);
        assert_eq!((head.status, gateway.transport.opened.get()), (status, asked), "{refusing}");
    }
}

/// Guards against requests that lose their queue position to a forward which is then refused.
#[test]
fn keeps_queue_position_when_another_region_refuses() {
    let soon = Duration::from_millis(100);
    let late = Duration::from_millis(1_500);
    let cases = [
        QueueCase { name: "usual", attempt_limit: 4, has_budget: true, refuses_after: soon },
        QueueCase { name: "last attempt", attempt_limit: 1, has_budget: true, refuses_after: soon },
        QueueCase { name: "no budget", attempt_limit: 4, has_budget: false, refuses_after: soon },
        QueueCase {
            name: "refused after a slot was granted",
            attempt_limit: 1,
            has_budget: false,
            refuses_after: late,
        },
    ];
    for QueueCase { name, attempt_limit, has_budget, refuses_after } in cases {
        let pause = AnswerPause { before: 0, length: Duration::from_secs(2) };
        let gateway = TestGateway::warmed_up(&TestSetup {
            behavior: BackendBehavior::Pauses(pause),
            peers: PeerBehavior::Refuses(refuses_after),
            remote_reachable_after: Duration::from_millis(500),
            attempt_limit,
            ..TestSetup::default()
        });
        let answers = gateway.world.run_until(async {
            let sending = (0..REQUESTS).map(|_| gateway.send("/v1/chat/completions", CHAT_BODY));
            let spending = gateway.keep_retry_budget_empty(has_budget);
            futures::join!(join_all(sending), spending).0
        });
        let served = answers.iter().filter(|(head, _)| head.status == StatusCode::OK).count();
        assert_eq!(served, REQUESTS, "{name}: requests were refused");
        let forwarded = gateway.transport.opened.get();
        let expected = u32::try_from(REQUESTS).unwrap();
        assert!((1..=expected).contains(&forwarded), "{name}: {forwarded} requests were forwarded");
        assert_eq!(gateway.client.sends.get(), expected, "{name}");
    }
}
