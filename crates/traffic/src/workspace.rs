//! Workspaces: who calls, and what they may.

use {
    crate::{RawQuota, RawWorkspace, TrafficError},
    gullglade_units::{RegionName, TokenHash, WorkspaceName},
    std::{
        collections::{BTreeMap, HashMap, btree_map::Entry},
        rc::Rc,
    },
};

/// What a quota is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest answer.
    Tokens {
        /// What a request weighs that does not state them.
        default_cost: u64,
    },
}

/// How much a workspace may ask of all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceQuota {
    /// What it is counted in.
    pub unit: QuotaUnit,
    /// Units a second; more than 0.
    pub rate: f64,
    /// Units beyond that at once.
    pub burst: f64,
}

/// A workspace, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficWorkspace {
    /// Its name.
    pub name: WorkspaceName,
    /// The hashes of its keys.
    pub keys: Vec<TokenHash>,
    /// The priority of its requests; `None`: that of their routes.
    pub priority: Option<u8>,
    /// The only regions in which its requests may be served; none: anywhere.
    pub homes: Vec<RegionName>,
    /// Its quota; `None`: no limit.
    pub quota: Option<WorkspaceQuota>,
}

impl TrafficWorkspace {
    /// Whether its requests may be served in `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }
}

impl TryFrom<RawWorkspace> for TrafficWorkspace {
    type Error = TrafficError;

    fn try_from(raw: RawWorkspace) -> Result<Self, TrafficError> {
        let RawWorkspace { name, keys, priority, homes, quota } = raw;
        let name = WorkspaceName::try_from(name)?;
        if keys.iter().any(String::is_empty) {
            return Err(TrafficError::EmptyKey { workspace: name.to_string() });
        }
        Ok(Self {
            name,
            keys: keys.iter().map(|key| TokenHash::of(key)).collect(),
            priority,
            homes: homes.into_iter().map(RegionName::try_from).collect::<Result<_, _>>()?,
            quota: quota.and_then(checked_quota),
        })
    }
}

/// The quota, where there is a limit.
fn checked_quota(raw: RawQuota) -> Option<WorkspaceQuota> {
    let RawQuota { unit, rate, burst } = raw;
    (rate > 0.0).then(|| WorkspaceQuota { unit, rate, burst: burst.max(0.0) })
}

/// Workspaces by name and by key.
#[derive(Debug, Default)]
pub struct WorkspaceTable {
    names: BTreeMap<WorkspaceName, Rc<TrafficWorkspace>>,
    keys: HashMap<TokenHash, Rc<TrafficWorkspace>>,
}

impl WorkspaceTable {
    /// Adds a workspace, which must have a name and keys of its own.
    pub(crate) fn add(&mut self, workspace: TrafficWorkspace) -> Result<(), TrafficError> {
        let workspace = Rc::new(workspace);
        match self.names.entry(workspace.name.clone()) {
            Entry::Vacant(place) => place.insert(Rc::clone(&workspace)),
            Entry::Occupied(place) => {
                let workspace = place.key().to_string();
                return Err(TrafficError::DuplicateWorkspace { workspace });
            }
        };
        for key in &workspace.keys {
            let holder = self.keys.insert(*key, Rc::clone(&workspace));
            if let Some(first) = holder.filter(|first| first.name != workspace.name) {
                let (first, second) = (first.name.to_string(), workspace.name.to_string());
                return Err(TrafficError::SharedKey { first, second });
            }
        }
        Ok(())
    }

    /// The workspace that holds a key.
    ///
    /// Keys are compared by their hashes, so the time that it takes says nothing of a key that is
    /// almost right.
    pub fn find_by_key(&self, key: &TokenHash) -> Option<&Rc<TrafficWorkspace>> {
        self.keys.get(key)
    }

    /// The workspace of this name.
    pub fn get(&self, name: &WorkspaceName) -> Option<&Rc<TrafficWorkspace>> {
        self.names.get(name)
    }

    /// All workspaces, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<TrafficWorkspace>> {
        self.names.values()
    }

    /// Whether there are none: then nobody needs a key.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
