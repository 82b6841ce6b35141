//! Builds the inputs of the routing policy from the state of this gateway and applies its decision.

use {
    crate::{
        attempt::SelectedBackend,
        call::CallPlan,
        directory::RegionStatus,
        gateway::Gateway,
        placement::{AttemptHistory, admission_priority},
    },
    gullglade_admission::PoolLimits,
    gullglade_backend::{BackendKind, BackendTarget, BackendView, PrefixHash},
    gullglade_document::ServiceTarget,
    gullglade_route::{
        BackendRole, Candidate, EngineCapacity, HealthState, LatencySettings, LoadReport, OwnLoad,
        RefuseReason, RegionOffer, Residency, RouteDecision, RoutePolicy, RouteRequest,
        RouteWeights, permit_capacity,
    },
    gullglade_units::{ModelName, MonotonicTime, RegionName},
    std::time::Duration,
};

/// Prefill rate, in tokens per second, assumed for a backend server that states none (a plain
/// service).
const DEFAULT_PREFILL_RATE: f64 = 10_000.0;

/// A routing decision with owned values.
pub(crate) enum Placement {
    Local(SelectedBackend),
    Remote(RegionName),
    Wait(Duration),
    /// Every eligible backend server has requested a back-off; the earliest ends at this time.
    Backoff(MonotonicTime),
    Refuse(RefuseReason, Duration),
}

impl Gateway {
    pub(crate) fn decide(
        &self,
        plan: &CallPlan,
        history: &AttemptHistory,
        queue_wait: Duration,
    ) -> Placement {
        let statuses = self.directory.region_statuses(&plan.target);
        let offers: Vec<RegionOffer<'_>> = statuses
            .iter()
            .filter(|status| !history.failed_regions.contains(&status.region))
            .map(region_offer)
            .collect();
        let regions = plan.regions();
        let model = target_model(&plan.target);
        let request = self.route_request(plan, &regions, model, queue_wait);
        let policy = self.policy(plan);
        self.backends.with_candidates(backend_target(&plan.target), |views| {
            let retired = &plan.document.backends.retired;
            let admitted = || views.iter().filter(|view| !retired.contains(view.name));
            let allowed = || admitted().filter(|view| view.backoff_until.is_none());
            let mut usable: Vec<&BackendView<'_>> =
                allowed().filter(|view| !history.failed_backends.contains(view.name)).collect();
            // If every backend server has failed this request and no region is offered, retry one
            // of them.
            if usable.is_empty() && offers.is_empty() {
                usable = allowed().collect();
            }
            let candidates: Vec<Candidate<'_>> =
                usable.iter().map(|view| candidate(view, &plan.prompt.blocks, model)).collect();
            let random = &*self.context.random;
            match policy.decide(&request, &candidates, &offers, random) {
                RouteDecision::Local { backend } => {
                    let cached = u64::from(candidates[backend].cached_tokens);
                    let prefill = plan.prompt.tokens.saturating_sub(cached);
                    Placement::Local(SelectedBackend::new(usable[backend], prefill))
                }
                RouteDecision::Forward { offer } => Placement::Remote(offers[offer].region.clone()),
                RouteDecision::Wait { at_most } => Placement::Wait(at_most),
                RouteDecision::Refuse { reason, retry_after } => {
                    let earliest_backoff_end =
                        admitted().filter_map(|view| view.backoff_until).min();
                    match earliest_backoff_end.filter(|_| reason == RefuseReason::NoBackend) {
                        Some(until) => Placement::Backoff(until),
                        None => Placement::Refuse(reason, retry_after),
                    }
                }
            }
        })
    }

