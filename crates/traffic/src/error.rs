//! Why a configuration is refused.

use {gullglade_units::NameError, snafu::Snafu};

/// Why a traffic configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TrafficError {
    /// The text cannot be read.
    #[snafu(display("the configuration cannot be read ({reason}); send it whole and well-formed"))]
    Malformed {
        /// The reader's words.
        reason: String,
    },
    /// A name has characters that names do not have.
    #[snafu(display("{source}"), context(false))]
    Name {
        /// What is wrong with it.
        source: NameError,
    },
    /// A route names a service that the configuration does not have.
    #[snafu(display("route {route:?} names service {service:?}, which is not among the services"))]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes cover the same place.
    #[snafu(display(
        "routes {first:?} and {second:?} have the same host and prefix; remove one of them"
    ))]
    DuplicateRoute {
        /// The first of them.
        first: String,
        /// The second.
        second: String,
    },
    /// Two services have the same name.
    #[snafu(display("service {service:?} stands there twice; remove one of them"))]
    DuplicateService {
        /// The service.
        service: String,
    },
    /// Two workspaces have the same name.
    #[snafu(display("workspace {workspace:?} stands there twice; remove one of them"))]
    DuplicateWorkspace {
        /// The workspace.
        workspace: String,
    },
    /// Two workspaces have the same key, which is not named: errors are logged.
    #[snafu(display(
        "workspaces {first:?} and {second:?} have a key in common; give one of them another"
    ))]
    SharedKey {
        /// The first of them.
        first: String,
        /// The second.
        second: String,
    },
    /// A workspace has an empty key.
    #[snafu(display("workspace {workspace:?} has an empty key; remove it, or write the key"))]
    EmptyKey {
        /// The workspace.
        workspace: String,
    },
    /// A route goes nowhere.
    #[snafu(display("the weights of route {route:?} add up to 0; give one of them a weight"))]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// A route's timeout is 0.
    #[snafu(display("route {route:?} has a timeout of 0; give the milliseconds it may take"))]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[snafu(display("prefix {prefix:?} of route {route:?} must begin and end with a slash"))]
    InvalidPrefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
}
