//! Names that people choose. Each kind is a type of its own, so that a region cannot be passed
//! where a VM is meant, and each is checked once, where raw input enters.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, sync::Arc},
};

/// The most bytes a name may have.
const MAX_NAME_BYTES: usize = 64;

/// Why a text is not a name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The text is empty.
    #[snafu(display("a {kind} name is empty; give 1 to {MAX_NAME_BYTES} characters"))]
    Empty {
        /// What the name was meant to name.
        kind: &'static str,
    },
    /// The text is too long.
    #[snafu(display("{kind} name has {length} bytes; shorten it to {MAX_NAME_BYTES} or fewer"))]
    TooLong {
        /// What the name was meant to name.
        kind: &'static str,
        /// The bytes given.
        length: usize,
    },
    /// The text holds a character that is not allowed.
    #[snafu(display(
        "{kind} name {name:?} holds {character:?}; use letters, digits, '-', '_' and '.', \
         beginning with a letter or digit"
    ))]
    BadCharacter {
        /// What the name was meant to name.
        kind: &'static str,
        /// The text given.
        name: String,
        /// The first character refused.
        character: char,
    },
}

fn check_name(kind: &'static str, text: &str, extra: &[char]) -> Result<(), NameError> {
    let first = text.chars().next().ok_or(NameError::Empty { kind })?;
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { kind, length: text.len() });
    }
    let allowed =
        |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.') || extra.contains(&c);
    let refused = if first.is_ascii_alphanumeric() {
        text.chars().find(|c| !allowed(*c))
    } else {
        Some(first)
    };
    match refused {
        None => Ok(()),
        Some(character) => Err(NameError::BadCharacter { kind, name: text.to_owned(), character }),
    }
}

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $extra:expr) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                check_name($kind, text, &$extra)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::try_from(text.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::try_from(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), &self.0)
            }
        }
    };
}

checked_name!(
    /// A service: what one team's document describes.
    ServiceName, "service", []
);
checked_name!(
    /// A workspace: the unit that limits and fair shares are counted for.
    WorkspaceName, "workspace", []
);
checked_name!(
    /// A model, as callers spell it; `/` and `:` are allowed.
    ModelName, "model", ['/', ':']
);
checked_name!(
    /// A region.
    RegionName, "region", []
);
checked_name!(
    /// A failure domain inside a region.
    FailureDomain, "failure domain", []
);
checked_name!(
    /// A backend server: a model engine or a plain service.
    BackendName, "backend server", []
);
checked_name!(
    /// A VM that runs a process of the system.
    VmName, "VM", []
);
checked_name!(
    /// A whole deployment: the processes that talk to each other.
    ClusterName, "cluster", []
);
