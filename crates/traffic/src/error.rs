//! Errors in a traffic configuration.

use {gullglade_units::NameError, snafu::Snafu};

/// The reason why a traffic configuration was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TrafficError {
    /// The text could not be parsed.
    #[snafu(display(
        "cannot parse the configuration ({reason}); send it complete and well-formed"
    ))]
    Malformed {
        /// Message of the parser.
        reason: String,
    },
    /// A name is not valid, for example because of a character that names may not contain.
    #[snafu(display("{source}"), context(false))]
    Name {
        /// The rule that the name violates.
        source: NameError,
    },
    /// A route has a target that is not among the services of the configuration.
    #[snafu(display(
        "route {route:?} has unknown service {service:?} as a target; add it to the services"
    ))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display(
        "routes {first:?} and {second:?} have the same host and prefix; remove one of them"
    ))]
    DuplicateRoute {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
    },
    /// Two services have the same name.
    #[snafu(display("service {service:?} is defined twice; remove one definition"))]
    DuplicateService {
        /// Name of the service.
        service: String,
    },
    /// Two workspaces have the same name.
    #[snafu(display("workspace {workspace:?} is defined twice; remove one definition"))]
    DuplicateWorkspace {
        /// Name of the workspace.
        workspace: String,
    },
    /// Two workspaces have the same key. The message omits the key because errors are logged.
    #[snafu(display(
        "workspaces {first:?} and {second:?} share a key; give each workspace its own keys"
    ))]
    SharedKey {
        /// Name of the first workspace.
        first: String,
        /// Name of the second workspace.
        second: String,
    },
    /// A workspace has an empty key.
    #[snafu(display("workspace {workspace:?} has an empty key; remove it or set its value"))]
    EmptyKey {
        /// Name of the workspace.
        workspace: String,
    },
    /// The weights of a route's targets add up to 0, or the route has no target.
    #[snafu(display(
        "the target weights of route {route:?} add up to 0; set at least one above 0"
    ))]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// A route's timeout is 0.
    #[snafu(display("route {route:?} has a timeout of 0; set it to 1 ms or more"))]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[snafu(display("prefix {prefix:?} of route {route:?} must begin and end with a slash"))]
    InvalidPrefix {
        /// Name of the route.
        route: String,
        /// The invalid prefix.
        prefix: String,
    },
}
