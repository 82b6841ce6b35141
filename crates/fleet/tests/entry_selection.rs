//! Answers of the directory in a region of VMs with different capacities, and what load callers
//! send to each VM.

use {
    gullglade_fleet::{
        CallerCounter, EntryCandidate, RawVmCapacity, VmCapacity, gateway_weights, select_entries,
    },
    gullglade_units::{RandomSource, SeededRandom, VmName, WallMillis},
    std::net::SocketAddr,
};

/// Time at which runs begin; the middle of a time slot.
const START: WallMillis = WallMillis(1_764_720_004_321);

fn after(seconds: u64) -> WallMillis {
    WallMillis(START.0 + seconds * 1_000)
}

fn region(small: usize, large: usize) -> Vec<(VmName, f64)> {
    let capacity = |cpu, memory, link| RawVmCapacity {
        cores: Some(1.0),
        cpu_share: Some(cpu),
        memory_mb: Some(memory),
        link_mbps: Some(link),
    };
    let raw = [vec![capacity(0.09, 120.0, 7.5); small], vec![capacity(0.3, 400.0, 25.0); large]];
    let capacities: Vec<_> =
        raw.concat().into_iter().map(|raw| VmCapacity::try_from(raw).expect("valid")).collect();
    let name = |i: usize| VmName::try_from(format!("edge-{i}")).expect("a name");
    gateway_weights(&capacities).into_iter().enumerate().map(|(i, w)| (name(i), w)).collect()
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(index).expect("a small region")], 8_144))
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => v4.ip().octets()[3].into(),
        SocketAddr::V6(_) => unreachable!("addresses of tests are of version 4"),
    }
}

fn candidates(region: &[(VmName, f64)]) -> Vec<EntryCandidate<'_>> {
    let row = region.iter().enumerate();
    row.map(|(i, (vm, weight))| EntryCandidate { vm, address: address(i), weight: *weight })
        .collect()
}

fn remote(caller: u32, port: u16) -> SocketAddr {
    let [_, a, b, c] = caller.to_be_bytes();
    SocketAddr::from(([10, a, b, c], port))
}

/// Guards against a change for deployments whose VMs are alike: every answer names all gateways in
/// their order.
#[test]
fn answers_name_all_gateways_where_weights_are_equal() {
    let cases = [region(24, 0), region(0, 74), region(2, 1), region(1, 0), Vec::new()];
    for region in cases {
        let expected: Vec<_> = (0..region.len()).map(address).collect();
        let mut callers = CallerCounter::default();
        for look_up in 0..20 {
            let caller = callers.identify(remote(look_up % 3, 4_000), "a.example", START);
            assert_eq!(select_entries(&candidates(&region), &caller, START), expected);
        }
    }
}

#[test]
fn answers_have_at_least_three_addresses_and_half_of_the_region_and_at_most_64() {
    struct Case {
        small: usize,
        large: usize,
        expected: usize,
    }
    let cases = [
        Case { small: 3, large: 1, expected: 3 },
        Case { small: 4, large: 1, expected: 3 },
        Case { small: 19, large: 5, expected: 12 },
        Case { small: 4, large: 20, expected: 21 },
        Case { small: 60, large: 14, expected: 37 },
        Case { small: 20, large: 100, expected: 64 },
    ];
    for Case { small, large, expected } in cases {
        let region = region(small, large);
        let mut callers = CallerCounter::default();
        for caller in 0..50 {
            let caller = callers.identify(remote(caller, 4_000), "a.example", START);
            let answer = select_entries(&candidates(&region), &caller, START);
            assert_eq!(answer.len(), expected, "{small} small, {large} large");
        }
    }
}

/// Guards against connections that callers close because an answer omits their gateway for no
/// reason: within a slot an answer stays the same, later it changes by little, and a gateway that
/// leaves replaces itself only.
#[test]
fn answers_are_stable_for_a_caller() {
    let region = region(19, 5);
    let all = candidates(&region);
    let mut replaced = 0;
    for number in 0..200 {
        let mut callers = CallerCounter::default();
        let mut answer = |seconds: u64, all: &[EntryCandidate<'_>]| {
            let port = 4_000 + u16::try_from(seconds).expect("a short test");
            let caller = callers.identify(remote(number, port), "a.example", after(seconds));
            select_entries(all, &caller, after(seconds))
        };
        let first = answer(0, &all);
        let is_new = |address: &&SocketAddr| !first.contains(address);
        replaced += answer(60, &all).iter().filter(is_new).count();
        let without: Vec<_> = all.iter().filter(|c| c.address != first[0]).copied().collect();
        assert!(answer(0, &without).iter().filter(is_new).count() <= 2, "caller {number}");
    }
    // In a minute, a tenth of the draws are renewed; half of 7 small gateways would be replaced.
    let per_caller = f64::from(replaced as u32) / 200.0;
    assert!(per_caller < 0.8, "{per_caller} of 12 addresses replaced in a minute");
}

/// A caller that keeps a few connections open.
struct Caller {
    remote: SocketAddr,
    asks_at: u64,
    answer: Vec<SocketAddr>,
    /// Open connections, each with the time when the caller closes it.
    connections: Vec<(SocketAddr, u64)>,
}

/// How callers appear to the directory.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Appearance {
    /// Each caller has its address.
    OwnAddress,
    /// Groups of 100 callers share an address, and use a new port for each look-up.
    SharedAddress,
}

