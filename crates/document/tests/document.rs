//! Documents are accepted whole or refused with the line, the reason and the remedy.

use {
    gullglade_document::{
        ConfigView, DocumentError, Priority, ServiceDocument, ServiceTarget, TokenHash,
    },
    gullglade_units::{ModelName, ServiceName},
    std::rc::Rc,
};

const BALLAST: &str = include_str!("../../../examples/ballast-order-desk.toml");
const PIPELINE: &str = include_str!("../../../examples/pipeline-inspection-runs.toml");
const HASH: &str = "8d969eef6ecad3c29a3a629280e686cf0c3f5d5a86aff3ca12020c923adc6c92";

#[test]
fn examples_are_accepted() {
    let ballast = ServiceDocument::try_from(BALLAST).unwrap();
    assert_eq!(ballast.workspaces[0].priority, Priority::High);
    let pipeline = ServiceDocument::try_from(PIPELINE).unwrap();
    assert!(ballast.latency_weight > pipeline.latency_weight);
}

#[test]
fn json_says_the_same_as_toml() {
    let json = format!(
        r#"{{"service":"s","regions":["a"],"models":[{{"name":"m"}}],
            "workspaces":[{{"name":"w","token_sha256":["{HASH}"]}}]}}"#
    );
    let toml = format!(
        "service = \"s\"\nregions = [\"a\"]\n[[models]]\nname = \"m\"\n\
         [[workspaces]]\nname = \"w\"\ntoken_sha256 = [\"{HASH}\"]\n"
    );
    let from_json = ServiceDocument::try_from(json.as_str()).unwrap();
    assert_eq!(from_json, ServiceDocument::try_from(toml.as_str()).unwrap());
}

struct RefusalCase {
    name: &'static str,
    find: &'static str,
    replace: &'static str,
    line_holds: &'static str,
    message_holds: &'static str,
}

#[test]
fn faults_are_refused_with_line_reason_and_remedy() {
    let cases = [
        RefusalCase {
            name: "unknown key",
            find: "away_share = 0.6",
            replace: "away_shore = 0.6",
            line_holds: "away_shore",
            message_holds: "unknown field `away_shore`",
        },
        RefusalCase {
            name: "wrong type",
            find: "deadline_ms = 20000",
            replace: "deadline_ms = \"soon\"",
            line_holds: "soon",
            message_holds: "invalid type",
        },
        RefusalCase {
            name: "claim region outside the regions",
            find: "claim_region = \"puget\"",
            replace: "claim_region = \"okanagan\"",
            line_holds: "claim_region",
            message_holds: "name one of `regions`",
        },
        RefusalCase {
            name: "home outside the regions",
            find: "home = \"puget\"",
            replace: "home = \"okanagan\"",
            line_holds: "okanagan",
            message_holds: "workspaces.home",
        },
        RefusalCase {
            name: "no region",
            find: "regions = [\"puget\", \"columbia\", \"inland\"]",
            replace: "regions = []",
            line_holds: "regions",
            message_holds: "name at least one region",
        },
        RefusalCase {
            name: "share outside 0 to 1",
            find: "retry_share = 0.1",
            replace: "retry_share = 3.0",
            line_holds: "retry_share",
            message_holds: "outside 0 to 1",
        },
        RefusalCase {
            name: "not a number",
            find: "latency_weight = 0.9",
            replace: "latency_weight = nan",
            line_holds: "latency_weight",
            message_holds: "outside 0 to 1",
        },
        RefusalCase {
            name: "rule for a model that is not used",
            find: "method = \"POST\"\npath = \"/services/order-desk/orders\"",
            replace: "model = \"gravel\"",
            line_holds: "gravel",
            message_holds: "add it to [[models]]",
        },
        RefusalCase {
            name: "rule with half its keys",
            find: "method = \"POST\"\n",
            replace: "",
            line_holds: "non_idempotent",
            message_holds: "both `method` and `path`",
        },
        RefusalCase {
            name: "relative path",
            find: "path = \"/services",
            replace: "path = \"services",
            line_holds: "\"services",
            message_holds: "not absolute",
        },
        RefusalCase {
            name: "workspace twice",
            find: "name = \"clerks\"",
            replace: "name = \"roadmasters\"",
            line_holds: "roadmasters",
            message_holds: "stands twice",
        },
        RefusalCase {
            name: "short hash",
            find: "token_sha256 = [\"",
            replace: "token_sha256 = [\"ab",
            line_holds: "ab",
            message_holds: "64 hexadecimal digits",
        },
        RefusalCase {
            name: "name with a space",
            find: "name = \"clerks\"",
            replace: "name = \"our clerks\"",
            line_holds: "our clerks",
            message_holds: "use letters, digits",
        },
        RefusalCase {
            name: "retired twice",
            find: "retired = []",
            replace: "retired = [\"old-1\", \"old-1\"]",
            line_holds: "old-1",
            message_holds: "stands twice",
        },
    ];
    for case in cases {
        let text = BALLAST.replacen(case.find, case.replace, 1);
        assert_ne!(text, BALLAST, "{}: the example no longer holds {:?}", case.name, case.find);
        let error = ServiceDocument::try_from(text.as_str()).expect_err(case.name);
        let line = match &error {
            DocumentError::Syntax { line, .. } | DocumentError::InvalidValue { line, .. } => *line,
            DocumentError::TooLong { .. } => panic!("{}: {error}", case.name),
        };
        let at = text.lines().nth(line - 1).unwrap();
        assert!(at.contains(case.line_holds), "{}: line {line} is {at:?}: {error}", case.name);
        let message = error.to_string();
        assert!(message.contains(case.message_holds), "{}: {message}", case.name);
    }
}

