//! The quotas of workspaces at this gateway: charges of requests, and reports to other gateways.

use {
    crate::{CallerRequestId, notice::encode_spend},
    gullglade_event::{EventDraft, EventSink, MetricSet},
    gullglade_fleet::{FleetFollower, GatewayRow},
    gullglade_peer::NoticeSender,
    gullglade_quota::{
        QuotaCharge, QuotaLedger, QuotaRefusal, QuotaSettings, QuotaTolerance, SpendNotice,
        request_weight,
    },
    gullglade_traffic::TrafficWorkspace,
    gullglade_units::{BootTime, ProcessContext, RegionName, rendezvous::score},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Spending is gathered for this long before it is reported to the gateways of the region.
const GATHER: Duration = Duration::from_millis(20);

/// How often it is reported to other regions.
const REGION_INTERVAL: Duration = Duration::from_millis(50);

/// The places of other gateways are read again after so many of these intervals.
const PLACE_ROUNDS: u32 = 10;

/// The gateways of a region that report to other regions. One of them may just have been lost.
const REGION_SPEAKERS: usize = 2;

/// The most gateways of the own region that get reports.
const MOST_PEERS: usize = 40;

/// Callers are asked to come back no sooner than this.
const LEAST_RETRY: Duration = Duration::from_millis(250);

/// Those of one workspace are spread over this much more, so that they do not come back together.
const RETRY_SPREAD: Duration = Duration::from_millis(500);

/// What a quota desk works with.
pub(crate) struct QuotaParts {
    pub(crate) context: ProcessContext,
    pub(crate) fleet: Rc<FleetFollower>,
    pub(crate) notices: Rc<dyn NoticeSender>,
    pub(crate) events: Rc<dyn EventSink>,
    pub(crate) metrics: Rc<MetricSet>,
    pub(crate) revocation: Option<Duration>,
    pub(crate) tolerance: QuotaTolerance,
    /// The regions of the deployment.
    pub(crate) regions: BTreeSet<RegionName>,
}

/// Where this gateway reports what is spent.
#[derive(Default)]
struct ReportTargets {
    /// The other gateways of the region.
    peers: Vec<SocketAddr>,
    /// One gateway of each other region, where this one speaks for its own.
    regions: Vec<SocketAddr>,
}

/// The quotas at one gateway.
pub(crate) struct QuotaDesk {
    parts: QuotaParts,
    ledger: RefCell<QuotaLedger>,
    /// The place in the log of the configuration whose quotas the ledger has.
    index: Cell<u64>,
    places: RefCell<ReportTargets>,
    is_due: Cell<bool>,
}

/// What a request has been charged. Dropped, it gives back what has not run.
pub(crate) struct ChargeGuard {
    desk: Rc<QuotaDesk>,
    charge: Option<QuotaCharge>,
    is_sent: bool,
}

impl ChargeGuard {
    /// The request is about to be sent: from now on it may have run.
    pub(crate) fn note_sent(&mut self) {
        self.is_sent = true;
    }

    /// The send came back, and the request has certainly not run in any.
    pub(crate) fn note_not_run(&mut self) {
        self.is_sent = false;
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        if let Some(charge) = self.charge.take().filter(|_| !self.is_sent) {
            self.desk.give_back(charge);
        }
    }
}

impl QuotaDesk {
    pub(crate) fn new(parts: QuotaParts) -> Rc<Self> {
        let profile = parts.fleet.profile();
        let settings = QuotaSettings {
            vm: profile.vm.clone(),
            region: profile.region.clone(),
            regions: parts.regions.clone(),
            run: profile.run,
            revocation: parts.revocation,
            tolerance: parts.tolerance,
        };
        let ledger = QuotaLedger::new(settings, parts.context.clock.boot());
        Rc::new(Self {
            parts,
            ledger: RefCell::new(ledger),
            index: Cell::new(0),
            places: RefCell::default(),
            is_due: Cell::new(false),
        })
    }

    /// Follows the configuration and the fleet, and sends reports, for as long as the process runs.
    pub(crate) fn start(self: &Rc<Self>) {
        let desk = Rc::downgrade(self);
        self.parts.fleet.watch(Rc::new(move |is_structural| {
            if let Some(desk) = desk.upgrade().filter(|_| is_structural) {
                desk.refresh_quotas();
            }
        }));
        let desk = Rc::clone(self);
        self.parts.context.spawner.spawn(Box::pin(async move {
            let mut rounds = 0_u32;
            loop {
                if rounds.is_multiple_of(PLACE_ROUNDS) {
                    desk.refresh_places();
                }
                desk.report_to_regions();
                desk.send_heartbeat();
                rounds = rounds.wrapping_add(1);
                desk.parts.context.clock.sleep(REGION_INTERVAL).await;
            }
        }));
    }

    fn boot(&self) -> BootTime {
        self.parts.context.clock.boot()
    }

    fn refresh_quotas(&self) {
        let Some(traffic) = self.parts.fleet.traffic() else { return };
        if self.index.replace(traffic.index) == traffic.index {
            return;
        }
        let workspaces = traffic.config.workspaces().iter().map(|workspace| &**workspace);
        self.ledger.borrow_mut().set_quotas(workspaces, self.boot());
        self.refresh_places();
    }

    fn refresh_places(&self) {
        let now = self.parts.context.clock.now();
        let own = self.parts.fleet.profile();
        let (gateways, peers) = self.parts.fleet.read(|view| {
            let gateways: Vec<GatewayRow> =
                view.gateways(now).filter(|row| !row.is_silent).collect();
            (gateways, view.neighbours(own, MOST_PEERS, now))
        });
        let is_own = |row: &&GatewayRow| row.profile.region == own.region;
        let vms = gateways.iter().filter(is_own).map(|row| row.profile.vm.clone()).collect();
        let regions: BTreeSet<RegionName> = gateways
            .iter()
            .map(|row| &row.profile.region)
            .filter(|r| **r != own.region)
            .cloned()
            .collect();
        let listeners = match self.speaks(&gateways) {
            true => regions.iter().filter_map(|region| self.listener(&gateways, region)).collect(),
            false => Vec::new(),
        };
        self.ledger.borrow_mut().set_gateways(vms, &regions, self.boot());
        self.places.replace(ReportTargets { peers, regions: listeners });
    }

    /// Whether this gateway is one of those that report to other regions.
    fn speaks(&self, gateways: &[GatewayRow]) -> bool {
        let own = self.parts.fleet.profile();
        let rank = |row: &GatewayRow| score(own.region.as_str(), row.profile.vm.as_str());
        let own_rank = score(own.region.as_str(), own.vm.as_str());
        let is_own = |row: &&GatewayRow| row.profile.region == own.region;
        let before = gateways.iter().filter(is_own).filter(|row| rank(row) > own_rank).count();
        before < REGION_SPEAKERS
    }

    /// The gateway of another region that gets reports, and relays them there.
    fn listener(&self, gateways: &[GatewayRow], region: &RegionName) -> Option<SocketAddr> {
        let own = self.parts.fleet.profile().vm.as_str();
        let rows = gateways.iter().filter(|row| row.profile.region == *region);
        let chosen = rows.max_by_key(|row| score(own, row.profile.vm.as_str()))?;
        Some(chosen.profile.peer_address)
    }

    /// Charges a request to its workspace; where that is over its quota, when to come back.
    pub(crate) fn charge(
        self: &Rc<Self>,
        id: &CallerRequestId,
        workspace: &TrafficWorkspace,
        tokens: Option<(u32, u32)>,
    ) -> Result<ChargeGuard, Duration> {
        let Some(quota) = workspace.quota else {
            return Ok(ChargeGuard { desk: Rc::clone(self), charge: None, is_sent: false });
        };
        let units = request_weight(quota.unit, tokens);
        let charged = self.ledger.borrow_mut().charge(&workspace.name, units, self.boot());
        match charged {
            Ok(charge) => {
                self.schedule();
                Ok(ChargeGuard { desk: Rc::clone(self), charge: Some(charge), is_sent: false })
            }
            Err(refusal) => Err(self.refuse(id, workspace, units, refusal)),
        }
    }

    fn refuse(
        &self,
        id: &CallerRequestId,
        workspace: &TrafficWorkspace,
        units: u64,
        refusal: QuotaRefusal,
    ) -> Duration {
        let spread = RETRY_SPREAD.mul_f64(self.parts.context.random.unit());
        let wait = refusal.wait.max(LEAST_RETRY) + spread;
        self.parts.metrics.over_quota(&workspace.name);
        let event = EventDraft::new("request.over_quota").field("request", id);
        let event = event.field("workspace", &workspace.name).field("units", units);
        let event = event.field("level", refusal.level.round());
        let event = event.field("rate", refusal.quota.rate).field("burst", refusal.quota.burst);
        self.parts.events.emit(event.millis("retry_after_ms", wait));
        wait
    }

    fn give_back(self: &Rc<Self>, charge: QuotaCharge) {
        self.ledger.borrow_mut().refund(charge, self.boot());
        self.schedule();
    }

    /// Reports to the gateways of the region, gathered.
    fn schedule(self: &Rc<Self>) {
        if self.is_due.replace(true) {
            return;
        }
        let desk = Rc::clone(self);
        self.parts.context.spawner.spawn(Box::pin(async move {
            desk.parts.context.clock.sleep(GATHER).await;
            desk.is_due.set(false);
            let news = desk.ledger.borrow_mut().own_report(desk.boot());
            for spend in news {
                desk.send(&desk.places.borrow().peers, &SpendNotice::Own(spend));
            }
        }));
    }

    fn report_to_regions(&self) {
        let places = self.places.borrow();
        if places.regions.is_empty() || self.ledger.borrow().is_empty() {
            return;
        }
        let news = self.ledger.borrow_mut().region_report(self.boot());
        for spend in news {
            let notice = SpendNotice::Region { spend, is_relayed: false };
            self.send(&places.regions, &notice);
        }
    }

    fn send_heartbeat(&self) {
        if self.ledger.borrow().is_empty() {
            return;
        }
        let heartbeat = self.ledger.borrow_mut().heartbeat(self.boot());
        if let Some(heartbeat) = heartbeat {
            self.send(&self.places.borrow().peers, &SpendNotice::Own(heartbeat));
        }
    }

    fn send(&self, to: &[SocketAddr], notice: &SpendNotice) {
        self.parts.notices.notify(to, &encode_spend(notice));
    }

    /// Takes in a report of another gateway.
    pub(crate) fn note(&self, notice: SpendNotice) {
        let relayed = self.ledger.borrow_mut().receive(notice, self.boot());
        if let Some(relayed) = relayed {
            self.send(&self.places.borrow().peers, &relayed);
        }
    }
}
