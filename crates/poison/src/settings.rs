//! Settings of the account, as they are given and checked.

use {
    snafu::Snafu,
    std::{ops::RangeInclusive, time::Duration},
};

/// With one end each request that was on a backend server when it ended would be held back; a bound
/// beyond this many costs that many backend servers with each such request.
const ENDS: RangeInclusive<u32> = 2..=16;

/// Shorter holds end before a caller gives up repeating; after a day either side has changed.
const HOLD_SECONDS: RangeInclusive<u64> = 10..=86_400;

/// Below, one busy backend server that ends pushes everything else out; above, an account takes
/// more than a tenth of the memory of a control process.
const REQUESTS: RangeInclusive<usize> = 256..=131_072;

/// Why settings are refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{name}={value} is not from {least} to {most}; leave it out for {usual}"))]
pub struct AccountError {
    name: &'static str,
    value: u64,
    least: u64,
    most: u64,
    usual: u64,
}

/// Settings as they are given; what is left out has its usual value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RawAccount {
    /// How many backend servers end under a request before it is held back. Usually 3.
    pub ends: Option<u32>,
    /// For how many seconds it is held back at first. Usually 600.
    pub hold_seconds: Option<u64>,
    /// How many requests are remembered. Usually 4,096.
    pub requests: Option<usize>,
}

/// Settings of a [`CrashAccount`](crate::CrashAccount), the same in all processes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountSettings {
    /// A request is held back once so many backend servers have ended under it. Two may be chance:
    /// a caller that repeats at once is easily on two that fail in a row.
    pub(crate) bound: u32,
    /// Ends of overlapping sends this close together count as one: a failure domain that is lost
    /// takes all sends of a request that many callers make at the same time.
    pub(crate) together: Duration,
    /// How long a request is held back at first. Long against the time in which a caller gives up
    /// repeating by itself, short against the time in which a wrong hold would be complained of.
    pub(crate) hold: Duration,
    /// The most requests that are remembered, about 200 bytes each.
    pub(crate) most_records: usize,
}

impl Default for AccountSettings {
    fn default() -> Self {
        Self {
            bound: 3,
            together: Duration::from_millis(300),
            hold: Duration::from_secs(600),
            most_records: 4_096,
        }
    }
}

impl TryFrom<RawAccount> for AccountSettings {
    type Error = AccountError;

    fn try_from(raw: RawAccount) -> Result<Self, AccountError> {
        let usual = Self::default();
        let bound = raw.ends.unwrap_or(usual.bound);
        check("ends", bound.into(), widen(ENDS), usual.bound.into())?;
        let seconds = raw.hold_seconds.unwrap_or(usual.hold.as_secs());
        check("hold seconds", seconds, HOLD_SECONDS, usual.hold.as_secs())?;
        let requests = raw.requests.unwrap_or(usual.most_records);
        check("requests", requests as u64, widen(REQUESTS), usual.most_records as u64)?;
        let hold = Duration::from_secs(seconds);
        Ok(Self { bound, hold, most_records: requests, ..usual })
    }
}

fn widen<T: TryInto<u64> + Copy>(range: RangeInclusive<T>) -> RangeInclusive<u64> {
    let wide = |end: T| end.try_into().unwrap_or(u64::MAX);
    wide(*range.start())..=wide(*range.end())
}

fn check(
    name: &'static str,
    value: u64,
    range: RangeInclusive<u64>,
    usual: u64,
) -> Result<(), AccountError> {
    let (least, most) = range.clone().into_inner();
    match range.contains(&value) {
        true => Ok(()),
        false => Err(AccountError { name, value, least, most, usual }),
    }
}
