//! Token buckets: the replica of one workspace's, and the one of a region.

use {
    crate::QuotaTolerance, gullglade_traffic::WorkspaceQuota, gullglade_units::BootTime,
    std::time::Duration,
};

/// The part of the rate that is used: what is reported late is spent twice.
const SHARED_RATE: f64 = 0.96;

/// The part of the rate at which one region may spend. More than the whole of it, as what the others
/// have left may be spent in one region, too.
const REGION_RATE: f64 = 1.4;

/// About the time in which regions detect a partition.
const PARTITION_DETECTION_DELAY: Duration = Duration::from_millis(250);

/// The part of a burst that is used by all regions together where the tolerance is small.
const SHARED_BURST: f64 = 0.75;

/// The part of a burst that one region uses at least.
const MIN_REGION_BURST: f64 = 0.18;

/// The part of its own that a region has after a restart of all gateways, which may come again.
const INITIAL_PART: f64 = 0.4;

/// How large the buckets of one workspace are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BucketSizes {
    /// That of all regions.
    pub(crate) shared: BucketSize,
    /// That of one region. Partitioned regions each use up theirs before they detect it.
    pub(crate) region: BucketSize,
}

/// How large a bucket is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BucketSize {
    /// Units a second.
    rate: f64,
    /// The most units that it holds.
    capacity: f64,
    /// The units that a new one holds: nobody knows what was spent before all gateways started.
    initial: f64,
}

impl BucketSizes {
    /// The sizes with which the limit is kept within `tolerance` also while all of the regions are
    /// partitioned.
    pub(crate) fn new(quota: &WorkspaceQuota, tolerance: &QuotaTolerance, regions: usize) -> Self {
        let WorkspaceQuota { rate, burst, .. } = *quota;
        let before_detection = REGION_RATE * rate * PARTITION_DETECTION_DELAY.as_secs_f64();
        let per_region = tolerance.margin(quota) / regions.max(1) as f64 - before_detection;
        let region = per_region.clamp(MIN_REGION_BURST * burst, burst);
        let initial = per_region.clamp(0.0, region) * INITIAL_PART;
        let shared = if region < burst { SHARED_BURST * burst } else { burst };
        Self {
            shared: BucketSize { rate: SHARED_RATE * rate, capacity: shared.max(region), initial },
            region: BucketSize { rate: REGION_RATE * rate, capacity: region, initial },
        }
    }
}

/// A replica of a bucket that gateways share.
#[derive(Clone, Debug)]
pub(crate) struct SharedBucket {
    size: BucketSize,
    level: f64,
    /// When it was last filled.
    filled: BootTime,
}

impl SharedBucket {
    /// One of a gateway that has just started.
    pub(crate) fn new(size: BucketSize, now: BootTime) -> Self {
        Self { size, level: size.initial, filled: now }
    }

    /// Units a second.
    pub(crate) fn rate(&self) -> f64 {
        self.size.rate
    }

    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    pub(crate) fn resize(&mut self, size: BucketSize) {
        self.size = size;
        self.set_level(self.level);
    }

    pub(crate) fn set_level(&mut self, level: f64) {
        self.level = level.min(self.size.capacity);
    }

    /// Fills it up to `now`. Returns what its rate brought meanwhile.
    pub(crate) fn fill(&mut self, now: BootTime) -> f64 {
        let added = self.size.rate * now.since(self.filled).as_secs_f64();
        self.filled = now;
        self.set_level(self.level + added);
        added
    }

    /// Takes out `units`, or puts them back where they are below 0. A report may take in the same
    /// moment what is put back, so only the next filling cuts off what is too much.
    pub(crate) fn take(&mut self, units: f64) {
        self.level -= units;
    }

    /// How long until there is something in it again.
    pub(crate) fn wait(&self) -> Duration {
        let seconds = (-self.level).max(0.0) / self.size.rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
