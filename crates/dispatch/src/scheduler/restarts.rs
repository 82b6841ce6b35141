//! Backend servers that may have started again without an announcement so far.

use {
    super::{Backend, Scheduler, backend_of_run},
    crate::{BackendStatements, RequestUpdate, SentRequest, WorkCost},
    gullglade_traffic::ServicePool,
    gullglade_units::{BackendRun, MonotonicTime, ServiceName},
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
};

/// Gateways without a share of the cold rate check one after the other, at this interval, unless
/// another one tells the result first.
const UNSHARED_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A health check that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthCheck {
    /// The known run of the backend server.
    pub run: BackendRun,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// The path to ask.
    pub path: String,
}

impl Scheduler {
    /// Records that a request to `run` ended because its connection broke. If none of this
    /// gateway is left there, the run may have ended.
    pub(super) fn note_broken(&mut self, run: &BackendRun, now: MonotonicTime) {
        let Some(backend) = backend_of_run(&mut self.backends, run) else { return };
        if !can_be_cold(&self.services, &backend.info.service) {
            return;
        }
        if backend.load.own_requests() == 0 && backend.restart.note_end(now) {
            self.queue_restart_hint(run, RequestUpdate::MayHaveEnded, now);
        }
    }

    /// Records that `run` is out of reach or has closed all connections, so it may have ended, and
    /// with it those of its failure domain to which there has been no connection lately.
    pub(super) fn note_lost(&mut self, run: &BackendRun, now: MonotonicTime) {
        self.note_broken(run, now);
        let Some(backend) = self.backends.get(&run.backend) else { return };
        if backend.load.own_requests() > 0 || !can_be_cold(&self.services, &backend.info.service) {
            return;
        }
        let (service, domain) = (backend.info.service.clone(), backend.info.domain.clone());
        let is_beside = |b: &&mut Backend| b.info.service == service && b.info.domain == domain;
        let beside = self.backends.values_mut().filter(is_beside);
        let suspected = beside.filter_map(|backend| {
            let is_suspected =
                backend.load.own_requests() == 0 && backend.restart.note_end_beside(now);
            is_suspected.then(|| backend.info.run())
        });
        for run in suspected.collect::<Vec<_>>() {
            self.queue_restart_hint(&run, RequestUpdate::MayHaveEnded, now);
        }
    }

    /// Records that the backend server at `address` has closed all connections that were kept to it.
    pub fn note_connections_closed(&mut self, address: SocketAddr, now: MonotonicTime) {
        let at_address = self.backends.values().filter(|backend| backend.info.address == address);
        let runs: Vec<BackendRun> = at_address.map(|backend| backend.info.run()).collect();
        for run in runs {
            self.note_lost(&run, now);
        }
    }

    /// Records that another gateway suspects the end of a run.
    pub(super) fn note_peer_suspicion(backend: &mut Backend, now: MonotonicTime) {
        // The requests that run there would have broken off, too.
        if backend.load.own_requests() == 0 {
            backend.restart.note_peer_suspicion(now);
        }
    }

    /// Records the statements in the answer of a health path, and tells the other gateways how long
    /// the backend server stays cold.
    pub fn note_health(
        &mut self,
        run: &BackendRun,
        statements: &BackendStatements,
        now: MonotonicTime,
    ) {
        let Some(backend) = backend_of_run(&mut self.backends, run) else { return };
        backend.restart.note_own_contact(now, now);
        let Some(left) = statements.cold_left else { return };
        backend.restart.note_stated(left, now);
        let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        self.queue_restart_hint(run, RequestUpdate::Cold { left_ms }, now);
    }

    /// Returns the health checks to be sent now. They count towards the rate of a cold backend
    /// server.
    pub fn health_checks(&mut self, now: MonotonicTime) -> Vec<HealthCheck> {
        let due: Vec<HealthCheck> = self
            .backends
            .values()
            .filter(|backend| self.may_serve(backend) && self.may_check(backend, now))
            .filter_map(|backend| {
                let service = self.services.get(&backend.info.service)?;
                let run = backend.info.run();
                let (address, path) = (backend.info.address, service.health_path.clone());
                Some(HealthCheck { run, address, path })
            })
            .collect();
        for check in &due {
            if let Some(backend) = backend_of_run(&mut self.backends, &check.run) {
                backend.restart.note_check(now);
                backend.pacer.note(now);
            }
        }
        due
    }

    fn may_check(&self, backend: &Backend, now: MonotonicTime) -> bool {
        let Some(service) = self.services.get(&backend.info.service) else { return false };
        if !can_be_cold(&self.services, &backend.info.service)
            || backend.info.is_silent
            || !backend.restart.is_check_due(service.warmup.duration, now)
            || backend.health.is_unreachable()
        {
            return false;
        }
        let bound = self.cold_bound(service);
        let position = self.gateways.position(&backend.info.name, now);
        match bound.share(position) {
            0 => backend.restart.contact().is_some_and(|contact| {
                let turn = u32::try_from(position.rank).unwrap_or(u32::MAX);
                now.since(contact) >= UNSHARED_CHECK_INTERVAL * turn
            }),
            _ => self.next_send(backend, &bound, position, now).is_some_and(|next| next <= now),
        }
    }

    fn queue_restart_hint(&mut self, run: &BackendRun, news: RequestUpdate, now: MonotonicTime) {
        let cost = WorkCost { tokens: None, slots: 0 };
        // It is about no request.
        let none = SentRequest { request: 0, cost, priority: 0, sent: now };
        self.queue_hint(run.clone(), none, news, now);
    }
}

/// Returns whether the backend servers of a service tolerate less while they are cold.
fn can_be_cold(services: &BTreeMap<ServiceName, Rc<ServicePool>>, service: &ServiceName) -> bool {
    services.get(service).is_some_and(|service| service.warmup.requests_per_second > 0.0)
}
