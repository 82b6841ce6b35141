//! Requests to change the configuration, and their outcomes.

use {
    crate::{
        entry::{Command, LogIndex},
        groups::{GroupOutcome, GroupRequest},
        traffic::{TrafficChange, TrafficOutcome},
    },
    gullglade_document::{DocumentError, ServiceDocument},
    gullglade_units::{ChangeId, RegionName, ServiceName, WallMillis},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, rc::Rc},
};

/// The version of a service's document: 0 before the first change, incremented by each accepted
/// change.
pub type DocumentVersion = u64;

/// The maximum length of an author's name, in bytes.
const MAX_AUTHOR_BYTES: usize = 64;

/// A compare-and-set request: if `service` is at version `base`, replace its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The operator's id for this change. A resend carries the same id.
    pub id: ChangeId,
    /// The service to change.
    pub service: ServiceName,
    /// The version on which the change is based.
    pub base: DocumentVersion,
    /// The text of the new document, or `None` to remove the service.
    pub text: Option<Rc<str>>,
    /// The author of the change.
    pub author: String,
}

/// Reasons to reject a change before it is proposed to the log. The rejection is not recorded:
/// validating the same request again gives the same result.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RequestError {
    /// The document is invalid.
    #[snafu(display("the document is refused: {source}"))]
    Document {
        /// The validation error.
        source: DocumentError,
    },
    /// The document names another service.
    #[snafu(display(
        "the change is for service {service} but the document says {named}; make them the same"
    ))]
    OtherService {
        /// The service in the request.
        service: ServiceName,
        /// The service in the document.
        named: ServiceName,
    },
    /// The author's name is empty or too long.
    #[snafu(display("the author's name has {length} bytes; give 1 to {MAX_AUTHOR_BYTES}"))]
    Author {
        /// The length given, in bytes.
        length: usize,
    },
}

impl ChangeRequest {
    /// Validates everything that does not depend on the state of the log.
    pub fn check(&self) -> Result<(), RequestError> {
        check_author(&self.author)?;
        let Some(text) = &self.text else { return Ok(()) };
        let document = ServiceDocument::try_from(&**text)
            .map_err(|source| RequestError::Document { source })?;
        if document.name == self.service {
            return Ok(());
        }
        Err(RequestError::OtherService { service: self.service.clone(), named: document.name })
    }
}

/// Checks the length of an author's name.
pub(crate) fn check_author(author: &str) -> Result<(), RequestError> {
    match author.len() {
        1..=MAX_AUTHOR_BYTES => Ok(()),
        length => Err(RequestError::Author { length }),
    }
}

/// The object of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeTarget {
    /// A service's document.
    Service(ServiceName),
    /// A region's claim group.
    ClaimGroup(RegionName),
}

impl ChangeTarget {
    /// Returns the operator command that shows the current state of the target.
    fn command(&self) -> String {
        match self {
            Self::Service(service) => format!("gladectl get {service}"),
            Self::ClaimGroup(_) => "gladectl claims show".to_owned(),
        }
    }
}

impl fmt::Display for ChangeTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(service) => write!(f, "service {service}"),
            Self::ClaimGroup(region) => write!(f, "the claim group of {region}"),
        }
    }
}

/// A configuration change of any kind, as it is proposed to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ConfigChange {
    /// A change to a service's document.
    Service(ChangeRequest),
    /// A change to a region's claim group.
    ClaimGroup(GroupRequest),
    /// A change to the traffic configuration.
    Traffic(TrafficChange),
}

