//! The configuration of these tests, and a control process that serves it.

use {
    super::address,
    bytes::Bytes,
    gullglade_fleet::{TrafficSnapshot, TrafficSource},
    gullglade_traffic::{
        CallerLimits, RawRoute, RawService, RawTraffic, RawWorkspace, RequestKind, TrafficError,
        TrafficFormat, WarmupRules,
    },
    gullglade_units::LocalFuture,
    std::{cell::Cell, collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// Format with a fixed configuration; the text is the version.
pub(super) struct FixedFormat {
    pub(super) kind: RequestKind,
    pub(super) timeout: Duration,
    pub(super) objective: Duration,
    pub(super) event_timeout: Option<Duration>,
    /// Timeout in versions after the first.
    pub(super) later_timeout: Option<Duration>,
    pub(super) homes: Vec<String>,
    pub(super) is_public: bool,
    /// Workspaces of each version.
    pub(super) workspaces: fn(u64) -> Vec<RawWorkspace>,
    pub(super) max_attempts: u32,
    /// Path prefix of a second route with idempotent requests.
    pub(super) plain_prefix: Option<&'static str>,
}

impl TrafficFormat for FixedFormat {
    fn read(&self, text: &[u8]) -> Result<RawTraffic, TrafficError> {
        let version = std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
        let version: u64 = version.expect("the text is the version");
        let timeout = self.later_timeout.filter(|_| version > 1).unwrap_or(self.timeout);
        let service = RawService {
            name: "pool".to_owned(),
            health_path: String::new(),
            connection_limit: 100,
            warmup: WarmupRules { duration: Duration::ZERO, requests_per_second: 0.0 },
            engine: None,
        };
        let route = RawRoute {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/a/".to_owned(),
            kind: self.kind,
            timeout,
            objective: self.objective,
            priority: 0,
            targets: vec![("pool".to_owned(), 1)],
            max_attempts: self.max_attempts,
            has_affinity: false,
            gap_objective: Some(Duration::from_millis(300)),
            event_timeout: self.event_timeout,
            homes: self.homes.clone(),
            is_public: self.is_public,
        };
        let plain = self.plain_prefix.map(|prefix| RawRoute {
            name: "plain".to_owned(),
            prefix: prefix.to_owned(),
            kind: RequestKind::Idempotent,
            gap_objective: None,
            event_timeout: None,
            ..route.clone()
        });
        let limits = CallerLimits {
            head_bytes: 1 << 14,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        };
        Ok(RawTraffic {
            version,
            routes: [route].into_iter().chain(plain).collect(),
            services: vec![service],
            workspaces: (self.workspaces)(version),
            limits,
        })
    }
}

/// A control process that serves one configuration at a time.
pub(crate) struct FixedSource {
    /// Version and log index of the configuration.
    pub(super) version: Cell<u64>,
    /// Time since the configuration was last confirmed as the newest.
    pub(super) confirmed_ago: Cell<Option<Duration>>,
}

impl Default for FixedSource {
    fn default() -> Self {
        Self { version: Cell::new(1), confirmed_ago: Cell::new(Some(Duration::ZERO)) }
    }
}

impl TrafficSource for FixedSource {
    fn newer(&self, index: u64, _version: Option<u64>) -> Option<TrafficSnapshot> {
        let version = self.version.get();
        (index < version).then(|| TrafficSnapshot {
            index: version,
            version: Some(version),
            text: Some(Bytes::from(version.to_string())),
            evacuated: BTreeSet::new(),
        })
    }

    fn changed<'a>(&'a self, index: u64) -> LocalFuture<'a, ()> {
        Box::pin(async move {
            if index >= self.version.get() {
                std::future::pending().await
            }
        })
    }

    fn confirmed_ago(&self) -> Option<Duration> {
        self.confirmed_ago.get()
    }

    fn controls(&self) -> Vec<SocketAddr> {
        vec![address(1)]
    }
}
