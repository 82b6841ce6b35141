//! Why a deployment does not come up.

use snafu::Snafu;

/// What failed.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// A thread could not be started.
    #[snafu(display("thread {name}: {source}; close other programs"))]
    Thread {
        /// Its name.
        name: String,
        /// The system's reason.
        source: std::io::Error,
    },
    /// A part did not start.
    #[snafu(display("{name} did not start: {reason}"))]
    Start {
        /// The part.
        name: String,
        /// What it said.
        reason: String,
    },
    /// A document is not acceptable.
    #[snafu(display("document: {source}"))]
    Document {
        /// What is wrong.
        source: gullglade_document::DocumentError,
    },
    /// A thread is gone.
    #[snafu(display("{name} has ended"))]
    Gone {
        /// The part.
        name: String,
    },
    /// An address could not be reached.
    #[snafu(display("{what}: {reason}"))]
    Call {
        /// What was tried.
        what: String,
        /// What went wrong.
        reason: String,
    },
}
