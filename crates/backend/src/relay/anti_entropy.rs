//! Anti-entropy: joining the region and recovering missed updates by sync calls to peers.

use {
    super::shared::RelayShared,
    crate::{Origin, SyncReply, SyncRequest},
    bytes::Bytes,
    futures::future::join_all,
    gullglade_units::{VmName, decode, encode},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Maximum number of unreached gateways that an isolated gateway tries at the same time.
const ISOLATED_SYNC_LIMIT: usize = 4;

/// Fetches the region's state from all seeds concurrently. A gateway that has just started must not
/// mistake the silence of the first seed for an empty region. If no gateway of its region answers,
/// it tries the addresses of this region's gateways that other regions have returned.
pub(super) async fn join(shared: &Rc<RelayShared>) {
    fetch_all(shared, shared.config.seeds.clone()).await;
    if is_alone(shared) {
        let address_hints = shared.address_hints.borrow().iter().copied().collect();
        fetch_all(shared, address_hints).await;
    }
    shared.joined.set(true);
    shared.subset();
    shared.ensure_tasks();
}

async fn fetch_all(shared: &Rc<RelayShared>, addresses: Vec<SocketAddr>) {
    let timeout = shared.config.sync_timeout;
    join_all(addresses.into_iter().map(|address| sync(shared, address, Vec::new(), timeout))).await;
}

/// Syncs in a loop for the lifetime of the process, with a peer whose digest differs or else with a
/// gateway considered dead.
///
/// After a partition, each side considers the other dead, and without these attempts they would
/// never reconnect. An isolated gateway tries at every check, since the others can only wait for
/// it.
pub(super) async fn run(shared: Rc<RelayShared>) {
    let mut last = shared.now();
    loop {
        shared.dependencies.context.clock.sleep(shared.config.check_interval).await;
        let is_isolated = is_alone(&shared) && !shared.members.dead().is_empty();
        if !is_isolated && shared.now().since(last) < shared.config.sync_interval {
            continue;
        }
        let peer_limit = if is_isolated { ISOLATED_SYNC_LIMIT } else { 1 };
        let syncs = sync_targets(&shared, peer_limit).into_iter().map(|address| {
            let bucket_hashes = shared.table.bucket_hashes().to_vec();
            sync(&shared, address, bucket_hashes, shared.config.background_sync_timeout)
        });
        join_all(syncs).await;
        last = shared.now();
    }
}

fn is_alone(shared: &RelayShared) -> bool {
    shared.members.alive().len() == 1
}

/// Returns the peer whose digest differs, or else up to `count` randomly chosen addresses of
/// gateways considered dead.
fn sync_targets(shared: &RelayShared, count: usize) -> Vec<SocketAddr> {
    let diverged_peer = shared.sync_peer.borrow_mut().take();
    if let Some(address) = diverged_peer.and_then(|vm| address_of(shared, &vm)) {
        return vec![address];
    }
    let mut dead = unreached_addresses(shared);
    let random = &shared.dependencies.context.random;
    let mut picked = Vec::new();
    while picked.len() < count && !dead.is_empty() {
        let index = usize::try_from(random.below(dead.len() as u64)).unwrap_or(0);
        picked.push(dead.swap_remove(index));
    }
    picked
}

/// Returns the addresses of dead gateways, of seeds and of hints at which no live gateway is known.
fn unreached_addresses(shared: &RelayShared) -> Vec<SocketAddr> {
    let alive = shared.members.alive();
    let known: Vec<SocketAddr> = alive.iter().filter_map(|vm| address_of(shared, vm)).collect();
    let seeds =
        shared.config.seeds.iter().copied().filter(|seed| !shared.is_seed_region_reachable(seed));
    let dead = shared.members.dead();
    let dead = dead.iter().filter_map(|vm| address_of(shared, vm));
    let mut addresses: Vec<SocketAddr> = dead
        .chain(seeds)
        .chain(shared.address_hints.borrow().iter().copied())
        .filter(|address| !known.contains(address))
        .collect();
    addresses.sort();
    addresses.dedup();
    addresses
}

fn address_of(shared: &RelayShared, vm: &VmName) -> Option<SocketAddr> {
    shared.members.record(vm).map(|record| record.profile.peer_address)
}

/// Fetches the updates missed while this process or its VM was stalled. Peers considered it dead
/// and stopped sending. Without the sync it would continue to dispatch requests to backend servers
/// that have left.
pub(super) async fn catch_up_after_stall(shared: &Rc<RelayShared>) {
    let plan = shared.plan();
    let peer =
        plan.row_peers.iter().chain(&plan.relay_targets).find_map(|vm| address_of(shared, vm));
    if let Some(address) = peer {
        catch_up(shared, address).await;
    }
}

/// Fetches the records that differ from the peer at `address`.
pub(super) async fn catch_up(shared: &Rc<RelayShared>, address: SocketAddr) {
    let bucket_hashes = shared.table.bucket_hashes().to_vec();
    sync(shared, address, bucket_hashes, shared.config.sync_timeout).await;
}

/// Fetches the records in buckets that differ from `bucket_hashes` from the gateway at `address`.
/// Failures are ignored, because the sync is repeated.
async fn sync(
    shared: &Rc<RelayShared>,
    address: SocketAddr,
    bucket_hashes: Vec<u32>,
    timeout: Duration,
) {
    let Some(from) = shared.members.aged_record(shared.members.local_vm()) else { return };
    let body = Bytes::from(encode(&SyncRequest { from, bucket_hashes }));
    let Ok(reply) =
        shared.dependencies.transport.call(address, "backend.sync", body, timeout).await
    else {
        return;
    };
    let Ok(reply) = decode::<SyncReply>(&reply) else { return };
    if let Some(region) = reply.region.filter(|region| *region != shared.local_region()) {
        shared.remote_seeds.borrow_mut().insert(address, region);
        shared.add_contacts(&reply.regions);
        return;
    }
    reply.regions.iter().for_each(|delta| shared.regions.apply(delta, Origin::Sync));
    reply.gateways.iter().for_each(|aged| shared.merge_gateway(aged, Origin::Sync));
    reply.backends.iter().for_each(|aged| shared.merge_backend(aged, Origin::Sync));
    shared.ensure_tasks();
}
