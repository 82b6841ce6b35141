//! Orders of the platform to an engine: load or unload a model, load an adapter, change the role.
//! They carry a fencing number, which some engines check and others ignore.

use {
    gullglade_backend::FencingMode,
    gullglade_units::{ChangeId, ModelName},
    serde::{Deserialize, Serialize},
};

/// Orders kept for `GET /platform/orders`.
const KEPT_ORDERS: usize = 1_024;

/// The body of `POST /platform/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformOrder {
    /// Names the order, so that one sent again is not carried out again; none where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<ChangeId>,
    /// Grows with each holder of the right to give orders; of two holders the higher is newer.
    pub fence: u64,
    /// What to do.
    pub action: OrderAction,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum OrderAction {
    /// Load a model, or another version of it.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version; any where absent.
        #[serde(default)]
        version: Option<String>,
        /// The size of its weights, bytes.
        #[serde(default)]
        bytes: u64,
    },
    /// Give a model up.
    UnloadModel {
        /// The model.
        model: ModelName,
    },
    /// Load an adapter; it is served as a model of its own name.
    LoadAdapter {
        /// The model it belongs to.
        model: ModelName,
        /// The name it is served under.
        adapter: ModelName,
        /// The size of its weights, bytes.
        #[serde(default)]
        bytes: u64,
    },
    /// Work on one stage only, or on both.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
}

/// What an engine works on.
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

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// Carried out, or begun.
    Obeyed,
    /// Obeyed before under the same id; nothing is left to do.
    Repeated,
    /// Refused: its fencing number is older than one seen before.
    Stale,
}

/// One order as the engine remembers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: PlatformOrder,
    /// What became of it.
    pub outcome: OrderOutcome,
}

/// The answer to an order and to `GET /platform/orders`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// The highest fencing number seen.
    pub fence: u64,
    /// What the engine works on.
    pub role: EngineRole,
    /// Models and adapters loaded.
    pub models: Vec<ModelName>,
    /// The orders taken, oldest first.
    pub orders: Vec<OrderRecord>,
}

impl OrderState {
    /// Decides on an order and remembers it.
    pub fn decide(&mut self, order: &PlatformOrder, fencing: FencingMode) -> OrderOutcome {
        let stale = order.fence < self.fence && fencing == FencingMode::Checks;
        let outcome = match (stale, self.obeyed(order.id.as_ref())) {
            (true, _) => OrderOutcome::Stale,
            (false, true) => OrderOutcome::Repeated,
            (false, false) => OrderOutcome::Obeyed,
        };
        self.fence = self.fence.max(order.fence);
        if self.orders.len() == KEPT_ORDERS {
            self.orders.remove(0);
        }
        self.orders.push(OrderRecord { order: order.clone(), outcome });
        outcome
    }

    fn obeyed(&self, id: Option<&ChangeId>) -> bool {
        let known = |record: &OrderRecord| {
            record.order.id.as_ref() == id && record.outcome == OrderOutcome::Obeyed
        };
        id.is_some() && self.orders.iter().any(known)
    }

    /// Brings an obeyed order into force, once its weights are there.
    pub fn apply(&mut self, action: &OrderAction) {
        match action {
            OrderAction::LoadModel { model, .. } => self.add_model(model),
            OrderAction::LoadAdapter { adapter, .. } => self.add_model(adapter),
            OrderAction::UnloadModel { model } => self.models.retain(|held| held != model),
            OrderAction::ChangeRole { role } => self.role = *role,
        }
    }

    fn add_model(&mut self, model: &ModelName) {
        if !self.models.contains(model) {
            self.models.push(model.clone());
        }
    }
}

impl OrderAction {
    /// What must be fetched from the weight store first: the name and the size in bytes.
    pub fn weights(&self) -> Option<(&ModelName, u64)> {
        match self {
            Self::LoadModel { model, bytes, .. } => Some((model, *bytes)),
            Self::LoadAdapter { adapter, bytes, .. } => Some((adapter, *bytes)),
            Self::UnloadModel { .. } | Self::ChangeRole { .. } => None,
        }
    }
}