    fn route_request<'a>(
        &'a self,
        plan: &'a CallPlan,
        regions: &'a [RegionName],
        model: Option<&'a ModelName>,
        queue_wait: Duration,
    ) -> RouteRequest<'a> {
        let now = self.context.clock.now();
        let weight = plan.document.latency_weight;
        RouteRequest {
            now,
            local_region: &self.config.region,
            origin: plan.origin.as_ref(),
            residency: Residency::Only(regions),
            home: plan.home.as_ref(),
            stale_config: self.documents.may_be_stale(),
            model,
            role: if model.is_some() { BackendRole::Generate } else { BackendRole::Service },
            prompt_tokens: saturating_u32(plan.prompt.tokens),
            holding_time: self.average_holding_time(&plan.target),
            target: plan.document.target.first_token,
            deadline: Some(self.remaining(plan)),
            waited: now.since(plan.received),
            queue_wait,
            within_share: !self.is_over_share(plan),
            weights: RouteWeights { latency: weight, forwarding: 1.0 - weight },
        }
    }

    fn is_over_share(&self, plan: &CallPlan) -> bool {
        let queue = self.queue_name(&plan.target);
        self.admission.is_over_share(&queue, &plan.workspace, admission_priority(plan))
    }

    /// Updates the number of requests that this gateway may run concurrently for `target`.
    pub(crate) fn refresh_capacity(&self, target: &ServiceTarget) {
        let model = target_model(target);
        let gateways = self.directory.gateway_count();
        let LatencySettings { overcommit, reserve, .. } = LatencySettings::default();
        let capacity = self.backends.with_candidates(backend_target(target), |views| {
            // Capacity of a backend server in back-off must not be used to admit requests to the
            // others. If all are in back-off, requests wait for the first one to become available.
            let has_available = views.iter().any(|view| view.backoff_until.is_none());
            let available =
                views.iter().filter(|view| !has_available || view.backoff_until.is_none());
            let candidates: Vec<_> = available.map(|view| candidate(view, &[], model)).collect();
            permit_capacity(&candidates, overcommit, reserve, gateways)
        });
        let limits = PoolLimits { permits: capacity.permits, over_share: capacity.over_share };
        self.admission.set_limits(&self.queue_name(target), limits);
    }
}

pub(crate) fn backend_target(target: &ServiceTarget) -> BackendTarget<'_> {
    match target {
        ServiceTarget::Model(model) => BackendTarget::Model(model),
        ServiceTarget::Plain(service) => BackendTarget::Service(service),
    }
}

fn target_model(target: &ServiceTarget) -> Option<&ModelName> {
    match target {
        ServiceTarget::Model(model) => Some(model),
        ServiceTarget::Plain(_) => None,
    }
}

fn region_offer(status: &RegionStatus) -> RegionOffer<'_> {
    RegionOffer {
        region: &status.region,
        reachable: status.reachable,
        link: status.link,
        slots: status.slots,
        free_slots: status.free_slots,
        prefill_tokens: status.prefill_tokens,
        prefill_rate: status.prefill_rate,
        age: status.age,
        since_return: status.since_return,
        share: status.share,
    }
}

fn candidate<'a>(
    view: &'a BackendView<'a>,
    blocks: &[PrefixHash],
    model: Option<&'a ModelName>,
) -> Candidate<'a> {
    let own = view.own;
    let rate = match view.capacity.prefill_tokens_per_second {
        0 => DEFAULT_PREFILL_RATE,
        rate => f64::from(rate),
    };
    Candidate {
        name: view.name,
        region: view.region,
        models: model.map_or(&[], std::slice::from_ref),
        role: match view.kind {
            BackendKind::Engine => BackendRole::Generate,
            BackendKind::Service => BackendRole::Service,
        },
        health: if view.suspect { HealthState::Suspect } else { HealthState::Healthy },
        leaving: false,
        capacity: EngineCapacity { slots: view.capacity.slots, prefill_rate: rate },
        report: LoadReport {
            active: view.load.running.saturating_add(view.load.waiting),
            prefill_tokens: saturating_u32(view.load.queued_prefill_tokens),
            age: view.load_age,
        },
        own: OwnLoad {
            active: own.active,
            active_at_report: own.active_at_report,
            prefill_tokens: saturating_u32(own.prefill_tokens),
            prefill_tokens_at_report: saturating_u32(own.prefill_tokens_at_report),
        },
        cached_tokens: view.expected_cached_tokens(blocks),
        link: Duration::ZERO,
        since_join: view.serving_for,
    }
}

pub(crate) fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
