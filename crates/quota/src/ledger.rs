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

/// A region without a report for this long is silent: two reports and their delay.
const REGION_SILENCE: Duration = Duration::from_millis(180);

/// A gateway of the own region without a report for this long is silent.
const GATEWAY_SILENCE: Duration = Duration::from_secs(1);

/// A gateway that has nothing to report sends a heartbeat this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// A region's share of a limit is not learned anew while more of it than this is silent.
const MAX_SILENT_PART: f64 = 0.5;

/// Each region's share is learned as if it had spent the whole limit for this long before: where
/// little was spent, the first to spend would be given all of the limit.
const SHARE_PRIOR: Duration = Duration::from_secs(1);

/// Nor after this silence. Partitioned regions go on spending, and each would learn a larger share
/// for itself before it detects the partition.
const MAX_LEARNING_SILENCE: Duration = Duration::from_millis(130);

/// Where gateways without contact go on, a region without gateways is assumed to spend for this
/// long.
const MAX_ASSUMPTION: Duration = Duration::from_secs(60);

/// The most counts of one message: a datagram holds so many of the longest names.
const MAX_COUNTS: usize = 10;

/// What a request has taken out of its workspace's quota.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "what has not run is to be given back"]
pub struct QuotaCharge {
    workspace: WorkspaceName,
    units: u64,
}

/// A request is over its workspace's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRefusal {
    /// When the bucket will have something again, if nobody else takes it.
    pub wait: Duration,
    /// What is in it; less than 0 where requests took more than there was.
    pub level: f64,
    /// The limit.
    pub quota: WorkspaceQuota,
}

/// A counter that is reported to others.
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

    /// The counter, where it changed since the last report.
    fn report(&mut self, workspace: &WorkspaceName, level: f64) -> Option<SpendCount> {
        let latest = self.spent as i64 - self.reported as i64;
        self.reported = self.spent;
        let (workspace, level) = (workspace.clone(), level.round() as i64);
        (latest != 0).then_some(SpendCount { workspace, spent: self.spent, latest, level })
    }
}

/// What is known of one region's spending for a workspace.
#[derive(Debug, Default)]
struct RegionAccount {
    spent: DecayingSpend,
    /// Its share of the limit, learned while it reported.
    share: f64,
    /// The part of it that is silent, 0 to 1.
    silent: f64,
    /// Units that its silent part is assumed to have spent.
    assumed: f64,
}

/// One workspace.
#[derive(Debug)]
struct WorkspaceAccount {
    quota: WorkspaceQuota,
    bucket: SharedBucket,
    /// Limits what the own region spends before the others know of it.
    region_bucket: SharedBucket,
    /// Whether no other gateway has reported the level yet.
    is_level_unknown: bool,
    /// What this gateway spent.
    own: ReportedCount,
    /// What the gateways of the own region spent, as far as this one knows.
    region: ReportedCount,
    regions: BTreeMap<RegionName, RegionAccount>,
}

/// How much of a region reports.
struct RegionContact {
    region: RegionName,
    /// The part of it that is silent, 0 to 1.
    silent: f64,
    /// For how long that part has been silent.
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

