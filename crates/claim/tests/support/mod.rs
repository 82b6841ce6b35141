//! Shared test support: a network, VMs, callers, and the check of their history.

// Each test binary uses a different part of this module.
#![allow(dead_code, unused_imports)]

mod caller;
mod history;
mod network;
mod region;

pub(crate) use {
    caller::{SentOrder, answer},
    history::{ClaimHistory, ReportedOutcome, SendId},
    network::{ANSWER_TEXT, FakeLink, FakeNetwork},
    region::{ClaimVm, ClaimWorld, GatewayBehavior},
};
