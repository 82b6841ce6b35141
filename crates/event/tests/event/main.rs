//! Tests of the event crate, in one program that shares its support.

mod alerts;
mod bounds;
mod lines;
mod metrics;
mod support;
mod timeline;
