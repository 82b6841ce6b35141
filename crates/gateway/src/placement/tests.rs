//! Requests that wait in the queue while another region is asked.

use {
    crate::testing::{AnswerPause, BackendBehavior, PeerBehavior, TestGateway, TestSetup},
    futures::future::join_all,
    http::StatusCode,
    std::time::Duration,
};

/// More than the backend server takes at once.
const REQUESTS: usize = 14;

const CHAT_BODY: &str = r#"{"model":"ballast","messages":[{"role":"user","content":"Quote."}]}"#;

struct QueueCase {
    name: &'static str,
    attempt_limit: u32,
    has_budget: bool,
    refuses_after: Duration,
}

/// Guards against requests whose turn in the queue is given up for a region that then refuses them.
#[test]
fn a_place_in_the_queue_outlasts_the_refusal_of_another_region() {
    let soon = Duration::from_millis(100);
    let late = Duration::from_millis(1_500);
    let cases = [
        QueueCase { name: "usual", attempt_limit: 4, has_budget: true, refuses_after: soon },
        QueueCase { name: "last attempt", attempt_limit: 1, has_budget: true, refuses_after: soon },
        QueueCase { name: "no budget", attempt_limit: 4, has_budget: false, refuses_after: soon },
        QueueCase {
            name: "refused after its turn",
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
            offers_from: Duration::from_millis(500),
            attempt_limit,
            ..TestSetup::default()
        });
        let answers = gateway.world.run_until(async {
            let asking = (0..REQUESTS).map(|_| gateway.send("/v1/chat/completions", CHAT_BODY));
            let spending = gateway.keep_retry_budget_empty(has_budget);
            futures::join!(join_all(asking), spending).0
        });
        let served = answers.iter().filter(|(head, _)| head.status == StatusCode::OK).count();
        assert_eq!(served, REQUESTS, "{name}: the others were refused");
        let asked = gateway.transport.opened.get();
        let most = u32::try_from(REQUESTS).unwrap();
        assert!((1..=most).contains(&asked), "{name}: the other region was asked {asked} times");
        assert_eq!(gateway.client.sends.get(), most, "{name}");
    }
}
