//! Requests that come to a gateway before it has a configuration.
//!
//! The load pattern: all gateways of a region are started at the same moment, after a loss of
//! power, and the callers that were cut off come back within the second. A gateway has its
//! configuration within a second or so of its start: after the voters are up, an election and one
//! confirmation. A caller that is told to come back uses up one of its few attempts, and at the
//! end of its pause the configuration has been there for a while; one that waits here is served
//! first thing.

use {
    futures::channel::oneshot,
    gullglade_units::{ProcessContext, timeout},
    std::{cell::RefCell, time::Duration},
};

/// The longest that a request waits for a configuration. An election among voters in several
/// regions and the confirmation take up to a second after all of them are up.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);

/// The part of its caller's patience that a request waits at the most: the rest is for the answer,
/// or for the caller to ask elsewhere.
const WAIT_PART: u32 = 3;

/// Where requests wait until this gateway has a configuration.
#[derive(Default)]
pub(crate) struct StartGate(RefCell<Vec<oneshot::Sender<()>>>);

impl StartGate {
    /// Lets everyone in who waits.
    pub(crate) fn open(&self) {
        for waiting in self.0.take() {
            // A caller that has left meanwhile is no longer there to be told.
            let _: Result<(), ()> = waiting.send(());
        }
    }

    /// Waits until the gate is opened, as long as it is worth it for a caller with this patience.
    /// Returns how long that took.
    pub(crate) async fn wait(
        &self,
        caller_timeout: Option<Duration>,
        context: &ProcessContext,
    ) -> Duration {
        let began = context.clock.now();
        let limit =
            caller_timeout.map_or(LONGEST_WAIT, |caller_timeout| caller_timeout / WAIT_PART);
        let (opened, gate) = oneshot::channel();
        self.0.borrow_mut().push(opened);
        // Opened or not, the caller of this looks whether there is a configuration now.
        let _: Option<Result<(), oneshot::Canceled>> =
            timeout(&*context.clock, limit.min(LONGEST_WAIT), gate).await;
        context.clock.now().since(began)
    }
}
