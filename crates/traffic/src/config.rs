//! A whole configuration, checked.

use {
    crate::{
        RawTraffic, RouteTable, ServicePool, TrafficError, TrafficRoute, TrafficWorkspace,
        WorkspaceTable,
    },
    gullglade_units::ServiceName,
    std::{
        collections::{BTreeMap, btree_map::Entry},
        rc::Rc,
        time::Duration,
    },
};

/// Bounds on what callers send, and on how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The most bytes of a request's head.
    pub head_bytes: usize,
    /// The most bytes of a request's body.
    pub body_bytes: u64,
    /// The time for a head, from its first byte to its last.
    pub head_timeout: Duration,
    /// How long a connection may wait for its next request.
    pub idle_timeout: Duration,
}

/// A configuration, checked.
#[derive(Debug)]
pub struct TrafficConfig {
    version: u64,
    table: RouteTable,
    services: BTreeMap<ServiceName, Rc<ServicePool>>,
    workspaces: WorkspaceTable,
    limits: CallerLimits,
}

impl TrafficConfig {
    /// The operators' number for it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Its routes.
    pub fn routes(&self) -> &RouteTable {
        &self.table
    }

    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Rc<ServicePool>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Rc<ServicePool>> {
        self.services.values()
    }

    /// Its workspaces.
    pub fn workspaces(&self) -> &WorkspaceTable {
        &self.workspaces
    }

    /// Bounds on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

impl TryFrom<RawTraffic> for TrafficConfig {
    type Error = TrafficError;

    fn try_from(raw: RawTraffic) -> Result<Self, TrafficError> {
        let mut services = BTreeMap::new();
        for service in raw.services {
            let service = ServicePool::try_from(service)?;
            match services.entry(service.name.clone()) {
                Entry::Vacant(place) => place.insert(Rc::new(service)),
                Entry::Occupied(place) => {
                    let service = place.key().to_string();
                    return Err(TrafficError::DuplicateService { service });
                }
            };
        }
        let mut table = RouteTable::default();
        for route in raw.routes {
            let route = TrafficRoute::try_from(route)?;
            let unknown = route.targets.iter().find(|t| !services.contains_key(&t.service));
            if let Some(target) = unknown {
                let service = target.service.to_string();
                return Err(TrafficError::UnknownService { route: route.name, service });
            }
            table.add(route)?;
        }
        let mut workspaces = WorkspaceTable::default();
        for workspace in raw.workspaces {
            workspaces.add(TrafficWorkspace::try_from(workspace)?)?;
        }
        Ok(Self { version: raw.version, table, services, workspaces, limits: raw.limits })
    }
}
