//! Handling of the statements that backend servers make in reply headers.

use {
    crate::testing::{AnswerPause, BackendBehavior, DOCUMENT, HeaderPair, TestGateway, TestSetup},
    futures::future::join_all,
    http::{StatusCode, header::RETRY_AFTER},
    std::time::Duration,
};

const CHAT_BODY: &str = r#"{"model":"ballast","messages":[{"role":"user","content":"Quote."}]}"#;
const CHAT: &str = "/v1/chat/completions";

/// Interval between two requests.
const SPACING: Duration = Duration::from_millis(100);

const NOT_RUN: HeaderPair = ("gullglade-run", "not-run");

/// Sends `requests` requests one after the other while the engines renew their leases. Returns the
/// number of requests that were served.
async fn send_requests(gateway: &TestGateway, requests: u64, sequence: u64) -> u64 {
    let mut served = 0;
    for number in 0..requests {
        gateway.renew(1, sequence + number);
        let (head, _) = gateway.send(CHAT, CHAT_BODY).await;
        served += u64::from(head.status == StatusCode::OK);
        gateway.context.clock.sleep(SPACING).await;
    }
    served
}

struct BackoffCase {
    status: u16,
    headers: &'static [HeaderPair],
    /// Time for which no request may arrive; zero if the reply requests no back-off.
    backoff: Duration,
}

/// Guards against requests to a backend server that has requested a back-off, and against a
/// back-off that never ends.
#[test]
fn sends_nothing_during_a_requested_back_off() {
    let seconds = Duration::from_secs;
    let cases = [
        BackoffCase { status: 503, headers: &[NOT_RUN, ("retry-after", "2")], backoff: seconds(2) },
        BackoffCase {
            status: 503,
            headers: &[NOT_RUN, ("retry-after", "0.5")],
            backoff: Duration::from_millis(500),
        },
        BackoffCase { status: 503, headers: &[("retry-after", "2")], backoff: seconds(2) },
        BackoffCase { status: 429, headers: &[NOT_RUN, ("retry-after", "2")], backoff: seconds(2) },
        BackoffCase { status: 429, headers: &[("retry-after", "2")], backoff: Duration::ZERO },
        BackoffCase {
            status: 502,
            headers: &[NOT_RUN, ("retry-after", "2")],
            backoff: Duration::ZERO,
        },
        BackoffCase { status: 503, headers: &[NOT_RUN], backoff: Duration::ZERO },
        BackoffCase {
            status: 503,
            headers: &[NOT_RUN, ("retry-after", "0")],
            backoff: Duration::ZERO,
        },
        BackoffCase {
            status: 503,
            headers: &[NOT_RUN, ("retry-after", "-2")],
            backoff: Duration::ZERO,
        },
        BackoffCase {
            status: 503,
            headers: &[NOT_RUN, ("retry-after", "inf")],
            backoff: Duration::ZERO,
        },
        BackoffCase {
            status: 503,
            headers: &[NOT_RUN, ("retry-after", "Thu, 03 Dec 2026 15:00:00 GMT")],
            backoff: Duration::ZERO,
        },
    ];
    for BackoffCase { status, headers, backoff } in cases {
        let name = format!("{status} {headers:?}");
        let status = StatusCode::from_u16(status).unwrap();
        let gateway = TestGateway::warmed_up(&TestSetup {
            behavior: BackendBehavior::Rejects(u32::MAX, status, headers),
            has_second_engine: true,
            ..TestSetup::default()
        });
        let served = gateway.world.run_until(send_requests(&gateway, 80, 10));
        let arrivals = gateway.client.arrivals.borrow();
        let min_interval = arrivals.windows(2).map(|pair| pair[1].since(pair[0])).min();
        let min_interval =
            min_interval.unwrap_or_else(|| panic!("{name}: no request arrived after the back-off"));
        match backoff.is_zero() {
            true => assert!(min_interval < Duration::from_millis(500), "{name}: {min_interval:?}"),
            false => {
                assert!(min_interval >= backoff, "{name}: {min_interval:?}");
                assert_eq!(served, 80, "{name}");
            }
        }
    }
}

