//! Requests that a connection has carried, by the id that their replies state.

use std::hash::{DefaultHasher, Hasher};

/// Most requests with a key that one connection carries, which bounds what is remembered of it.
const MAX_REMEMBERED_KEYS: usize = 256;

/// Request extension: the id by which a reply is assigned to its request. The request is not sent on
/// a connection that has carried another one with the same key.
///
/// A server may reply to a request a second time, late and in place of the reply to the next
/// request on the connection. The id tells the two apart, except if both requests are sends of the
/// same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CorrelationKey(u64);

impl CorrelationKey {
    /// Returns the key of the request with this id. Ids that share a key are only kept apart
    /// without need.
    pub fn of(id: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        hasher.write(id);
        Self(hasher.finish())
    }
}

/// Keys of the requests that a connection has carried.
#[derive(Debug, Default)]
pub(super) struct CarriedKeys(Vec<CorrelationKey>);

impl CarriedKeys {
    pub(super) fn add(&mut self, key: CorrelationKey) {
        self.0.push(key);
    }

    pub(super) fn contains(&self, key: CorrelationKey) -> bool {
        self.0.contains(&key)
    }

    /// Returns true if the connection may carry no more requests.
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MAX_REMEMBERED_KEYS
    }
}
