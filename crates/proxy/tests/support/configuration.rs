//! The one configuration of these tests, and a control process that holds it.

use {
    super::address,
    bytes::Bytes,
    gullglade_fleet::{TrafficSnapshot, TrafficSource},
    gullglade_traffic::{
        CallerLimits, ColdRules, RawRoute, RawService, RawTraffic, RequestKind, TrafficError,
        TrafficFormat,
    },
    gullglade_units::LocalFuture,
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// The one configuration of these tests.
pub(super) struct FixedFormat {
    pub(super) kind: RequestKind,
    pub(super) timeout: Duration,
    pub(super) homes: Vec<String>,
}

impl TrafficFormat for FixedFormat {
    fn read(&self, _text: &[u8]) -> Result<RawTraffic, TrafficError> {
        let service = RawService {
            name: "pool".to_owned(),
            health_path: String::new(),
            connection_limit: 100,
            cold: ColdRules { duration: Duration::ZERO, requests_per_second: 0.0 },
            engine: None,
        };
        let route = RawRoute {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/a/".to_owned(),
            kind: self.kind,
            timeout: self.timeout,
            objective: Duration::from_millis(300),
            priority: 0,
            targets: vec![("pool".to_owned(), 1)],
            max_attempts: 2,
            has_affinity: false,
            gap_objective: Some(Duration::from_millis(300)),
            homes: self.homes.clone(),
        };
        let limits = CallerLimits {
            head_bytes: 1 << 14,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        };
        Ok(RawTraffic { version: 1, routes: vec![route], services: vec![service], limits })
    }
}

/// A control process that holds one configuration.
pub(super) struct FixedSource;

impl TrafficSource for FixedSource {
    fn newer(&self, index: u64, _version: Option<u64>) -> Option<TrafficSnapshot> {
        (index < 1).then(|| TrafficSnapshot {
            index: 1,
            version: Some(1),
            text: Some(Bytes::from_static(b"1")),
            evacuated: BTreeSet::new(),
        })
    }

    fn changed<'a>(&'a self, index: u64) -> LocalFuture<'a, ()> {
        Box::pin(async move {
            if index >= 1 {
                std::future::pending().await
            }
        })
    }

    fn confirmed_ago(&self) -> Option<Duration> {
        Some(Duration::ZERO)
    }

    fn controls(&self) -> Vec<SocketAddr> {
        vec![address(1)]
    }
}
