//! Simulation of a deployment of gateways that share quotas, in virtual time.

#![allow(dead_code)] // Each test binary uses a part of it.

use {
    gullglade_quota::{QuotaCharge, QuotaLedger, QuotaSettings, QuotaTolerance, SpendNotice},
    gullglade_traffic::{QuotaUnit, TrafficWorkspace, WorkspaceQuota},
    gullglade_units::{
        BootTime, RandomSource, RegionName, SeededRandom, VmName, WorkspaceName, rendezvous::score,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Duration of one step of virtual time.
pub(crate) const STEP_MS: u64 = 20;

/// Interval of reports to gateways of the same region, in steps.
const OWN_REPORT_STEPS: u64 = 1;

/// Intervals of reports to other regions, in steps, for each gateway of a region that sends them.
const REGION_REPORT_STEPS: [u64; 2] = [3, 3];

/// Interval of membership updates, in steps.
const MEMBERSHIP_STEPS: u64 = 25;

/// One-way delay between two regions, in steps.
const REGION_DELAY_STEPS: u64 = 3;

/// Maximum excess of a deployment over a limit.
pub(crate) const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: Duration::from_secs(8), over: 0.1, slack: 140_000.0 };

pub(crate) const REVOCATION: Duration = Duration::from_secs(5);

/// Initial time of the VMs' clocks. A gateway that restarts does not reset it.
const CLOCK_START: Duration = Duration::from_secs(60);

pub(crate) fn name(text: &str) -> WorkspaceName {
    WorkspaceName::try_from(text).expect("a name")
}

pub(crate) fn workspace(rate: f64, burst: f64) -> TrafficWorkspace {
    TrafficWorkspace {
        name: name("clerks"),
        keys: Vec::new(),
        priority: None,
        homes: Vec::new(),
        quota: Some(WorkspaceQuota { unit: QuotaUnit::Requests, rate, burst }),
    }
}

/// A simulated gateway.
pub(crate) struct SimulatedGateway {
    pub(crate) region: usize,
    vm: VmName,
    ledger: QuotaLedger,
    run: u64,
    is_killed: bool,
    /// The gateway does not run before this step.
    down_until: u64,
    /// Last step in which the gateway reached the control processes.
    last_contact: u64,
}

/// A message in transit.
struct Message {
    due: u64,
    to: usize,
    notice: SpendNotice,
}

/// Faults of the links.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkFaults {
    /// Number of lost messages per 1,000.
    pub(crate) lost: u64,
    /// True while the regions are partitioned from each other.
    pub(crate) are_regions_partitioned: bool,
}

/// A simulated deployment.
pub(crate) struct QuotaSimulation {
    pub(crate) gateways: Vec<SimulatedGateway>,
    pub(crate) random: SeededRandom,
    pub(crate) faults: LinkFaults,
    pub(crate) workspace: TrafficWorkspace,
    regions: usize,
    messages: Vec<Message>,
    step: u64,
    /// Requests that ran: time in milliseconds and units.
    pub(crate) ran: Vec<(u64, u64)>,
    /// Level of an ideal bucket that all gateways share without delay.
    ideal_level: f64,
    /// Units that the ideal bucket admits, and those of them that gateways refused.
    pub(crate) ideal_units: u64,
    pub(crate) refused_ideal_units: u64,
}

fn region(index: usize) -> RegionName {
    RegionName::try_from(format!("region-{index}")).expect("a name")
}

impl QuotaSimulation {
    pub(crate) fn new(seed: u64, regions: usize, per_region: usize, rate: f64) -> Self {
        let workspace = workspace(rate, rate);
        let mut simulation = Self {
            gateways: Vec::new(),
            random: SeededRandom::new(seed),
            faults: LinkFaults::default(),
            regions,
            messages: Vec::new(),
            step: 0,
            ran: Vec::new(),
            ideal_level: 0.0,
            ideal_units: 0,
            refused_ideal_units: 0,
            workspace,
        };
        for index in 0..regions * per_region {
            let vm = VmName::try_from(format!("vm-{index}")).expect("a name");
            let region_index = index % regions;
            let ledger = simulation.ledger(&vm, region_index, 1);
            let (run, down_until, last_contact) = (1, 0, 0);
            let gateway = SimulatedGateway {
                region: region_index,
                vm,
                ledger,
                run,
                is_killed: false,
                down_until,
                last_contact,
            };
            simulation.gateways.push(gateway);
        }
        simulation
    }

