//! The validated traffic configuration.

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

/// Size limits and timeouts that apply to every caller connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Maximum time between the first and the last byte of a request's head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle between two requests.
    pub idle_timeout: Duration,
}

/// A validated traffic configuration: every target of a route is a known service; routes, services
/// and workspaces are unique; and no two workspaces share a key.
#[derive(Debug)]
pub struct TrafficConfig {
    version: u64,
    table: RouteTable,
    services: BTreeMap<ServiceName, Rc<ServicePool>>,
    workspaces: WorkspaceTable,
    limits: CallerLimits,
}

impl TrafficConfig {
    /// Returns the version number that the operators gave to this configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the table of routes.
    pub fn routes(&self) -> &RouteTable {
        &self.table
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Rc<ServicePool>> {
        self.services.get(name)
    }

    /// Iterates over all services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &Rc<ServicePool>> {
        self.services.values()
    }

    /// Returns the table of workspaces.
    pub fn workspaces(&self) -> &WorkspaceTable {
        &self.workspaces
    }

    /// Returns the limits on caller connections.
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
                Entry::Vacant(entry) => entry.insert(Rc::new(service)),
                Entry::Occupied(entry) => {
                    let service = entry.key().to_string();
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
