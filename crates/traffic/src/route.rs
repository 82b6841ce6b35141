//! Routes: what is asked of a request that goes this way.

use {
    crate::{RawRoute, TrafficError},
    gullglade_units::{RegionName, ServiceName},
    std::time::Duration,
};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent: it may run more than once.
    Idempotent,
    /// It runs once at most.
    AtMostOnce,
    /// Its answer is a stream of numbered events.
    Stream {
        /// Whether another run may go on after the last event that the caller has. A stream that
        /// may not be resumed runs once at most.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a second run does no harm.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends to, and how often.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedTarget {
    /// The service.
    pub service: ServiceName,
    /// Its part of the route's requests, against the sum of all weights.
    pub weight: u32,
}

/// A route, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficRoute {
    /// Its name, for people.
    pub name: String,
    /// The host that callers name, in lower case.
    pub host: String,
    /// The beginning of the paths that it covers; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is worth all it can be.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Where it sends; the weights add up to more than 0.
    pub targets: Vec<WeightedTarget>,
    /// The most backend servers that one request may be sent to; 1 at least.
    pub max_attempts: u32,
    /// Whether requests carry prompts whose parts are worth finding in a cache.
    pub has_affinity: bool,
    /// The longest pause between two events of a stream that callers accept as prompt.
    pub gap_objective: Option<Duration>,
    /// How long callers wait for an event of a stream before they leave; none: to the end.
    pub event_timeout: Option<Duration>,
    /// The only regions in which its requests may be served; none: anywhere.
    pub homes: Vec<RegionName>,
    /// Whether its requests need no key.
    pub is_public: bool,
}

impl TrafficRoute {
    /// Whether its requests may be served in `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }

    /// The service for a request that drew `part`, between 0 and 1.
    pub fn target(&self, part: f64) -> &ServiceName {
        let total: f64 = self.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut left = part * total;
        let weighted = self.targets.iter().filter(|t| t.weight > 0);
        let mut chosen = &self.targets[0].service;
        for target in weighted {
            chosen = &target.service;
            left -= f64::from(target.weight);
            if left < 0.0 {
                break;
            }
        }
        chosen
    }
}

impl TryFrom<RawRoute> for TrafficRoute {
    type Error = TrafficError;

    fn try_from(raw: RawRoute) -> Result<Self, TrafficError> {
        let route = raw.name;
        if raw.timeout.is_zero() {
            return Err(TrafficError::ZeroTimeout { route });
        }
        if raw.targets.iter().all(|(_, weight)| *weight == 0) {
            return Err(TrafficError::ZeroWeight { route });
        }
        if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
            return Err(TrafficError::InvalidPrefix { route, prefix: raw.prefix });
        }
        let target = |(service, weight)| {
            Ok(WeightedTarget { service: ServiceName::try_from(service as String)?, weight })
        };
        Ok(Self {
            name: route,
            host: raw.host.to_ascii_lowercase(),
            prefix: raw.prefix,
            kind: raw.kind,
            timeout: raw.timeout,
            objective: raw.objective,
            priority: raw.priority,
            targets: raw.targets.into_iter().map(target).collect::<Result<_, TrafficError>>()?,
            max_attempts: raw.max_attempts.max(1),
            has_affinity: raw.has_affinity,
            gap_objective: raw.gap_objective,
            event_timeout: raw.event_timeout,
            homes: raw.homes.into_iter().map(RegionName::try_from).collect::<Result<_, _>>()?,
            is_public: raw.is_public,
        })
    }
}
