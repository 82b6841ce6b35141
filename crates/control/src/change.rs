//! Changes of configuration: what an operator asks, and what is answered.

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

/// The version of a service's document: 0 before the first, then one more with each change.
pub type DocumentVersion = u64;

/// The most bytes of an author's name.
const MAX_AUTHOR_BYTES: usize = 64;

/// One compare-and-set: "`service` stands at version `base`; make it this document".
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The operator's id for this change; a resend carries the same.
    pub id: ChangeId,
    /// The service.
    pub service: ServiceName,
    /// The version the change was made from.
    pub base: DocumentVersion,
    /// The new document's text, or `None` to remove the service.
    pub text: Option<Rc<str>>,
    /// Who asks.
    pub author: String,
}

/// Why a change is refused before it reaches the log. Such a refusal is not remembered: the same
/// request would be refused again.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RequestError {
    /// The document is not acceptable.
    #[snafu(display("the document is refused: {source}"))]
    Document {
        /// Why.
        source: DocumentError,
    },
    /// The document speaks of another service.
    #[snafu(display(
        "the change is for service {service} but the document says {named}; make them the same"
    ))]
    OtherService {
        /// The change's service.
        service: ServiceName,
        /// The document's service.
        named: ServiceName,
    },
    /// The author's name is empty or too long.
    #[snafu(display("the author's name has {length} bytes; give 1 to {MAX_AUTHOR_BYTES}"))]
    Author {
        /// Bytes given.
        length: usize,
    },
}

impl ChangeRequest {
    /// Checks everything that does not depend on what stands in the log.
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

/// Whether the author's name has a length that is kept.
pub(crate) fn check_author(author: &str) -> Result<(), RequestError> {
    match author.len() {
        1..=MAX_AUTHOR_BYTES => Ok(()),
        length => Err(RequestError::Author { length }),
    }
}

/// What a change is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeTarget {
    /// A service's document.
    Service(ServiceName),
    /// A region's claim group.
    ClaimGroup(RegionName),
}

impl ChangeTarget {
    /// The command that shows what stands.
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

/// A change of configuration of either kind, on its way through the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ConfigChange {
    /// Of a service's document.
    Service(ChangeRequest),
    /// Of a region's claim group.
    ClaimGroup(GroupRequest),
    /// Of the traffic configuration.
    Traffic(TrafficChange),
}

impl ConfigChange {
    /// The change as the table of outcomes knows it; `None` for a change that needs no id, since
    /// deciding it again has the same outcome.
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

/// A change that an operator gave an id, so that a resend gets the first outcome.
#[derive(Clone, Copy, Debug)]
pub(crate) enum IdentifiedChange<'a> {
    /// Of a service's document.
    Service(&'a ChangeRequest),
    /// Of a region's claim group.
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

/// What became of a change of either kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigOutcome {
    /// Of a service's document.
    Service(ChangeOutcome),
    /// Of a region's claim group.
    ClaimGroup(GroupOutcome),
    /// Of the traffic configuration.
    Traffic(TrafficOutcome),
}

/// The change that stands at a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The operator's id for it.
    pub id: ChangeId,
    /// Who asked.
    pub author: String,
    /// The service.
    pub service: ServiceName,
    /// The version it made.
    pub version: DocumentVersion,
    /// Its place in the log.
    pub index: LogIndex,
    /// When the leader placed it.
    pub wall: WallMillis,
}

/// What became of a change; decided once, in the log's order, the same on every member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// It won.
    Accepted(AcceptedChange),
    /// The service stood at another version.
    Conflict(ChangeConflict),
}

/// The loser's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeConflict {
    /// The version the change was made from.
    pub base: DocumentVersion,
    /// The version that stands.
    pub version: DocumentVersion,
    /// The change that made it, where there is one.
    pub winner: Option<AcceptedChange>,
}

impl fmt::Display for ChangeConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the change was made from version {} but ", self.base)?;
        match &self.winner {
            Some(winner) => write!(
                f,
                "{service} stands at version {version}, which change {id} of {author} made; read \
                 it with `gladectl get {service}`, bring your change into it and apply that with \
                 --base {version}",
                service = winner.service,
                version = self.version,
                id = winner.id,
                author = winner.author,
            ),
            None => write!(f, "there is no such service yet; apply it with --base 0"),
        }
    }
}

/// Why the log decided nothing about a change.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ChangeRefusal {
    /// The id was used for another change.
    #[snafu(display(
        "change id {id} was used before for another change ({target}, base {base}); give this one \
         a new --change-id"
    ))]
    IdReused {
        /// The id.
        id: ChangeId,
        /// What the first change was about.
        target: ChangeTarget,
        /// What the first change was made from.
        base: DocumentVersion,
    },
    /// The id is older than outcomes are kept.
    #[snafu(display(
        "change id {id} was made more than {days} days ago and outcomes are kept no longer; look \
         at `{}` whether the change of {target} stands, else send it with a new id",
        target.command()
    ))]
    IdExpired {
        /// The id.
        id: ChangeId,
        /// What the change is about.
        target: ChangeTarget,
        /// How long outcomes are kept.
        days: u64,
    },
}
