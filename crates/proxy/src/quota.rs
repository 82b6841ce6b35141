//! Quotas of workspaces at this gateway: charges of requests, and usage reports to other gateways.

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

/// Time for which usage is batched before it is reported to the gateways of the region.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Interval of usage reports to other regions.
const REGION_INTERVAL: Duration = Duration::from_millis(50);

/// The list of report targets is refreshed after this many report intervals.
const TARGET_REFRESH_ROUNDS: u32 = 10;

/// Number of gateways of a region that report to other regions. One of them may just have been
/// lost.
const REGION_REPORTERS: usize = 2;

/// Most gateways of the own region that get reports.
const MAX_PEERS: usize = 40;

/// Minimum `retry-after`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Callers of one workspace are spread over this additional time, so that they do not come back all
/// at once.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(500);

/// Parts of a quota enforcer.
pub(crate) struct QuotaParts {
    pub(crate) context: ProcessContext,
    pub(crate) fleet: Rc<FleetFollower>,
    pub(crate) notices: Rc<dyn NoticeSender>,
    pub(crate) events: Rc<dyn EventSink>,
    pub(crate) metrics: Rc<MetricSet>,
    pub(crate) revocation: Option<Duration>,
    pub(crate) tolerance: QuotaTolerance,
    /// Regions of the deployment.
    pub(crate) regions: BTreeSet<RegionName>,
}

/// Receivers of this gateway's usage reports.
#[derive(Default)]
struct ReportTargets {
    /// Other gateways of the own region.
    peers: Vec<SocketAddr>,
    /// One gateway of each other region, if this one reports for its region.
    regions: Vec<SocketAddr>,
}

/// Enforces the quotas of workspaces at one gateway.
pub(crate) struct QuotaEnforcer {
    parts: QuotaParts,
    ledger: RefCell<QuotaLedger>,
    /// Log index of the configuration whose quotas the ledger has.
    index: Cell<u64>,
    targets: RefCell<ReportTargets>,
    is_scheduled: Cell<bool>,
}

/// The charge of a request. Refunded on drop if the request has not run.
pub(crate) struct ChargeGuard {
    enforcer: Rc<QuotaEnforcer>,
    charge: Option<QuotaCharge>,
    is_sent: bool,
}

impl ChargeGuard {
    /// Notes that the request is about to be sent and may have run from now on.
    pub(crate) fn note_sent(&mut self) {
        self.is_sent = true;
    }

    /// Notes that the send failed and the request has certainly not run in any attempt.
    pub(crate) fn note_not_run(&mut self) {
        self.is_sent = false;
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        if let Some(charge) = self.charge.take().filter(|_| !self.is_sent) {
            self.enforcer.refund(charge);
        }
    }
}

