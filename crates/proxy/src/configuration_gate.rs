//! Holds requests that arrive before the gateway has a configuration.
//!
//! After a power loss, all gateways of a region start at the same moment, and callers that were
//! disconnected return within a second. A gateway gets its configuration within about a second of
//! its start: once the voters are up, one election and one confirmation are needed. A caller that
//! is rejected uses up one of its few attempts and comes back long after the configuration has
//! arrived; a request that waits here is served as soon as it arrives.

use {
    futures::channel::oneshot,
    gullglade_units::{ProcessContext, timeout},
    std::{cell::RefCell, time::Duration},
};

/// Longest wait for a configuration. An election among voters in several regions and the
/// confirmation take up to a second after all of them are up.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// A request waits for at most this fraction of its caller's timeout; the rest is for the response,
/// or for the caller to try another gateway.
const CALLER_TIMEOUT_DIVISOR: u32 = 3;

/// Blocks requests until this gateway has a configuration.
#[derive(Default)]
pub(crate) struct ConfigurationGate(RefCell<Vec<oneshot::Sender<()>>>);

impl ConfigurationGate {
    /// Releases all waiting requests.
    pub(crate) fn open(&self) {
        for waiting in self.0.take() {
            // The receiver is gone if the caller has disconnected.
            let _: Result<(), ()> = waiting.send(());
        }
    }

    /// Waits until the gate is opened, at most for the time that is reasonable for
    /// `caller_timeout`. Returns the time waited.
    pub(crate) async fn wait(
        &self,
        caller_timeout: Option<Duration>,
        context: &ProcessContext,
    ) -> Duration {
        let began = context.clock.now();
        let limit = caller_timeout
            .map_or(MAX_WAIT, |caller_timeout| caller_timeout / CALLER_TIMEOUT_DIVISOR);
        let (opened, opened_receiver) = oneshot::channel();
        self.0.borrow_mut().push(opened);
        // The calling function checks for a configuration in either case.
        let _: Option<Result<(), oneshot::Canceled>> =
            timeout(&*context.clock, limit.min(MAX_WAIT), opened_receiver).await;
        context.clock.now().since(began)
    }
}