    /// Fills the bucket up to `now`, less what silent regions are assumed to spend.
    fn fill(&mut self, contacts: &[RegionContact], now: BootTime) {
        let added = self.bucket.fill(now);
        self.region_bucket.fill(now);
        let (level, rate) = (self.bucket.level(), self.bucket.rate());
        let prior = rate * SHARE_PRIOR.as_secs_f64();
        let total: f64 = self.regions.values().map(|region| region.spent.at(now)).sum();
        for contact in contacts {
            let RegionContact { region, silent, silence } = contact;
            let equal = 1.0 / contacts.len() as f64;
            // What a new bucket holds is this region's own: silent ones cannot have taken it.
            let new =
                || RegionAccount { share: equal, silent: *silent, ..RegionAccount::default() };
            let region = self.regions.entry(region.clone()).or_insert_with(new);
            if *silent < MAX_SILENT_PART && *silence < MAX_LEARNING_SILENCE {
                let whole = total + prior * contacts.len() as f64;
                region.share = (region.spent.at(now) + prior) / whole;
            }
            let more = silent - region.silent;
            let units = match more < 0.0 {
                // Those that report again report what they spent.
                true => region.assumed * more / region.silent,
                false => {
                    let exposed = level.max(0.0) + rate * silence.as_secs_f64();
                    region.share * (more * exposed + silent * added)
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

    /// Notes what gateways of the own region are known to have spent.
    fn spend_here(&mut self, own: &RegionName, units: f64, now: BootTime) {
        self.region_bucket.take(units);
        self.region.add(units);
        self.spend(own, units, now);
    }

    /// Notes what a region is known to have spent.
    fn spend(&mut self, region: &RegionName, units: f64, now: BootTime) {
        self.bucket.take(units);
        self.regions.entry(region.clone()).or_default().spent.note(units, now);
    }
}

/// The replicas of all workspaces' buckets at one gateway.
pub struct QuotaLedger {
    settings: QuotaSettings,
    accounts: HashMap<WorkspaceName, WorkspaceAccount>,
    /// The gateways of the own region that take callers.
    peers: Vec<VmName>,
    /// Other regions that may have gateways, and since when none of them is known.
    regions: BTreeMap<RegionName, Option<BootTime>>,
    /// Reports of gateways of the own region.
    own_region: SourceTable,
    /// Reports of other regions.
    other_regions: BTreeMap<RegionName, RegionTable>,
    sequence: u64,
    /// When this gateway last reported to those of its region.
    reported: BootTime,
}

impl QuotaLedger {
    /// A ledger in which nothing is known.
    pub fn new(settings: QuotaSettings, now: BootTime) -> Self {
        let other_regions = settings.regions.iter().filter(|region| **region != settings.region);
        let regions = other_regions.map(|region| (region.clone(), Some(now))).collect();
        Self {
            settings,
            accounts: HashMap::new(),
            peers: Vec::new(),
            regions,
            own_region: SourceTable::default(),
            other_regions: BTreeMap::new(),
            sequence: 0,
            reported: BootTime::default(),
        }
    }

    /// Takes the quotas of the configuration in force.
    pub fn set_quotas<'a>(
        &mut self,
        workspaces: impl Iterator<Item = &'a TrafficWorkspace>,
        now: BootTime,
    ) {
        let mut old = std::mem::take(&mut self.accounts);
        for workspace in workspaces {
            let Some(quota) = workspace.quota else { continue };
            let QuotaSettings { tolerance, regions, .. } = &self.settings;
            let sizes = BucketSizes::new(&quota, tolerance, regions.len());
            let account = match old.remove(&workspace.name) {
                Some(mut account) => {
                    account.set_quota(quota, sizes);
                    account
                }
                None => WorkspaceAccount::new(quota, sizes, now),
            };
            self.accounts.insert(workspace.name.clone(), account);
        }
    }

    /// Takes the gateways of the own region that take callers, and the other regions that have some.
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
        let horizon = self.settings.revocation.unwrap_or(MAX_ASSUMPTION);
        self.regions.retain(|_, gone| gone.is_none_or(|gone| now.since(gone) < horizon));
    }

    /// Takes a request's units out of its workspace's bucket.
    ///
    /// Whatever it weighs, it passes while there is anything left: one that weighs more than a whole
    /// burst could never pass otherwise, and long prompts would be refused where short ones pass.
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

    /// Gives back what a request took that has not run.
    pub fn refund(&mut self, charge: QuotaCharge, now: BootTime) {
        let QuotaCharge { workspace, units } = charge;
        self.fill(&workspace, now);
        self.spend_own(&workspace, -(units as f64), now);
    }

    fn spend_own(&mut self, workspace: &WorkspaceName, units: f64, now: BootTime) {
        let Some(account) = self.accounts.get_mut(workspace) else { return };
        account.own.add(units);
        account.spend_here(&self.settings.region, units, now);
    }

    /// The level of a bucket; `None` where the workspace has no limit.
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

    /// How much of each region reports, the own one included.
    fn contacts(&self, now: BootTime) -> Vec<RegionContact> {
        let silent = self.silent_part(now);
        let silence = if silent < MAX_SILENT_PART { Duration::ZERO } else { GATEWAY_SILENCE };
        let own = RegionContact { region: self.settings.region.clone(), silent, silence };
        let elsewhere = self.regions.keys().map(|region| {
            let heard = self.other_regions.get(region).and_then(RegionTable::last_heard);
            let silence =
                heard.map_or(REGION_SILENCE, |heard| now.since(heard).min(REGION_SILENCE));
            let overdue = silence.saturating_sub(MAX_LEARNING_SILENCE).as_secs_f64();
            let silent = overdue / (REGION_SILENCE - MAX_LEARNING_SILENCE).as_secs_f64();
            RegionContact { region: region.clone(), silent, silence }
        });
        std::iter::once(own).chain(elsewhere).collect()
    }

    /// The part of the own region's gateways that is silent.
    fn silent_part(&self, now: BootTime) -> f64 {
        let limit = now.earlier(GATEWAY_SILENCE).unwrap_or_default();
        let heard: BTreeSet<&VmName> = self.own_region.heard_after(limit).collect();
        let is_silent = |vm: &&VmName| **vm != self.settings.vm && !heard.contains(*vm);
        let silent = self.peers.iter().filter(is_silent).count();
        silent as f64 / self.peers.len().max(1) as f64
    }

    /// What this gateway spent since the last report, for the gateways of its region.
    pub fn own_report(&mut self, now: BootTime) -> Vec<VmSpend> {
        let counts = self.changed_counts(now, |account| &mut account.own);
        if !counts.is_empty() {
            self.reported = now;
        }
        counts.chunks(MAX_COUNTS).map(|counts| self.message(counts)).collect()
    }

    /// A report without counts, where the last one to the gateways of the region is some time ago.
    pub fn heartbeat(&mut self, now: BootTime) -> Option<VmSpend> {
        if now.since(self.reported) < HEARTBEAT_INTERVAL {
            return None;
        }
        self.reported = now;
        Some(self.message(&[]))
    }

    /// What the gateways of this region spent since the last report, for other regions; a report
    /// without counts where that is nothing.
    pub fn region_report(&mut self, now: BootTime) -> Vec<RegionSpend> {
        let counts = self.changed_counts(now, |account| &mut account.region);
        let mut messages: Vec<_> =
            counts.chunks(MAX_COUNTS).map(|counts| self.message(counts)).collect();
        if messages.is_empty() {
            messages.push(self.message(&[]));
        }
        let region = &self.settings.region;
        messages.into_iter().map(|by| RegionSpend { region: region.clone(), by }).collect()
    }

    /// Whether no workspace has a limit.
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

    fn message(&mut self, counts: &[SpendCount]) -> VmSpend {
        self.sequence += 1;
        let QuotaSettings { vm, run, .. } = &self.settings;
        VmSpend { vm: vm.clone(), run: *run, sequence: self.sequence, counts: counts.to_vec() }
    }

    /// Takes in a message. Returns what is to be passed on to the gateways of the own region.
    pub fn note(&mut self, notice: SpendNotice, now: BootTime) -> Option<SpendNotice> {
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
        for delta in self.own_region.note(spend, now) {
            self.fill(&delta.workspace, now);
            let Some(account) = self.accounts.get_mut(&delta.workspace) else { continue };
            account.spend_here(&self.settings.region, delta.units, now);
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
        for delta in self.other_regions.entry(region.clone()).or_default().note(by, limit, now) {
            self.fill(&delta.workspace, now);
            if let Some(account) = self.accounts.get_mut(&delta.workspace) {
                account.spend(&region, delta.units, now);
            }
        }
    }
}