impl QuotaEnforcer {
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
            targets: RefCell::default(),
            is_scheduled: Cell::new(false),
        })
    }

    /// Follows the configuration and the fleet and sends reports, for as long as the process runs.
    pub(crate) fn start(self: &Rc<Self>) {
        let enforcer = Rc::downgrade(self);
        self.parts.fleet.watch(Rc::new(move |is_structural| {
            if let Some(enforcer) = enforcer.upgrade().filter(|_| is_structural) {
                enforcer.refresh_quotas();
            }
        }));
        let enforcer = Rc::clone(self);
        self.parts.context.spawner.spawn(Box::pin(async move {
            let mut rounds = 0_u32;
            loop {
                if rounds.is_multiple_of(TARGET_REFRESH_ROUNDS) {
                    enforcer.refresh_targets();
                }
                enforcer.report_to_regions();
                enforcer.send_heartbeat();
                rounds = rounds.wrapping_add(1);
                enforcer.parts.context.clock.sleep(REGION_INTERVAL).await;
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
        self.refresh_targets();
    }

    fn refresh_targets(&self) {
        let now = self.parts.context.clock.now();
        let own = self.parts.fleet.profile();
        let (gateways, peers) = self.parts.fleet.read(|view| {
            let gateways: Vec<GatewayRow> =
                view.gateways(now).filter(|row| !row.is_silent).collect();
            (gateways, view.neighbours(own, MAX_PEERS, now))
        });
        let is_own = |row: &&GatewayRow| row.profile.region == own.region;
        let vms = gateways.iter().filter(is_own).map(|row| row.profile.vm.clone()).collect();
        let regions: BTreeSet<RegionName> = gateways
            .iter()
            .map(|row| &row.profile.region)
            .filter(|r| **r != own.region)
            .cloned()
            .collect();
        let region_targets = match self.reports_to_regions(&gateways) {
            true => {
                regions.iter().filter_map(|region| self.region_target(&gateways, region)).collect()
            }
            false => Vec::new(),
        };
        self.ledger.borrow_mut().set_gateways(vms, &regions, self.boot());
        self.targets.replace(ReportTargets { peers, regions: region_targets });
    }

    /// Returns `true` if this gateway is one of those that report to other regions, selected by
    /// rendezvous hashing.
    fn reports_to_regions(&self, gateways: &[GatewayRow]) -> bool {
        let own = self.parts.fleet.profile();
        let rank = |row: &GatewayRow| score(own.region.as_str(), row.profile.vm.as_str());
        let own_rank = score(own.region.as_str(), own.vm.as_str());
        let is_own = |row: &&GatewayRow| row.profile.region == own.region;
        let before = gateways.iter().filter(is_own).filter(|row| rank(row) > own_rank).count();
        before < REGION_REPORTERS
    }

    /// Returns the gateway of another region that gets reports and relays them there.
    fn region_target(&self, gateways: &[GatewayRow], region: &RegionName) -> Option<SocketAddr> {
        let own = self.parts.fleet.profile().vm.as_str();
        let rows = gateways.iter().filter(|row| row.profile.region == *region);
        let chosen = rows.max_by_key(|row| score(own, row.profile.vm.as_str()))?;
        Some(chosen.profile.peer_address)
    }

    /// Charges a request to its workspace.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before the next try if the workspace is over its quota.
    pub(crate) fn charge(
        self: &Rc<Self>,
        id: &CallerRequestId,
        workspace: &TrafficWorkspace,
        tokens: Option<(u32, u32)>,
    ) -> Result<ChargeGuard, Duration> {
        let Some(quota) = workspace.quota else {
            return Ok(ChargeGuard { enforcer: Rc::clone(self), charge: None, is_sent: false });
        };
        let units = request_weight(quota.unit, tokens);
        let charged = self.ledger.borrow_mut().charge(&workspace.name, units, self.boot());
        match charged {
            Ok(charge) => {
                self.schedule();
                Ok(ChargeGuard { enforcer: Rc::clone(self), charge: Some(charge), is_sent: false })
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
        let spread = RETRY_AFTER_SPREAD.mul_f64(self.parts.context.random.unit());
        let wait = refusal.wait.max(MIN_RETRY_AFTER) + spread;
        self.parts.metrics.over_quota(&workspace.name);
        let event = EventDraft::new("request.over_quota").field("request", id);
        let event = event.field("workspace", &workspace.name).field("units", units);
        let event = event.field("level", refusal.level.round());
        let event = event.field("rate", refusal.quota.rate).field("burst", refusal.quota.burst);
        self.parts.events.emit(event.millis("retry_after_ms", wait));
        wait
    }

    fn refund(self: &Rc<Self>, charge: QuotaCharge) {
        self.ledger.borrow_mut().refund(charge, self.boot());
        self.schedule();
    }

    /// Schedules a batched report to the gateways of the region.
    fn schedule(self: &Rc<Self>) {
        if self.is_scheduled.replace(true) {
            return;
        }
        let enforcer = Rc::clone(self);
        self.parts.context.spawner.spawn(Box::pin(async move {
            enforcer.parts.context.clock.sleep(BATCH_DELAY).await;
            enforcer.is_scheduled.set(false);
            let reports = enforcer.ledger.borrow_mut().own_report(enforcer.boot());
            for spend in reports {
                enforcer.send(&enforcer.targets.borrow().peers, &SpendNotice::Own(spend));
            }
        }));
    }

    fn report_to_regions(&self) {
        let targets = self.targets.borrow();
        if targets.regions.is_empty() || self.ledger.borrow().is_empty() {
            return;
        }
        let reports = self.ledger.borrow_mut().region_report(self.boot());
        for spend in reports {
            let notice = SpendNotice::Region { spend, is_relayed: false };
            self.send(&targets.regions, &notice);
        }
    }

    fn send_heartbeat(&self) {
        if self.ledger.borrow().is_empty() {
            return;
        }
        let heartbeat = self.ledger.borrow_mut().heartbeat(self.boot());
        if let Some(heartbeat) = heartbeat {
            self.send(&self.targets.borrow().peers, &SpendNotice::Own(heartbeat));
        }
    }

    fn send(&self, to: &[SocketAddr], notice: &SpendNotice) {
        self.parts.notices.notify(to, &encode_spend(notice));
    }

    /// Handles a report of another gateway.
    pub(crate) fn handle_notice(&self, notice: SpendNotice) {
        let relayed = self.ledger.borrow_mut().receive(notice, self.boot());
        if let Some(relayed) = relayed {
            self.send(&self.targets.borrow().peers, &relayed);
        }
    }
}
