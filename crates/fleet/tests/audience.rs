//! Updates that a control process sends to a gateway.

use {
    gullglade_fleet::{
        BackendRecord, FleetRegistry, FleetSettings, FleetUpdate, FleetView, GatewayAnnouncement,
        GatewayObservation, GatewayPhase, GatewayProfile, ServingState, SyncReply, UpdateFilter,
        VmCapacity,
    },
    gullglade_poison::CrashUpdate,
    gullglade_traffic::{RawTraffic, TrafficError, TrafficFormat},
    gullglade_units::{
        BackendName, BootTime, FailureDomain, Incarnation, MonotonicTime, RegionName, ServiceName,
        VmName, WallMillis,
    },
    std::{collections::BTreeSet, rc::Rc, time::Duration},
};

/// Gateways per region.
const GATEWAYS: usize = 40;

const REGIONS: [&str; 3] = ["puget", "columbia", "inland"];

/// Format for tests without configurations.
struct NoFormat;

impl TrafficFormat for NoFormat {
    fn read(&self, _text: &[u8]) -> Result<RawTraffic, TrafficError> {
        unreachable!("no configuration text is sent")
    }
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

/// The same time on the boot clock of a VM that started a minute earlier.
fn boot(millis: u64) -> BootTime {
    BootTime(Duration::from_millis(60_000 + millis))
}

fn region(name: &str) -> RegionName {
    RegionName::try_from(name).expect("a name")
}

fn vm(place: &str, index: usize) -> VmName {
    VmName::try_from(format!("edge-{place}-{index}")).expect("a name")
}

fn record(place: &str, index: usize) -> BackendRecord {
    BackendRecord {
        name: BackendName::try_from(format!("i-{place}-{index}")).expect("a name"),
        service: ServiceName::try_from("pool").expect("a name"),
        address: ([10, 0, 0, 1], 8_080).into(),
        region: region(place),
        domain: FailureDomain::try_from(format!("{place}-a")).expect("a name"),
        slots: 32,
        state: ServingState::Serving,
        cold_for: Duration::ZERO,
        incarnation: Incarnation(1),
        sequence: 1,
    }
}

fn gateway_announcement(place: &str, index: usize, phase: GatewayPhase) -> GatewayAnnouncement {
    GatewayAnnouncement {
        profile: GatewayProfile {
            vm: vm(place, index),
            run: 1,
            region: region(place),
            domain: FailureDomain::try_from(format!("{place}-a")).expect("a name"),
            caller_address: ([10, 0, 1, index as u8], 80).into(),
            peer_address: ([10, 0, 1, index as u8], 81).into(),
            capacity: VmCapacity::default(),
        },
        phase,
    }
}

/// Creates a registry of three regions with 40 gateways and 10 backend servers each.
fn registry() -> FleetRegistry {
    let mut registry = FleetRegistry::new(FleetSettings::new(Duration::from_millis(1_200)), at(0));
    for place in REGIONS {
        for index in 0..GATEWAYS {
            registry
                .announce_gateway(&gateway_announcement(place, index, GatewayPhase::Ready), at(0));
        }
        for index in 0..10 {
            registry.announce(record(place, index), at(0));
        }
    }
    registry
}

/// Returns the update for the first gateway of puget.
fn update(registry: &FleetRegistry, cursor: u64) -> FleetUpdate {
    let (vm, region) = (vm("puget", 0), region("puget"));
    UpdateFilter { vm: &vm, region: &region }.updates(registry, cursor, at(10))
}

fn gateways_of<'a>(update: &'a FleetUpdate, name: &str) -> Vec<&'a GatewayObservation> {
    let name = region(name);
    update.gateways.iter().filter(|g| g.profile.region == name).collect()
}

#[test]
fn an_update_contains_the_local_region_and_a_few_gateways_of_each_other_region() {
    // Every control process sent every backend server and gateway of all regions to every gateway.
    // With 300 VMs, a day then cost three times the processor time per VM of 100 VMs, and gateways
    // needed 8.5 s to serve again after all of them were killed.
    let registry = registry();
    let update = update(&registry, 0);
    let places: BTreeSet<_> = update.backends.iter().map(|b| &b.record.region).collect();
    assert_eq!(update.backends.len(), 10);
    assert_eq!(places, BTreeSet::from([&region("puget")]));
    assert_eq!(gateways_of(&update, "puget").len(), GATEWAYS);
    assert_eq!(gateways_of(&update, "columbia").len(), 8);
    assert_eq!(gateways_of(&update, "inland").len(), 8);
    assert_eq!(registry.gateway_total(), 3 * GATEWAYS, "common limits are shared by all gateways");
}

