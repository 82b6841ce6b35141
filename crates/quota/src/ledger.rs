//! The replicas of all workspaces' buckets at one gateway.

use {
    crate::{
        QuotaSettings, RegionSpend, SpendCount, SpendNotice, VmSpend,
        bucket::{BucketSizes, SharedBucket},
        source::{DecayingSpend, RegionTable, SourceTable},
    },
    gullglade_traffic::{TrafficWorkspace, WorkspaceQuota},
    gullglade_units::{BootTime, RegionName, VmName, WorkspaceName},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// A region without a report for this long is silent. The time allows for two reports and their
/// delay.
const REGION_SILENCE: Duration = Duration::from_millis(180);

/// A gateway of the local region without a report for this long is silent.
const GATEWAY_SILENCE: Duration = Duration::from_secs(1);

/// Interval of the heartbeats of a gateway that has nothing to report.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// A region's share of a limit is not updated while this fraction of it or more is silent.
const MAX_SILENT_FRACTION: f64 = 0.5;

/// Each region's share is estimated as if it had spent the whole limit for this long before.
/// Without this prior, the first region to spend after little spending would get the whole limit as
/// its share.
const SHARE_PRIOR: Duration = Duration::from_secs(1);

/// A region's share of a limit is not updated after this silence either. Partitioned regions keep
/// spending, and each would learn a larger share for itself before it detects the partition.
const MAX_LEARNING_SILENCE: Duration = Duration::from_millis(130);

/// If gateways without contact keep serving, a region without known gateways is assumed to spend
/// for this long.
const MAX_ASSUMED_SPENDING_TIME: Duration = Duration::from_secs(60);

/// Maximum number of counts in one message, so that a datagram holds them with the longest names.
const MAX_COUNTS: usize = 10;

/// The units that a request has taken from its workspace's quota.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the charge of a request that has not run must be refunded"]
pub struct QuotaCharge {
    workspace: WorkspaceName,
    units: u64,
}

/// A request exceeds its workspace's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRefusal {
    /// Time until the bucket has units again if no other request takes any.
    pub wait: Duration,
    /// Level of the bucket. It is negative if requests took more than was left.
    pub level: f64,
    /// The quota.
    pub quota: WorkspaceQuota,
}

/// A spend counter that is reported to other gateways.
#[derive(Debug, Default)]
struct ReportedCount {
    spent: u64,
    reported: u64,
}

impl ReportedCount {
    fn add(&mut self, units: f64) {
        let spent = self.spent as f64 + units;
        self.spent = spent.max(0.0).round() as u64;
    }

    /// Returns the count if it has changed since the last report.
    fn report(&mut self, workspace: &WorkspaceName, level: f64) -> Option<SpendCount> {
        let latest = self.spent as i64 - self.reported as i64;
        self.reported = self.spent;
        let (workspace, level) = (workspace.clone(), level.round() as i64);
        (latest != 0).then_some(SpendCount { workspace, spent: self.spent, latest, level })
    }
}

/// Known spending of one region for a workspace.
#[derive(Debug, Default)]
struct RegionAccount {
    spent: DecayingSpend,
    /// The region's share of the limit, estimated while it reported.
    share: f64,
    /// Fraction of the region that is silent, from 0 to 1.
    silent: f64,
    /// Units that the silent part of the region is assumed to have spent.
    assumed: f64,
}

/// Buckets and spending of one workspace.
#[derive(Debug)]
struct WorkspaceAccount {
    quota: WorkspaceQuota,
    bucket: SharedBucket,
    /// Limits what the local region spends before the other regions learn of it.
    region_bucket: SharedBucket,
    /// True until another gateway has reported the level.
    is_level_unknown: bool,
    /// Spending of this gateway.
    own: ReportedCount,
    /// Spending of the local region's gateways, as far as known to this one.
    region: ReportedCount,
    regions: BTreeMap<RegionName, RegionAccount>,
}

/// Contact with a region: which fraction of it is silent, and since how long.
struct RegionContact {
    region: RegionName,
    /// Fraction of the region that is silent, from 0 to 1.
    silent: f64,
    /// Duration of the silence.
    silence: Duration,
}

