//! `gladectl status` and `gladectl drain` against real processes.

mod support;

use {
    serde_json::Value,
    std::{
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    support::{Deployment, DeploymentPlan, Tool},
};

/// The longest that the deployment may take to show something.
const PATIENCE: Duration = Duration::from_secs(60);

const PLAN: DeploymentPlan = DeploymentPlan {
    roles: "gateway,control",
    regions: ["puget", "columbia", "inland"],
    flags: &[],
};

const DOCUMENT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/ballast-order-desk.toml");

fn status(tool: &Tool) -> Value {
    let output = tool.run(&["status", "--json"]);
    serde_json::from_slice(&output.stdout).expect("status prints JSON")
}

/// Asks until `is_shown`; each look starts a process, which paces it.
fn wait_for(what: &str, mut is_shown: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !is_shown() {
        assert!(Instant::now() < end, "{what} is not shown in time");
    }
}

fn node<'a>(status: &'a Value, vm: &str) -> Option<&'a Value> {
    let nodes = status["nodes"].as_array().expect("nodes");
    nodes.iter().map(|node| &node["report"]).find(|report| report["vm"] == vm)
}

/// A started deployment whose first document is in force everywhere.
fn start() -> (Deployment, Tool) {
    let deployment = Deployment::start(&PLAN);
    let tool = deployment.tool();
    wait_for("an accepted document", || {
        tool.run(&["apply", "--wait", "--change-id", "first", DOCUMENT]).status.success()
    });
    (deployment, tool)
}

/// A stand-in engine, killed when the test ends.
struct Engine(Child);

impl Engine {
    fn start(deployment: &Deployment) -> Self {
        let gateway = deployment.callers[0].to_string();
        let arguments = [
            "stub-engine",
            "--name",
            "engine-1",
            "--region",
            "puget",
            "--domain",
            "a",
            "--model",
            "ballast",
            "--gateway",
            &gateway,
        ];
        let mut command = Command::new(env!("CARGO_BIN_EXE_gladectl"));
        command.args(arguments).stdout(Stdio::null()).stderr(Stdio::null());
        Self(command.spawn().expect("the engine starts"))
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.0.kill().expect("it is ours to kill");
        self.0.wait().expect("it ends");
    }
}

/// Guards against a region that is cut off and looks healthy, as only what answers is shown.
#[test]
fn status_names_what_it_cannot_see() {
    let (mut deployment, tool) = start();
    wait_for("three gateways that control has heard of", || {
        let status = status(&tool);
        let replicas = status["control"]["replicas"].as_array().map_or(0, Vec::len);
        replicas == 3 && status["unseen_vms"] == Value::Array(Vec::new())
    });
    deployment.vms[2].kill();
    let status = status(&tool);
    assert_eq!(status["unseen_vms"], serde_json::json!(["vm-2"]));
    assert_eq!(status["unseen_regions"], serde_json::json!(["inland"]));
    assert!(node(&status, "vm-0").unwrap()["ready"].as_bool().unwrap());
    assert_eq!(status["control"]["members"].as_array().unwrap().len(), 3);

    let screen = tool.text(&["status"]);
    for line in [
        "2 of 3 processes answer",
        "! regions of which nothing is seen from here: inland",
        "! VMs that others tell of and that did not answer: vm-2",
        "region puget: 0 open requests",
    ] {
        assert!(screen.contains(line), "{line:?} is missing of\n{screen}");
    }
    deployment.vms[0].kill();
    deployment.vms[1].kill();
    let output = tool.run(&["status"]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("no process answers"));
}

/// Waits until each of three control processes answers and knows the others.
fn wait_for_members(tool: &Tool) {
    wait_for("three control processes that know each other", || {
        let status = status(tool);
        let members = status["control"]["members"].as_array().map_or(0, Vec::len);
        members == 3 && status["unseen_vms"] == Value::Array(Vec::new())
    });
}

/// Guards against a dead region missing from the status, as only its own process had its reports.
#[test]
fn status_names_a_region_that_has_reported_to_nobody_else() {
    let (mut deployment, tool) = start();
    // The others forget what they were told before the region's own control process was ready.
    for vm in 0..2 {
        deployment.vms[vm].kill();
        deployment.vms[vm].start();
        wait_for_members(&tool);
    }
    deployment.vms[2].kill();
    let status = status(&tool);
    assert_eq!(status["unseen_vms"], serde_json::json!(["vm-2"]));
    assert_eq!(status["unseen_regions"], serde_json::json!(["inland"]));
}

/// Guards against a drain that the next renewal of the backend server takes back.
#[test]
fn drained_backend_servers_and_gateways_are_shown_so() {
    let (deployment, tool) = start();
    let _engine = Engine::start(&deployment);
    let health = |status: &Value| {
        let backends = node(status, "vm-0")?["backends"].as_array()?.clone();
        Some(backends.first()?["health"].as_str()?.to_owned())
    };
    wait_for("the engine", || health(&status(&tool)).as_deref() == Some("serving"));

    let unknown = tool.text(&["drain", "--backend", "no-such-engine"]);
    assert!(unknown.contains("is not known in this region"), "{unknown}");
    let drained = tool.text(&["drain", "--backend", "engine-1"]);
    assert!(drained.contains("engine-1: leaving, 0 running, 0 waiting"), "{drained}");
    // Several renewals later: the engine renews every two seconds.
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        assert_eq!(health(&status(&tool)).as_deref(), Some("leaving"));
    }

    let gateway = deployment.operators[1].to_string();
    let drained = tool.text(&["drain", "--gateway", &gateway]);
    assert!(drained.contains("vm-1: 0 requests in progress"), "{drained}");
    let status = status(&tool);
    assert_eq!(node(&status, "vm-1").unwrap()["draining"], Value::Bool(true));
    assert_eq!(node(&status, "vm-0").unwrap()["draining"], Value::Bool(false));
}