#[test]
fn an_update_contains_stopped_gateways_and_their_replacements() {
    let mut registry = registry();
    let cursor = registry.last_change();
    let before = update(&registry, 0);
    let selected = gateways_of(&before, "columbia")[0].profile.vm.clone();
    let index = selected.as_str().rsplit('-').next().expect("a number").parse().expect("a number");
    registry
        .announce_gateway(&gateway_announcement("columbia", index, GatewayPhase::Stopping), at(5));
    let after = update(&registry, cursor);
    let updated = gateways_of(&after, "columbia");
    let stopped =
        updated.iter().find(|g| g.profile.vm == selected).expect("the stopped gateway is included");
    assert_eq!(stopped.phase, GatewayPhase::Stopping);
    assert_eq!(updated.iter().filter(|g| g.phase == GatewayPhase::Ready).count(), 8);
    assert!(gateways_of(&after, "inland").is_empty(), "nothing changed there");
}

#[test]
fn departures_are_sent_to_the_regions_that_they_concern() {
    struct Case {
        name: &'static str,
        departed: BackendName,
        is_included: bool,
    }
    let name = |name: &str| BackendName::try_from(name).expect("a name");
    let cases = [
        Case { name: "in the local region", departed: name("i-puget-3"), is_included: true },
        Case { name: "in another region", departed: name("i-inland-3"), is_included: false },
        // It announced itself to another control process and its departure to this one.
        Case { name: "never observed here", departed: name("i-unheard"), is_included: true },
    ];
    for case in cases {
        let mut registry = registry();
        let cursor = registry.last_change();
        assert!(registry.leave(&case.departed, WallMillis(50_000), at(5)), "{}", case.name);
        let updated = update(&registry, cursor).departed;
        assert_eq!(updated.len(), usize::from(case.is_included), "{}", case.name);
        let is_woken = registry.last_change_for(&region("puget")) > cursor;
        assert_eq!(is_woken, case.is_included, "{}: whether a held call is woken", case.name);
    }
}

#[test]
fn changes_of_backend_servers_in_other_regions_wake_no_call() {
    let mut registry = registry();
    let cursor = registry.last_change();
    registry.announce(record("inland", 99), at(5));
    assert_eq!(registry.last_change_for(&region("inland")), cursor + 1);
    assert!(registry.last_change_for(&region("puget")) <= cursor);
    // If several members become silent at once, each region learns of its own.
    let mut silent_registry = registry;
    let (silent, _) = silent_registry.tick(at(20_000));
    assert_eq!(silent.len(), 31);
    for place in REGIONS {
        assert!(silent_registry.last_change_for(&region(place)) > cursor + 1, "{place}");
    }
}

#[test]
fn the_neighbours_in_a_large_region_are_stable() {
    // The neighbours must be the same for each message. If a gateway notified 40 random neighbours
    // of a send and 40 others of its first byte, those that knew only of the send waited for a
    // first byte that had already come, and in a region of 100 gateways healthy engines got no work
    // for seconds.
    let mut view = FleetView::new(Rc::new(NoFormat));
    let registry = registry();
    let (vm, own_region) = (vm("puget", 0), region("puget"));
    let filter = UpdateFilter { vm: &vm, region: &own_region };
    let FleetUpdate { backends, departed, gateways } = filter.updates(&registry, 0, at(0));
    let reply = SyncReply {
        run: 1,
        cursor: 1,
        backends,
        departed,
        gateways,
        gateway_total: 120,
        crashes: CrashUpdate::default(),
        regions: Vec::new(),
        traffic: None,
        confirmed_ago: None,
        held: Duration::ZERO,
        controls: Vec::new(),
    };
    view.merge(([10, 0, 0, 1], 80).into(), true, reply, boot(0), at(0)).expect("merged");
    let own = gateway_announcement("puget", 0, GatewayPhase::Ready).profile;
    let updated = view.neighbours(&own, 10, at(1));
    assert_eq!(updated.len(), 10);
    assert!(!updated.contains(&own.peer_address));
    for ms in 2..20 {
        assert_eq!(view.neighbours(&own, 10, at(ms)), updated);
    }
    assert_eq!(view.neighbours(&own, 50, at(20)).len(), GATEWAYS - 1, "all of a small region");
    assert_eq!(view.gateway_total(), 120);
}

#[test]
fn common_limits_are_shared_among_all_live_gateways() {
    // Gateways that are starting must be counted. After a complete restart gateways become ready
    // one by one; if each took its share of the retry allowance by the number of ready gateways,
    // together they would send more retries than allowed.
    struct Case {
        phase: GatewayPhase,
        at_ms: u64,
        total: usize,
    }
    let cases = [
        Case { phase: GatewayPhase::Starting, at_ms: 10, total: 5 },
        Case { phase: GatewayPhase::Ready, at_ms: 10, total: 5 },
        Case { phase: GatewayPhase::Stopping, at_ms: 10, total: 5 },
        Case { phase: GatewayPhase::Ready, at_ms: 5_000, total: 0 },
    ];
    for Case { phase, at_ms, total } in cases {
        let mut registry =
            FleetRegistry::new(FleetSettings::new(Duration::from_millis(1_200)), at(0));
        for index in 0..5 {
            registry.announce_gateway(&gateway_announcement("puget", index, phase), at(0));
        }
        registry.tick(at(at_ms));
        assert_eq!(registry.gateway_total(), total, "{phase} after {at_ms} ms");
    }
}
