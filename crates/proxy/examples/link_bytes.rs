//! Prints the bytes that a gateway sends on its link in a second, by kind of message, at 50
//! requests/s in a region of 25 gateways. Callers' requests and answers are not counted.

use {
    gullglade_dispatch::{BackendHint, BackendReport, LimitUpdate, PromptPart, RequestUpdate},
    gullglade_fleet::{
        GatewayAnnouncement, GatewayPhase, GatewayProfile, RawVmCapacity, ServiceOffer,
        SyncRequest, VmCapacity,
    },
    gullglade_poison::CrashUpdate,
    gullglade_proxy::{RunDirectory, encode_notices},
    gullglade_units::{
        BackendName, BackendRun, FailureDomain, Incarnation, NameError, RandomSource, RegionName,
        SeededRandom, ServiceName, VmName, encode,
    },
    std::{error::Error, net::SocketAddr, time::Duration},
};

const SECONDS: u64 = 60;

const REQUESTS_PER_SECOND: f64 = 50.0;

/// Number of other gateways in the region.
const PEERS: usize = 24;

/// Bytes of a datagram in addition to the body: authentication tag, UDP and IP header.
const DATAGRAM_OVERHEAD: usize = 16 + 8 + 20;

/// Bytes of a call in addition to its body: the frames of the session (measured for
/// docs/CAPACITY.md), and a TCP packet for the call and one that acknowledges the reply.
const CALL_OVERHEAD: usize = 47 + 2 * 52;

/// Calls of `fleet.sync` per second: two for each of five control processes.
const SYNCS_PER_SECOND: usize = 10;

/// Link of the smallest gateways, bytes per second.
const SMALL_LINK: f64 = 7_500_000.0 / 8.0;

/// A kind of requests, with its part of all requests.
struct RequestMix {
    part: f64,
    /// Number of prompt tokens that are not cached, and of those of the shared part.
    tokens: Option<(u32, u32)>,
    first_byte_us: u64,
    backends: u64,
    priority: u8,
}

const MIX: [RequestMix; 3] = [
    RequestMix {
        part: 0.24,
        tokens: Some((6_610, 5_382)),
        first_byte_us: 600_000,
        backends: 45,
        priority: 1,
    },
    RequestMix {
        part: 0.5,
        tokens: Some((1_800, 568)),
        first_byte_us: 250_000,
        backends: 45,
        priority: 0,
    },
    RequestMix { part: 0.26, tokens: None, first_byte_us: 16_000, backends: 6, priority: 0 },
];

/// A hint, the time of its event and the time when its request was sent, microseconds.
struct TimedHint {
    happened_at: u64,
    sent_at: u64,
    hint: BackendHint,
}

fn hints(random: &SeededRandom) -> Result<Vec<TimedHint>, NameError> {
    let mut hints = Vec::new();
    let base = random.next_u64();
    let (mut at, mut number) = (0.0, 0);
    while at < SECONDS as f64 * 1e6 {
        at -= (1.0 - random.unit()).ln() / REQUESTS_PER_SECOND * 1e6;
        number += 1;
        let mut drawn = random.unit();
        let mut mix = MIX.iter();
        let kind = mix.find(|kind| {
            drawn -= kind.part;
            drawn < 0.0
        });
        let kind = kind.unwrap_or(&MIX[0]);
        let server = random.below(kind.backends);
        let run = BackendRun {
            backend: BackendName::try_from(format!("i-7f3a{:04x}", 97 * server))?,
            incarnation: Incarnation(1_764_720_000_000 + server),
        };
        let part = |(_, tokens)| PromptPart { id: score_of(random.below(16)), tokens };
        let sent = RequestUpdate::Sent {
            holds_slot: false,
            workspace: None,
            answer: None,
            tokens: kind.tokens.map(|(tokens, _)| tokens),
            parts: kind.tokens.map(part).into_iter().collect(),
        };
        let begun = RequestUpdate::Begun {
            pace: [0; 2],
            ago_us: 0,
            load: Some(BackendReport {
                running: 24,
                waiting: 2,
                slots: 64,
                slowdown_percent: None,
            }),
            limit: LimitUpdate { limit: None, ago_us: 0 },
        };
        let sent_at = at as u64;
        let begun_at = sent_at + kind.first_byte_us / 2 + random.below(kind.first_byte_us);
        for (happened_at, news) in [(sent_at, sent), (begun_at, begun)] {
            let request = base.wrapping_add(number);
            let (run, priority) = (run.clone(), kind.priority);
            let hint = BackendHint { run, request, priority, sent_ago_us: 0, news };
            hints.push(TimedHint { happened_at, sent_at, hint });
        }
    }
    hints.sort_by_key(|hint| hint.happened_at);
    Ok(hints)
}

