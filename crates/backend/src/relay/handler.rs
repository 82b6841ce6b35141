//! What peers call.

use {
    super::{
        shared::RelayShared,
        speaker::{self, TellReply},
    },
    crate::{
        DeltaReply, GatewayHeartbeat, GossipDelta, Origin, RegionDelta, RelayStep, StatusChange,
        SyncReply, SyncRequest, members::PulseOutcome, table::gossip::LoadOutcome,
    },
    bytes::Bytes,
    gullglade_peer::{PeerFault, PeerHandler, PeerIdentity},
    gullglade_units::{LocalFuture, VmName, decode, encode},
    std::rc::Rc,
};

/// Serves the methods `backend.…`.
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
                let known = self.shared.take_delta(&from.vm, &delta);
                Ok(Bytes::from(encode(&DeltaReply { known })))
            }
            "backend.region" => {
                let delta: RegionDelta = decode(body).map_err(PeerFault::malformed)?;
                if delta.region == self.shared.own_region() {
                    return Err(PeerFault::refused("this is a gateway of your own region"));
                }
                self.shared.regions.take(&delta, Origin::Direct);
                let again = self.shared.regions.note_speaker(&delta.region, &from.vm);
                speaker::ensure_tasks(&self.shared);
                Ok(Bytes::from(encode(&TellReply { again })))
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
    /// Takes in a message of the gateway `from`; false: this run of it was not known here, or was
    /// taken for dead and has been told nothing since.
    fn take_delta(self: &Rc<Self>, from: &VmName, delta: &GossipDelta) -> bool {
        let origin = match delta.step {
            RelayStep::Row => Origin::Row,
            RelayStep::Across => Origin::OtherRow,
        };
        delta.gateways.iter().for_each(|aged| self.take_gateway(aged, origin));
        delta.backends.iter().for_each(|aged| self.take_backend(aged, origin));
        let was_alive = self.is_alive(from, &delta.pulse);
        let mut missing = !self.take_pulse(from, &delta.pulse, origin);
        for pulse in &delta.pulses {
            missing |= !self.take_pulse(from, pulse, origin);
        }
        for load in &delta.loads {
            match self.table.take_load(load, origin) {
                LoadOutcome::Known => {}
                LoadOutcome::Unknown => missing = true,
                LoadOutcome::Returned(name) => {
                    let change = StatusChange { membership: true, ..StatusChange::default() };
                    self.note_backend(&name, change, origin);
                }
            }
        }
        self.row_totals.take(&self.plan(), from, &delta.row_totals);
        delta.regions.iter().for_each(|region| self.regions.take(region, origin));
        self.compare(from, missing || delta.digest != self.digest());
        self.ensure_tasks();
        was_alive
    }

    /// Whether this run of the sender is known here and was not taken for dead.
    fn is_alive(&self, from: &VmName, pulse: &GatewayHeartbeat) -> bool {
        let is_this_run = self.members.name_of(pulse.id).as_ref() == Some(from);
        is_this_run && self.members.record(from).is_some_and(|r| !r.status.is_expired())
    }

    /// False: this gateway does not know who sent the heartbeat.
    fn take_pulse(&self, from: &VmName, pulse: &GatewayHeartbeat, origin: Origin) -> bool {
        match self.members.take_pulse(pulse, origin) {
            PulseOutcome::Known => true,
            PulseOutcome::Unknown => false,
            PulseOutcome::Returned => {
                if let Some(vm) = self.members.name_of(pulse.id) {
                    self.note_gateway(&vm, if vm == *from { Origin::Direct } else { origin });
                }
                true
            }
        }
    }

    /// Asks for a sync when `from` has differed for a while: what differs for less may be news on
    /// its way.
    fn compare(&self, from: &VmName, differs: bool) {
        let mut differing = self.differing.borrow_mut();
        if !differs {
            differing.remove(from);
            return;
        }
        let since = *differing.entry(from.clone()).or_insert(self.now());
        if self.now().since(since) >= self.table.pace().stretch(self.config.divergence_timeout) {
            differing.remove(from);
            *self.sync_with.borrow_mut() = Some(from.clone());
        }
    }

    /// Answers a peer that found a difference or has just started.
    fn answer_sync(self: &Rc<Self>, request: &SyncRequest) -> SyncReply {
        let asker = &request.from.record;
        if asker.profile.region != self.own_region() {
            self.regions.introduce(&asker.profile.region, vec![asker.contact()]);
            speaker::ensure_tasks(self);
            return SyncReply {
                region: Some(self.own_region()),
                regions: self.known_contacts(),
                ..SyncReply::default()
            };
        }
        self.take_gateway(&request.from, Origin::Direct);
        let own = self.table.part_hashes();
        let differing = (0..own.len()).filter(|part| request.parts.get(*part) != Some(&own[*part]));
        let backends = differing.flat_map(|part| self.table.aged_in_part(part)).collect();
        self.ensure_tasks();
        let all = [Origin::Direct, Origin::Row, Origin::OtherRow, Origin::Sync];
        let regions = match request.parts.is_empty() {
            true => self.regions.deltas_after(0, &all),
            false => Vec::new(),
        };
        let (gateways, region) = (self.members.compared(), Some(self.own_region()));
        SyncReply { backends, gateways, region, regions }
    }
}
