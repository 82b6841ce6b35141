//! Handler of peer calls.

use {
    super::{
        region_reporter::{self, ReportReply},
        shared::RelayShared,
    },
    crate::{
        DeltaReply, GatewayHeartbeat, GossipDelta, Origin, RegionDelta, RelayStep, StatusChange,
        SyncReply, SyncRequest, member_table::HeartbeatOutcome, table::gossip::LoadOutcome,
    },
    bytes::Bytes,
    gullglade_peer::{PeerFault, PeerHandler, PeerIdentity},
    gullglade_units::{LocalFuture, VmName, decode, encode},
    std::rc::Rc,
};

/// Serves the peer methods `backend.…`.
pub(super) struct RelayHandler {
    pub(super) shared: Rc<RelayShared>,
}

impl PeerHandler for RelayHandler {
    fn call<'a>(
        &'a self,
        from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        let answer = self.answer(from, method, &body);
        Box::pin(async move { answer })
    }
}

impl RelayHandler {
    fn answer(&self, from: &PeerIdentity, method: &str, body: &[u8]) -> Result<Bytes, PeerFault> {
        match method {
            "backend.delta" => {
                let delta = decode(body).map_err(PeerFault::malformed)?;
                let known = self.shared.apply_delta(&from.vm, &delta);
                Ok(Bytes::from(encode(&DeltaReply { known })))
            }
            "backend.region" => {
                let delta: RegionDelta = decode(body).map_err(PeerFault::malformed)?;
                if delta.region == self.shared.local_region() {
                    return Err(PeerFault::refused(
                        "the caller is in the same region as this gateway",
                    ));
                }
                self.shared.regions.apply(&delta, Origin::Direct);
                let resend_all = self.shared.regions.note_reporter(&delta.region, &from.vm);
                region_reporter::ensure_tasks(&self.shared);
                Ok(Bytes::from(encode(&ReportReply { resend_all })))
            }
            "backend.sync" => {
                let request = decode(body).map_err(PeerFault::malformed)?;
                Ok(Bytes::from(encode(&self.shared.answer_sync(&request))))
            }
            _ => Err(PeerFault::unknown_method(method)),
        }
    }
}

impl RelayShared {
    /// Applies a gossip message of the gateway `from`. Returns false if this run of the sender was
    /// not known here or was considered dead, in which case it has not been sent any updates.
    fn apply_delta(self: &Rc<Self>, from: &VmName, delta: &GossipDelta) -> bool {
        let origin = match delta.step {
            RelayStep::Row => Origin::Row,
            RelayStep::Across => Origin::OtherRow,
        };
        delta.gateways.iter().for_each(|aged| self.merge_gateway(aged, origin));
        delta.backends.iter().for_each(|aged| self.merge_backend(aged, origin));
        let was_alive = self.is_alive(from, &delta.heartbeat);
        let mut missing = !self.merge_heartbeat(from, &delta.heartbeat, origin);
        for heartbeat in &delta.row_heartbeats {
            missing |= !self.merge_heartbeat(from, heartbeat, origin);
        }
        for load in &delta.loads {
            match self.table.merge_load(load, origin) {
                LoadOutcome::Known => {}
                LoadOutcome::Unknown => missing = true,
                LoadOutcome::Returned(name) => {
                    let change = StatusChange { membership: true, ..StatusChange::default() };
                    self.propagate_backend(&name, change, origin);
                }
            }
        }
        self.row_totals.apply(&self.plan(), from, &delta.row_totals);
        delta.regions.iter().for_each(|region| self.regions.apply(region, origin));
        self.track_divergence(from, missing || delta.digest != self.digest());
        self.ensure_tasks();
        was_alive
    }

    /// Returns whether this run of the sender is known here and is not considered dead.
    fn is_alive(&self, from: &VmName, heartbeat: &GatewayHeartbeat) -> bool {
        let is_this_run = self.members.name_of(heartbeat.id).as_ref() == Some(from);
        is_this_run && self.members.record(from).is_some_and(|r| !r.status.is_expired())
    }

    /// Merges a heartbeat. Returns false if its sender is not known here.
    fn merge_heartbeat(&self, from: &VmName, heartbeat: &GatewayHeartbeat, origin: Origin) -> bool {
        match self.members.merge_heartbeat(heartbeat, origin) {
            HeartbeatOutcome::Known => true,
            HeartbeatOutcome::Unknown => false,
            HeartbeatOutcome::Returned => {
                if let Some(vm) = self.members.name_of(heartbeat.id) {
                    self.propagate_gateway(&vm, if vm == *from { Origin::Direct } else { origin });
                }
                true
            }
        }
    }

    /// Requests a sync with `from` if its digest has differed for longer than `divergence_timeout`.
    /// A shorter difference may be due to updates in transit.
    fn track_divergence(&self, from: &VmName, differs: bool) {
        let mut diverged_since = self.diverged_since.borrow_mut();
        if !differs {
            diverged_since.remove(from);
            return;
        }
        let since = *diverged_since.entry(from.clone()).or_insert(self.now());
        if self.now().since(since)
            >= self.table.interval_scale().scale(self.config.divergence_timeout)
        {
            diverged_since.remove(from);
            *self.sync_peer.borrow_mut() = Some(from.clone());
        }
    }

    /// Replies to a peer that has detected a difference or has just started.
    fn answer_sync(self: &Rc<Self>, request: &SyncRequest) -> SyncReply {
        let requester = &request.from.record;
        if requester.profile.region != self.local_region() {
            self.regions.add_contacts(&requester.profile.region, vec![requester.contact()]);
            region_reporter::ensure_tasks(self);
            return SyncReply {
                region: Some(self.local_region()),
                regions: self.known_contacts(),
                ..SyncReply::default()
            };
        }
        self.merge_gateway(&request.from, Origin::Direct);
        let local = self.table.bucket_hashes();
        let differing = (0..local.len())
            .filter(|bucket| request.bucket_hashes.get(*bucket) != Some(&local[*bucket]));
        let backends = differing.flat_map(|bucket| self.table.records_in_bucket(bucket)).collect();
        self.ensure_tasks();
        let all = [Origin::Direct, Origin::Row, Origin::OtherRow, Origin::Sync];
        let regions = match request.bucket_hashes.is_empty() {
            true => self.regions.deltas_after(0, &all),
            false => Vec::new(),
        };
        let (gateways, region) = (self.members.compared_records(), Some(self.local_region()));
        SyncReply { backends, gateways, region, regions }
    }
}
