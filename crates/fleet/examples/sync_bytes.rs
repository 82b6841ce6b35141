//! Prints the encoded sizes of the messages between gateways and control processes, without the
//! framing of sessions.

use {
    gullglade_fleet::{
        BackendObservation, BackendRecord, GatewayAnnouncement, GatewayPhase, GatewayProfile,
        RegionOffer, ServiceOffer, ServingState, SyncReply, SyncRequest, VmCapacity,
    },
    gullglade_poison::CrashUpdate,
    gullglade_units::{
        BackendName, FailureDomain, Incarnation, NameError, RegionName, ServiceName, VmName, encode,
    },
    std::{net::SocketAddr, time::Duration},
};

fn main() -> Result<(), NameError> {
    let region = RegionName::try_from("region-07")?;
    let domain = FailureDomain::try_from("region-07-c")?;
    let service = ServiceName::try_from("model-pool-12")?;
    let address = SocketAddr::from(([10, 7, 3, 21], 8_144));
    let offer = ServiceOffer {
        service: service.clone(),
        backends: 145,
        first_byte_ms: vec![120, 140, 180, 180],
    };
    let profile = GatewayProfile {
        vm: VmName::try_from("edge-region-07-c-12")?,
        run: u64::MAX,
        region: region.clone(),
        domain: domain.clone(),
        caller_address: address,
        peer_address: address,
        capacity: VmCapacity::default(),
    };
    let request = |services| SyncRequest {
        pulse: GatewayAnnouncement { profile: profile.clone(), phase: GatewayPhase::Ready },
        offers: vec![offer.clone(); services],
        run: u64::MAX,
        cursor: 100_000,
        crashes: CrashUpdate::default(),
        crash_cursor: 0,
        traffic_index: 100_000,
        version: Some(100_000),
    };
    let record = BackendRecord {
        name: BackendName::try_from("i-7f3a91c2")?,
        service,
        address,
        region: region.clone(),
        domain,
        slots: 32,
        state: ServingState::Serving,
        cold_for: Duration::ZERO,
        incarnation: Incarnation(1_764_720_000_000),
        sequence: 100_000,
    };
    let observation = BackendObservation { record, is_silent: false, is_recalled: false };
    let reply = |backends, regions| SyncReply {
        run: u64::MAX,
        cursor: 100_000,
        backends: vec![observation.clone(); backends],
        departed: Vec::new(),
        gateways: Vec::new(),
        gateway_total: 370,
        crashes: CrashUpdate::default(),
        regions: vec![RegionOffer { region: region.clone(), offer: offer.clone() }; regions],
        traffic: None,
        confirmed_ago: Some(Duration::from_millis(80)),
        held: Duration::ZERO,
        controls: vec![address; 5],
    };
    let bytes = |message: Vec<u8>| message.len();
    println!("request without offers: {}", bytes(encode(&request(0))));
    println!("request, per offer: {}", bytes(encode(&request(1))) - bytes(encode(&request(0))));
    println!("reply without changes: {}", bytes(encode(&reply(0, 0))));
    println!(
        "reply, per offer of a region: {}",
        bytes(encode(&reply(0, 1))) - bytes(encode(&reply(0, 0)))
    );
    println!(
        "reply, per backend server: {}",
        bytes(encode(&reply(1, 0))) - bytes(encode(&reply(0, 0)))
    );
    Ok(())
}