struct RuleCase {
    method: &'static str,
    path: &'static str,
    non_idempotent: bool,
}

#[test]
fn rules_mark_a_path_and_what_lies_below_it() {
    let document = ServiceDocument::try_from(BALLAST).unwrap();
    let target = ServiceTarget::Plain(ServiceName::try_from("order-desk").unwrap());
    let cases = [
        RuleCase { method: "POST", path: "/services/order-desk/orders", non_idempotent: true },
        RuleCase { method: "POST", path: "/services/order-desk/orders/7", non_idempotent: true },
        RuleCase { method: "POST", path: "/services/order-desk/ordersx", non_idempotent: false },
        RuleCase { method: "GET", path: "/services/order-desk/orders", non_idempotent: false },
        RuleCase { method: "POST", path: "/services/order-desk", non_idempotent: false },
    ];
    for case in cases {
        let marked = document.is_non_idempotent(case.method, case.path, &target);
        assert_eq!(marked, case.non_idempotent, "{} {}", case.method, case.path);
    }
}

#[test]
fn tokens_lead_to_their_workspace_only() {
    let document = Rc::new(ServiceDocument::try_from(BALLAST).unwrap());
    let view = ConfigView::new(7, [document]);
    let grants = view.grants("demo-clerks");
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].rules().name.as_str(), "clerks");
    assert!(view.grants("demo-clerk").is_empty());
    assert!(view.grants("").is_empty());
}

#[test]
fn regions_of_unknown_targets_are_none() {
    let document = ServiceDocument::try_from(BALLAST).unwrap();
    let known = ServiceTarget::Model(ModelName::try_from("ballast").unwrap());
    assert_eq!(document.regions_of(&known).map(<[_]>::len), Some(3));
    let unknown = ServiceTarget::Model(ModelName::try_from("order-desk").unwrap());
    assert_eq!(document.regions_of(&unknown), None);
}

#[test]
fn hashes_do_not_show_in_debug_output() {
    let shown = format!("{:?}", TokenHash::of("demo-clerks"));
    assert!(shown.len() < 30, "{shown}");
}
