//! Why a process does not start.

use {gullglade_event::MetricsError, snafu::Snafu};

/// A part that could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)), context(suffix(Start)))]
pub enum StartError {
    /// The callers' or operators' port.
    #[snafu(display("{port} port: {source}"))]
    Http {
        /// Which port.
        port: &'static str,
        /// What failed.
        source: gullglade_http::BindError,
    },
    /// The peer port.
    #[snafu(display("peer port: {source}"))]
    Peer {
        /// What failed.
        source: gullglade_peer::BindError,
    },
    /// Notices between gateways.
    #[snafu(display("{source}"))]
    Notice {
        /// What failed.
        source: gullglade_peer::NoticeBindError,
    },
    /// The control role.
    #[snafu(display("control: {source}"))]
    Control {
        /// What failed.
        source: gullglade_control::ControlError,
    },
    /// The metrics.
    #[snafu(display("{source}"))]
    Metrics {
        /// What failed.
        source: MetricsError,
    },
}
