//! Region reports: one task for each other region to which this gateway reports.
//!
//! Up to 20 gateways, chosen by rendezvous hash, are reporters, and the other regions are
//! distributed evenly among them, which bounds the load of each gateway. They are also the contacts
//! of the region for other regions. When a reporter fails, the next one in rank takes over its
//! regions and sends them full reports.

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

/// Maximum number of reporters. The design size has 19 other regions.
const REPORTER_LIMIT: usize = 20;

/// Rendezvous key for the choice of reporters.
const REPORTER_KEY: &str = "speaker";

/// Reply to a region report.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ReportReply {
    /// Another gateway has reported for the region in the meantime. The next report must be full.
    #[serde(rename = "again")]
    pub(super) resend_all: bool,
}

/// State last sent to another region.
#[derive(Default)]
struct SentReport {
    totals: TotalsMap,
    contacts: Vec<GatewayContact>,
    messages: u32,
    delay: Duration,
}

/// Starts a task for every region to which this gateway reports and that has none.
pub(super) fn ensure_tasks(shared: &Rc<RelayShared>) {
    for region in shared.regions.names() {
        if !shared.reports_to(&region)
            || !shared.reported_regions.borrow_mut().insert(region.clone())
        {
            continue;
        }
        let task = run(shared.clone(), region);
        shared.dependencies.context.spawner.spawn(Box::pin(task));
    }
}

/// Reports to `region` for as long as this gateway is its reporter.
async fn run(shared: Rc<RelayShared>, region: RegionName) {
    let mut sent = SentReport::default();
    while shared.reports_to(&region) {
        if let Some(address) = shared.report_receiver(&region) {
            send_report(&shared, address, &mut sent).await;
        }
        let interval = shared.config.region_interval;
        let jitter = 1.0 - 0.1 * shared.dependencies.context.random.unit();
        shared.dependencies.context.clock.sleep(interval.mul_f64(jitter)).await;
    }
    shared.reported_regions.borrow_mut().remove(&region);
}

async fn send_report(shared: &RelayShared, to: SocketAddr, sent: &mut SentReport) {
    let body = Bytes::from(encode(&sent.delta(shared)));
    let started = shared.now();
    let timeout = shared.config.region_timeout;
    match shared.dependencies.transport.call(to, "backend.region", body, timeout).await {
        Ok(reply) => {
            let delay = shared.now().since(started) / 2;
            if decode::<ReportReply>(&reply).is_ok_and(|reply| reply.resend_all) {
                *sent = SentReport::default();
            }
            sent.delay = delay;
        }
        Err(_) => {
            shared.regions.note_failure(to);
            *sent = SentReport::default();
        }
    }
}

impl SentReport {
    fn delta(&mut self, shared: &RelayShared) -> RegionDelta {
        self.messages += 1;
        if self.messages >= shared.config.full_refresh_messages {
            *self = Self { delay: self.delay, ..Self::default() };
        }
        let contacts = shared.local_contacts();
        let changed = contacts != self.contacts;
        self.contacts = contacts;
        RegionDelta {
            region: shared.local_region(),
            age: 0,
            delay_millis: u16::try_from(self.delay.as_millis()).unwrap_or(u16::MAX),
            totals: TotalsDelta::between(&mut self.totals, &shared.region_totals()),
            contacts: changed.then(|| self.contacts.clone()),
        }
    }
}

impl RelayShared {
    /// Returns the gateways that report for this region.
    fn reporters(&self) -> Vec<VmName> {
        let members = self.members.preferred();
        ranked(REPORTER_KEY, &members).into_iter().take(REPORTER_LIMIT).cloned().collect()
    }

    pub(super) fn is_reporter(&self, vm: &VmName) -> bool {
        self.reporters().contains(vm)
    }

    fn reports_to(&self, region: &RegionName) -> bool {
        let others: Vec<String> = self.regions.names().into_iter().map(String::from).collect();
        let reporters = self.reporters();
        let mut assignments = deal(others, &reporters).into_iter();
        assignments.any(|(other, reporter)| {
            other == region.as_str() && reporter == self.members.local_vm()
        })
    }

    /// Returns the gateway of `region` that receives the reports of this region.
    fn report_receiver(&self, region: &RegionName) -> Option<SocketAddr> {
        let local = self.local_region();
        let mut others: Vec<String> = self.regions.names().into_iter().map(String::from).collect();
        others.retain(|other| other != region.as_str());
        others.push(local.as_str().to_owned());
        others.sort();
        let mut contacts = self.regions.contacts(region);
        contacts.sort();
        let failed = |c: &GatewayContact| self.regions.has_failed(c.peer_address);
        if !contacts.iter().all(failed) {
            contacts.retain(|contact| !failed(contact));
        }
        let mut assignments = deal(others, &contacts).into_iter();
        let found = assignments.find(|(other, _)| other == local.as_str());
        found.map(|(_, contact)| contact.peer_address)
    }

    /// Returns the contacts of this region for other regions.
    pub(super) fn local_contacts(&self) -> Vec<GatewayContact> {
        let records = self.reporters().into_iter().filter_map(|vm| self.members.record(&vm));
        records.map(|record| record.contact()).collect()
    }

    /// Returns the totals of this region that are offered to other regions.
    fn region_totals(&self) -> TotalsMap {
        let mut sum = self.table.totals(&[Origin::Direct, Origin::Row]);
        add_totals(&mut sum, &self.row_totals.sum(&self.plan()));
        sum.values_mut().for_each(|totals| *totals = totals.without_reserve());
        sum
    }

    /// Returns the contacts of `region` in an order specific to this gateway, recently failed ones
    /// last.
    pub(super) fn ordered_contacts(&self, region: &RegionName) -> Vec<GatewayContact> {
        let local = self.members.local_vm().as_str();
        let mut contacts = self.regions.contacts(region);
        let failed = |c: &GatewayContact| self.regions.has_failed(c.peer_address);
        contacts.sort_by_key(|c| (failed(c), Reverse(score(local, c.vm.as_str()))));
        contacts
    }

    /// Returns the contacts of every known region, for a gateway of another region that knows none.
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
        others.chain([delta(self.local_region(), self.local_contacts())]).collect()
    }

    /// Stores contacts returned by a gateway of another region. Contacts in this region are kept as
    /// hints: if all seeds are down, they are the only way to find the gateways of this region.
    pub(super) fn add_contacts(self: &Rc<Self>, regions: &[RegionDelta]) {
        let local = self.local_region();
        for delta in regions {
            let contacts = delta.contacts.clone().unwrap_or_default();
            if delta.region == local {
                *self.address_hints.borrow_mut() =
                    contacts.iter().map(|c| c.peer_address).collect();
            } else {
                self.regions.add_contacts(&delta.region, contacts);
            }
        }
        ensure_tasks(self);
    }

    /// Returns whether `seed` belongs to another region that is reachable.
    pub(super) fn is_seed_region_reachable(&self, seed: &SocketAddr) -> bool {
        let remote_seeds = self.remote_seeds.borrow();
        remote_seeds.get(seed).is_some_and(|region| self.regions.is_reachable(region))
    }
}
