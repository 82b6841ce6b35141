//! Settings of the crash tracker and their validation.

use {
    snafu::Snafu,
    std::{ops::RangeInclusive, time::Duration},
};

/// At one crash, every request on a crashed backend server would be held; each cause costs as many
/// backend servers as the threshold.
const CRASH_THRESHOLD_RANGE: RangeInclusive<u32> = 2..=16;

/// A shorter hold ends before a caller stops retrying; after a day the caller or the backend server
/// has been changed.
const HOLD_SECONDS_RANGE: RangeInclusive<u64> = 10..=86_400;

/// Below this range, the crash of one busy backend server evicts all other records; above it, a
/// tracker uses more than a tenth of the memory of a control process.
const MAX_RECORDS_RANGE: RangeInclusive<usize> = 256..=131_072;

/// Maximum hold. Within a day a caller's system is fixed or shut down.
const MAX_HOLD: Duration = Duration::from_secs(24 * 3_600);

/// Maximum number of times that a hold is doubled.
const MAX_DOUBLINGS: u32 = 16;

/// A setting is out of range.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{name}={value} is not from {min} to {max}; leave it out for {default}"))]
pub struct CrashTrackerSettingsError {
    name: &'static str,
    value: u64,
    min: u64,
    max: u64,
    default: u64,
}

/// Unvalidated settings; an omitted setting has its default value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RawCrashTrackerSettings {
    /// Number of crashed backend servers after which a request is held. Default 3.
    pub ends: Option<u32>,
    /// Duration of the first hold in seconds. Default 600.
    pub hold_seconds: Option<u64>,
    /// Maximum number of tracked requests. Default 4,096.
    pub requests: Option<usize>,
}

/// Settings of a [`CrashTracker`](crate::CrashTracker), equal in all processes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashTrackerSettings {
    /// Number of crashed backend servers after which a request is held. Two may be a coincidence:
    /// an immediate retry can easily hit two servers that fail in a row.
    pub(crate) crash_threshold: u32,
    /// Crashes of overlapping sends within this time count as one: the loss of a failure domain
    /// interrupts all sends of a request that many callers make at the same time.
    pub(crate) coincidence_window: Duration,
    /// Duration of the first hold: longer than a caller keeps retrying on its own, but short enough
    /// to limit the harm of a wrong hold.
    pub(crate) hold: Duration,
    /// Maximum number of tracked requests, of about 200 bytes each.
    pub(crate) max_records: usize,
}

impl Default for CrashTrackerSettings {
    fn default() -> Self {
        Self {
            crash_threshold: 3,
            coincidence_window: Duration::from_millis(300),
            hold: Duration::from_secs(600),
            max_records: 4_096,
        }
    }
}

impl CrashTrackerSettings {
    /// Returns the hold after this number of doublings.
    pub(crate) fn doubled_hold(&self, doublings: u32) -> Duration {
        self.hold.saturating_mul(1 << doublings.min(MAX_DOUBLINGS)).min(MAX_HOLD)
    }
}

impl TryFrom<RawCrashTrackerSettings> for CrashTrackerSettings {
    type Error = CrashTrackerSettingsError;

    fn try_from(raw: RawCrashTrackerSettings) -> Result<Self, CrashTrackerSettingsError> {
        let default = Self::default();
        let crash_threshold = raw.ends.unwrap_or(default.crash_threshold);
        check(
            "ends",
            crash_threshold.into(),
            to_u64_range(CRASH_THRESHOLD_RANGE),
            default.crash_threshold.into(),
        )?;
        let seconds = raw.hold_seconds.unwrap_or(default.hold.as_secs());
        check("hold seconds", seconds, HOLD_SECONDS_RANGE, default.hold.as_secs())?;
        let requests = raw.requests.unwrap_or(default.max_records);
        check(
            "requests",
            requests as u64,
            to_u64_range(MAX_RECORDS_RANGE),
            default.max_records as u64,
        )?;
        let hold = Duration::from_secs(seconds);
        Ok(Self { crash_threshold, hold, max_records: requests, ..default })
    }
}

fn to_u64_range<T: TryInto<u64> + Copy>(range: RangeInclusive<T>) -> RangeInclusive<u64> {
    let to_u64 = |end: T| end.try_into().unwrap_or(u64::MAX);
    to_u64(*range.start())..=to_u64(*range.end())
}

fn check(
    name: &'static str,
    value: u64,
    range: RangeInclusive<u64>,
    default: u64,
) -> Result<(), CrashTrackerSettingsError> {
    let (min, max) = range.clone().into_inner();
    match range.contains(&value) {
        true => Ok(()),
        false => Err(CrashTrackerSettingsError { name, value, min, max, default }),
    }
}
