//! A part of prompts that crashes each engine that begins to answer on it, in a quiet time.

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
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// The part that all requests of the route share, and the one that crashes engines.
const FIRST_PART: &str = "5c1e07a1:512";
const BAD_PART: &str = "a11d3f7:200";

/// Time from the begin of a run to the crash, and time after which the engine is back.
const CRASH_AFTER: Duration = Duration::from_millis(100);
const DOWN: Duration = Duration::from_secs(2);

const DEADLINE: Duration = Duration::from_millis(3_000);
const PACE: Duration = Duration::from_millis(100);
const BASELINE: Duration = Duration::from_secs(8);
const MEASURED: Duration = Duration::from_secs(12);
const GRACE: Duration = Duration::from_secs(8);

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"drafts\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"/drafts/\",\"kind\":\"unsafe\",\"timeoutMs\":2500,\
         \"targetLatencyMs\":800,\"priority\":1,\"service\":\"pool\",\"maxAttempts\":1,\
         \"sticky\":true,\"resumable\":false,\"homeRegions\":[]}}],\"services\":[{{\
         \"name\":\"pool\",\"healthPath\":\"/health\",\"maxConns\":250,\"protocol\":\"h1\",\
         \"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

/// Sends a request whose prompt has these shared parts. Returns whether it was served.
fn send(to: &Process, id: &str, parts: &str, number: u64) -> bool {
    let headers = vec![
        ("Host", HOST.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", DEADLINE.as_millis().to_string()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Count", "900,40".to_owned()),
        ("X-Prompt-Prefix", format!("{parts},{:x}:188", 0x1000_0000 + number)),
    ];
    let body = format!("prompt {number}");
    let call = Call { method: "POST", target: "/drafts/1", headers, body: body.as_bytes() };
    let reply = call.send(to.front(), DEADLINE);
    record(&format!("{id}: {}", told(&reply)));
    reply.is_ok_and(|reply| reply.status() == 200)
}

/// Sends sound requests to all gateways in turn for `time`. Returns the served and the sent.
fn send_sound(site: &Site, name: &str, time: Duration) -> (usize, usize) {
    let began = Instant::now();
    let mut sent = Vec::new();
    while began.elapsed() < time {
        let number = sent.len() as u64;
        let gateway = site.gateways[sent.len() % site.gateways.len()].clone();
        let id = format!("{name}-{number}");
        let parts = format!("{FIRST_PART},{:x}:200", 0x2000_0000 + number % 7);
        sent.push(thread::spawn(move || send(&gateway, &id, &parts, number)));
        thread::sleep(PACE);
    }
    let count = sent.len();
    (sent.into_iter().filter_map(|one| one.join().ok()).filter(|served| *served).count(), count)
}

pub fn run() -> ! {
    let regions = vec![
        Region { name: "puget", zone: "puget-a", gateways: 2, controls: 2 },
        Region { name: "columbia", zone: "columbia-a", gateways: 1, controls: 2 },
        Region { name: "inland", zone: "inland-a", gateways: 1, controls: 1 },
    ];
    let mut site = Site::start(regions, 260, &config());
    let crashes: Arc<Mutex<Vec<Duration>>> = Arc::default();
    for (zone, count) in [("puget-a", 4), ("columbia-a", 3), ("inland-a", 3)] {
        for index in 0..count {
            let crashes = Arc::clone(&crashes);
            let behaviour: Behaviour =
                Arc::new(move |engine: &Arc<Engine>, request: &Message, stream: &mut TcpStream| {
                    let parts = request.header("x-prompt-prefix").unwrap_or_default();
                    thread::sleep(CRASH_AFTER);
                    if !has_trouble() || !parts.contains(BAD_PART) {
                        return engine.answer(request, stream, "done");
                    }
                    if engine.crash(DOWN) {
                        crashes.lock().unwrap().push(elapsed());
                        record(&format!("{} crashes", engine.id));
                    }
                    Ok(false)
                });
            Engine::start(Plan {
                id: format!("i-pool-{zone}-{index}"),
                service: "pool",
                zone,
                address: site.engine_address(),
                slots: 32,
                first_beat: Duration::ZERO,
                cold: Duration::ZERO,
                keeps_id: false,
                controls: site.control_addresses(),
                behaviour,
            });
        }
    }
    thread::sleep(Duration::from_secs(4));
    let (served, sent) = send_sound(&site, "before", BASELINE);
    record(&format!("before: {served} of {sent} sound requests served"));
    for index in 0..site.gateways.len() {
        site.restart(index, GRACE);
    }
    thread::sleep(Duration::from_secs(2));
    let suspect = |number: u64| {
        let gateway = &site.gateways[number as usize % site.gateways.len()];
        let parts = format!("{FIRST_PART},{BAD_PART}");
        send(gateway, &format!("bad-{number}"), &parts, 1_000 + number);
    };
    for number in 0..6 {
        suspect(number);
        thread::sleep(Duration::from_millis(1_500));
    }
    let fifth = crashes.lock().unwrap().iter().take(5).last().copied();
    let from = fifth.unwrap_or(elapsed()) + STABILITY_WINDOW * 2;
    thread::sleep(from.saturating_sub(elapsed()) + Duration::from_millis(200));
    // Such requests still come.
    let (late_served, late_sent) = thread::scope(|scope| {
        scope.spawn(|| {
            for number in 6..11 {
                suspect(number);
                thread::sleep(Duration::from_secs(2));
            }
        });
        send_sound(&site, "after", MEASURED)
    });
    let ended = site.ended();
    record(&format!(
        "before the part came {served} of {sent} sound requests with the same first part were \
         served, from two stability windows after its {} crashes on {late_served} of {late_sent}; \
         {ended} processes ended",
        crashes.lock().unwrap().len()
    ));
    let is_broken = sent >= 20 && late_sent >= 20 && late_served * sent * 2 < served * late_sent;
    finish(i32::from(is_broken))
}
