//! Speaking for the region: one task for each other region that this gateway tells of its own.
//!
//! The gateways, 20 at most, chosen by rendezvous hash, are speakers, and the regions are dealt out
//! to them evenly, so that no gateway carries much of it. They are also the ones that other regions
//! turn to. When a speaker dies, the next in rank takes over its regions and tells them all.

use {
    super::shared::RelayShared,
    crate::{
        GatewayContact, Origin, RegionDelta, TotalsDelta,
        summary::{TotalsMap, add_totals},
    },
    bytes::Bytes,
    gullglade_units::{
        RegionName, VmName, decode, encode,
        rendezvous::{deal, ranked, score},
    },
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, net::SocketAddr, rc::Rc, time::Duration},
};

/// The most speakers; the design size has 19 other regions.
const SPEAKER_LIMIT: usize = 20;

/// The key that chooses speakers.
const SPEAKER_KEY: &str = "speaker";

/// The answer to what a speaker tells.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct TellReply {
    /// Another gateway spoke for the region meanwhile: the next message must tell everything.
    pub(super) again: bool,
}

/// What another region has been told.
#[derive(Default)]
struct RegionMemory {
    totals: TotalsMap,
    contacts: Vec<GatewayContact>,
    messages: u32,
    delay: Duration,
}

/// Starts a task for every region that this gateway speaks to and that has none.
pub(super) fn ensure_tasks(shared: &Rc<RelayShared>) {
    for region in shared.regions.names() {
        if !shared.speaks_to(&region) || !shared.spoken_to.borrow_mut().insert(region.clone()) {
            continue;
        }
        let task = run(shared.clone(), region);
        shared.seams.context.spawner.spawn(Box::pin(task));
    }
}

/// Tells `region` of the own one for as long as this gateway is the one to do so.
async fn run(shared: Rc<RelayShared>, region: RegionName) {
    let mut memory = RegionMemory::default();
    while shared.speaks_to(&region) {
        if let Some(address) = shared.listener(&region) {
            tell(&shared, address, &mut memory).await;
        }
        let tick = shared.config.region_interval;
        let jitter = 1.0 - 0.1 * shared.seams.context.random.unit();
        shared.seams.context.clock.sleep(tick.mul_f64(jitter)).await;
    }
    shared.spoken_to.borrow_mut().remove(&region);
}

async fn tell(shared: &RelayShared, to: SocketAddr, memory: &mut RegionMemory) {
    let body = Bytes::from(encode(&memory.delta(shared)));
    let begun = shared.now();
    let limit = shared.config.region_timeout;
    match shared.seams.transport.call(to, "backend.region", body, limit).await {
        Ok(reply) => {
            let delay = shared.now().since(begun) / 2;
            if decode::<TellReply>(&reply).is_ok_and(|reply| reply.again) {
                *memory = RegionMemory::default();
            }
            memory.delay = delay;
        }
        Err(_) => {
            shared.regions.note_failure(to);
            *memory = RegionMemory::default();
        }
    }
}

impl RegionMemory {
    fn delta(&mut self, shared: &RelayShared) -> RegionDelta {
        self.messages += 1;
        if self.messages >= shared.config.full_refresh_messages {
            *self = Self { delay: self.delay, ..Self::default() };
        }
        let contacts = shared.own_contacts();
        let changed = contacts != self.contacts;
        self.contacts = contacts;
        RegionDelta {
            region: shared.own_region(),
            age: 0,
            delay_millis: u16::try_from(self.delay.as_millis()).unwrap_or(u16::MAX),
            totals: TotalsDelta::between(&mut self.totals, &shared.region_totals()),
            contacts: changed.then(|| self.contacts.clone()),
        }
    }
}

impl RelayShared {
    /// The gateways that speak for the region.
    fn speakers(&self) -> Vec<VmName> {
        let members = self.members.preferred();
        ranked(SPEAKER_KEY, &members).into_iter().take(SPEAKER_LIMIT).cloned().collect()
    }

