//! Orders and their actions. The JSON form of [`PlatformOrder`] is the body of `POST
//! /platform/orders`.

use {
    crate::FenceNumber,
    gullglade_backend::FencingMode,
    gullglade_units::{BackendName, ChangeId, ModelName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The action of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum OrderAction {
    /// Load a model, or another version of it.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version. If absent, the engine chooses.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<String>,
        /// Size of the weights in bytes.
        #[serde(default)]
        bytes: u64,
    },
    /// Unload a model.
    UnloadModel {
        /// The model.
        model: ModelName,
    },
    /// Load an adapter, which is served as a model of its own name.
    LoadAdapter {
        /// The base model.
        model: ModelName,
        /// The name under which the adapter is served.
        adapter: ModelName,
        /// Size of the weights in bytes.
        #[serde(default)]
        bytes: u64,
    },
    /// Change the inference stages that the engine works on.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
}

impl OrderAction {
    /// Returns the number of bytes that the engine fetches from the weight store.
    pub fn weight_bytes(&self) -> u64 {
        match self {
            Self::LoadModel { bytes, .. } | Self::LoadAdapter { bytes, .. } => *bytes,
            Self::UnloadModel { .. } | Self::ChangeRole { .. } => 0,
        }
    }
}

/// The inference stages that an engine works on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// The engine that an order is sent to, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineTarget {
    /// Name of the engine.
    pub backend: BackendName,
    /// Address for orders.
    pub address: SocketAddr,
    /// Tells if the engine refuses orders with a stale fencing number.
    pub fencing: FencingMode,
}

/// An order to one engine, without a fencing number yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The id. A resend has the same id.
    pub id: ChangeId,
    /// The engine.
    pub target: EngineTarget,
    /// The action.
    pub action: OrderAction,
}

/// An order as sent to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformOrder {
    /// The id, which lets a platform detect resends.
    pub id: ChangeId,
    /// The fencing number of the lease under which the order is sent.
    pub fence: FenceNumber,
    /// The action.
    pub action: OrderAction,
}
