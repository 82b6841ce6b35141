//! Gateways that are partitioned from all backend servers, while callers and other gateways still
//! reach them.

mod support;

use {
    bytes::Bytes,
    futures::{
        future::{join, join_all},
        stream,
    },
    gullglade_http::{ClientBody, ClientError, ClientReply, HttpClient, SendPermit},
    gullglade_proxy::CallerRequest,
    gullglade_traffic::RequestKind,
    gullglade_units::{Clock, LocalFuture, MonotonicTime, ProcessContext},
    http::{HeaderName, HeaderValue, Request, Response, header::CONTENT_TYPE},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    support::{BedSettings, Overrides, TestBed, fetch},
};

/// Time to connect to a backend server, after which a connection attempt fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a connection fails on which sent data is not acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that a backend server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// Interval between two requests at each gateway.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// When the partition begins, and how long it lasts.
const PARTITION_START: Duration = Duration::from_secs(2);
const PARTITION_TIME: Duration = Duration::from_secs(14);

/// Time after the start of a partition by which callers of a partitioned gateway have to be served
/// like those of the others.
const ADAPTATION_TIME: Duration = Duration::from_secs(5);

/// Most that the share of served first attempts at partitioned gateways may be below that at the
/// other gateways.
const MAX_DIFFERENCE: f64 = 0.02;

const CALL: HeaderName = HeaderName::from_static("call");

/// Behaviour of connections across a partition.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PartitionKind {
    /// Open connections and new ones hang.
    Hang,
    /// Open connections are reset, and new ones hang.
    Reset,
    /// Open connections work, and new ones are refused.
    RefuseNew,
}

/// State shared by the backend clients of all gateways.
struct PartitionedNetwork {
    kind: PartitionKind,
    /// Partitioned gateways, by their index in the order of creation.
    partitioned: Vec<usize>,
    is_active: Cell<bool>,
    is_stream: bool,
    /// Runs of each call.
    runs: RefCell<HashMap<String, u32>>,
    /// Requests that waited for a connection attempt to time out.
    timeouts: Cell<usize>,
}

/// Backend client of one gateway.
struct PartitionedClient {
    network: Rc<PartitionedNetwork>,
    is_affected: bool,
    context: ProcessContext,
    /// Open connections that no request uses.
    idle: Rc<RefCell<BTreeMap<SocketAddr, usize>>>,
}

impl PartitionedClient {
    fn is_partitioned(&self) -> bool {
        self.is_affected && self.network.is_active.get()
    }

    fn take_idle(&self, address: SocketAddr) -> bool {
        let mut idle = self.idle.borrow_mut();
        if self.is_partitioned() && self.network.kind == PartitionKind::Reset {
            idle.clear();
        }
        let connections = idle.entry(address).or_default();
        let is_open = *connections > 0;
        *connections = connections.saturating_sub(1);
        is_open
    }

    async fn open_connection(&self, address: SocketAddr) -> Result<(), ClientError> {
        if !self.is_partitioned() {
            self.context.clock.sleep(Duration::from_millis(1)).await;
            return Ok(());
        }
        match self.network.kind {
            PartitionKind::RefuseNew => {
                Err(ClientError::Connect { address, reason: "reset".to_owned() })
            }
            PartitionKind::Hang | PartitionKind::Reset => {
                self.network.timeouts.set(self.network.timeouts.get() + 1);
                self.context.clock.sleep(CONNECT_TIMEOUT).await;
                Err(ClientError::ConnectTimeout { address, limit: CONNECT_TIMEOUT })
            }
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<ClientReply, ClientError> {
        if !self.take_idle(address) {
            self.open_connection(address).await?;
        }
        if request.extensions().get::<SendPermit>().is_some_and(|permit| !permit.begin()) {
            return Err(ClientError::Revoked { address });
        }
        let broken = || ClientError::Sent { address, reason: "no acknowledgement".to_owned() };
        let cuts_open = self.network.kind != PartitionKind::RefuseNew;
        if self.is_partitioned() && cuts_open {
            self.context.clock.sleep(ACK_TIMEOUT).await;
            return Err(broken());
        }
        let call = request.headers().get(CALL).and_then(|value| value.to_str().ok());
        let call = call.expect("the number of the call").to_owned();
        *self.network.runs.borrow_mut().entry(call).or_default() += 1;
        self.context.clock.sleep(SERVICE_TIME).await;
        if self.is_partitioned() && cuts_open {
            if self.network.kind == PartitionKind::Hang {
                self.context.clock.sleep(ACK_TIMEOUT).await;
            }
            return Err(broken());
        }
        Ok(self.reply(address))
    }

    fn reply(&self, address: SocketAddr) -> ClientReply {
        let mut response = Response::new(());
        let headers = response.headers_mut();
        headers.insert("id", HeaderValue::from_static("call-1"));
        headers.insert("signed", HeaderValue::from_static("yes"));
        if self.network.is_stream {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        }
        let idle = Rc::clone(&self.idle);
        let body = stream::unfold(true, move |is_first| {
            if !is_first {
                *idle.borrow_mut().entry(address).or_default() += 1;
            }
            async move { is_first.then(|| (Ok(Bytes::from_static(EVENT)), false)) }
        });
        ClientReply { head: response.into_parts().0, body: ClientBody::from_stream(body) }
    }
}

const EVENT: &[u8] = b"id: 1\ndata: a\n\n";

impl HttpClient for PartitionedClient {
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> LocalFuture<'a, Result<ClientReply, ClientError>> {
        Box::pin(self.exchange(address, request))
    }

    fn connect<'a>(&'a self, address: SocketAddr) -> LocalFuture<'a, Result<(), ClientError>> {
        Box::pin(async move {
            self.open_connection(address).await?;
            *self.idle.borrow_mut().entry(address).or_default() += 1;
            Ok(())
        })
    }
}

