//! Requests of callers, and answers.

use {
    gullglade_claim::{ClaimRequest, RequestFingerprint, StoredAnswer},
    gullglade_units::{MonotonicTime, OrderKey, RegionName, WorkspaceName},
    std::time::Duration,
};

/// One send of an order.
#[derive(Clone)]
pub(crate) struct SentOrder {
    pub(crate) key: OrderKey,
    pub(crate) workspace: WorkspaceName,
    pub(crate) region: RegionName,
    pub(crate) allowed: Vec<RegionName>,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) received: MonotonicTime,
    pub(crate) wait: Duration,
}

impl SentOrder {
    pub(crate) fn new(key: &OrderKey, body: &str, received: MonotonicTime) -> Self {
        let region = |name| RegionName::try_from(name).unwrap();
        Self {
            key: key.clone(),
            workspace: WorkspaceName::try_from("clerks").unwrap(),
            region: region("puget"),
            allowed: vec![region("puget"), region("inland")],
            fingerprint: RequestFingerprint::new(&[b"POST", body.as_bytes()]),
            received,
            wait: Duration::ZERO,
        }
    }

    pub(crate) fn request(&self) -> ClaimRequest<'_> {
        ClaimRequest {
            key: &self.key,
            workspace: &self.workspace,
            service_region: &self.region,
            allowed_regions: &self.allowed,
            fingerprint: self.fingerprint,
            received: self.received,
            wait: self.wait,
        }
    }
}

pub(crate) fn answer(text: &str) -> StoredAnswer {
    let headers = vec![("content-type".to_owned(), "application/json".into())];
    StoredAnswer::new(200, headers, text.to_owned().into(), 1 << 16).unwrap()
}
