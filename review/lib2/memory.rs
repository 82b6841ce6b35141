//! Clients send many large bodies of legal size at once, on a route that one region serves.

use {
    crate::{
        engine::{Behaviour, Engine, Plan},
        http::{Call, Message, told},
        site::{HOST, Region, Site, finish, has_trouble, record},
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

/// `memoryMb` of a gateway.
const MEMORY_MB: u64 = 260;

/// Bytes of a body, below `maxBodyBytes`.
const BODY: usize = 4_060_000;

/// Connections of the crowd at each gateway.
const CROWD: usize = 12;

/// Time for which an engine works on a request.
const WORK: Duration = Duration::from_millis(3_000);

const DEADLINE: Duration = Duration::from_millis(9_000);

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"drafts\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"/drafts/\",\"kind\":\"unsafe\",\"timeoutMs\":10000,\
         \"targetLatencyMs\":4000,\"priority\":1,\"service\":\"pool\",\"maxAttempts\":1,\
         \"sticky\":true,\"resumable\":false,\"homeRegions\":[\"inland\"]}}],\"services\":[{{\
         \"name\":\"pool\",\"healthPath\":\"/health\",\"maxConns\":250,\"protocol\":\"h1\",\
         \"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,\"engine\":{{\"slots\":32,\
         \"kvCapacity\":469987,\"kvTokenBytes\":327680,\"linkMbps\":1500000.0,\"moves\":true,\
         \"backups\":true,\"stride\":9,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

pub fn run() -> ! {
    let regions = vec![
        Region { name: "puget", zone: "puget-a", gateways: 4, controls: 2 },
        Region { name: "columbia", zone: "columbia-a", gateways: 3, controls: 2 },
        Region { name: "inland", zone: "inland-a", gateways: 2, controls: 1 },
    ];
    let mut site = Site::start(regions, MEMORY_MB, &config());
    for index in 0..2 {
        let behaviour: Behaviour =
            Arc::new(|engine: &Arc<Engine>, request: &Message, stream: &mut TcpStream| {
                thread::sleep(WORK);
                engine.answer(request, stream, "done")
            });
        Engine::start(Plan {
            id: format!("i-pool-{index}"),
            service: "pool",
            zone: "inland-a",
            address: site.engine_address(),
            slots: 32,
            first_beat: Duration::ZERO,
            cold: Duration::ZERO,
            keeps_id: true,
            controls: site.control_addresses(),
            behaviour,
        });
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let peaks = Arc::new(Mutex::new(vec![0_u64; site.gateways.len()]));
    let watched = site.gateways.clone();
    let (watch_over, watch_peaks) = (Arc::clone(&is_over), Arc::clone(&peaks));
    let watch = thread::spawn(move || {
        while !watch_over.load(Ordering::SeqCst) {
            for (process, peak) in watched.iter().zip(watch_peaks.lock().unwrap().iter_mut()) {
                let memory = process.memory();
                if memory > MEMORY_MB << 20 && *peak <= MEMORY_MB << 20 {
                    record(&format!("{} holds {} MB", process.name, memory >> 20));
                }
                *peak = memory.max(*peak);
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
    let served = Arc::new(AtomicU64::new(0));
    let other = Arc::new(Mutex::new(std::collections::BTreeMap::<String, u64>::new()));
    let body = Arc::new(vec![b'x'; BODY]);
    let crowd = if has_trouble() { CROWD } else { 1 };
    for gateway in site.gateways.iter().filter(|gateway| gateway.region != "inland") {
        for client in 0..crowd {
            let (gateway, is_over, body) =
                (gateway.clone(), Arc::clone(&is_over), Arc::clone(&body));
            let (served, other) = (Arc::clone(&served), Arc::clone(&other));
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{}-{client}-{number}", gateway.name);
                    let headers = vec![
                        ("Host", HOST.to_owned()),
                        ("X-Request-Id", id.clone()),
                        ("X-Deadline-Ms", DEADLINE.as_millis().to_string()),
                        ("X-Model", "m".to_owned()),
                        ("X-Token-Count", "400,40".to_owned()),
                        ("X-Prompt-Prefix", format!("{:x}:400", client * 100_000 + number)),
                    ];
                    let call = Call { method: "POST", target: "/drafts/1", headers, body: &body };
                    let reply = call.send(gateway.front(), DEADLINE);
                    let end = told(&reply);
                    record(&format!("{id}: {end}"));
                    if end == "answered 200" {
                        served.fetch_add(1, Ordering::SeqCst);
                    } else {
                        *other.lock().unwrap().entry(end).or_default() += 1;
                        thread::sleep(Duration::from_millis(300));
                    }
                }
            });
        }
    }
    record("the crowd begins");
    thread::sleep(Duration::from_secs(20));
    thread::sleep(Duration::from_secs(12));
    is_over.store(true, Ordering::SeqCst);
    drop(watch.join());
    thread::sleep(Duration::from_secs(1));
    let mut excess = 0;
    for (process, peak) in site.gateways.iter().zip(peaks.lock().unwrap().iter()) {
        record(&format!("{}: at most {} MB of {MEMORY_MB}", process.name, peak >> 20));
        excess += usize::from(*peak > MEMORY_MB << 20);
    }
    record(&format!(
        "{} requests served, other ends: {:?}; {excess} processes exceeded their memory",
        served.load(Ordering::SeqCst),
        other.lock().unwrap()
    ));
    finish(i32::from(excess > 0))
}
