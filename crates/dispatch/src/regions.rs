//! Capacity and round-trip times of the other regions.
//!
//! The load pattern: the peak load of a region is several times the capacity of its own backend
//! servers, while others have room. The reports of the control processes are about a second old,
//! and at a peak all gateways of a region would act on them alike. So each forwarded request also
//! brings back the current offer of its region. Offers are divided by priority, because a region
//! that is full of urgent work has no capacity for less urgent work.

use {
    crate::{
        load::{PRIORITY_CLASSES, priority_class},
        path_monitor::PathMonitor,
    },
    gullglade_units::{MonotonicTime, RegionName, ServiceName, VmName},
    std::{collections::BTreeMap, time::Duration},
};

/// The assumed round-trip time to another region until it is measured.
const INITIAL_RTT_MS: f64 = 100.0;

/// The weight of the newest sample in the smoothed round-trip time.
const RTT_WEIGHT: f64 = 0.2;

/// An offer that came with a forwarded request takes precedence over the reports of control
/// processes for this long. Those receive and send their reports twice a second.
const OFFER_MAX_AGE: Duration = Duration::from_millis(1_000);

/// Time to first byte by priority, milliseconds, the most urgent priority first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstByteTimes([f64; PRIORITY_CLASSES]);

impl FirstByteTimes {
    /// Creates the times from a function of the priority.
    pub(crate) fn by_priority(time: impl Fn(u8) -> f64) -> Self {
        Self(std::array::from_fn(|priority| time(priority as u8)))
    }

    /// Returns the time for `priority`. Priorities beyond the last class get the time of that
    /// class.
    pub fn of(&self, priority: u8) -> f64 {
        self.0[priority_class(priority)]
    }

    /// Returns the element-wise minimum.
    pub(crate) fn min(self, other: Self) -> Self {
        Self::by_priority(|priority| self.of(priority).min(other.of(priority)))
    }

    /// Returns whole milliseconds, as sent to other processes.
    pub fn to_millis(self) -> Vec<u32> {
        self.0.iter().map(|ms| ms.round().clamp(0.0, f64::from(u32::MAX)) as u32).collect()
    }

    /// Creates the times from a received list. A process of another version may send fewer priority
    /// classes; the last time then also applies to the missing ones.
    pub fn from_millis(millis: &[u32]) -> Self {
        let last = millis.last().copied().unwrap_or_default();
        Self::by_priority(|p| f64::from(millis.get(usize::from(p)).copied().unwrap_or(last)))
    }
}

/// The capacity of another region for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionInfo {
    /// The region.
    pub region: RegionName,
    /// The service.
    pub service: ServiceName,
    /// Number of backend servers that accept requests.
    pub backends: u32,
    /// Time to first byte in the region.
    pub first_byte: FirstByteTimes,
}

/// A value per region and service.
type PerService<T> = BTreeMap<RegionName, BTreeMap<ServiceName, T>>;

/// The other regions as known to one gateway.
#[derive(Debug, Default)]
pub(crate) struct RegionTable {
    reported: Vec<RegionInfo>,
    /// Offers that came with forwarded requests, with the time of arrival.
    recent_offers: PerService<(FirstByteTimes, MonotonicTime)>,
    /// Regions to which the path is broken, with the end of the pause.
    broken: BTreeMap<RegionName, MonotonicTime>,
    /// The paths to the gateways of each region.
    paths: BTreeMap<RegionName, PathMonitor<VmName>>,
    /// Gateways that could not be reached, with the end of the pause.
    lost_gateways: BTreeMap<VmName, MonotonicTime>,
    /// Regions and services that refused requests, with the end of the pause.
    refused: PerService<MonotonicTime>,
    /// Smoothed round-trip times, milliseconds.
    rtts_ms: BTreeMap<RegionName, f64>,
    /// The lowest measured round-trip times.
    min_rtts: BTreeMap<RegionName, Duration>,
}

impl RegionTable {
    /// Replaces the reports of the control processes.
    pub(crate) fn set(&mut self, reported: Vec<RegionInfo>) {
        self.reported = reported;
    }

    /// Returns the reported regions that offer `service`.
    pub(crate) fn offers<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a RegionInfo> {
        self.reported.iter().filter(move |r| r.service == *service && r.backends > 0)
    }

