//! Finding a request's route.

use {
    crate::{TrafficError, TrafficRoute},
    std::{collections::HashMap, rc::Rc},
};

/// Routes by host and prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, HashMap<String, Rc<TrafficRoute>>>,
}

impl RouteTable {
    /// Adds a route, which must have a place of its own.
    pub(crate) fn add(&mut self, route: TrafficRoute) -> Result<(), TrafficError> {
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        if let Some(first) = prefixes.get(&route.prefix) {
            let first = first.name.clone();
            return Err(TrafficError::DuplicateRoute { first, second: route.name });
        }
        prefixes.insert(route.prefix.clone(), Rc::new(route));
        Ok(())
    }

    /// The route of the longest prefix that begins `path`. `host` may have a port, and any case.
    ///
    /// Prefixes end with a slash, so only the parts of `path` that do are looked up: the cost grows
    /// with the depth of the path and not with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<TrafficRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let slashes = path.rmatch_indices('/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }

    /// The routes of `host`.
    pub fn of_host(&self, host: &str) -> impl Iterator<Item = &Rc<TrafficRoute>> {
        self.hosts.get(&host.to_ascii_lowercase()).into_iter().flat_map(HashMap::values)
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
