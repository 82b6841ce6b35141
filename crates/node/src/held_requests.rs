//! Operator view of quarantined requests: requests that are held back because backend servers
//! terminated while processing them.

use {
    gullglade_poison::{ContentFingerprint, FingerprintError, SharedCrashTracker},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::rc::Rc,
};

/// A request that is held back, identified by its fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRow {
    /// Fingerprint of the request, in the same format as in log lines.
    pub fingerprint: String,
    /// Number of backend servers that terminated while processing the request.
    pub ends: u32,
    /// Remaining time of the hold, in milliseconds.
    pub left_ms: u64,
}

/// Errors of [`HeldRequests::release`].
#[derive(Debug, Snafu)]
pub enum HeldError {
    /// The text is not a valid fingerprint.
    #[snafu(display("{source}"), context(false))]
    Print {
        /// The parse error.
        source: FingerprintError,
    },
    /// The crash tracker has no record of this request.
    #[snafu(display(
        "no backend server termination is on record for {print}; list the held requests"
    ))]
    Unknown {
        /// The requested fingerprint.
        print: ContentFingerprint,
    },
}

/// Requests held back according to the crash tracker of one process.
pub struct HeldRequests(Rc<SharedCrashTracker>);

impl HeldRequests {
    /// Creates a view of the crash tracker `ledger`.
    pub fn new(ledger: Rc<SharedCrashTracker>) -> Self {
        Self(ledger)
    }

    /// Returns all requests that are currently held back.
    pub fn list(&self) -> Vec<HeldRow> {
        let row = |(print, hold): (ContentFingerprint, gullglade_poison::RequestHold)| HeldRow {
            fingerprint: print.to_string(),
            ends: hold.ends,
            left_ms: u64::try_from(hold.left.as_millis()).unwrap_or(u64::MAX),
        };
        self.0.holds().into_iter().map(row).collect()
    }

    /// Releases a request on this process and on all gateways that it can reach. Earlier backend
    /// server terminations no longer count against the request.
    pub fn release(&self, fingerprint: &str) -> Result<(), HeldError> {
        let print = ContentFingerprint::try_from(fingerprint)?;
        match self.0.release(print) {
            true => Ok(()),
            false => UnknownSnafu { print }.fail(),
        }
    }
}
