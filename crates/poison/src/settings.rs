//! Settings of the account, as they are given and checked.

use {
    snafu::Snafu,
    std::{ops::RangeInclusive, time::Duration},
};

/// With one end each request that was on a backend server when it ended would be held back; a bound
/// beyond this many costs that many backend servers with each such request.
const BOUND_RANGE: RangeInclusive<u32> = 2..=16;

/// Shorter holds end before a caller gives up repeating; after a day either side has changed.
const HOLD_SECONDS_RANGE: RangeInclusive<u64> = 10..=86_400;

/// Below, one busy backend server that ends pushes everything else out; above, an account takes
/// more than a tenth of the memory of a control process.
const REQUESTS_RANGE: RangeInclusive<usize> = 256..=131_072;

/// Why settings are refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{name}={value} is not from {least} to {most}; leave it out for {default}"))]
pub struct CrashTrackerSettingsError {
    name: &'static str,
    value: u64,
    least: u64,
    most: u64,
    default: u64,
}

/// Settings as they are given; what is left out has its default value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RawCrashTrackerSettings {
    /// How many backend servers end under a request before it is held back. Usually 3.
    pub ends: Option<u32>,
    /// For how many seconds it is held back at first. Usually 600.
    pub hold_seconds: Option<u64>,
    /// How many requests are remembered. Usually 4,096.
    pub requests: Option<usize>,
}

/// Settings of a [`CrashTracker`](crate::CrashAccount), the same in all processes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashTrackerSettings {
    /// A request is held back once so many backend servers have ended under it. Two may be chance:
    /// a caller that repeats at once is easily on two that fail in a row.
    pub(crate) bound: u32,
    /// Ends of overlapping sends this close together count as one: a failure domain that is lost
    /// takes all sends of a request that many callers make at the same time.
    pub(crate) coincidence_window: Duration,
    /// How long a request is held back at first. Long against the time in which a caller gives up
    /// repeating by itself, short against the time in which a wrong hold would be complained of.
    pub(crate) hold: Duration,
    /// The most requests that are remembered, about 200 bytes each.
    pub(crate) max_records: usize,
}

impl Default for CrashTrackerSettings {
    fn default() -> Self {
        Self {
            bound: 3,
            coincidence_window: Duration::from_millis(300),
            hold: Duration::from_secs(600),
            max_records: 4_096,
        }
    }
}

impl TryFrom<RawCrashTrackerSettings> for CrashTrackerSettings {
    type Error = CrashTrackerSettingsError;

    fn try_from(raw: RawCrashTrackerSettings) -> Result<Self, CrashTrackerSettingsError> {
        let default = Self::default();
        let bound = raw.ends.unwrap_or(default.bound);
        check("ends", bound.into(), to_u64_range(BOUND_RANGE), default.bound.into())?;
        let seconds = raw.hold_seconds.unwrap_or(default.hold.as_secs());
        check("hold seconds", seconds, HOLD_SECONDS_RANGE, default.hold.as_secs())?;
        let requests = raw.requests.unwrap_or(default.max_records);
        check(
            "requests",
            requests as u64,
            to_u64_range(REQUESTS_RANGE),
            default.max_records as u64,
        )?;
        let hold = Duration::from_secs(seconds);
        Ok(Self { bound, hold, max_records: requests, ..default })
    }
}

fn to_u64_range<T: TryInto<u64> + Copy>(range: RangeInclusive<T>) -> RangeInclusive<u64> {
    let wide = |end: T| end.try_into().unwrap_or(u64::MAX);
    wide(*range.start())..=wide(*range.end())
}

fn check(
    name: &'static str,
    value: u64,
    range: RangeInclusive<u64>,
    default: u64,
) -> Result<(), CrashTrackerSettingsError> {
    let (least, most) = range.clone().into_inner();
    match range.contains(&value) {
        true => Ok(()),
        false => Err(CrashTrackerSettingsError { name, value, least, most, default }),
    }
}
