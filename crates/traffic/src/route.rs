//! Routes: the rules for the requests of one host and path prefix.

use {
    crate::{RawRoute, TrafficError},
    gullglade_units::{RegionName, ServiceName},
    std::time::Duration,
};

/// The kind of a request, which decides whether it may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another run may continue after the last event that the caller received. A
        /// stream that cannot be resumed must run at most once.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether the request may run a second time.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A target service of a route with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the sum of all weights.
    pub weight: u32,
}

/// A validated route.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficRoute {
    /// Name of the route, for logs and operators.
    pub name: String,
    /// Host of the requests, in lower case and without a port.
    pub host: String,
    /// Prefix of the paths that the route matches; begins and ends with a slash.
    pub prefix: String,
    /// Kind of the requests, which decides whether they may run again.
    pub kind: RequestKind,
    /// Maximum total time for a request.
    pub timeout: Duration,
    /// Latency objective: the time within which an answer, or the first event of a stream, has its
    /// full value.
    pub objective: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Target services; the sum of their weights is greater than 0.
    pub targets: Vec<WeightedTarget>,
    /// Maximum number of backend servers to which one request is sent; at least 1.
    pub max_attempts: u32,
    /// Whether requests carry prompts, so that a backend server with a cached prefix is preferred.
    pub has_affinity: bool,
    /// Objective for the time between two events of a stream.
    pub gap_objective: Option<Duration>,
    /// Time after which callers disconnect if a stream sends no event; `None` if they wait until
    /// the request's timeout.
    pub event_timeout: Option<Duration>,
    /// Regions in which requests may be served; empty allows every region.
    pub homes: Vec<RegionName>,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl TrafficRoute {
    /// Returns whether requests of the route may be served in `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }

    /// Selects a target service by weighted random choice, where `sample` is a random number in
    /// `[0, 1)`. Targets of weight 0 are never selected.
    pub fn target(&self, sample: f64) -> &ServiceName {
        let total: f64 = self.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut remaining = sample * total;
        let weighted = self.targets.iter().filter(|t| t.weight > 0);
        let mut selected = &self.targets[0].service;
        for target in weighted {
            selected = &target.service;
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                break;
            }
        }
        selected
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
