//! A deployment of gateways that share quotas, in virtual time.

#![allow(dead_code)] // Each test program uses a part of it.

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

/// The step of virtual time.
pub(crate) const STEP_MS: u64 = 20;

/// Gateways of a region are told this often, in steps.
const OWN_STEPS: u64 = 1;

/// How often the gateways of a region that do so tell other regions, in steps.
const SPEAKER_STEPS: [u64; 2] = [3, 3];

/// The fleet is looked at this often, in steps.
const PLACE_STEPS: u64 = 25;

/// One way between two regions, in steps.
const AWAY_STEPS: u64 = 3;

/// How far beyond a limit a deployment may come.
pub(crate) const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: Duration::from_secs(8), over: 0.1, slack: 140_000.0 };

pub(crate) const REVOCATION: Duration = Duration::from_secs(5);

/// A VM that has just started keeps its clock.
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

/// One gateway.
pub(crate) struct PlayedGateway {
    pub(crate) region: usize,
    vm: VmName,
    ledger: QuotaLedger,
    run: u64,
    is_killed: bool,
    /// Until when it does not run.
    down_until: u64,
    /// The last step in which it had a way to control processes.
    touched: u64,
}

/// What is on its way.
struct Message {
    due: u64,
    to: usize,
    notice: SpendNotice,
}

/// What is wrong with the links.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkTrouble {
    /// Of 1,000 messages.
    pub(crate) lost: u64,
    /// Whether the regions are cut off from each other.
    pub(crate) are_regions_cut: bool,
}

/// A deployment.
pub(crate) struct QuotaPlay {
    pub(crate) gateways: Vec<PlayedGateway>,
    pub(crate) random: SeededRandom,
    pub(crate) trouble: LinkTrouble,
    pub(crate) workspace: TrafficWorkspace,
    regions: usize,
    messages: Vec<Message>,
    step: u64,
    /// What ran: milliseconds, units.
    pub(crate) ran: Vec<(u64, u64)>,
    /// What a bucket without any delay would have let in.
    ideal_level: f64,
    /// Units that it lets in, and of these units refused all the same.
    pub(crate) owed: u64,
    pub(crate) refused_below: u64,
}

fn region(index: usize) -> RegionName {
    RegionName::try_from(format!("region-{index}")).expect("a name")
}