struct RevokeCase {
    status: u16,
    headers: &'static [HeaderPair],
}

/// Guards against requests that keep waiting for a connection to a backend server that has asked
/// for no more requests.
#[test]
fn statement_revokes_requests_waiting_for_a_connection() {
    const ACCEPT_DELAY: Duration = Duration::from_millis(50);
    const CONCURRENT_REQUESTS: usize = 8;
    let cases = [
        RevokeCase { status: 503, headers: &[NOT_RUN, ("retry-after", "2")] },
        RevokeCase { status: 503, headers: &[NOT_RUN, ("gullglade-leaving", "true")] },
        RevokeCase { status: 200, headers: &[("gullglade-leaving", "true")] },
    ];
    for RevokeCase { status, headers } in cases {
        let name = format!("{status} {headers:?}");
        let status = StatusCode::from_u16(status).unwrap();
        let gateway = TestGateway::warmed_up(&TestSetup {
            behavior: BackendBehavior::AcceptsLate(status, headers, ACCEPT_DELAY),
            has_second_engine: true,
            ..TestSetup::default()
        });
        let sends = (0..CONCURRENT_REQUESTS).map(|_| gateway.send(CHAT, CHAT_BODY));
        let replies = gateway.world.run_until(join_all(sends));
        let served = replies.iter().filter(|(head, _)| head.status == StatusCode::OK).count();
        assert_eq!(served, CONCURRENT_REQUESTS, "{name}");
        assert_eq!(
            gateway.client.arrivals.borrow().len(),
            1,
            "{name}: requests arrived after the statement"
        );
        assert!(
            gateway.client.sends.get() > CONCURRENT_REQUESTS as u32,
            "{name}: no request waited for a connection"
        );
    }
}

/// Guards against a backend server that is out of service indefinitely after one excessive
/// back-off.
#[test]
fn limits_a_back_off_to_ten_minutes() {
    let headers = &[NOT_RUN, ("retry-after", "1000000000")];
    let gateway = TestGateway::warmed_up(&TestSetup {
        behavior: BackendBehavior::Rejects(1, StatusCode::SERVICE_UNAVAILABLE, headers),
        has_second_engine: true,
        ..TestSetup::default()
    });
    gateway.world.run_until(send_requests(&gateway, 6_100, 10));
    let arrivals = gateway.client.arrivals.borrow();
    let pause = arrivals[1].since(arrivals[0]);
    assert!((600..=602).contains(&pause.as_secs()), "{pause:?}");
}

struct BackoffWaitCase {
    name: &'static str,
    deadline: &'static str,
    status: StatusCode,
    min_wait: Duration,
    max_wait: Duration,
}

