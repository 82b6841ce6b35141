//! Errors of a control process.

use {
    crate::{
        change::{ChangeRefusal, RequestError},
        entry::{LogIndex, MemberId, Term},
        groups::GroupRefusal,
        log::LogError,
    },
    gullglade_units::{CodecError, VmName},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// Reasons for which a control process does not start or has stopped.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The data folder cannot be used, or a disk operation failed.
    #[snafu(display("{source}"), context(false))]
    Log {
        /// The error of the data folder.
        source: LogError,
    },
    /// The image in the snapshot does not decode.
    #[snafu(display(
        "the snapshot at index {} does not decode: {reason}; start the version of gullglade that \
         wrote it, or empty the data folder and run `gladectl control replace`", index.0
    ))]
    Image {
        /// The index of the snapshot.
        index: LogIndex,
        /// The message of the decoder.
        reason: String,
    },
    /// A leader's log conflicts with a committed entry.
    #[snafu(display(
        "the entry at index {} is committed on this member, but differs on the leader; stop the \
         control processes, compare their data folders, and report this fault", index.0
    ))]
    Diverged {
        /// The index of the conflicting entry.
        index: LogIndex,
    },
}

impl ControlError {
    pub(crate) fn image(index: LogIndex, error: &CodecError) -> Self {
        Self::Image { index, reason: error.to_string() }
    }
}

/// Reasons for which a change has no outcome.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(crate)))]
pub enum ChangeError {
    /// The change was rejected before it was proposed. It has not taken effect and never will.
    #[snafu(display("{reason}"))]
    Invalid {
        /// The reason for the rejection.
        reason: String,
    },
    /// The log gives the change no outcome.
    #[snafu(display("{source}"), context(false))]
    Refused {
        /// The reason.
        source: ChangeRefusal,
    },
    /// No leader is known. The change was not sent to one.
    #[snafu(display(
        "no control leader is known on this VM; the change was not run: try again in a few \
         seconds, and see `gladectl status` if it lasts"
    ))]
    NoLeader,
    /// Too many changes are waiting. The change was not run.
    #[snafu(display(
        "{waiting} changes are waiting for the control log; the change was not run: try again in a \
         few seconds"
    ))]
    Overloaded {
        /// The number of waiting changes.
        waiting: usize,
    },
    /// The outcome is unknown.
    #[snafu(display(
        "the outcome of the change is unknown ({reason}); send it again with the same \
         --change-id: it takes effect at most once"
    ))]
    Unknown {
        /// The cause.
        reason: String,
    },
    /// This process has stopped.
    #[snafu(display("this control process has stopped: {reason}"))]
    Stopped {
        /// The reason for the stop.
        reason: String,
    },
    /// Another order about the same failure domain may have been accepted meanwhile. The order was
    /// not run.
    #[snafu(display(
        "another order for this failure domain may have been accepted meanwhile (term {}, index \
         {}); the order was not run: check which one is meant and send it again", term.0, index.0
    ))]
    Superseded {
        /// The term of the other order, or of the leader that does not know an earlier one.
        term: Term,
        /// Its index, or that of the first entry of the leader.
        index: LogIndex,
    },
}

impl ChangeError {
    /// Returns whether the change may have been run, or may still be.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

impl From<RequestError> for ChangeError {
    fn from(error: RequestError) -> Self {
        Self::Invalid { reason: error.to_string() }
    }
}

impl From<GroupRefusal> for ChangeError {
    fn from(refusal: GroupRefusal) -> Self {
        Self::Invalid { reason: refusal.to_string() }
    }
}

/// Reasons for which a replacement of a voter is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(crate)))]
pub enum ReplaceError {
    /// The VM is not a voter.
    #[snafu(display("{vm} is not a control voter; `gladectl status` lists them"))]
    NoSuchVoter {
        /// The VM named in the request.
        vm: VmName,
    },
    /// A replacement is in progress.
    #[snafu(display(
        "a replacement of {old} by {new} is in progress; wait until `gladectl status` shows it done"
    ))]
    InProgress {
        /// The voter being replaced.
        old: MemberId,
        /// The member replacing it.
        new: MemberId,
    },
    /// The new member does not answer.
    #[snafu(display(
        "the control process at {address} does not answer ({reason}); start it with --roles \
         control and an empty --data-dir, then try again"
    ))]
    Unreachable {
        /// The address of the new member.
        address: SocketAddr,
        /// The message of the transport.
        reason: String,
    },
    /// The new member already belongs to a log.
    #[snafu(display(
        "the control process at {address} already keeps a log ({found}); give it an empty --data-dir"
    ))]
    NotEmpty {
        /// The address of the new member.
        address: SocketAddr,
        /// The identity of that log.
        found: String,
    },
    /// The leader cannot begin a replacement at present.
    #[snafu(display("the replacement was not begun: {reason}; try again in a few seconds"))]
    NotNow {
        /// The reason.
        reason: String,
    },
}