impl WorkspaceAccount {
    fn new(quota: WorkspaceQuota, sizes: BucketSizes, now: BootTime) -> Self {
        Self {
            quota,
            bucket: SharedBucket::new(sizes.shared, now),
            region_bucket: SharedBucket::new(sizes.region, now),
            is_level_unknown: true,
            own: ReportedCount::default(),
            region: ReportedCount::default(),
            regions: BTreeMap::new(),
        }
    }

    /// Fills the buckets up to `now` and subtracts what silent regions are assumed to spend.
    fn fill(&mut self, contacts: &[RegionContact], now: BootTime) {
        let added = self.bucket.fill(now);
        self.region_bucket.fill(now);
        let (level, rate) = (self.bucket.level(), self.bucket.rate());
        let prior = rate * SHARE_PRIOR.as_secs_f64();
        let total: f64 = self.regions.values().map(|region| region.spent.at(now)).sum();
        for contact in contacts {
            let RegionContact { region, silent, silence } = contact;
            let equal = 1.0 / contacts.len() as f64;
            // The initial level belongs to this region: silent ones cannot have spent it.
            let new_account =
                || RegionAccount { share: equal, silent: *silent, ..RegionAccount::default() };
            let region = self.regions.entry(region.clone()).or_insert_with(new_account);
            if *silent < MAX_SILENT_FRACTION && *silence < MAX_LEARNING_SILENCE {
                let whole = total + prior * contacts.len() as f64;
                region.share = (region.spent.at(now) + prior) / whole;
            }
            let change = silent - region.silent;
            let units = match change < 0.0 {
                // Gateways that report again include what they spent, so the assumption is
                // reverted.
                true => region.assumed * change / region.silent,
                false => {
                    let exposed = level.max(0.0) + rate * silence.as_secs_f64();
                    region.share * (change * exposed + silent * added)
                }
            };
            region.silent = *silent;
            region.assumed += units;
            self.bucket.take(units);
        }
    }

    fn set_quota(&mut self, quota: WorkspaceQuota, sizes: BucketSizes) {
        self.quota = quota;
        self.bucket.resize(sizes.shared);
        self.region_bucket.resize(sizes.region);
    }

    /// Records units that gateways of the local region have spent.
    fn spend_in_own_region(&mut self, own: &RegionName, units: f64, now: BootTime) {
        self.region_bucket.take(units);
        self.region.add(units);
        self.spend(own, units, now);
    }

    /// Records units that a region has spent.
    fn spend(&mut self, region: &RegionName, units: f64, now: BootTime) {
        self.bucket.take(units);
        self.regions.entry(region.clone()).or_default().spent.record(units, now);
    }
}

/// The replicas of all workspaces' buckets at one gateway.
pub struct QuotaLedger {
    settings: QuotaSettings,
    accounts: HashMap<WorkspaceName, WorkspaceAccount>,
    /// Gateways of the local region that accept requests.
    peers: Vec<VmName>,
    /// Other regions that may have gateways, with the time since which no gateway of the region is
    /// known.
    regions: BTreeMap<RegionName, Option<BootTime>>,
    /// Reports of gateways of the local region.
    own_region_reports: SourceTable,
    /// Reports of other regions.
    other_region_reports: BTreeMap<RegionName, RegionTable>,
    sequence: u64,
    /// Time of this gateway's last report to the gateways of its region.
    last_report: BootTime,
}

impl QuotaLedger {
    /// Creates a ledger without quotas or reports.
    pub fn new(settings: QuotaSettings, now: BootTime) -> Self {
        let other_regions = settings.regions.iter().filter(|region| **region != settings.region);
        let regions = other_regions.map(|region| (region.clone(), Some(now))).collect();
        Self {
            settings,
            accounts: HashMap::new(),
            peers: Vec::new(),
            regions,
            own_region_reports: SourceTable::default(),
            other_region_reports: BTreeMap::new(),
            sequence: 0,
            last_report: BootTime::default(),
        }
    }

