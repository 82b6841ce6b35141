//! The paths of a gateway to backend servers, and of other gateways as far as it learns of them.

use {
    super::{Backend, Scheduler, backend_of_run},
    crate::path_monitor::{PathChange, PathMonitor},
    gullglade_units::{BackendName, BackendRun, MonotonicTime, RegionName, ServiceName, VmName},
    std::{net::SocketAddr, time::Duration},
};

/// Number of connections that are attempted at once to the backend servers of a service to which
/// the path is considered lost.
const PATH_PROBES: usize = 2;

impl Scheduler {
    /// Records that no connection to a backend server of `service` could be established.
    pub(super) fn note_unreachable(&mut self, service: &ServiceName, backend: &BackendName) {
        let serving = self.serving(service).count();
        let path = self.paths.entry(service.clone()).or_default();
        if path.note_failed(backend, serving) {
            let (service, failed) = (service.clone(), path.failed());
            self.path_changes.push(PathChange { service, is_lost: true, failed, serving });
        }
    }

    /// Records that a backend server of `service` sent something or accepted a connection.
    pub(super) fn note_contact(&mut self, service: &ServiceName, now: MonotonicTime) {
        let Some(path) = self.paths.get_mut(service) else { return };
        if !path.note_contact() {
            return;
        }
        let serving = self.serving(service).count();
        let service_name = service.clone();
        let change = PathChange { service: service_name, is_lost: false, failed: 0, serving };
        self.path_changes.push(change);
        let of_service = self.backends.values_mut().filter(|b| b.info.service == *service);
        of_service.for_each(|backend| backend.health.expedite_probe(now));
    }

    /// Returns the backend servers to which a connection attempt is due, with their addresses.
    pub fn connection_probes(&mut self, now: MonotonicTime) -> Vec<(BackendRun, SocketAddr)> {
        let mut probes = Vec::new();
        for (service, path) in self.paths.iter_mut().filter(|(_, path)| path.is_lost()) {
            let is_serving =
                |b: &&Backend| b.info.service == *service && b.may_serve(&self.evacuated);
            let serving = self.backends.values().filter(is_serving);
            let names = serving.map(|b| &b.info.name);
            probes.extend(path.next_probes(names, PATH_PROBES));
        }
        let paths = &self.paths;
        let is_lost = |b: &Backend| paths.get(&b.info.service).is_some_and(PathMonitor::is_lost);
        for (name, backend) in self.backends.iter_mut().filter(|(_, b)| !is_lost(b)) {
            if backend.health.take_probe(now) {
                probes.push(name.clone());
            }
        }
        let target = |name: &BackendName| {
            let info = &self.backends.get(name)?.info;
            Some((info.run(), info.address))
        };
        probes.iter().filter_map(target).collect()
    }

    /// Records that a connection to `run` was established.
    pub fn note_connected(&mut self, run: &BackendRun, now: MonotonicTime) {
        let Some(backend) = backend_of_run(&mut self.backends, run) else { return };
        backend.health.note_connected(now);
        backend.restart.note_own_contact(now, now);
        let service = backend.info.service.clone();
        self.note_contact(&service, now);
    }

    /// Returns the changes of this gateway's paths since the last call.
    pub fn take_path_changes(&mut self) -> Vec<PathChange> {
        std::mem::take(&mut self.path_changes)
    }

    /// Returns whether requests should avoid a backend server.
    pub(super) fn is_suspect(&self, backend: &Backend, now: MonotonicTime) -> bool {
        let path = self.paths.get(&backend.info.service);
        backend.health.is_suspect(now) || path.is_some_and(PathMonitor::is_lost)
    }

    /// Records that one of the `count` gateways of `region` could not be reached. No requests are
    /// forwarded to it for `pause`, nor to the region if this is the second one, or the only one,
    /// and none has sent anything in between.
    pub fn note_gateway_lost(
        &mut self,
        region: &RegionName,
        gateway: &VmName,
        count: usize,
        pause: Duration,
        now: MonotonicTime,
    ) {
        self.regions.note_gateway_lost(region, gateway, count, pause, now);
    }

    /// Records that a gateway of `region` sent something.
    pub fn note_gateway_contact(&mut self, region: &RegionName, gateway: &VmName) {
        self.regions.note_gateway_contact(region, gateway);
    }

    /// Records that `gateway` refused a forwarded request because it has no path to the backend
    /// servers of `service`. This says nothing about the other gateways of its region. Returns
    /// whether it was not known before.
    pub fn note_gateway_without_path(
        &mut self,
        gateway: &VmName,
        service: &ServiceName,
        now: MonotonicTime,
    ) -> bool {
        self.gateway_paths.note_lost(gateway, service, now)
    }

    /// Records that `gateway` sent a forwarded request to a backend server of `service`.
    pub fn note_gateway_with_path(&mut self, gateway: &VmName, service: &ServiceName) {
        self.gateway_paths.note_reached(gateway, service);
    }

    /// Returns whether requests of `service` may be forwarded to `gateway`.
    pub fn may_forward_to(
        &self,
        gateway: &VmName,
        service: &ServiceName,
        now: MonotonicTime,
    ) -> bool {
        self.gateway_paths.is_open(gateway, service, now)
            && !self.regions.is_gateway_lost(gateway, now)
    }
}
