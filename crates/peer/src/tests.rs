//! Tests that need private types: wire format, protocol violations, keepalive and backoff.

mod golden;
mod keepalive;
mod properties;
mod protocol_violations;
mod raw;
mod unresponsive;