/// A caller's first attempt.
struct FirstAttempt {
    gateway: usize,
    /// Time since the partition began; zero before.
    age: Duration,
    is_served: bool,
    duration: Duration,
}

struct Case {
    what: &'static str,
    kind: PartitionKind,
    /// Number of gateways, which are in the first and the second region alternately.
    gateways: usize,
    partitioned: &'static [usize],
    backends: (u8, u8),
    homes: &'static [&'static str],
}

/// Results of one case.
struct CaseReport {
    attempts: Vec<FirstAttempt>,
    network: Rc<PartitionedNetwork>,
    lines: Vec<String>,
}

impl Case {
    fn run(&self, kind: RequestKind) -> CaseReport {
        let network = Rc::new(PartitionedNetwork {
            kind: self.kind,
            partitioned: self.partitioned.to_vec(),
            is_active: Cell::new(false),
            is_stream: kind.is_stream(),
            runs: RefCell::default(),
            timeouts: Cell::new(0),
        });
        let shared = Rc::clone(&network);
        let client = move |gateway: usize, context: &ProcessContext| {
            let is_affected = shared.partitioned.contains(&gateway);
            let (network, context) = (Rc::clone(&shared), context.clone());
            Rc::new(PartitionedClient { network, is_affected, context, idle: Rc::default() }) as _
        };
        let bed = TestBed::new(&BedSettings {
            backends: self.backends,
            east_names: "e-",
            homes: self.homes,
            overrides: Overrides {
                clients: Some(Rc::new(client)),
                gateways: self.gateways,
                lists_neighbours: true,
                ..Overrides::default()
            },
            ..BedSettings::of(kind)
        });
        let clock = bed.clock();
        let partition = async {
            clock.sleep(PARTITION_START).await;
            network.is_active.set(true);
            clock.sleep(PARTITION_TIME).await;
            network.is_active.set(false);
        };
        let began = clock.now();
        let count = (PARTITION_START + PARTITION_TIME).as_millis() / REQUEST_INTERVAL.as_millis();
        let calls = (0..count as u32).flat_map(|at| (0..self.gateways).map(move |to| (at, to)));
        let attempts = calls.map(|(at, gateway)| {
            attempt(&bed, &clock, began + PARTITION_START, REQUEST_INTERVAL * at, gateway)
        });
        let (attempts, ()) = bed.world.run_until(join(join_all(attempts), partition));
        let lines = bed.events.lines();
        drop(bed);
        CaseReport { attempts, network, lines }
    }
}

/// Makes one request at `gateway` after `delay`.
async fn attempt(
    bed: &TestBed,
    clock: &Rc<dyn Clock>,
    partition: MonotonicTime,
    delay: Duration,
    gateway: usize,
) -> FirstAttempt {
    clock.sleep(delay).await;
    let sent = clock.now();
    let mut headers = bed.request().headers;
    let call = format!("{gateway}-{}", delay.as_millis());
    headers.insert(CALL, HeaderValue::try_from(call).expect("a header value"));
    let request = CallerRequest { headers, ..bed.request() };
    let response = fetch(bed.gateway(gateway), request).await;
    FirstAttempt {
        gateway,
        age: sent.since(partition),
        is_served: response.status == 200 && !response.is_incomplete,
        duration: clock.now().since(sent),
    }
}

