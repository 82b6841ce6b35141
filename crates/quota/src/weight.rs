//! Weight of a request in its workspace's quota.

use gullglade_traffic::QuotaUnit;

/// Returns the units of a request. `tokens` are those of its prompt and of its longest possible
/// answer, if the request states them.
pub fn request_weight(unit: QuotaUnit, tokens: Option<(u32, u32)>) -> u64 {
    match (unit, tokens) {
        (QuotaUnit::Requests, _) => 1,
        (QuotaUnit::Tokens { .. }, Some((prompt, answer))) => u64::from(prompt) + u64::from(answer),
        (QuotaUnit::Tokens { default_cost }, None) => default_cost,
    }
}
