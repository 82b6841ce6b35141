//! The deployment that the demo shows: three regions that serve both example services.

use {
    crate::{BackendPlan, DeploymentPlan, GatewayPlan},
    gullglade_document::TokenHash,
    gullglade_stub::EngineLimits,
    gullglade_units::{BackendName, ModelName, NameError, RegionName, ServiceName, VmName},
    std::time::Duration,
};

/// The token of a workspace that both services list.
pub const CALLER_TOKEN: &str = "demo-caller";

/// The token of a workspace of the order desk that is bound to [`HOME_REGION`].
pub(crate) const BOUND_TOKEN: &str = "demo-clerks";

/// The home of [`BOUND_TOKEN`].
pub(crate) const HOME_REGION: &str = "puget";

/// The regions of the demo; the busiest first.
pub(crate) const REGIONS: [&str; 3] = ["puget", "columbia", "inland"];

/// The regions of the second document, in the order of [`REGIONS`], which take their places: the
/// demo has three regions, and the two users' six would leave each service half of them.
const PIPELINE_REGIONS: [&str; 3] = ["fraser-valley", "northeast-bc", "okanagan"];

const BALLAST: &str = include_str!("../../../examples/ballast-order-desk.toml");
const PIPELINE: &str = include_str!("../../../examples/pipeline-inspection-runs.toml");

/// One-way delay between regions, from the users' brief.
const REGION_DELAY: Duration = Duration::from_millis(55);

/// Engines of the ballast model in each region: twelve in all.
const BALLAST_ENGINES: usize = 4;

/// Engines of the pig run report model in each region: nine in all.
const REPORT_ENGINES: usize = 3;

/// The deployment of the demo.
pub fn sample_plan() -> Result<DeploymentPlan, NameError> {
    let mut plan = DeploymentPlan { region_delay: REGION_DELAY, ..DeploymentPlan::default() };
    for region in REGIONS {
        for number in 1..=2 {
            plan.gateways.push(GatewayPlan {
                vm: VmName::try_from(format!("{region}-{number}"))?,
                region: RegionName::try_from(region)?,
            });
        }
        push_engines(&mut plan, region, "ballast", BALLAST_ENGINES)?;
        push_engines(&mut plan, region, "pig-run-report", REPORT_ENGINES)?;
        push_service(&mut plan, region, "order-desk")?;
        push_service(&mut plan, region, "field-operations")?;
    }
    plan.documents = vec![with_caller(BALLAST), with_caller(&in_demo_regions(PIPELINE))];
    Ok(plan)
}

fn push_engines(
    plan: &mut DeploymentPlan,
    region: &str,
    model: &str,
    count: usize,
) -> Result<(), NameError> {
    for number in 1..=count {
        plan.backends.push(BackendPlan::Engine {
            name: BackendName::try_from(format!("{model}-{region}-{number}"))?,
            region: RegionName::try_from(region)?,
            model: ModelName::try_from(model)?,
            limits: EngineLimits::default(),
        });
    }
    Ok(())
}

fn push_service(plan: &mut DeploymentPlan, region: &str, service: &str) -> Result<(), NameError> {
    plan.backends.push(BackendPlan::Service {
        name: BackendName::try_from(format!("{service}-{region}"))?,
        region: RegionName::try_from(region)?,
        service: ServiceName::try_from(service)?,
    });
    Ok(())
}

fn in_demo_regions(document: &str) -> String {
    let pairs = PIPELINE_REGIONS.into_iter().zip(REGIONS);
    pairs.fold(document.to_owned(), |text, (from, to)| text.replace(from, to))
}

fn with_caller(document: &str) -> String {
    let hash = TokenHash::of(CALLER_TOKEN);
    format!("{document}\n[[workspaces]]\nname = \"demo\"\ntoken_sha256 = [\"{hash}\"]\nshare = 4\n")
}
