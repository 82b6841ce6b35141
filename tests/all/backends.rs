//! What a service's document says about its backend servers.

use {
    crate::support::{BALLAST, ballast_plan, name, run},
    gullglade_demo::{CallerClient, Deployment},
    gullglade_document::TokenHash,
    gullglade_stub::{FaultKind, FaultOrder},
    http::{Method, StatusCode},
    std::time::{Duration, Instant},
};

/// How long an admitted engine may take to be used.
const JOIN_LIMIT: Duration = Duration::from_secs(5);

const TOKEN: &str = "backend-token-of-the-order-desk";

/// The announcement of an engine; a renewal where `profile` is false.
fn announcement(state: &str, sequence: u64, profile: bool) -> String {
    let mut value = serde_json::json!({
        "name": "engine-9", "incarnation": 1, "sequence": sequence, "state": state,
    });
    if profile {
        value["profile"] = serde_json::json!({
            "region": "puget", "domain": "puget", "address": "127.0.0.1:9", "kind": "engine",
            "models": ["ballast"], "capacity": {"slots": 4},
        });
    }
    value.to_string()
}

#[test]
fn a_retired_engine_gets_no_work_whatever_it_announces() {
    run(async {
        let mut plan = ballast_plan(&[("engine-1", "puget"), ("engine-2", "puget")]);
        plan.documents = vec![BALLAST.replace("retired = []", "retired = [\"engine-1\"]")];
        let deployment = Deployment::start(plan).await.unwrap();
        let caller = CallerClient::new("demo-roadmasters");
        let gateway = deployment.gateway("puget-1").addresses().caller;
        for number in 0..10 {
            let reply = caller.chat(gateway, "ballast", &format!("{number}"), true).await.unwrap();
            assert!(reply.whole && reply.status.is_success(), "{}", reply.text());
        }
        let stats = deployment.region("puget").stats().await.unwrap();
        let runs = |wanted: &str| {
            stats.iter().find(|(name, _)| name.as_str() == wanted).map(|(_, stats)| stats.runs)
        };
        assert_eq!((runs("engine-1"), runs("engine-2")), (Some(0), Some(10)));
    });
}

struct StatementCase {
    fault: FaultKind,
    times: Option<u32>,
    /// The most that the first engine runs after its statement.
    most: u64,
    comes_back: bool,
}

/// Guards against new work for a backend server that has said with an answer that it wants none.
#[test]
fn what_an_engine_states_with_its_answers_is_kept_to() {
    let cases = [
        StatementCase {
            fault: FaultKind::Backoff { seconds: 3 },
            times: Some(1),
            most: 0,
            comes_back: true,
        },
        StatementCase { fault: FaultKind::Leaving, times: None, most: 1, comes_back: false },
    ];
    run(async { futures::future::join_all(cases.map(check_statement)).await });
}

async fn check_statement(case: StatementCase) {
    let plan = ballast_plan(&[("engine-1", "puget"), ("engine-2", "puget")]);
    let deployment = Deployment::start(plan).await.unwrap();
    let gateway = deployment.gateway("puget-1").addresses().caller;
    let puget = deployment.region("puget");
    let order = FaultOrder { fault: Some(case.fault), times: case.times };
    puget.set_fault(&name("engine-1"), order).await.unwrap();
    let begun = Instant::now();
    ask_often(gateway, 12).await;
    assert!(begun.elapsed() < Duration::from_secs(3), "too slow to tell");
    let runs = first_engine_runs(&deployment).await;
    assert!(runs <= case.most, "{:?}: {runs} runs", case.fault);
    if case.fault == FaultKind::Leaving {
        assert_eq!(runs, 1, "it was never asked, so it stated nothing");
        while deployment.gateway("puget-2").backends().await.unwrap().near > 1 {
            assert!(begun.elapsed() < JOIN_LIMIT, "another gateway still counts on it");
        }
    }
    monoio::time::sleep(Duration::from_millis(3_500).saturating_sub(begun.elapsed())).await;
    ask_often(gateway, 12).await;
    let runs = first_engine_runs(&deployment).await;
    assert_eq!(runs > case.most, case.comes_back, "{:?}: {runs} runs", case.fault);
}

async fn ask_often(gateway: std::net::SocketAddr, requests: usize) {
    let caller = CallerClient::new("demo-roadmasters");
    for number in 0..requests {
        let reply = caller.chat(gateway, "ballast", &format!("{number}?"), true).await.unwrap();
        assert!(reply.whole && reply.status.is_success(), "{}", reply.text());
    }
}

async fn first_engine_runs(deployment: &Deployment) -> u64 {
    let stats = deployment.region("puget").stats().await.unwrap();
    stats.iter().find(|(name, _)| name.as_str() == "engine-1").map_or(0, |(_, stats)| stats.runs)
}

/// Symptom: a stranger on the network receives callers' prompts, or takes an engine out of service.
/// Events: it announces an engine of the service's model, or sends a renewal in an engine's name
/// that says `leaving`. Cause: checking the token of the first announcement only.
#[test]
fn announcements_without_the_documents_token_are_refused() {
    run(async {
        let mut plan = ballast_plan(&[]);
        let listed = format!("retired = []\ntoken_sha256 = [\"{}\"]", TokenHash::of(TOKEN));
        plan.documents = vec![BALLAST.replace("retired = []", &listed)];
        let deployment = Deployment::start(plan).await.unwrap();
        let gateway = deployment.gateway("puget-1").addresses().caller;
        let post = |token: &'static str, body: String| async move {
            let sender = CallerClient::new(token);
            sender.send(gateway, Method::POST, "/v1/announce", None, body).await.unwrap()
        };
        let stranger = post("wrong", announcement("serving", 1, true)).await;
        assert_eq!(stranger.status, StatusCode::FORBIDDEN, "{}", stranger.text());
        let engine = post(TOKEN, announcement("serving", 1, true)).await;
        assert_eq!(engine.status, StatusCode::OK, "{}", engine.text());
        let ending = post("wrong", announcement("leaving", 2, false)).await;
        assert_eq!(ending.status, StatusCode::FORBIDDEN, "{}", ending.text());
        let renewal = post(TOKEN, announcement("serving", 2, false)).await;
        assert_eq!(renewal.status, StatusCode::OK, "{}", renewal.text());
        let begun = Instant::now();
        while deployment.gateway("puget-1").backends().await.unwrap().near == 0 {
            assert!(begun.elapsed() < JOIN_LIMIT, "the engine that was admitted gets no work");
        }
    });
}
