//! Tests of the event crate, in one program with shared support code.

mod alerts;
mod bounds;
mod lines;
mod metrics;
mod support;
mod timeline;
