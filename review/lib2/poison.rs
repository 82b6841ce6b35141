//! A request that crashes each engine that runs it.

use {
    crate::{
        engine::{Behaviour, Engine, Plan},
        http::{Call, Message, told},
        site::{
            HOST, Process, Region, STABILITY_WINDOW, Site, elapsed, finish, has_trouble, record,
        },
    },
    std::{
        net::TcpStream,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Requests of the rule: more retries than this, later than the window after the third crash.
const MOST_RETRIES: usize = 3;

/// Crashes after which the window begins.
const CRASHES: usize = 3;

/// Time for which the request runs before its engine crashes.
const CRASH_AFTER: Duration = Duration::from_millis(150);

/// Time after which an engine that has crashed is back.
const DOWN: Duration = Duration::from_secs(2);

/// Time from the start of an engine that is back to its first heartbeat: half of `heartbeatMs`.
const FIRST_BEAT: Duration = Duration::from_millis(600);

/// Interval between two sound requests at a gateway.
const PACE: Duration = Duration::from_millis(50);

const DEADLINE: Duration = Duration::from_millis(3_000);

fn config() -> String {
    let route = |name: &str, kind: &str, prefix: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeoutMs\":2500,\"targetLatencyMs\":300,\"priority\":2,\
             \"service\":\"desk\",\"maxAttempts\":{attempts},\"sticky\":false,\
             \"resumable\":false,\"homeRegions\":[]}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"desk\",\
         \"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"coldStartS\":0.0,\"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route("status", "safe", "/status/", 2),
        route("orders", "unsafe", "/orders/", 1),
    )
}

/// What the engines saw of the request.
#[derive(Default)]
struct Log {
    /// When the request began to run at an engine.
    arrivals: Vec<Duration>,
    crashes: Vec<Duration>,
}

struct Scene {
    site: Site,
    log: Arc<Mutex<Log>>,
    is_over: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
}

/// Starts the deployment, its engines and the sound clients.
fn prepare(keeps_id: bool) -> Scene {
    let regions = vec![
        Region { name: "puget", zone: "puget-a", gateways: 2, controls: 2 },
        Region { name: "columbia", zone: "columbia-a", gateways: 1, controls: 2 },
        Region { name: "inland", zone: "inland-a", gateways: 1, controls: 1 },
    ];
    let mut site = Site::start(regions, 260, &config());
    let log = Arc::new(Mutex::new(Log::default()));
    let counts = if keeps_id { [1, 1, 1] } else { [4, 3, 3] };
    for (zone, count) in ["puget-a", "columbia-a", "inland-a"].into_iter().zip(counts) {
        for index in 0..count {
            let log = Arc::clone(&log);
            let behaviour: Behaviour =
                Arc::new(move |engine: &Arc<Engine>, request: &Message, stream: &mut TcpStream| {
                    if request.target() != "/orders/poison" {
                        thread::sleep(Duration::from_millis(10));
                        return engine.answer(request, stream, "done");
                    }
                    let id = request.header("x-request-id").unwrap_or_default().to_owned();
                    log.lock().unwrap().arrivals.push(elapsed());
                    record(&format!("{} begins to run {id}", engine.name()));
                    thread::sleep(CRASH_AFTER);
                    if !has_trouble() {
                        return engine.answer(request, stream, "done");
                    }
                    log.lock().unwrap().crashes.push(elapsed());
                    record(&format!("{} crashes under {id}", engine.name()));
                    engine.crash(DOWN);
                    Ok(false)
                });
            Engine::start(Plan {
                id: format!("i-desk-{zone}-{index}"),
                service: "desk",
                zone,
                address: site.engine_address(),
                slots: 6,
                first_beat: FIRST_BEAT,
                cold: Duration::ZERO,
                keeps_id,
                controls: site.control_addresses(),
                behaviour,
            });
        }
    }
    thread::sleep(Duration::from_secs(4));
    let scene = Scene {
        site,
        log,
        is_over: Arc::default(),
        served: Arc::default(),
        failed: Arc::default(),
    };
    for gateway in &scene.site.gateways {
        let (gateway, is_over) = (gateway.clone(), Arc::clone(&scene.is_over));
        let (served, failed) = (Arc::clone(&scene.served), Arc::clone(&scene.failed));
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let (gateway, served, failed) =
                    (gateway.clone(), Arc::clone(&served), Arc::clone(&failed));
                thread::spawn(move || {
                    let id = format!("{}-s-{number}", gateway.name);
                    let is_served = send(&gateway, "GET", "/status/1", &id, b"") == Some(200);
                    if is_served { &served } else { &failed }.fetch_add(1, Ordering::SeqCst);
                });
                thread::sleep(PACE);
            }
        });
    }
    record("sound clients begin");
    thread::sleep(Duration::from_secs(4));
    scene
}

fn send(to: &Process, method: &str, target: &str, id: &str, body: &[u8]) -> Option<u16> {
    let headers = vec![
        ("Host", HOST.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", DEADLINE.as_millis().to_string()),
    ];
    let reply = Call { method, target, headers, body }.send(to.front(), DEADLINE);
    record(&format!("{id}: {}", told(&reply)));
    reply.ok().map(|reply| reply.status())
}

/// Sends the request, with an id of its own, and records the answer.
fn send_suspect(to: &Process, id: &str) {
    record(&format!("{id} is sent to {}", to.name));
    send(to, "POST", "/orders/poison", id, b"the same body");
}

fn judge(scene: &Scene) -> ! {
    scene.is_over.store(true, Ordering::SeqCst);
    thread::sleep(DEADLINE);
    let ended = scene.site.ended();
    let log = scene.log.lock().unwrap();
    let third = log.crashes.get(CRASHES - 1).copied();
    let is_late = |at: &&Duration| third.is_some_and(|third| **at > third + STABILITY_WINDOW);
    let retries = log.arrivals.iter().filter(is_late).count();
    record(&format!(
        "the request reached engines {} times and crashed {}; the third crash was at {:?}; {retries} \
         retries reached engines later than the stability window after it; sound requests: {} \
         served, {} failed; {ended} processes ended",
        log.arrivals.len(),
        log.crashes.len(),
        third,
        scene.served.load(Ordering::SeqCst),
        scene.failed.load(Ordering::SeqCst),
    ));
    finish(i32::from(retries > MOST_RETRIES))
}

/// One client sends the request again and again. The engines come back under the id that they had.
pub fn run_restart() -> ! {
    const TRIES: usize = 34;
    const PAUSE: Duration = Duration::from_millis(2_300);
    let scene = prepare(true);
    for number in 0..TRIES {
        let gateway = &scene.site.gateways[number % scene.site.gateways.len()];
        send_suspect(gateway, &format!("suspect-{number}"));
        thread::sleep(PAUSE);
    }
    judge(&scene)
}

/// Several clients send the request at the same time, at different machines, and again after a
/// pause.
pub fn run_burst() -> ! {
    const BURSTS: usize = 8;
    const PAUSE: Duration = Duration::from_millis(7_000);
    let scene = prepare(false);
    for burst in 0..BURSTS {
        for (index, gateway) in scene.site.gateways.iter().enumerate() {
            let gateway = gateway.clone();
            thread::spawn(move || send_suspect(&gateway, &format!("suspect-{burst}-{index}")));
        }
        thread::sleep(PAUSE);
    }
    judge(&scene)
}