impl QuotaPlay {
    pub(crate) fn new(seed: u64, regions: usize, per_region: usize, rate: f64) -> Self {
        let workspace = workspace(rate, rate);
        let mut play = Self {
            gateways: Vec::new(),
            random: SeededRandom::new(seed),
            trouble: LinkTrouble::default(),
            regions,
            messages: Vec::new(),
            step: 0,
            ran: Vec::new(),
            ideal_level: 0.0,
            owed: 0,
            refused_below: 0,
            workspace,
        };
        for index in 0..regions * per_region {
            let vm = VmName::try_from(format!("vm-{index}")).expect("a name");
            let region_index = index % regions;
            let ledger = play.ledger(&vm, region_index, 1);
            let (run, down_until, touched) = (1, 0, 0);
            let gateway = PlayedGateway {
                region: region_index,
                vm,
                ledger,
                run,
                is_killed: false,
                down_until,
                touched,
            };
            play.gateways.push(gateway);
        }
        play
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

    /// Ends a gateway's process; another run begins after `millis`.
    pub(crate) fn kill(&mut self, index: usize, millis: u64) {
        let gateway = &mut self.gateways[index];
        gateway.is_killed = true;
        gateway.down_until = self.step + 1 + millis / STEP_MS;
    }

    /// Begins a gateway's next run.
    fn restart(&mut self, index: usize) {
        let (vm, region, run) = {
            let gateway = &self.gateways[index];
            (gateway.vm.clone(), gateway.region, gateway.run + 1)
        };
        let ledger = self.ledger(&vm, region, run);
        let gateway = &mut self.gateways[index];
        (gateway.ledger, gateway.run, gateway.is_killed) = (ledger, run, false);
    }

    /// Has a gateway stand still.
    pub(crate) fn freeze(&mut self, index: usize, millis: u64) {
        self.gateways[index].down_until = self.step + millis / STEP_MS;
    }

    fn is_up(&self, index: usize) -> bool {
        self.gateways[index].down_until <= self.step
    }

    /// One step: messages arrive, the fleet is looked at, others are told.
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
            if !self.trouble.are_regions_cut || self.gateways[index].region == 0 {
                self.gateways[index].touched = self.step;
            }
            if (self.step + index as u64).is_multiple_of(PLACE_STEPS) {
                self.look(index);
            }
            self.tell(index);
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
            if let Some(relayed) = self.gateways[to].ledger.note(notice, now) {
                self.tell_region(to, &relayed);
            }
        }
    }

    /// What the fleet's news say: all gateways, however long they have been cut off.
    fn look(&mut self, index: usize) {
        let now = self.now();
        let own = self.gateways[index].region;
        let vms = self.gateways.iter().filter(|g| g.region == own).map(|g| g.vm.clone()).collect();
        let others: BTreeSet<_> = (0..self.regions).filter(|r| *r != own).map(region).collect();
        self.gateways[index].ledger.set_gateways(vms, &others, now);
    }

    fn tell(&mut self, index: usize) {
        let now = self.now();
        if (self.step + index as u64).is_multiple_of(OWN_STEPS) {
            for spend in self.gateways[index].ledger.own_report(now) {
                self.tell_region(index, &SpendNotice::Own(spend));
            }
        }
        if let Some(sign) = self.gateways[index].ledger.heartbeat(now) {
            self.tell_region(index, &SpendNotice::Own(sign));
        }
        let Some(steps) = SPEAKER_STEPS.get(self.rank(index)) else { return };
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
                if !self.trouble.are_regions_cut {
                    self.send(listener, AWAY_STEPS, &notice);
                }
            }
        }
    }

    /// How many gateways of the region tell other regions before this one does.
    fn rank(&self, index: usize) -> usize {
        let own = &self.gateways[index];
        self.gateways[..index].iter().filter(|g| g.region == own.region).count()
    }

    fn tell_region(&mut self, index: usize, notice: &SpendNotice) {
        let own = self.gateways[index].region;
        for to in 0..self.gateways.len() {
            if to != index && self.gateways[to].region == own {
                self.send(Some(to), 1, notice);
            }
        }
    }

    fn send(&mut self, to: Option<usize>, steps: u64, notice: &SpendNotice) {
        let Some(to) = to else { return };
        if self.random.below(1_000) >= self.trouble.lost {
            self.messages.push(Message { due: self.step + steps, to, notice: notice.clone() });
        }
    }

    /// A request comes to a gateway. `Some` where it was let in.
    pub(crate) fn request(&mut self, index: usize, units: u64) -> Option<QuotaCharge> {
        let lease = REVOCATION.as_millis() as u64 / STEP_MS;
        let has_contact = self.step - self.gateways[index].touched < lease;
        if !self.is_up(index) || !has_contact {
            return None;
        }
        let is_owed = self.ideal_level > 0.0;
        if is_owed {
            self.ideal_level -= units as f64;
            self.owed += units;
        }
        let now = self.now();
        match self.gateways[index].ledger.charge(&self.workspace.name, units, now) {
            Ok(charge) => {
                self.ran.push((self.millis(), units));
                Some(charge)
            }
            Err(_) => {
                if is_owed {
                    self.refused_below += units;
                }
                None
            }
        }
    }

    /// Gives back what a request took that has not run after all.
    pub(crate) fn refund(&mut self, index: usize, charge: QuotaCharge, units: u64) {
        let now = self.now();
        self.gateways[index].ledger.refund(charge, now);
        let at = self.ran.iter().rposition(|(_, ran)| *ran == units).expect("it ran");
        self.ran.remove(at);
    }

    /// The most units that ran in any window, and when it began.
    pub(crate) fn most_in(&self, window_ms: u64) -> (u64, u64) {
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
