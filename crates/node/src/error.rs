//! Errors that prevent a process from starting.

use {gullglade_event::MetricsError, snafu::Snafu};

/// A component of the process failed to start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)), context(suffix(Start)))]
pub enum StartError {
    /// An HTTP port could not be bound.
    #[snafu(display("{port} port: {source}"))]
    Http {
        /// Name of the port, such as `operators'`.
        port: &'static str,
        /// The underlying error.
        source: gullglade_http::BindError,
    },
    /// The peer port could not be bound.
    #[snafu(display("peer port: {source}"))]
    Peer {
        /// The underlying error.
        source: gullglade_peer::BindError,
    },
    /// The port for notices between gateways could not be bound.
    #[snafu(display("{source}"))]
    Notice {
        /// The underlying error.
        source: gullglade_peer::NoticeBindError,
    },
    /// The control role failed to start.
    #[snafu(display("control: {source}"))]
    Control {
        /// The underlying error.
        source: gullglade_control::ControlError,
    },
    /// The metrics could not be registered.
    #[snafu(display("{source}"))]
    Metrics {
        /// The underlying error.
        source: MetricsError,
    },
}
