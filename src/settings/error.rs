//! Why a setting is refused.

use {snafu::Snafu, std::path::PathBuf};

/// A refusal that names the flag, the value and the remedy.
#[derive(Debug, Snafu)]
pub enum SettingError {
    /// A value does not parse.
    #[snafu(display("--{flag} {value:?}: {reason}; {remedy}"))]
    BadValue {
        /// The flag, without dashes.
        flag: &'static str,
        /// The value given.
        value: String,
        /// What is wrong.
        reason: String,
        /// What to give instead.
        remedy: String,
    },
    /// Two settings do not go together.
    #[snafu(display("--{flag}: {reason}; {remedy}"))]
    Conflict {
        /// The flag, without dashes.
        flag: &'static str,
        /// What is wrong.
        reason: String,
        /// What to change.
        remedy: String,
    },
    /// A file that a setting names cannot be read.
    #[snafu(display("--{flag} {}: {source}; make the file readable by this process", path.display()))]
    Unreadable {
        /// The flag, without dashes.
        flag: &'static str,
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
}