    /// Sets the quotas of the configuration in force.
    pub fn set_quotas<'a>(
        &mut self,
        workspaces: impl Iterator<Item = &'a TrafficWorkspace>,
        now: BootTime,
    ) {
        let mut previous = std::mem::take(&mut self.accounts);
        for workspace in workspaces {
            let Some(quota) = workspace.quota else { continue };
            let QuotaSettings { tolerance, regions, .. } = &self.settings;
            let sizes = BucketSizes::new(&quota, tolerance, regions.len());
            let account = match previous.remove(&workspace.name) {
                Some(mut account) => {
                    account.set_quota(quota, sizes);
                    account
                }
                None => WorkspaceAccount::new(quota, sizes, now),
            };
            self.accounts.insert(workspace.name.clone(), account);
        }
    }

    /// Sets the gateways of the local region that accept requests, and the other regions that have
    /// such gateways.
    pub fn set_gateways(
        &mut self,
        peers: Vec<VmName>,
        regions: &BTreeSet<RegionName>,
        now: BootTime,
    ) {
        self.peers = peers;
        for region in regions {
            self.regions.insert(region.clone(), None);
        }
        for (region, gone) in &mut self.regions {
            if !regions.contains(region) {
                gone.get_or_insert(now);
            }
        }
        let horizon = self.settings.revocation.unwrap_or(MAX_ASSUMED_SPENDING_TIME);
        self.regions.retain(|_, gone| gone.is_none_or(|gone| now.since(gone) < horizon));
    }

    /// Takes a request's units from its workspace's bucket.
    ///
    /// A request of any weight passes while the level is positive. Otherwise a request that weighs
    /// more than a whole burst could never pass, and long prompts would be refused where short ones
    /// pass.
    pub fn charge(
        &mut self,
        workspace: &WorkspaceName,
        units: u64,
        now: BootTime,
    ) -> Result<QuotaCharge, QuotaRefusal> {
        let charge = QuotaCharge { workspace: workspace.clone(), units };
        self.fill(workspace, now);
        let Some(account) = self.accounts.get_mut(workspace) else { return Ok(charge) };
        let mut level = account.bucket.level();
        let mut wait = account.bucket.wait();
        if !self.regions.is_empty() {
            level = level.min(account.region_bucket.level());
            wait = wait.max(account.region_bucket.wait());
        }
        if level <= 0.0 {
            return Err(QuotaRefusal { wait, level, quota: account.quota });
        }
        self.spend_own(workspace, units as f64, now);
        Ok(charge)
    }

    /// Refunds the units of a request that has not run.
    pub fn refund(&mut self, charge: QuotaCharge, now: BootTime) {
        let QuotaCharge { workspace, units } = charge;
        self.fill(&workspace, now);
        self.spend_own(&workspace, -(units as f64), now);
    }

    fn spend_own(&mut self, workspace: &WorkspaceName, units: f64, now: BootTime) {
        let Some(account) = self.accounts.get_mut(workspace) else { return };
        account.own.add(units);
        account.spend_in_own_region(&self.settings.region, units, now);
    }

    /// Returns the level of a bucket, or `None` if the workspace has no quota.
    pub fn level(&mut self, workspace: &WorkspaceName, now: BootTime) -> Option<f64> {
        self.fill(workspace, now);
        self.accounts.get(workspace).map(|account| account.bucket.level())
    }

    fn fill(&mut self, workspace: &WorkspaceName, now: BootTime) {
        let contacts = self.contacts(now);
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.fill(&contacts, now);
        }
    }

    /// Returns the silent part of each region, including the local one.
    fn contacts(&self, now: BootTime) -> Vec<RegionContact> {
        let silent = self.silent_fraction(now);
        let silence = if silent < MAX_SILENT_FRACTION { Duration::ZERO } else { GATEWAY_SILENCE };
        let own = RegionContact { region: self.settings.region.clone(), silent, silence };
        let remote = self.regions.keys().map(|region| {
            let heard = self.other_region_reports.get(region).and_then(RegionTable::last_report);
            let silence =
                heard.map_or(REGION_SILENCE, |heard| now.since(heard).min(REGION_SILENCE));
            let overdue = silence.saturating_sub(MAX_LEARNING_SILENCE).as_secs_f64();
            let silent = overdue / (REGION_SILENCE - MAX_LEARNING_SILENCE).as_secs_f64();
            RegionContact { region: region.clone(), silent, silence }
        });
        std::iter::once(own).chain(remote).collect()
    }

    /// Returns the fraction of the local region's gateways that is silent.
    fn silent_fraction(&self, now: BootTime) -> f64 {
        let limit = now.earlier(GATEWAY_SILENCE).unwrap_or_default();
        let heard: BTreeSet<&VmName> = self.own_region_reports.heard_since(limit).collect();
        let is_silent = |vm: &&VmName| **vm != self.settings.vm && !heard.contains(*vm);
        let silent = self.peers.iter().filter(is_silent).count();
        silent as f64 / self.peers.len().max(1) as f64
    }

    /// Returns what this gateway has spent since the last report, for the gateways of its region.
    pub fn own_report(&mut self, now: BootTime) -> Vec<VmSpend> {
        let counts = self.changed_counts(now, |account| &mut account.own);
        if !counts.is_empty() {
            self.last_report = now;
        }
        counts.chunks(MAX_COUNTS).map(|counts| self.next_message(counts)).collect()
    }

    /// Returns a report without counts if the last report to the gateways of the region was sent a
    /// heartbeat interval ago or earlier.
    pub fn heartbeat(&mut self, now: BootTime) -> Option<VmSpend> {
        if now.since(self.last_report) < HEARTBEAT_INTERVAL {
            return None;
        }
        self.last_report = now;
        Some(self.next_message(&[]))
    }

    /// Returns what the gateways of this region have spent since the last report, for other
    /// regions. If that is nothing, returns one report without counts.
    pub fn region_report(&mut self, now: BootTime) -> Vec<RegionSpend> {
        let counts = self.changed_counts(now, |account| &mut account.region);
        let mut messages: Vec<_> =
            counts.chunks(MAX_COUNTS).map(|counts| self.next_message(counts)).collect();
        if messages.is_empty() {
            messages.push(self.next_message(&[]));
        }
        let region = &self.settings.region;
        messages.into_iter().map(|by| RegionSpend { region: region.clone(), by }).collect()
    }

    /// Returns true if no workspace has a quota.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn changed_counts(
        &mut self,
        now: BootTime,
        count: impl Fn(&mut WorkspaceAccount) -> &mut ReportedCount,
    ) -> Vec<SpendCount> {
        let is_changed = |(name, account): (&WorkspaceName, &mut WorkspaceAccount)| {
            let count = count(account);
            (count.spent != count.reported).then(|| name.clone())
        };
        let changed: Vec<_> = self.accounts.iter_mut().filter_map(is_changed).collect();
        let report = |name: WorkspaceName| {
            self.fill(&name, now);
            let account = self.accounts.get_mut(&name)?;
            let level = account.bucket.level();
            count(account).report(&name, level)
        };
        changed.into_iter().filter_map(report).collect()
    }

    fn next_message(&mut self, counts: &[SpendCount]) -> VmSpend {
        self.sequence += 1;
        let QuotaSettings { vm, run, .. } = &self.settings;
        VmSpend { vm: vm.clone(), run: *run, sequence: self.sequence, counts: counts.to_vec() }
    }

    /// Handles a message. Returns the message to relay to the gateways of the local region, if any.
    pub fn receive(&mut self, notice: SpendNotice, now: BootTime) -> Option<SpendNotice> {
        match notice {
            SpendNotice::Own(spend) => {
                self.receive_own(spend, now);
                None
            }
            SpendNotice::Region { spend, is_relayed } => {
                let relay = SpendNotice::Region { spend: spend.clone(), is_relayed: true };
                self.receive_region(spend, now);
                (!is_relayed).then_some(relay)
            }
        }
    }

    fn receive_own(&mut self, spend: VmSpend, now: BootTime) {
        if spend.vm == self.settings.vm {
            return;
        }
        for delta in self.own_region_reports.receive(spend, now) {
            self.fill(&delta.workspace, now);
            let Some(account) = self.accounts.get_mut(&delta.workspace) else { continue };
            account.spend_in_own_region(&self.settings.region, delta.units, now);
            if std::mem::take(&mut account.is_level_unknown) {
                account.bucket.set_level(delta.level);
            }
        }
    }

    fn receive_region(&mut self, spend: RegionSpend, now: BootTime) {
        let RegionSpend { region, by } = spend;
        if region == self.settings.region {
            return;
        }
        let limit = now.earlier(REGION_SILENCE).unwrap_or_default();
        for delta in
            self.other_region_reports.entry(region.clone()).or_default().receive(by, limit, now)
        {
            self.fill(&delta.workspace, now);
            if let Some(account) = self.accounts.get_mut(&delta.workspace) {
                account.spend(&region, delta.units, now);
            }
        }
    }
}
