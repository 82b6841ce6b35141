//! What operators see and do of requests that are held back because backend servers ended under
//! them.

use {
    gullglade_poison::{ContentFingerprint, FingerprintError, SharedCrashTracker},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::rc::Rc,
};

/// A request that is held back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRow {
    /// Its fingerprint, as log lines have it.
    pub fingerprint: String,
    /// How many backend servers ended under it.
    pub ends: u32,
    /// How much longer it is held back, milliseconds.
    pub left_ms: u64,
}

/// Why a request cannot be let go.
#[derive(Debug, Snafu)]
pub enum HeldError {
    /// The text is no fingerprint.
    #[snafu(display("{source}"), context(false))]
    Print {
        /// What is wrong with it.
        source: FingerprintError,
    },
    /// Nothing is known of it.
    #[snafu(display("no backend server ended under {print} lately; see the list of those held"))]
    Unknown {
        /// The fingerprint.
        print: ContentFingerprint,
    },
}

/// The requests that are held back, as one process counts.
pub struct HeldRequests(Rc<SharedCrashTracker>);

impl HeldRequests {
    /// Those of `ledger`.
    pub fn new(ledger: Rc<SharedCrashTracker>) -> Self {
        Self(ledger)
    }

    /// All of them.
    pub fn list(&self) -> Vec<HeldRow> {
        let row = |(print, hold): (ContentFingerprint, gullglade_poison::RequestHold)| HeldRow {
            fingerprint: print.to_string(),
            ends: hold.ends,
            left_ms: u64::try_from(hold.left.as_millis()).unwrap_or(u64::MAX),
        };
        self.0.holds().into_iter().map(row).collect()
    }

    /// Lets one go, here and at all gateways that this process reaches: what ended under it before
    /// counts no more.
    pub fn let_go(&self, fingerprint: &str) -> Result<(), HeldError> {
        let print = ContentFingerprint::try_from(fingerprint)?;
        match self.0.release(print) {
            true => Ok(()),
            false => UnknownSnafu { print }.fail(),
        }
    }
}
