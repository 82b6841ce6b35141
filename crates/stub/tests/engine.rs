//! The stand-in engine over real connections.

mod support;

use {
    gullglade_backend::FencingMode,
    gullglade_stub::{
        EngineHandle, FaultKind, FaultOrder, LEAVING_HEADER, REQUEST_HEADER, RESUME_HEADER,
        StubEngine, TokenSource,
    },
    gullglade_units::ProcessContext,
    http::Method,
    serde_json::{Value, json},
    std::time::Duration,
    support::{TestClient, fast_engine, read_text, run_wire},
};

const CHAT: &str = "/v1/chat/completions";

/// The chat request of these tests and the text of its prompt.
fn chat(tokens: u64, stream: bool) -> String {
    let messages = [json!({"role": "user", "content": "how much ballast?"})];
    json!({"model": "ballast", "messages": messages, "max_tokens": tokens, "stream": stream})
        .to_string()
}

fn expected(from: u64, to: u64) -> String {
    TokenSource::new("ballast", "user: how much ballast?\n").join(from, to)
}

fn events(body: &str) -> Vec<Value> {
    let lines = body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    lines.filter(|data| *data != "[DONE]").map(|d| serde_json::from_str(d).unwrap()).collect()
}

fn streamed_text(body: &str) -> String {
    let text = |event: &Value| {
        event["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    };
    events(body).iter().map(text).collect()
}

#[test]
fn whole_and_streamed_answers_agree() {
    run_wire(|context: ProcessContext| async move {
        let engine = StubEngine::start(fast_engine(), context.clone()).unwrap();
        let client = TestClient::new(&context);
        let whole = client.post(engine.address(), CHAT, &chat(9, false)).await;
        let whole: Value = serde_json::from_str(&whole).unwrap();
        let stream = client.post(engine.address(), CHAT, &chat(9, true)).await;
        assert_eq!(whole["choices"][0]["message"]["content"], expected(0, 9));
        assert_eq!(whole["usage"]["completion_tokens"], 9);
        assert_eq!(streamed_text(&stream), expected(0, 9));
        assert!(stream.ends_with("data: [DONE]\n\n"));
        assert_eq!(events(&stream).last().unwrap()["choices"][0]["finish_reason"], "length");
    });
}

#[test]
fn a_stream_resumes_under_its_id() {
    run_wire(|context| async move {
        let engine = StubEngine::start(fast_engine(), context.clone()).unwrap();
        let client = TestClient::new(&context);
        let headers = [(REQUEST_HEADER, "r-1"), (RESUME_HEADER, "4")];
        let reply =
            client.send(engine.address(), Method::POST, CHAT, &headers, &chat(9, true)).await;
        let body = read_text(reply.unwrap()).await.unwrap();
        assert_eq!(streamed_text(&body), expected(4, 9));
        assert!(events(&body).iter().all(|event| event["id"] == "r-1"));
        assert_eq!(events(&body)[0]["token_index"], 4);
    });
}

#[test]
fn bad_requests_are_refused_with_the_remedy_and_did_not_run() {
    struct Case {
        path: &'static str,
        headers: &'static [(&'static str, &'static str)],
        body: String,
        status: u16,
        says: &'static str,
    }
    let other = chat(1, false).replace("\"ballast\"", "\"other\"");
    let empty = json!({"model": "ballast", "messages": []}).to_string();
    let cases = [
        Case { path: CHAT, headers: &[], body: "{".into(), status: 400, says: "EOF" },
        Case { path: CHAT, headers: &[], body: empty, status: 400, says: "`messages`" },
        Case { path: CHAT, headers: &[], body: other, status: 404, says: "/v1/models" },
        Case { path: "/v1/none", headers: &[], body: String::new(), status: 404, says: "/v1/none" },
        Case {
            path: CHAT,
            headers: &[(RESUME_HEADER, "x")],
            body: chat(1, true),
            status: 400,
            says: "whole number",
        },
    ];
    run_wire(|context| async move {
        let engine = StubEngine::start(fast_engine(), context.clone()).unwrap();
        let client = TestClient::new(&context);
        for case in cases {
            let reply = client
                .send(engine.address(), Method::POST, case.path, case.headers, &case.body)
                .await
                .unwrap();
            let (status, run) = (reply.head.status, reply.head.headers["gullglade-run"].clone());
            let body = read_text(reply).await.unwrap();
            assert_eq!((status.as_u16(), run.to_str().unwrap()), (case.status, "not-run"));
            assert!(body.contains(case.says), "{body}");
        }
        assert_eq!(engine.stats().runs, 0);
    });
}

/// What a caller gets when a fault is on.
#[derive(Debug, PartialEq)]
enum Seen {
    NoReply,
    Status(u16),
    Broken,
    Body { done: bool, tokens: usize, own_id: bool },
}

async fn see(client: &TestClient, engine: &EngineHandle, stream: bool) -> Seen {
    let headers = [(REQUEST_HEADER, "r-1")];
    let body = chat(4, stream);
    let reply = client.send(engine.address(), Method::POST, CHAT, &headers, &body).await;
    let Some(reply) = reply else { return Seen::NoReply };
    if !reply.head.status.is_success() {
        return Seen::Status(reply.head.status.as_u16());
    }
    let Ok(body) = read_text(reply).await else { return Seen::Broken };
    let words = if stream { streamed_text(&body) } else { body.clone() };
    Seen::Body {
        done: body.ends_with("[DONE]\n\n") || serde_json::from_str::<Value>(&body).is_ok(),
        tokens: if stream { words.split_whitespace().count() } else { 0 },
        own_id: !body.contains("r-1-other"),
    }
}

#[test]
fn each_fault_shows_as_it_is_meant_to() {
    struct Case {
        fault: FaultKind,
        streamed: Seen,
        whole: Seen,
        runs: u64,
    }
    let body = |done, tokens, own_id| Seen::Body { done, tokens, own_id };
    let cases = [
        Case {
            fault: FaultKind::Die { after_tokens: 2 },
            streamed: Seen::Broken,
            whole: Seen::Broken,
            runs: 2,
        },
        Case {
            fault: FaultKind::WrongId,
            streamed: body(true, 4, false),
            whole: body(true, 0, false),
            runs: 2,
        },
        Case {
            fault: FaultKind::Truncate { after_tokens: 2 },
            streamed: body(false, 2, true),
            whole: body(false, 0, true),
            runs: 2,
        },
        Case {
            fault: FaultKind::Duplicate { after_tokens: 2 },
            streamed: body(true, 5, true),
            whole: body(false, 0, true),
            runs: 2,
        },
        Case {
            fault: FaultKind::Refuse,
            streamed: Seen::Status(503),
            whole: Seen::Status(503),
            runs: 0,
        },
        Case {
            fault: FaultKind::Backoff { seconds: 2 },
            streamed: Seen::Status(503),
            whole: Seen::Status(503),
            runs: 0,
        },
        Case {
            fault: FaultKind::Leaving,
            streamed: body(true, 4, true),
            whole: body(true, 0, true),
            runs: 2,
        },
        Case { fault: FaultKind::Reset, streamed: Seen::NoReply, whole: Seen::NoReply, runs: 2 },
    ];
    run_wire(|context| async move {
        let client = TestClient::new(&context);
        for case in cases {
            let order = FaultOrder { fault: Some(case.fault), times: Some(2) };
            let engine = StubEngine::start(fast_engine().fault(order), context.clone()).unwrap();
            assert_eq!(see(&client, &engine, true).await, case.streamed, "{:?}", case.fault);
            assert_eq!(see(&client, &engine, false).await, case.whole, "{:?}", case.fault);
            assert_eq!(engine.stats().runs, case.runs, "{:?}", case.fault);
            let healthy = see(&client, &engine, true).await;
            assert_eq!(healthy, body(true, 4, true), "after two {:?}", case.fault);
            engine.kill();
        }
    });
}

/// Guards against stand-ins that do not say what they are told to state.
#[test]
fn what_a_stand_in_is_told_to_state_is_in_its_answers() {
    struct Case {
        fault: FaultKind,
        header: &'static str,
        value: &'static str,
        run: &'static str,
    }
    let cases = [
        Case {
            fault: FaultKind::Backoff { seconds: 2 },
            header: "retry-after",
            value: "2",
            run: "not-run",
        },
        Case { fault: FaultKind::Leaving, header: LEAVING_HEADER, value: "true", run: "run" },
    ];
    run_wire(|context| async move {
        let client = TestClient::new(&context);
        for case in cases {
            let order = FaultOrder { fault: Some(case.fault), times: Some(1) };
            let engine = StubEngine::start(fast_engine().fault(order), context.clone()).unwrap();
            for stated in [Some(case.value), None] {
                let body = chat(4, false);
                let reply = client.send(engine.address(), Method::POST, CHAT, &[], &body);
                let headers = reply.await.unwrap().head.headers;
                let value = headers.get(case.header).map(|value| value.to_str().unwrap());
                assert_eq!(value, stated, "{:?}", case.fault);
                let run = if stated.is_some() { case.run } else { "run" };
                assert_eq!(headers["gullglade-run"], run, "{:?}", case.fault);
            }
            engine.kill();
        }
    });
}

// Symptom: an engine generates for callers who left, and its slots stay taken.
// Sequence: a caller hangs up in the middle of a stream that is frozen.
// Cause: a reply stream that outlives its connection.
#[test]
fn a_hang_up_cancels_the_run_and_frees_the_slot() {
    run_wire(|context| async move {
        let order =
            FaultOrder { fault: Some(FaultKind::Freeze { after_tokens: 1 }), times: Some(1) };
        let engine = StubEngine::start(fast_engine().fault(order), context.clone()).unwrap();
        let client = TestClient::new(&context);
        let headers = [("idempotency-key", "k")];
        let reply =
            client.send(engine.address(), Method::POST, CHAT, &headers, &chat(9, true)).await;
        let mut reply = reply.unwrap();
        reply.body.next().await.unwrap().unwrap();
        assert_eq!(engine.load().running, 1);
        drop(reply);
        while engine.stats().cancelled == 0 {
            client.get(engine.address(), "/stub/stats").await;
        }
        let stats: Value =
            serde_json::from_str(&client.get(engine.address(), "/stub/stats").await).unwrap();
        assert_eq!(stats, json!({"runs": 1, "by_key": {"k": 1}, "cancelled": 1}));
        assert_eq!(engine.load().running, 0);
    });
}

#[test]
fn orders_under_an_old_fencing_number() {
    struct Case {
        fencing: FencingMode,
        loaded: bool,
    }
    let cases = [
        Case { fencing: FencingMode::Checks, loaded: false },
        Case { fencing: FencingMode::Ignores, loaded: true },
    ];
    run_wire(|context| async move {
        let client = TestClient::new(&context);
        for case in cases {
            let mut config = fast_engine();
            config.fencing = case.fencing;
            let engine = StubEngine::start(config, context.clone()).unwrap();
            for (fence, model) in [(7, "new"), (6, "old")] {
                let action = json!({"kind": "load-model", "model": model});
                let order = json!({"fence": fence, "action": action}).to_string();
                client.post(engine.address(), "/platform/orders", &order).await;
            }
            let models = client.get(engine.address(), "/v1/models").await;
            assert!(models.contains("\"new\""));
            assert_eq!(models.contains("\"old\""), case.loaded, "{:?}", case.fencing);
        }
    });
}

#[test]
fn leaving_finishes_what_is_in_progress() {
    run_wire(|context| async move {
        let mut config = fast_engine();
        config.leave_grace = Duration::ZERO;
        config.limits.sequence_tokens_per_second = 200.0;
        let engine = StubEngine::start(config, context.clone()).unwrap();
        let client = TestClient::new(&context);
        let reply =
            client.send(engine.address(), Method::POST, CHAT, &[], &chat(40, true)).await.unwrap();
        let (body, ()) = futures::join!(read_text(reply), engine.leave());
        assert_eq!(streamed_text(&body.unwrap()), expected(0, 40));
        assert!(client.send(engine.address(), Method::GET, "/v1/models", &[], "").await.is_none());
    });
}
