//! What `demo --serve` tells in its first line, for programs that drive the demo.

use {
    crate::{BackendPlan, CALLER_TOKEN, Deployment, DeploymentPlan, OPERATOR_TOKEN},
    serde::Serialize,
};

/// Everything that a program needs to drive the demo.
#[derive(Debug, Serialize)]
pub struct ServeNote {
    gateways: Vec<GatewayNote>,
    backends: Vec<BackendNote>,
    tokens: TokenNote,
    services: Vec<String>,
    models: Vec<String>,
}

#[derive(Debug, Serialize)]
struct GatewayNote {
    name: String,
    region: String,
    url: String,
    operator_url: String,
}

#[derive(Debug, Serialize)]
struct BackendNote {
    name: String,
    region: String,
    kind: &'static str,
    url: String,
}

#[derive(Debug, Serialize)]
struct TokenNote {
    caller: &'static str,
    operator: &'static str,
}

impl ServeNote {
    /// The note of a running deployment.
    pub fn new(deployment: &Deployment) -> Self {
        let gateways = deployment.gateways().iter().map(|gateway| GatewayNote {
            name: gateway.plan().vm.to_string(),
            region: gateway.plan().region.to_string(),
            url: format!("http://{}", gateway.addresses().caller),
            operator_url: format!("http://{}", gateway.addresses().operator),
        });
        let plan = deployment.plan();
        let backends = deployment.backends().iter().flat_map(|thread| {
            thread.backends().iter().map(|backend| BackendNote {
                name: backend.name.to_string(),
                region: thread.region().to_string(),
                kind: kind_of(plan, backend.name.as_str()),
                url: format!("http://{}", backend.address),
            })
        });
        Self {
            gateways: gateways.collect(),
            backends: backends.collect(),
            tokens: TokenNote { caller: CALLER_TOKEN, operator: OPERATOR_TOKEN },
            services: distinct(plan, |b| match b {
                BackendPlan::Service { service, .. } => Some(service.to_string()),
                BackendPlan::Engine { .. } => None,
            }),
            models: distinct(plan, |b| match b {
                BackendPlan::Engine { model, .. } => Some(model.to_string()),
                BackendPlan::Service { .. } => None,
            }),
        }
    }
}

fn kind_of(plan: &DeploymentPlan, wanted: &str) -> &'static str {
    let engine =
        |b: &BackendPlan| matches!(b, BackendPlan::Engine { name, .. } if name.as_str() == wanted);
    if plan.backends.iter().any(engine) { "engine" } else { "service" }
}

fn distinct(plan: &DeploymentPlan, name: impl Fn(&BackendPlan) -> Option<String>) -> Vec<String> {
    let mut names: Vec<String> = plan.backends.iter().filter_map(name).collect();
    names.sort();
    names.dedup();
    names
}