/// Replays callers with four connections each, which cache answers for 2 to 5 s, a third of them
/// three times as long, and close a connection after 40 s on average. Returns the mean part of all
/// connections that each VM has, with the smallest number of connections that it ever had.
fn replay(region: &[(VmName, f64)], appearance: Appearance) -> Vec<(f64, usize)> {
    const CALLERS: u32 = 1_000;
    const SECONDS: u64 = 200;
    /// Counted seconds: after several lives of a connection, and apart by half of one.
    const COUNTED: [u64; 6] = [100, 120, 140, 160, 180, 199];
    let random = SeededRandom::new(7);
    let below = |bound: usize| random.below(bound as u64) as usize;
    let all = candidates(region);
    let mut counter = CallerCounter::default();
    let mut callers: Vec<Caller> = (0..CALLERS)
        .map(|number| {
            let address = if appearance == Appearance::OwnAddress { number } else { number / 100 };
            let remote = remote(address, 4_000);
            Caller { remote, asks_at: 0, answer: Vec::new(), connections: Vec::new() }
        })
        .collect();
    let mut sums = vec![0_usize; region.len()];
    let mut least = vec![usize::MAX; region.len()];
    for second in 0..SECONDS {
        for (number, caller) in callers.iter_mut().enumerate() {
            if caller.asks_at <= second {
                caller.remote.set_port(1_024 + below(60_000) as u16);
                let identity = counter.identify(caller.remote, "a.example", after(second));
                caller.answer = select_entries(&all, &identity, after(second));
                let cached = 2 + below(4) as u64;
                let answer = &caller.answer;
                caller.connections.retain(|(open, _)| answer.contains(open));
                caller.asks_at = second + if number % 3 == 0 { 3 * cached } else { cached };
            }
            caller.connections.retain(|(_, closed_at)| *closed_at > second);
            while caller.connections.len() < 4 {
                let life = -40.0 * (1.0 - random.unit()).ln();
                let open = caller.answer[below(caller.answer.len())];
                caller.connections.push((open, second + 1 + life as u64));
            }
        }
        if COUNTED.contains(&second) {
            let mut counts = vec![0_usize; region.len()];
            let open = callers.iter().flat_map(|caller| &caller.connections);
            open.for_each(|(address, _)| counts[index_of(*address)] += 1);
            for (index, count) in counts.into_iter().enumerate() {
                sums[index] += count;
                least[index] = least[index].min(count);
            }
        }
    }
    let total = sums.iter().sum::<usize>() as f64;
    sums.iter().map(|sum| *sum as f64 / total).zip(least).collect()
}

/// Returns the part of the load that each VM gets if every caller of its own address draws once.
fn drawn_parts(region: &[(VmName, f64)]) -> Vec<f64> {
    const CALLERS: u32 = 10_000;
    let mut parts = vec![0.0; region.len()];
    let all = candidates(region);
    let mut counter = CallerCounter::default();
    for number in 0..CALLERS {
        let caller = counter.identify(remote(number, 4_000), "a.example", START);
        let answer = select_entries(&all, &caller, START);
        let each = 1.0 / answer.len() as f64 / f64::from(CALLERS);
        answer.iter().for_each(|address| parts[index_of(*address)] += each);
    }
    parts
}

/// Guards against small VMs that are overloaded first: with answers that name all gateways, a small
/// VM beside 19 others and five large ones gets 1.49 times its part.
#[test]
fn draws_are_in_proportion_to_the_capacity() {
    for (small, large) in [(19, 5), (4, 20), (12, 12), (38, 10)] {
        let region = region(small, large);
        let total: f64 = region.iter().map(|(_, weight)| weight).sum();
        for (part, (vm, weight)) in drawn_parts(&region).iter().zip(&region) {
            let relative = part / (weight / total);
            assert!((0.85..=1.15).contains(&relative), "{small}+{large} {vm}: {relative:.3}");
        }
    }
}

/// Guards against answers that are right on average while connections gather at the large VMs,
/// because callers close those to the small ones whenever an answer omits them.
#[test]
fn connections_stay_in_proportion_to_the_capacity() {
    for appearance in [Appearance::OwnAddress, Appearance::SharedAddress] {
        for (small, large) in [(19, 5), (4, 20)] {
            let region = region(small, large);
            let total: f64 = region.iter().map(|(_, weight)| weight).sum();
            let parts = replay(&region, appearance);
            for (class, rows) in [("small", 0..small), ("large", small..small + large)] {
                let part: f64 = parts[rows.clone()].iter().map(|(part, _)| part).sum();
                let weight: f64 = region[rows].iter().map(|(_, weight)| weight).sum();
                let relative = part / (weight / total);
                let case = format!("{appearance:?} {small}+{large} {class}: {relative:.3}");
                eprintln!("{case}");
                assert!((0.85..=1.15).contains(&relative), "{case}");
            }
            assert!(parts.iter().all(|(_, least)| *least > 0), "a VM had no connections");
        }
    }
}

/// Guards against a single large VM that takes most callers: it gets no more than its part, and no
/// small VM noticeably more than its part.
#[test]
fn a_single_large_vm_is_not_overloaded() {
    let region = region(23, 1);
    let total: f64 = region.iter().map(|(_, weight)| weight).sum();
    for (part, (vm, weight)) in drawn_parts(&region).iter().zip(&region) {
        let relative = part / (weight / total);
        assert!((0.6..=1.15).contains(&relative), "{vm}: {relative:.3}");
    }
}