    pub(super) fn is_speaker(&self, vm: &VmName) -> bool {
        self.speakers().contains(vm)
    }

    fn speaks_to(&self, region: &RegionName) -> bool {
        let others: Vec<String> = self.regions.names().into_iter().map(String::from).collect();
        let speakers = self.speakers();
        let mut dealt = deal(others, &speakers).into_iter();
        dealt.any(|(other, speaker)| other == region.as_str() && speaker == self.members.own())
    }

    /// The gateway of `region` that hears of the own region.
    fn listener(&self, region: &RegionName) -> Option<SocketAddr> {
        let own = self.own_region();
        let mut others: Vec<String> = self.regions.names().into_iter().map(String::from).collect();
        others.retain(|other| other != region.as_str());
        others.push(own.as_str().to_owned());
        others.sort();
        let mut contacts = self.regions.contacts(region);
        contacts.sort();
        let failed = |c: &GatewayContact| self.regions.has_failed(c.peer_address);
        if !contacts.iter().all(failed) {
            contacts.retain(|contact| !failed(contact));
        }
        let mut dealt = deal(others, &contacts).into_iter();
        let found = dealt.find(|(other, _)| other == own.as_str());
        found.map(|(_, contact)| contact.peer_address)
    }

    /// Whom other regions may turn to.
    pub(super) fn own_contacts(&self) -> Vec<GatewayContact> {
        let records = self.speakers().into_iter().filter_map(|vm| self.members.record(&vm));
        records.map(|record| record.contact()).collect()
    }

    /// What the region offers to others.
    fn region_totals(&self) -> TotalsMap {
        let mut sum = self.table.totals(&[Origin::Direct, Origin::Row]);
        add_totals(&mut sum, &self.row_totals.sum(&self.plan()));
        sum.values_mut().for_each(|totals| *totals = totals.stated());
        sum
    }

    /// The gateways of `region` to turn to, in an order of this gateway's own.
    pub(super) fn spread_contacts(&self, region: &RegionName) -> Vec<GatewayContact> {
        let own = self.members.own().as_str();
        let mut contacts = self.regions.contacts(region);
        let failed = |c: &GatewayContact| self.regions.has_failed(c.peer_address);
        contacts.sort_by_key(|c| (failed(c), Reverse(score(own, c.vm.as_str()))));
        contacts
    }

    /// Whom to turn to in each region, for a gateway of another region that knows nobody.
    pub(super) fn known_contacts(&self) -> Vec<RegionDelta> {
        let delta = |region: RegionName, contacts: Vec<GatewayContact>| RegionDelta {
            region,
            age: u8::MAX,
            delay_millis: 0,
            totals: TotalsDelta::default(),
            contacts: Some(contacts),
        };
        let others = self.regions.names().into_iter();
        let others = others.map(|region| {
            let contacts = self.regions.contacts(&region);
            delta(region, contacts)
        });
        others.chain([delta(self.own_region(), self.own_contacts())]).collect()
    }

    /// Takes note of gateways that a gateway of another region named. Those of the own region are
    /// worth a try: when all that the settings name are down, this is the only way to find them.
    pub(super) fn introduce(self: &Rc<Self>, regions: &[RegionDelta]) {
        let own = self.own_region();
        for delta in regions {
            let contacts = delta.contacts.clone().unwrap_or_default();
            if delta.region == own {
                *self.hints.borrow_mut() = contacts.iter().map(|c| c.peer_address).collect();
            } else {
                self.regions.introduce(&delta.region, contacts);
            }
        }
        ensure_tasks(self);
    }

    /// Whether the region of this seed is heard of anyway.
    pub(super) fn is_in_touch(&self, seed: &SocketAddr) -> bool {
        let foreign = self.foreign_seeds.borrow();
        foreign.get(seed).is_some_and(|region| self.regions.is_reachable(region))
    }
}
