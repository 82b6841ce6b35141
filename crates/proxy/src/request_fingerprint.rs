//! Fingerprints of callers' requests and of the parts of their prompts, computed on first use.

use {
    crate::CallerRequest,
    gullglade_dispatch::{PromptPart, PromptShape},
    gullglade_event::FieldValue,
    gullglade_poison::{ContentFingerprint, FingerprintKey, PartFingerprint, RequestContent},
    gullglade_units::{ServiceName, WorkspaceName},
    http::header::AUTHORIZATION,
    std::{cell::OnceCell, fmt, rc::Rc},
};

/// Maximum number of parts of one prompt that are tracked. A caller that lists thousands must not
/// evict the records of all others.
const MAX_TRACKED_PARTS: usize = 64;

/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Ids of prompt parts, for log lines.
pub(crate) struct PartIds(Vec<u64>);

impl fmt::Display for PartIds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, id) in self.0.iter().take(MAX_LOGGED_PARTS).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{id:x}")?;
        }
        Ok(())
    }
}

impl FieldValue for PartIds {}

/// Fingerprint of one request. It is computed at most once, however often the request is sent, and
/// not at all while no request is suspect.
pub(crate) struct RequestFingerprint {
    request: Rc<CallerRequest>,
    workspace: Option<WorkspaceName>,
    service: ServiceName,
    key: FingerprintKey,
    cached: OnceCell<ContentFingerprint>,
    cached_parts: OnceCell<Vec<PartFingerprint>>,
}

impl RequestFingerprint {
    /// Creates the fingerprint of `request`. `known` is the fingerprint that the forwarding gateway
    /// has computed, if any.
    pub(crate) fn new(
        request: &Rc<CallerRequest>,
        workspace: Option<WorkspaceName>,
        service: ServiceName,
        key: FingerprintKey,
        known: Option<ContentFingerprint>,
    ) -> Rc<Self> {
        let cached = known.map_or_else(OnceCell::new, OnceCell::from);
        let request = Rc::clone(request);
        Rc::new(Self { request, workspace, service, key, cached, cached_parts: OnceCell::new() })
    }

    pub(crate) fn request(&self) -> &CallerRequest {
        &self.request
    }

    /// Returns the fingerprint, computing it on the first call.
    pub(crate) fn get(&self) -> ContentFingerprint {
        *self.cached.get_or_init(|| {
            let request = &self.request;
            self.key.fingerprint(&RequestContent {
                method: request.method.as_str(),
                host: &request.host,
                target: &request.target,
                credentials: self.credentials(),
                body: &request.body,
            })
        })
    }

    /// Returns the identity of the caller. The same request with another key of the same workspace
    /// has the same fingerprint.
    fn credentials(&self) -> &[u8] {
        match &self.workspace {
            Some(workspace) => workspace.as_str().as_bytes(),
            None => self.request.headers.get(AUTHORIZATION).map_or(&[], |value| value.as_bytes()),
        }
    }

    /// Returns the fingerprints of the prompt parts that other requests may share, in order.
    pub(crate) fn parts(&self) -> &[PartFingerprint] {
        self.cached_parts.get_or_init(|| {
            let fingerprint =
                |part: &PromptPart| self.key.part_fingerprint(self.service.as_str(), part.id);
            self.shared_parts().iter().map(fingerprint).collect()
        })
    }

    /// Returns the ids of the prompt parts that other requests may share, in order.
    pub(crate) fn part_ids(&self) -> PartIds {
        PartIds(self.shared_parts().iter().map(|part| part.id).collect())
    }

    fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.request.prompt.as_ref().map_or(&[][..], PromptShape::shared_parts);
        &shared[..shared.len().min(MAX_TRACKED_PARTS)]
    }

    /// Returns the fingerprint if it has been computed.
    pub(crate) fn cached(&self) -> Option<ContentFingerprint> {
        self.cached.get().copied()
    }
}
