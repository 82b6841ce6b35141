//! The engines of a zone crash and come back together, cold, under the ids that they had.

use {
    crate::{
        engine::{Behaviour, Engine, Plan},
        http::{Call, Message, told},
        site::{HOST, Region, Site, elapsed, finish, has_trouble, record},
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

/// `coldStartS` and `coldPerS` of the service, and `coldOver` and `coldSlack`.
const COLD: Duration = Duration::from_secs(3);
const MOST_PER_SECOND: f64 = 3.3 * 1.5 + 3.0;

/// Time for which the engines of the zone are down.
const DOWN: Duration = Duration::from_millis(4_500);

/// Time from its start to its first heartbeat: half of `heartbeatMs`.
const FIRST_BEAT: Duration = Duration::from_millis(600);

/// Requests in one second at which a cold engine falls over: twice what the rule allows.
const FALL_OVER: usize = 16;

/// Interval between two requests at a gateway.
const PACE: Duration = Duration::from_millis(25);

const PLAYED: Duration = Duration::from_secs(45);
const DEADLINE: Duration = Duration::from_millis(3_000);

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"status\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"/status/\",\"kind\":\"safe\",\"timeoutMs\":2500,\
         \"targetLatencyMs\":300,\"priority\":2,\"service\":\"pool\",\"maxAttempts\":2,\
         \"sticky\":false,\"resumable\":false,\"homeRegions\":[]}}],\"services\":[{{\
         \"name\":\"pool\",\"healthPath\":\"/health\",\"maxConns\":250,\"protocol\":\"h1\",\
         \"tls\":false,\"coldStartS\":3.0,\"coldPerS\":3.3}}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

type Arrivals = Mutex<Vec<(String, Duration)>>;

/// Requests that a cold engine got in the last second.
fn in_last_second(arrivals: &Arrivals, engine: &str) -> usize {
    let now = elapsed();
    let is_recent = |at: Duration| now.saturating_sub(at) < Duration::from_secs(1);
    arrivals.lock().unwrap().iter().filter(|(e, at)| e == engine && is_recent(*at)).count()
}

pub fn run() -> ! {
    let regions = vec![
        Region { name: "puget", zone: "puget-a", gateways: 2, controls: 2 },
        Region { name: "columbia", zone: "columbia-a", gateways: 1, controls: 2 },
        Region { name: "inland", zone: "inland-a", gateways: 1, controls: 1 },
    ];
    let mut site = Site::start(regions, 260, &config());
    let arrivals: Arc<Arrivals> = Arc::default();
    let falls = Arc::new(AtomicU64::new(0));
    let mut engines = Vec::new();
    for (zone, count) in [("puget-a", 2), ("columbia-a", 2), ("inland-a", 1)] {
        for index in 0..count {
            let (arrivals, falls) = (Arc::clone(&arrivals), Arc::clone(&falls));
            let behaviour: Behaviour =
                Arc::new(move |engine: &Arc<Engine>, request: &Message, stream: &mut TcpStream| {
                    let left = engine.cold_left();
                    if !left.is_zero() {
                        arrivals.lock().unwrap().push((engine.name(), elapsed()));
                        let id = request.header("x-request-id").unwrap_or_default();
                        record(&format!("{} gets {id}, cold for {left:?} more", engine.name()));
                    }
                    thread::sleep(Duration::from_millis(15));
                    if !left.is_zero() && in_last_second(&arrivals, &engine.name()) > FALL_OVER {
                        if engine.crash(DOWN) {
                            falls.fetch_add(1, Ordering::SeqCst);
                            record(&format!("{} falls over, cold", engine.name()));
                        }
                        return Ok(false);
                    }
                    engine.answer(request, stream, "done")
                });
            engines.push(Engine::start(Plan {
                id: format!("i-pool-{zone}-{index}"),
                service: "pool",
                zone,
                address: site.engine_address(),
                slots: 6,
                first_beat: FIRST_BEAT,
                cold: COLD,
                keeps_id: true,
                controls: site.control_addresses(),
                behaviour,
            }));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let (served, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let is_over = Arc::new(AtomicBool::new(false));
    for gateway in &site.gateways {
        let (gateway, is_over) = (gateway.clone(), Arc::clone(&is_over));
        let (served, failed) = (Arc::clone(&served), Arc::clone(&failed));
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let (gateway, served, failed) =
                    (gateway.clone(), Arc::clone(&served), Arc::clone(&failed));
                thread::spawn(move || {
                    let id = format!("{}-{number}", gateway.name);
                    let headers = vec![
                        ("Host", HOST.to_owned()),
                        ("X-Request-Id", id.clone()),
                        ("X-Deadline-Ms", DEADLINE.as_millis().to_string()),
                    ];
                    let call = Call { method: "GET", target: "/status/1", headers, body: b"" };
                    let reply = call.send(gateway.front(), DEADLINE);
                    record(&format!("{id}: {}", told(&reply)));
                    let is_served = reply.is_ok_and(|reply| reply.status() == 200);
                    if is_served { &served } else { &failed }.fetch_add(1, Ordering::SeqCst);
                });
                thread::sleep(PACE);
            }
        });
    }
    record("clients begin");
    thread::sleep(Duration::from_secs(4));
    if has_trouble() {
        record("the engines of puget-a crash");
        for engine in engines.iter().filter(|engine| engine.zone == "puget-a") {
            engine.crash(DOWN);
        }
    }
    thread::sleep(PLAYED);
    is_over.store(true, Ordering::SeqCst);
    thread::sleep(DEADLINE);
    let ended = site.ended();
    let arrivals = arrivals.lock().unwrap();
    let in_second = |(engine, from): &(String, Duration)| {
        let until = *from + Duration::from_secs(1);
        arrivals.iter().filter(|(e, at)| e == engine && at >= from && *at < until).count()
    };
    let most = arrivals.iter().map(in_second).max().unwrap_or(0);
    record(&format!(
        "a cold engine got at most {most} requests in one second, where {MOST_PER_SECOND:.2} are \
         allowed; cold engines fell over {} times; {} requests served, {} failed; {ended} processes \
         ended",
        falls.load(Ordering::SeqCst),
        served.load(Ordering::SeqCst),
        failed.load(Ordering::SeqCst)
    ));
    finish(i32::from(most as f64 > MOST_PER_SECOND))
}
