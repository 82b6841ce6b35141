//! Bounds on the interim heads (1xx) that come before the head of a reply.

use {
    http::HeaderMap,
    hyper::ext::on_informational,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
};

/// The most interim heads of one reply. A server may send one every few seconds to show that it is
/// still at work.
const MAX_HEADS: usize = 128;

/// The most bytes of their headers.
const MAX_BYTES: usize = 64 << 10;

/// Counts the interim heads of the current reply of a connection. Clones share the count; `hyper`
/// asks for a type that may be sent to another thread.
#[derive(Clone, Debug, Default)]
pub(super) struct InterimHeads(Arc<InterimCounts>);

#[derive(Debug, Default)]
struct InterimCounts {
    heads: AtomicUsize,
    bytes: AtomicUsize,
}

impl InterimHeads {
    /// Counts anew, for the reply to `request`.
    pub(super) fn watch<B>(&self, request: &mut http::Request<B>) {
        self.0.heads.store(0, Relaxed);
        self.0.bytes.store(0, Relaxed);
        let heads = self.clone();
        on_informational(request, move |response| heads.note(response.headers()));
    }

    fn note(&self, headers: &HeaderMap) {
        let size: usize =
            headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        self.0.heads.fetch_add(1, Relaxed);
        self.0.bytes.fetch_add(size, Relaxed);
    }

    /// Whether there were more than any server needs. The connection is closed then, as they may
    /// have no end.
    pub(super) fn is_exceeded(&self) -> bool {
        self.0.heads.load(Relaxed) > MAX_HEADS || self.0.bytes.load(Relaxed) > MAX_BYTES
    }
}