/// Guards against requests that wait for the end of a back-off beyond their deadline, and against
/// requests that are refused although they could wait.
#[test]
fn waits_for_the_end_of_a_back_off_only_before_the_deadline() {
    let local_only = DOCUMENT.replace(r#"["puget", "columbia", "inland"]"#, r#"["columbia"]"#);
    let cases = [
        BackoffWaitCase {
            name: "can wait",
            deadline: "limits = { deadline_ms = 30000 }\n[[models]]",
            status: StatusCode::OK,
            min_wait: Duration::from_millis(2_000),
            max_wait: Duration::from_millis(2_100),
        },
        BackoffWaitCase {
            name: "cannot wait",
            deadline: "limits = { deadline_ms = 1900 }\n[[models]]",
            status: StatusCode::SERVICE_UNAVAILABLE,
            min_wait: Duration::ZERO,
            max_wait: Duration::from_millis(10),
        },
    ];
    for BackoffWaitCase { name, deadline, status, min_wait, max_wait } in cases {
        let document = local_only.replacen("[[models]]", deadline, 1);
        let headers = &[NOT_RUN, ("retry-after", "2")];
        let gateway = TestGateway::warmed_up(&TestSetup {
            document: &document,
            behavior: BackendBehavior::Rejects(1, StatusCode::SERVICE_UNAVAILABLE, headers),
            ..TestSetup::default()
        });
        let began = gateway.world.now();
        let answers = gateway.world.run_until(async {
            let first = gateway.send(CHAT, CHAT_BODY);
            let second = async {
                gateway.context.clock.sleep(Duration::from_millis(1)).await;
                gateway.send(CHAT, CHAT_BODY).await
            };
            futures::join!(first, second)
        });
        let took = gateway.world.now().since(began);
        for (head, body) in [answers.0, answers.1] {
            assert_eq!(head.status, status, "{name}: {body:?}");
            let wait = head.headers.get(RETRY_AFTER).map(|value| value.to_str().unwrap());
            assert!(matches!(wait, None | Some("2" | "3")), "{name}: {wait:?}");
            assert_eq!(wait.is_some(), status != StatusCode::OK, "{name}");
        }
        assert!((min_wait..=max_wait).contains(&took), "{name}: {took:?}");
        let sends = if status == StatusCode::OK { 3 } else { 1 };
        assert_eq!(gateway.client.sends.get(), sends, "{name}");
    }
}

struct RejectionCase {
    name: &'static str,
    headers: &'static [HeaderPair],
    /// Number of requests that the connection carried before.
    carried: u32,
    run: &'static str,
}

/// Guards against a late rejection of another request that states no id and is taken for the reply
/// to this one.
#[test]
fn trusts_rejections_without_an_id_only_on_new_connections() {
    let case = |name, headers, carried, run| RejectionCase { name, headers, carried, run };
    let cases = [
        case("new connection", &[NOT_RUN], 0, "not-run"),
        case("used connection", &[NOT_RUN], 1, "unknown"),
        case("another id", &[NOT_RUN, ("gullglade-request", "another")], 0, "unknown"),
    ];
    let local_only = DOCUMENT.replace(r#"["puget", "columbia", "inland"]"#, r#"["columbia"]"#);
    for RejectionCase { name, headers, carried, run } in cases {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let gateway = TestGateway::warmed_up(&TestSetup {
            document: &local_only,
            behavior: BackendBehavior::Rejects(u32::MAX, status, headers),
            ..TestSetup::default()
        });
        gateway.client.carried.set(carried);
        let (head, body) = gateway.world.run_until(gateway.send(CHAT, CHAT_BODY));
        assert_eq!(head.headers["gullglade-run"], run, "{name}: {body:?}");
    }
}

struct LeavingCase {
    value: &'static str,
    is_leaving: bool,
}

/// Guards against new requests to a backend server that has stated in a reply that it is leaving.
#[test]
fn sends_nothing_to_a_backend_server_that_states_leaving() {
    let pause = AnswerPause { before: 2, length: Duration::from_secs(1) };
    let headers = |value| -> &'static [HeaderPair] {
        match value {
            "true" => &[("gullglade-leaving", "true")],
            "1" => &[("gullglade-leaving", "1")],
            "false" => &[("gullglade-leaving", "false")],
            _ => &[("gullglade-leaving", "0")],
        }
    };
    let cases = [
        LeavingCase { value: "true", is_leaving: true },
        LeavingCase { value: "1", is_leaving: true },
        LeavingCase { value: "false", is_leaving: false },
        LeavingCase { value: "0", is_leaving: false },
    ];
    for LeavingCase { value, is_leaving } in cases {
        let gateway = TestGateway::warmed_up(&TestSetup {
            behavior: BackendBehavior::SendsHeaders(headers(value), pause),
            has_second_engine: true,
            ..TestSetup::default()
        });
        let served = gateway.world.run_until(send_requests(&gateway, 40, 10));
        assert_eq!(served, 40, "{value}: an answer was cut off");
        let arrivals = gateway.client.arrivals.borrow().len();
        assert_eq!(arrivals == 1, is_leaving, "{value}: it received {arrivals} requests");
        // A new run of the backend server starts without statements.
        gateway.renew(2, 100);
        gateway.world.run_for(Duration::from_secs(1));
        let sending = async {
            for sequence in 101..141 {
                gateway.renew(2, sequence);
                gateway.send(CHAT, CHAT_BODY).await;
                gateway.context.clock.sleep(SPACING).await;
            }
        };
        gateway.world.run_until(sending);
        assert!(
            gateway.client.arrivals.borrow().len() > arrivals,
            "{value}: its next run received no requests"
        );
    }
}
