//! Workspaces: the callers, with their keys, quotas and allowed regions.

use {
    crate::{RawQuota, RawWorkspace, TrafficError},
    gullglade_units::{RegionName, TokenHash, WorkspaceName},
    std::{
        collections::{BTreeMap, HashMap, btree_map::Entry},
        rc::Rc,
    },
};

/// The unit in which a quota is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Number of requests.
    Requests,
    /// Number of tokens: those of the prompt plus the maximum length of the answer.
    Tokens {
        /// Tokens charged for a request that does not state its token counts.
        default_cost: u64,
    },
}

/// Rate limit of a workspace, applied to all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceQuota {
    /// Unit in which the quota is counted.
    pub unit: QuotaUnit,
    /// Units per second; greater than 0.
    pub rate: f64,
    /// Units that may be used at once in addition to the rate.
    pub burst: f64,
}

/// A validated workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficWorkspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Hashes of the API keys.
    pub keys: Vec<TokenHash>,
    /// Priority of the workspace's requests; `None` to use the priority of each route.
    pub priority: Option<u8>,
    /// Regions in which requests may be served; empty allows every region.
    pub homes: Vec<RegionName>,
    /// Quota of the workspace; `None` for no limit.
    pub quota: Option<WorkspaceQuota>,
}

impl TrafficWorkspace {
    /// Returns whether requests of the workspace may be served in `region`.
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
            quota: quota.and_then(validate_quota),
        })
    }
}

/// Returns the validated quota, or `None` if its rate is 0 or less, which means no limit.
fn validate_quota(raw: RawQuota) -> Option<WorkspaceQuota> {
    let RawQuota { unit, rate, burst } = raw;
    (rate > 0.0).then(|| WorkspaceQuota { unit, rate, burst: burst.max(0.0) })
}

/// Workspaces indexed by name and by key.
#[derive(Debug, Default)]
pub struct WorkspaceTable {
    by_name: BTreeMap<WorkspaceName, Rc<TrafficWorkspace>>,
    by_key: HashMap<TokenHash, Rc<TrafficWorkspace>>,
}

impl WorkspaceTable {
    /// Adds a workspace.
    ///
    /// # Errors
    ///
    /// [`TrafficError::DuplicateWorkspace`] if a workspace of that name exists, and
    /// [`TrafficError::SharedKey`] if another workspace has one of its keys.
    pub(crate) fn add(&mut self, workspace: TrafficWorkspace) -> Result<(), TrafficError> {
        let workspace = Rc::new(workspace);
        match self.by_name.entry(workspace.name.clone()) {
            Entry::Vacant(entry) => entry.insert(Rc::clone(&workspace)),
            Entry::Occupied(entry) => {
                let workspace = entry.key().to_string();
                return Err(TrafficError::DuplicateWorkspace { workspace });
            }
        };
        for key in &workspace.keys {
            let previous = self.by_key.insert(*key, Rc::clone(&workspace));
            if let Some(first) = previous.filter(|first| first.name != workspace.name) {
                let (first, second) = (first.name.to_string(), workspace.name.to_string());
                return Err(TrafficError::SharedKey { first, second });
            }
        }
        Ok(())
    }

    /// Returns the workspace to which the key with hash `key` belongs.
    ///
    /// Keys are compared by their hashes, so the duration of the lookup does not reveal how close a
    /// guessed key is to a valid one.
    pub fn find_by_key(&self, key: &TokenHash) -> Option<&Rc<TrafficWorkspace>> {
        self.by_key.get(key)
    }

    /// Returns the workspace called `name`.
    pub fn get(&self, name: &WorkspaceName) -> Option<&Rc<TrafficWorkspace>> {
        self.by_name.get(name)
    }

    /// Iterates over all workspaces, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<TrafficWorkspace>> {
        self.by_name.values()
    }

    /// Returns whether there are no workspaces, in which case requests need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
