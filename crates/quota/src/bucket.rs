//! Token buckets of a workspace: one for the whole deployment, one for a region.

use {
    crate::QuotaTolerance, gullglade_traffic::WorkspaceQuota, gullglade_units::BootTime,
    std::time::Duration,
};

/// Fraction of the rate that is used. Units whose spending is reported late are granted a second
/// time elsewhere, and the unused rest makes up for them.
const SHARED_RATE_FRACTION: f64 = 0.96;

/// Rate at which one region may spend, as a multiple of the limit's rate. It is above 1, because
/// one region may also spend what the others have left over.
const REGION_RATE_FACTOR: f64 = 1.4;

/// Approximate time in which regions detect a partition.
const PARTITION_DETECTION_DELAY: Duration = Duration::from_millis(250);

/// Fraction of a burst that all regions together use if the tolerance is small.
const SHARED_BURST_FRACTION: f64 = 0.75;

/// Minimum fraction of a burst that one region uses.
const MIN_REGION_BURST_FRACTION: f64 = 0.18;

/// Fraction of its own bucket that a region has after a restart of all gateways. It is below 1,
/// because the restart may be repeated.
const INITIAL_FRACTION: f64 = 0.4;

/// Sizes of the buckets of one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BucketSizes {
    /// Size of the bucket of all regions.
    pub(crate) shared: BucketSize,
    /// Size of the bucket of one region. Each partitioned region uses up its bucket before it
    /// detects the partition.
    pub(crate) region: BucketSize,
}

/// Size of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BucketSize {
    /// Units per second.
    rate: f64,
    /// Maximum level in units.
    capacity: f64,
    /// Initial level in units. It is below the maximum, because what was spent before a start of
    /// all gateways is unknown.
    initial: f64,
}

impl BucketSizes {
    /// Returns the sizes that keep the limit within `tolerance` even while all regions are
    /// partitioned from each other.
    pub(crate) fn new(quota: &WorkspaceQuota, tolerance: &QuotaTolerance, regions: usize) -> Self {
        let WorkspaceQuota { rate, burst, .. } = *quota;
        let before_detection = REGION_RATE_FACTOR * rate * PARTITION_DETECTION_DELAY.as_secs_f64();
        let per_region = tolerance.margin(quota) / regions.max(1) as f64 - before_detection;
        let region = per_region.clamp(MIN_REGION_BURST_FRACTION * burst, burst);
        let initial = per_region.clamp(0.0, region) * INITIAL_FRACTION;
        let shared = if region < burst { SHARED_BURST_FRACTION * burst } else { burst };
        Self {
            shared: BucketSize {
                rate: SHARED_RATE_FRACTION * rate,
                capacity: shared.max(region),
                initial,
            },
            region: BucketSize { rate: REGION_RATE_FACTOR * rate, capacity: region, initial },
        }
    }
}

/// A replica of a bucket that gateways share.
#[derive(Clone, Debug)]
pub(crate) struct SharedBucket {
    size: BucketSize,
    level: f64,
    /// Time of the last fill.
    filled_at: BootTime,
}

impl SharedBucket {
    /// Creates the replica of a gateway that has just started.
    pub(crate) fn new(size: BucketSize, now: BootTime) -> Self {
        Self { size, level: size.initial, filled_at: now }
    }

    /// Units per second.
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

    /// Fills the bucket up to `now`. Returns the units that its rate added.
    pub(crate) fn fill(&mut self, now: BootTime) -> f64 {
        let added = self.size.rate * now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.set_level(self.level + added);
        added
    }

    /// Takes `units` from the bucket, or returns them if negative. The level may exceed the maximum
    /// until the next fill, because a report may take at the same moment what is returned here.
    pub(crate) fn take(&mut self, units: f64) {
        self.level -= units;
    }

    /// Returns the time until the level is positive again.
    pub(crate) fn wait(&self) -> Duration {
        let seconds = (-self.level).max(0.0) / self.size.rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