impl ConfigChange {
    /// Returns the change as a key of the table of outcomes, or `None` for a change that needs no
    /// id because deciding it again has the same outcome.
    pub(crate) fn identified(&self) -> Option<IdentifiedChange<'_>> {
        match self {
            Self::Service(request) => Some(IdentifiedChange::Service(request)),
            Self::ClaimGroup(request) => Some(IdentifiedChange::ClaimGroup(request)),
            Self::Traffic(_) => None,
        }
    }

    pub(crate) fn command(&self) -> Command {
        match self {
            Self::Service(request) => Command::Change(request.clone()),
            Self::ClaimGroup(request) => Command::ClaimGroup(request.clone()),
            Self::Traffic(change) => Command::Traffic(change.clone()),
        }
    }
}

/// A change with an operator-assigned id, by which a resend receives the first outcome.
#[derive(Clone, Copy, Debug)]
pub(crate) enum IdentifiedChange<'a> {
    /// A change to a service's document.
    Service(&'a ChangeRequest),
    /// A change to a region's claim group.
    ClaimGroup(&'a GroupRequest),
}

impl<'a> IdentifiedChange<'a> {
    pub(crate) fn id(self) -> &'a ChangeId {
        match self {
            Self::Service(request) => &request.id,
            Self::ClaimGroup(request) => &request.id,
        }
    }

    pub(crate) fn target(self) -> ChangeTarget {
        match self {
            Self::Service(request) => ChangeTarget::Service(request.service.clone()),
            Self::ClaimGroup(request) => ChangeTarget::ClaimGroup(request.region.clone()),
        }
    }
}

/// The outcome of a configuration change of any kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigOutcome {
    /// The outcome of a change to a service's document.
    Service(ChangeOutcome),
    /// The outcome of a change to a region's claim group.
    ClaimGroup(GroupOutcome),
    /// The outcome of a change to the traffic configuration.
    Traffic(TrafficOutcome),
}

/// An accepted change to a service's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The operator's id for the change.
    pub id: ChangeId,
    /// The author of the change.
    pub author: String,
    /// The service that was changed.
    pub service: ServiceName,
    /// The version that the change created.
    pub version: DocumentVersion,
    /// The index of the log entry that carries the change.
    pub index: LogIndex,
    /// The leader's wall time when it appended the entry.
    pub wall: WallMillis,
}

/// The outcome of a change. It is decided once, when the log entry is applied, and is identical on
/// every member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change took effect.
    Accepted(AcceptedChange),
    /// The service was not at the version on which the change was based.
    Conflict(ChangeConflict),
}

/// A change that was not accepted because another one preceded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeConflict {
    /// The version on which the change was based.
    pub base: DocumentVersion,
    /// The current version.
    pub version: DocumentVersion,
    /// The change that created the current version, if any.
    pub winner: Option<AcceptedChange>,
}

impl fmt::Display for ChangeConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the change was made from version {} but ", self.base)?;
        match &self.winner {
            Some(winner) => write!(
                f,
                "{service} stands at version {version}, which change {id} of {author} made; read \
                 it with `gladectl get {service}`, merge your change into it and apply the result \
                 with --base {version}",
                service = winner.service,
                version = self.version,
                id = winner.id,
                author = winner.author,
            ),
            None => write!(f, "there is no such service yet; apply it with --base 0"),
        }
    }
}

/// Reasons for which the log gives a change no outcome.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ChangeRefusal {
    /// The id belongs to a different change.
    #[snafu(display(
        "change id {id} was used before for another change ({target}, base {base}); give this one \
         a new --change-id"
    ))]
    IdReused {
        /// The change id.
        id: ChangeId,
        /// The target of the change that used the id first.
        target: ChangeTarget,
        /// The base version or epoch of the change that used the id first.
        base: DocumentVersion,
    },
    /// The id is older than the retention period of outcomes.
    #[snafu(display(
        "change id {id} is more than {days} days old, and outcomes are not kept longer; check with \
         `{}` whether the change of {target} took effect, and if not, send it with a new id",
        target.command()
    ))]
    IdExpired {
        /// The change id.
        id: ChangeId,
        /// The target of the change.
        target: ChangeTarget,
        /// The retention period of outcomes, in days.
        days: u64,
    },
}