    /// Records the offer that came with a forwarded request.
    pub(crate) fn note_offer(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        first_byte: FirstByteTimes,
        now: MonotonicTime,
    ) {
        self.recent_offers
            .entry(region.clone())
            .or_default()
            .insert(service.clone(), (first_byte, now));
    }

    /// Pauses forwarding to `gateway` for `pause`, because it could not be reached, and to its
    /// region, which has `count` gateways, if the path to that is considered lost.
    pub(crate) fn note_gateway_lost(
        &mut self,
        region: &RegionName,
        gateway: &VmName,
        count: usize,
        pause: Duration,
        now: MonotonicTime,
    ) {
        let until = now + pause;
        self.lost_gateways.retain(|_, until| now < *until);
        self.lost_gateways.insert(gateway.clone(), until);
        let path = self.paths.entry(region.clone()).or_default();
        path.note_failed(gateway, count);
        if path.is_lost() {
            self.broken.insert(region.clone(), until);
        }
    }

    /// Records that a gateway of `region` sent something.
    pub(crate) fn note_gateway_contact(&mut self, region: &RegionName, gateway: &VmName) {
        self.lost_gateways.remove(gateway);
        if self.paths.get_mut(region).is_some_and(PathMonitor::note_contact) {
            self.broken.remove(region);
        }
    }

    /// Returns whether a gateway could not be reached a short time ago.
    pub(crate) fn is_gateway_lost(&self, gateway: &VmName, now: MonotonicTime) -> bool {
        self.lost_gateways.get(gateway).is_some_and(|until| now < *until)
    }

    /// Pauses forwarding of a service to a region until `until`, because it refused a request.
    pub(crate) fn note_refused(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        until: MonotonicTime,
    ) {
        self.refused.entry(region.clone()).or_default().insert(service.clone(), until);
    }

    /// Records a measured round-trip time.
    pub(crate) fn note_rtt(&mut self, region: &RegionName, rtt: Duration) {
        let sample_ms = rtt.as_secs_f64() * 1_000.0;
        let rtt_ms = self.rtts_ms.entry(region.clone()).or_insert(sample_ms);
        *rtt_ms += RTT_WEIGHT * (sample_ms - *rtt_ms);
        let min = self.min_rtts.entry(region.clone()).or_insert(rtt);
        *min = rtt.min(*min);
    }

    /// Returns the smoothed round-trip time, milliseconds.
    pub(crate) fn rtt_ms(&self, region: &RegionName) -> f64 {
        self.rtts_ms.get(region).copied().unwrap_or(INITIAL_RTT_MS)
    }

    /// Returns the lowest measured round-trip time, or zero if there is none.
    pub(crate) fn min_rtt(&self, region: &RegionName) -> Duration {
        self.min_rtts.get(region).copied().unwrap_or_default()
    }

    /// Returns whether forwarding of the service to the region is paused.
    pub(crate) fn is_paused(
        &self,
        region: &RegionName,
        service: &ServiceName,
        now: MonotonicTime,
    ) -> bool {
        let refused = self.refused.get(region).and_then(|of| of.get(service));
        self.is_broken(region, now) || refused.is_some_and(|until| now < *until)
    }

    /// Returns whether the path to the region is considered broken.
    pub(crate) fn is_broken(&self, region: &RegionName, now: MonotonicTime) -> bool {
        self.broken.get(region).is_some_and(|until| now < *until)
    }

    /// Returns the expected time until the first byte of a request forwarded now is back here,
    /// milliseconds.
    pub(crate) fn first_byte_ms(
        &self,
        region: &RegionName,
        service: &ServiceName,
        priority: u8,
        now: MonotonicTime,
    ) -> f64 {
        let latest = self.recent_offers.get(region).and_then(|of| of.get(service));
        let recent =
            latest.filter(|(_, at)| now.since(*at) < OFFER_MAX_AGE).map(|(latest, _)| *latest);
        let reported = || {
            let offer = self.offers(service).find(|offer| offer.region == *region);
            offer.map(|offer| offer.first_byte).unwrap_or_default()
        };
        recent.unwrap_or_else(reported).of(priority) + self.rtt_ms(region)
    }
}
