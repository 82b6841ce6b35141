//! Membership of backend servers and gateways, from a single table to several regions.

mod announcement;
mod cluster;
mod common;
mod entry;
mod properties;
mod regions;
mod relay;
mod subset;
mod table;