    fn ledger(&self, vm: &VmName, region_index: usize, run: u64) -> QuotaLedger {
        let settings = QuotaSettings {
            vm: vm.clone(),
            region: region(region_index),
            regions: (0..self.regions).map(region).collect(),
            run,
            revocation: Some(REVOCATION),
            tolerance: TOLERANCE,
        };
        let mut ledger = QuotaLedger::new(settings, self.now());
        ledger.set_quotas([&self.workspace].into_iter(), self.now());
        ledger
    }

    pub(crate) fn millis(&self) -> u64 {
        self.step * STEP_MS
    }

    fn now(&self) -> BootTime {
        BootTime(CLOCK_START + Duration::from_millis(self.millis()))
    }

    /// Changes the limit at all gateways.
    pub(crate) fn set_quota(&mut self, rate: f64) {
        self.workspace = workspace(rate, rate);
        let now = self.now();
        for gateway in &mut self.gateways {
            gateway.ledger.set_quotas([&self.workspace].into_iter(), now);
        }
    }

    /// Kills a gateway's process. Another run starts after `millis`.
    pub(crate) fn kill(&mut self, index: usize, millis: u64) {
        let gateway = &mut self.gateways[index];
        gateway.is_killed = true;
        gateway.down_until = self.step + 1 + millis / STEP_MS;
    }

    /// Starts a gateway's next run.
    fn restart(&mut self, index: usize) {
        let (vm, region, run) = {
            let gateway = &self.gateways[index];
            (gateway.vm.clone(), gateway.region, gateway.run + 1)
        };
        let ledger = self.ledger(&vm, region, run);
        let gateway = &mut self.gateways[index];
        (gateway.ledger, gateway.run, gateway.is_killed) = (ledger, run, false);
    }

    /// Suspends a gateway for `millis`.
    pub(crate) fn suspend(&mut self, index: usize, millis: u64) {
        self.gateways[index].down_until = self.step + millis / STEP_MS;
    }

    fn is_up(&self, index: usize) -> bool {
        self.gateways[index].down_until <= self.step
    }

