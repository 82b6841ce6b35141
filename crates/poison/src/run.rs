//! One run of a backend server.

use {
    gullglade_units::{BackendName, Incarnation},
    serde::{Deserialize, Serialize},
};

/// One run of a backend server, from its start to its end. Another run of that name has ended under
/// nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendRun {
    /// The backend server.
    pub backend: BackendName,
    /// Which run of it.
    pub incarnation: Incarnation,
}