/// Returns the id of one of a few shared parts.
fn score_of(part: u64) -> u64 {
    SeededRandom::new(part).next_u64()
}

/// Sets the ages in a hint as of `now`.
fn aged(timed: &TimedHint, now: u64) -> BackendHint {
    let mut hint = timed.hint.clone();
    hint.sent_ago_us = (now - timed.sent_at) as u32;
    if let RequestUpdate::Begun { ago_us, limit, .. } = &mut hint.news {
        (*ago_us, limit.ago_us) =
            ((now - timed.happened_at) as u32, (now - timed.happened_at) as u32);
    }
    hint
}

fn print(kind: &str, messages: usize, bytes: usize, overhead: usize) {
    let seconds = SECONDS as f64;
    let (sent, all) = (messages as f64 / seconds, (bytes + overhead) as f64 / seconds);
    let part = 100.0 * all / SMALL_LINK;
    println!(
        "{kind}: {sent:.0} messages/s, {:.0} B/s in bodies, {all:.0} B/s in all, {part:.1}% of a \
         7.5 Mbit/s link",
        bytes as f64 / seconds,
    );
}

fn print_hints(delay_us: u64, hints: &[TimedHint], runs: &RunDirectory) {
    let (mut notices, mut bytes) = (0, 0);
    let mut rest = hints;
    while let [first, ..] = rest {
        let now = first.happened_at + delay_us;
        let (batch, later) = rest.split_at(rest.partition_point(|hint| hint.happened_at <= now));
        let batch: Vec<_> = batch.iter().map(|hint| aged(hint, now)).collect();
        let bodies = encode_notices(&batch, runs);
        notices += bodies.len() * PEERS;
        bytes += bodies.iter().map(Vec::len).sum::<usize>() * PEERS;
        rest = later;
    }
    let kind = format!("hints, {} ms of batching", delay_us / 1_000);
    print(&kind, notices, bytes, notices * DATAGRAM_OVERHEAD);
    println!("  {:.1} B for each hint and peer", bytes as f64 / (hints.len() * PEERS) as f64);
}

fn sync_request() -> Result<SyncRequest, Box<dyn Error>> {
    let address = SocketAddr::from(([10, 7, 3, 21], 8_144));
    let raw = RawVmCapacity {
        cores: Some(1.0),
        cpu_share: Some(0.09),
        memory_mb: Some(120.0),
        link_mbps: Some(7.5),
    };
    let profile = GatewayProfile {
        vm: VmName::try_from("edge-region-07-c-12")?,
        run: u64::MAX,
        region: RegionName::try_from("region-07")?,
        domain: FailureDomain::try_from("region-07-c")?,
        caller_address: address,
        peer_address: address,
        capacity: VmCapacity::try_from(raw)?,
    };
    let service = ServiceName::try_from("model-pool-12")?;
    let offer = ServiceOffer { service, backends: 70, first_byte_ms: vec![120, 140, 180] };
    Ok(SyncRequest {
        pulse: GatewayAnnouncement { profile, phase: GatewayPhase::Ready },
        offers: vec![offer; 3],
        run: u64::MAX,
        cursor: 100_000,
        crashes: CrashUpdate::default(),
        crash_cursor: 0,
        traffic_index: 100_000,
        version: Some(100_000),
    })
}

fn main() -> Result<(), Box<dyn Error>> {
    let hints = hints(&SeededRandom::new(1))?;
    let runs = RunDirectory::new(hints.iter().map(|timed| timed.hint.run.clone()));
    for delay in [Duration::from_millis(20), Duration::from_millis(40)] {
        print_hints(delay.as_micros() as u64, &hints, &runs);
    }
    let syncs = SYNCS_PER_SECOND * SECONDS as usize;
    let sync = encode(&sync_request()?).len();
    print("fleet.sync", syncs, syncs * sync, syncs * CALL_OVERHEAD);
    Ok(())
}
