//! Operator view of quarantined requests and prompt parts, which are held back because backend
//! servers terminated while processing them.

use {
    gullglade_poison::{CrashSuspect, FingerprintError, RequestHold, SharedCrashTracker},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::rc::Rc,
};

/// A request or prompt part that is held back, identified by its fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRow {
    /// Fingerprint, in the same format as in log lines.
    pub fingerprint: String,
    /// Number of backend servers that terminated while processing it.
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
    /// The crash tracker has no record of it.
    #[snafu(display("no backend server termination is on record for {print}; list what is held"))]
    Unknown {
        /// The requested fingerprint.
        print: CrashSuspect,
    },
}

/// Requests held back according to the crash tracker of one process.
pub struct HeldRequests(Rc<SharedCrashTracker>);

impl HeldRequests {
    /// Creates a view of the crash tracker `ledger`.
    pub fn new(ledger: Rc<SharedCrashTracker>) -> Self {
        Self(ledger)
    }

    /// Returns everything that is currently held back.
    pub fn list(&self) -> Vec<HeldRow> {
        let row = |(print, hold): (CrashSuspect, RequestHold)| HeldRow {
            fingerprint: print.to_string(),
            ends: hold.ends,
            left_ms: u64::try_from(hold.left.as_millis()).unwrap_or(u64::MAX),
        };
        self.0.holds().into_iter().map(row).collect()
    }

    /// Releases a request or prompt part on this process and on all gateways that it can reach.
    /// Earlier backend server terminations no longer count against it.
    pub fn release(&self, fingerprint: &str) -> Result<(), HeldError> {
        let print = CrashSuspect::try_from(fingerprint)?;
        match self.0.release(print) {
            true => Ok(()),
            false => UnknownSnafu { print }.fail(),
        }
    }
}