impl CaseReport {
    /// Returns the share of first attempts that were served once the gateways had the time to
    /// adapt.
    fn served_share(&self, is_partitioned: bool) -> f64 {
        let is_counted = |attempt: &&FirstAttempt| {
            attempt.age >= ADAPTATION_TIME
                && self.network.partitioned.contains(&attempt.gateway) == is_partitioned
        };
        let counted: Vec<&FirstAttempt> = self.attempts.iter().filter(is_counted).collect();
        let served = counted.iter().filter(|attempt| attempt.is_served).count();
        served as f64 / counted.len().max(1) as f64
    }

    fn refusals(&self) -> Vec<&String> {
        let is_refusal = |line: &&String| line.starts_with("request.refused");
        self.lines.iter().filter(is_refusal).take(8).collect()
    }
}

const CASES: [Case; 6] = [
    Case {
        what: "most gateways of both regions",
        kind: PartitionKind::Hang,
        gateways: 8,
        partitioned: &[0, 2, 4, 1, 3],
        backends: (4, 4),
        homes: &[],
    },
    Case {
        what: "most gateways of both regions, open connections reset",
        kind: PartitionKind::Reset,
        gateways: 8,
        partitioned: &[0, 2, 4, 1, 3],
        backends: (4, 4),
        homes: &[],
    },
    Case {
        what: "most gateways of both regions, open connections kept",
        kind: PartitionKind::RefuseNew,
        gateways: 8,
        partitioned: &[0, 2, 4, 1, 3],
        backends: (4, 4),
        homes: &[],
    },
    Case {
        what: "one backend server a region",
        kind: PartitionKind::Hang,
        gateways: 6,
        partitioned: &[0, 2, 1],
        backends: (1, 1),
        homes: &[],
    },
    Case {
        what: "requests that must stay in the region",
        kind: PartitionKind::Hang,
        gateways: 6,
        partitioned: &[0, 2],
        backends: (4, 4),
        homes: &["west"],
    },
    Case {
        what: "all gateways of a region",
        kind: PartitionKind::Hang,
        gateways: 4,
        partitioned: &[0, 2],
        backends: (4, 4),
        homes: &[],
    },
];

const KINDS: [RequestKind; 3] =
    [RequestKind::Idempotent, RequestKind::AtMostOnce, RequestKind::Stream { resumable: true }];

#[test]
fn callers_of_partitioned_gateways_are_served_like_others() {
    // Guards against gateways that refuse callers while their neighbours reach the backend servers.
    let mut failures = Vec::new();
    for case in &CASES {
        for kind in KINDS {
            let report = case.run(kind);
            let (partitioned, others) = (report.served_share(true), report.served_share(false));
            if partitioned < others - MAX_DIFFERENCE || others < 0.98 {
                failures.push(format!(
                    "{} {kind:?}: {partitioned:.3} against {others:.3}, {:#?}",
                    case.what,
                    report.refusals()
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn requests_of_a_partitioned_gateway_do_not_wait_for_connections() {
    // Guards against callers' requests that serve as probes of a lost path: each waits for a
    // connection timeout.
    for case in CASES.iter().filter(|case| case.partitioned.len() < case.gateways) {
        let report = case.run(RequestKind::Idempotent);
        let is_counted = |attempt: &&FirstAttempt| {
            attempt.age >= ADAPTATION_TIME && report.network.partitioned.contains(&attempt.gateway)
        };
        let counted: Vec<&FirstAttempt> = report.attempts.iter().filter(is_counted).collect();
        let is_late = |attempt: &&&FirstAttempt| attempt.duration >= CONNECT_TIMEOUT;
        let late = counted.iter().filter(is_late).count();
        assert!(late * 50 <= counted.len(), "{}: {late} of {}", case.what, counted.len());
    }
}

#[test]
fn non_repeatable_requests_run_once_during_a_partition() {
    // Guards against a second run of a request that was relayed or whose connection hung.
    for case in &CASES {
        let report = case.run(RequestKind::AtMostOnce);
        let runs = report.network.runs.borrow();
        let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
        assert!(twice.is_empty(), "{}: {twice:?}", case.what);
    }
}

#[test]
fn requests_without_any_path_are_refused_early() {
    // Guards against requests that wait for their deadline although no gateway reaches a backend
    // server.
    let case = Case {
        what: "all gateways",
        kind: PartitionKind::Hang,
        gateways: 4,
        partitioned: &[0, 1, 2, 3],
        backends: (4, 4),
        homes: &[],
    };
    let report = case.run(RequestKind::Idempotent);
    let late = |a: &&FirstAttempt| {
        a.age >= ADAPTATION_TIME
            && a.age < PARTITION_TIME - Duration::from_secs(2)
            && !a.is_served
            && a.duration > Duration::from_secs(1)
    };
    let late = report.attempts.iter().filter(late).count();
    assert_eq!(late, 0, "of {} were refused late", report.attempts.len());
}