    /// Runs one step: delivers messages, updates the membership and sends reports.
    pub(crate) fn advance(&mut self) {
        self.step += 1;
        let rate = self.workspace.quota.map_or(0.0, |quota| quota.rate);
        self.ideal_level = (self.ideal_level + rate * STEP_MS as f64 / 1_000.0).min(rate);
        self.deliver();
        for index in 0..self.gateways.len() {
            if !self.is_up(index) {
                continue;
            }
            if self.gateways[index].is_killed {
                self.restart(index);
            }
            if !self.faults.are_regions_partitioned || self.gateways[index].region == 0 {
                self.gateways[index].last_contact = self.step;
            }
            if (self.step + index as u64).is_multiple_of(MEMBERSHIP_STEPS) {
                self.update_membership(index);
            }
            self.send_reports(index);
        }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|m: &Message| m.due <= step);
        self.messages = later;
        let due: Vec<Message> = due;
        for Message { to, notice, .. } in due {
            if !self.is_up(to) {
                continue;
            }
            let now = self.now();
            if let Some(relayed) = self.gateways[to].ledger.receive(notice, now) {
                self.send_to_region(to, &relayed);
            }
        }
    }

    /// Sets the membership known to a gateway: all gateways, including those partitioned for a long
    /// time.
    fn update_membership(&mut self, index: usize) {
        let now = self.now();
        let own = self.gateways[index].region;
        let vms = self.gateways.iter().filter(|g| g.region == own).map(|g| g.vm.clone()).collect();
        let others: BTreeSet<_> = (0..self.regions).filter(|r| *r != own).map(region).collect();
        self.gateways[index].ledger.set_gateways(vms, &others, now);
    }

    fn send_reports(&mut self, index: usize) {
        let now = self.now();
        if (self.step + index as u64).is_multiple_of(OWN_REPORT_STEPS) {
            for spend in self.gateways[index].ledger.own_report(now) {
                self.send_to_region(index, &SpendNotice::Own(spend));
            }
        }
        if let Some(heartbeat) = self.gateways[index].ledger.heartbeat(now) {
            self.send_to_region(index, &SpendNotice::Own(heartbeat));
        }
        let Some(steps) = REGION_REPORT_STEPS.get(self.rank(index)) else { return };
        if !self.step.is_multiple_of(*steps) {
            return;
        }
        let own = self.gateways[index].region;
        for spend in self.gateways[index].ledger.region_report(now) {
            for other in (0..self.regions).filter(|other| *other != own) {
                let of_other = |i: &usize| self.gateways[*i].region == other;
                let vm = self.gateways[index].vm.as_str();
                let listener = (0..self.gateways.len())
                    .filter(of_other)
                    .max_by_key(|i| score(vm, self.gateways[*i].vm.as_str()));
                let notice = SpendNotice::Region { spend: spend.clone(), is_relayed: false };
                if !self.faults.are_regions_partitioned {
                    self.send(listener, REGION_DELAY_STEPS, &notice);
                }
            }
        }
    }

    /// Returns how many gateways of the region precede this one in reporting to other regions.
    fn rank(&self, index: usize) -> usize {
        let own = &self.gateways[index];
        self.gateways[..index].iter().filter(|g| g.region == own.region).count()
    }

    fn send_to_region(&mut self, index: usize, notice: &SpendNotice) {
        let own = self.gateways[index].region;
        for to in 0..self.gateways.len() {
            if to != index && self.gateways[to].region == own {
                self.send(Some(to), 1, notice);
            }
        }
    }

    fn send(&mut self, to: Option<usize>, steps: u64, notice: &SpendNotice) {
        let Some(to) = to else { return };
        if self.random.below(1_000) >= self.faults.lost {
            self.messages.push(Message { due: self.step + steps, to, notice: notice.clone() });
        }
    }

    /// Sends a request to a gateway. Returns the charge if it is admitted.
    pub(crate) fn request(&mut self, index: usize, units: u64) -> Option<QuotaCharge> {
        let lease = REVOCATION.as_millis() as u64 / STEP_MS;
        let has_contact = self.step - self.gateways[index].last_contact < lease;
        if !self.is_up(index) || !has_contact {
            return None;
        }
        let ideal_admits = self.ideal_level > 0.0;
        if ideal_admits {
            self.ideal_level -= units as f64;
            self.ideal_units += units;
        }
        let now = self.now();
        match self.gateways[index].ledger.charge(&self.workspace.name, units, now) {
            Ok(charge) => {
                self.ran.push((self.millis(), units));
                Some(charge)
            }
            Err(_) => {
                if ideal_admits {
                    self.refused_ideal_units += units;
                }
                None
            }
        }
    }

    /// Refunds the charge of a request that has not run after all.
    pub(crate) fn refund(&mut self, index: usize, charge: QuotaCharge, units: u64) {
        let now = self.now();
        self.gateways[index].ledger.refund(charge, now);
        let at = self.ran.iter().rposition(|(_, ran)| *ran == units).expect("it ran");
        self.ran.remove(at);
    }

    /// Returns the maximum number of units that ran in any window, and the start of that window.
    pub(crate) fn max_in_window(&self, window_ms: u64) -> (u64, u64) {
        let mut sums: BTreeMap<u64, u64> = BTreeMap::new();
        for (at, units) in &self.ran {
            *sums.entry(*at).or_default() += units;
        }
        let mut most = (0, 0);
        for start in sums.keys() {
            let sum = sums.range(start..&(start + window_ms)).map(|(_, units)| units).sum();
            if sum > most.0 {
                most = (sum, *start);
            }
        }
        most
    }
}
