//! The routing table, which maps a host and path to a route.

use {
    crate::{TrafficError, TrafficRoute},
    std::{collections::HashMap, rc::Rc},
};

/// Routes indexed by host and path prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, HashMap<String, Rc<TrafficRoute>>>,
    /// Bytes of the longest prefix.
    longest_prefix: usize,
}

impl RouteTable {
    /// Adds a route.
    ///
    /// # Errors
    ///
    /// [`TrafficError::DuplicateRoute`] if a route with the same host and prefix exists.
    pub(crate) fn add(&mut self, route: TrafficRoute) -> Result<(), TrafficError> {
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        if let Some(first) = prefixes.get(&route.prefix) {
            let first = first.name.clone();
            return Err(TrafficError::DuplicateRoute { first, second: route.name });
        }
        self.longest_prefix = self.longest_prefix.max(route.prefix.len());
        prefixes.insert(route.prefix.clone(), Rc::new(route));
        Ok(())
    }

    /// Returns the route with the longest prefix that matches `path`. `host` may include a port and
    /// is matched regardless of case.
    ///
    /// Prefixes end with a slash, so one lookup for each slash in `path` is enough, up to the length
    /// of the longest prefix: each hashes all that is before the slash, so a long path of slashes
    /// would cost the square of its length.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<TrafficRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let length = path.len().min(self.longest_prefix);
        let slashes = path.as_bytes()[..length].iter().enumerate().rev();
        let slashes = slashes.filter(|(_, byte)| **byte == b'/');
        slashes.map(|(index, _)| &path[..=index]).find_map(|prefix| prefixes.get(prefix))
    }

    /// Iterates over the routes of `host`, in no particular order.
    pub fn of_host(&self, host: &str) -> impl Iterator<Item = &Rc<TrafficRoute>> {
        self.hosts.get(&host.to_ascii_lowercase()).into_iter().flat_map(HashMap::values)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
