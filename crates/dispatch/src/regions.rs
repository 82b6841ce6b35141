//! What other regions would do with work from here.
//!
//! The load pattern: a region's peak is several times what its own backend servers can do, while
//! others have room. What control processes tell of other regions is a second old, and at a peak
//! all gateways of a region act on it alike. So each forward also brings back what the region
//! offers now, by priority: a region that is full of urgent work still has no room for what waits
//! behind it.

use {
    crate::load::{PRIORITIES, rank},
    gullglade_units::{MonotonicTime, RegionName, ServiceName},
    std::{collections::BTreeMap, time::Duration},
};

/// A first guess at the time to another region and back, milliseconds, until it is measured.
const FIRST_AWAY_MS: f64 = 100.0;

/// The weight of the newest measurement of that time.
const AWAY_WEIGHT: f64 = 0.2;

/// What a region said with a forward goes before what control processes tell for this long: they
/// are told twice a second, and tell twice a second.
const WORD_AGE: Duration = Duration::from_millis(1_000);

/// Milliseconds until a first byte, by priority, the most urgent first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstByteTimes([f64; PRIORITIES]);

impl FirstByteTimes {
    /// The times that `time` says for each priority.
    pub(crate) fn by_priority(time: impl Fn(u8) -> f64) -> Self {
        Self(std::array::from_fn(|priority| time(priority as u8)))
    }

    /// For a request of `priority`; those beyond the last one that is told apart count as it.
    pub fn of(&self, priority: u8) -> f64 {
        self.0[rank(priority)]
    }

    /// The lesser of both, for each priority.
    pub(crate) fn least(self, other: Self) -> Self {
        Self::by_priority(|priority| self.of(priority).min(other.of(priority)))
    }

    /// In whole milliseconds, to be told to other processes.
    pub fn to_millis(self) -> Vec<u32> {
        self.0.iter().map(|ms| ms.round().clamp(0.0, f64::from(u32::MAX)) as u32).collect()
    }

    /// As they were told. A process of another version may tell fewer priorities apart: the last
    /// time then counts for those that are missing.
    pub fn from_millis(millis: &[u32]) -> Self {
        let last = millis.last().copied().unwrap_or_default();
        Self::by_priority(|p| f64::from(millis.get(usize::from(p)).copied().unwrap_or(last)))
    }
}

/// What another region says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionInfo {
    /// The region.
    pub region: RegionName,
    /// The service.
    pub service: ServiceName,
    /// Its backend servers that serve.
    pub backends: u32,
    /// The time until a first byte there.
    pub first_byte: FirstByteTimes,
}

/// Something of each service of each region.
type PerService<T> = BTreeMap<RegionName, BTreeMap<ServiceName, T>>;

/// The other regions, as one gateway knows them.
#[derive(Debug, Default)]
pub(crate) struct RegionBook {
    told: Vec<RegionInfo>,
    /// What came with forwards, and when.
    words: PerService<(FirstByteTimes, MonotonicTime)>,
    /// Regions to which the path is broken, until then.
    broken: BTreeMap<RegionName, MonotonicTime>,
    /// Services that a region turned work away for, until then.
    refused: PerService<MonotonicTime>,
    /// The time there and back, milliseconds, as measured.
    delays: BTreeMap<RegionName, f64>,
    /// The least of each of them.
    least_delays: BTreeMap<RegionName, Duration>,
}

impl RegionBook {
    /// Takes what control processes tell of all regions.
    pub(crate) fn set(&mut self, told: Vec<RegionInfo>) {
        self.told = told;
    }

    /// What is told of the regions that offer `service`.
    pub(crate) fn offers<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a RegionInfo> {
        self.told.iter().filter(move |r| r.service == *service && r.backends > 0)
    }

    /// Takes what a region offers of a service, as it said with a forward.
    pub(crate) fn note_word(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        word: FirstByteTimes,
        now: MonotonicTime,
    ) {
        self.words.entry(region.clone()).or_default().insert(service.clone(), (word, now));
    }

    /// Sends no work to a region until `until`: the path is broken.
    pub(crate) fn note_broken(&mut self, region: RegionName, until: MonotonicTime) {
        self.broken.insert(region, until);
    }

    /// Sends no work of a service to a region until `until`: it turned some away.
    pub(crate) fn note_refused(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        until: MonotonicTime,
    ) {
        self.refused.entry(region.clone()).or_default().insert(service.clone(), until);
    }

    /// Notes how long a request took there and its word of arrival back.
    pub(crate) fn note_delay(&mut self, region: &RegionName, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let delay = self.delays.entry(region.clone()).or_insert(took_ms);
        *delay += AWAY_WEIGHT * (took_ms - *delay);
        let least = self.least_delays.entry(region.clone()).or_insert(took);
        *least = took.min(*least);
    }

    /// The time there and back, milliseconds.
    pub(crate) fn delay_ms(&self, region: &RegionName) -> f64 {
        self.delays.get(region).copied().unwrap_or(FIRST_AWAY_MS)
    }

    /// The least time there and back that was seen; zero before the first one.
    pub(crate) fn least_delay(&self, region: &RegionName) -> Duration {
        self.least_delays.get(region).copied().unwrap_or_default()
    }

    /// Whether no work should go there for now.
    pub(crate) fn is_paused(&self, offer: &RegionInfo, now: MonotonicTime) -> bool {
        let refused = self.refused.get(&offer.region).and_then(|of| of.get(&offer.service));
        self.is_broken(&offer.region, now) || refused.is_some_and(|until| now < *until)
    }

    /// Whether the path there is taken for broken for now.
    pub(crate) fn is_broken(&self, region: &RegionName, now: MonotonicTime) -> bool {
        self.broken.get(region).is_some_and(|until| now < *until)
    }

    /// Milliseconds until the first byte of a request that is sent there now has come back.
    pub(crate) fn first_byte_ms(
        &self,
        offer: &RegionInfo,
        priority: u8,
        now: MonotonicTime,
    ) -> f64 {
        let word = self.words.get(&offer.region).and_then(|of| of.get(&offer.service));
        let recent = word.filter(|(_, at)| now.since(*at) < WORD_AGE).map(|(word, _)| *word);
        recent.unwrap_or(offer.first_byte).of(priority) + self.delay_ms(&offer.region)
    }
}
