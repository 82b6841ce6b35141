//! Tests of the parsing and validation of documents. An invalid document is rejected with the line,
//! the reason and the remedy.

use {
    gullglade_document::{
        ConfigView, DocumentError, Priority, ServiceDocument, ServiceTarget, TokenHash,
    },
    gullglade_units::{ModelName, ServiceName},
    std::rc::Rc,
};

const BALLAST_EXAMPLE: &str = include_str!("../../../examples/ballast-order-desk.toml");
const PIPELINE_EXAMPLE: &str = include_str!("../../../examples/pipeline-inspection-runs.toml");
const TOKEN_HASH: &str = "8d969eef6ecad3c29a3a629280e686cf0c3f5d5a86aff3ca12020c923adc6c92";

#[test]
fn example_documents_are_accepted() {
    let ballast = ServiceDocument::try_from(BALLAST_EXAMPLE).unwrap();
    assert_eq!(ballast.workspaces[0].priority, Priority::High);
    let pipeline = ServiceDocument::try_from(PIPELINE_EXAMPLE).unwrap();
    assert!(ballast.latency_weight > pipeline.latency_weight);
}

#[test]
fn equivalent_json_and_toml_parse_to_equal_documents() {
    let json = format!(
        r#"{{"service":"s","regions":["a"],"models":[{{"name":"m"}}],
            "workspaces":[{{"name":"w","token_sha256":["{TOKEN_HASH}"]}}]}}"#
    );
    let toml = format!(
        "service = \"s\"\nregions = [\"a\"]\n[[models]]\nname = \"m\"\n\
         [[workspaces]]\nname = \"w\"\ntoken_sha256 = [\"{TOKEN_HASH}\"]\n"
    );
    let from_json = ServiceDocument::try_from(json.as_str()).unwrap();
    assert_eq!(from_json, ServiceDocument::try_from(toml.as_str()).unwrap());
}

struct RejectionCase {
    name: &'static str,
    find: &'static str,
    replace: &'static str,
    expected_line: &'static str,
    expected_message: &'static str,
}

#[test]
fn invalid_documents_are_rejected_with_line_reason_and_remedy() {
    let cases = [
        RejectionCase {
            name: "unknown key",
            find: "away_share = 0.6",
            replace: "away_shore = 0.6",
            expected_line: "away_shore",
            expected_message: "unknown field `away_shore`",
        },
        RejectionCase {
            name: "wrong type",
            find: "deadline_ms = 20000",
            replace: "deadline_ms = \"soon\"",
            expected_line: "soon",
            expected_message: "invalid type",
        },
        RejectionCase {
            name: "claim region outside the regions",
            find: "claim_region = \"puget\"",
            replace: "claim_region = \"okanagan\"",
            expected_line: "claim_region",
            expected_message: "name one of `regions`",
        },
        RejectionCase {
            name: "home outside the regions",
            find: "home = \"puget\"",
            replace: "home = \"okanagan\"",
            expected_line: "okanagan",
            expected_message: "workspaces.home",
        },
        RejectionCase {
            name: "no region",
            find: "regions = [\"puget\", \"columbia\", \"inland\"]",
            replace: "regions = []",
            expected_line: "regions",
            expected_message: "name at least one region",
        },
        RejectionCase {
            name: "share not between 0 and 1",
            find: "retry_share = 0.1",
            replace: "retry_share = 3.0",
            expected_line: "retry_share",
            expected_message: "is not between 0 and 1",
        },
        RejectionCase {
            name: "not a number",
            find: "latency_weight = 0.9",
            replace: "latency_weight = nan",
            expected_line: "latency_weight",
            expected_message: "is not between 0 and 1",
        },
        RejectionCase {
            name: "rule for a model that is not used",
            find: "method = \"POST\"\npath = \"/services/order-desk/orders\"",
            replace: "model = \"gravel\"",
            expected_line: "gravel",
            expected_message: "add it to [[models]]",
        },
        RejectionCase {
            name: "rule with a path but no method",
            find: "method = \"POST\"\n",
            replace: "",
            expected_line: "non_idempotent",
            expected_message: "both `method` and `path`",
        },
        RejectionCase {
            name: "relative path",
            find: "path = \"/services",
            replace: "path = \"services",
            expected_line: "\"services",
            expected_message: "not absolute",
        },
        RejectionCase {
            name: "duplicate workspace",
            find: "name = \"clerks\"",
            replace: "name = \"roadmasters\"",
            expected_line: "roadmasters",
            expected_message: "is listed twice",
        },
        RejectionCase {
            name: "short hash",
            find: "token_sha256 = [\"",
            replace: "token_sha256 = [\"ab",
            expected_line: "ab",
            expected_message: "64 hexadecimal digits",
        },
        RejectionCase {
            name: "name with a space",
            find: "name = \"clerks\"",
            replace: "name = \"our clerks\"",
            expected_line: "our clerks",
            expected_message: "use letters, digits",
        },
        RejectionCase {
            name: "duplicate retired backend server",
            find: "retired = []",
            replace: "retired = [\"old-1\", \"old-1\"]",
            expected_line: "old-1",
            expected_message: "is listed twice",
        },
    ];
    for case in cases {
        let text = BALLAST_EXAMPLE.replacen(case.find, case.replace, 1);
        assert_ne!(
            text, BALLAST_EXAMPLE,
            "{}: the example no longer contains {:?}",
            case.name, case.find
        );
        let error = ServiceDocument::try_from(text.as_str()).expect_err(case.name);
        let line = match &error {
            DocumentError::Syntax { line, .. } | DocumentError::InvalidValue { line, .. } => *line,
            DocumentError::TooLong { .. } => panic!("{}: {error}", case.name),
        };
        let line_text = text.lines().nth(line - 1).unwrap();
        assert!(
            line_text.contains(case.expected_line),
            "{}: line {line} is {line_text:?}: {error}",
            case.name
        );
        let message = error.to_string();
        assert!(message.contains(case.expected_message), "{}: {message}", case.name);
    }
}

struct RuleCase {
    method: &'static str,
    path: &'static str,
    non_idempotent: bool,
}

#[test]
fn path_rule_matches_the_path_and_paths_below_it() {
    let document = ServiceDocument::try_from(BALLAST_EXAMPLE).unwrap();
    let target = ServiceTarget::Plain(ServiceName::try_from("order-desk").unwrap());
    let cases = [
        RuleCase { method: "POST", path: "/services/order-desk/orders", non_idempotent: true },
        RuleCase { method: "POST", path: "/services/order-desk/orders/7", non_idempotent: true },
        RuleCase { method: "POST", path: "/services/order-desk/ordersx", non_idempotent: false },
        RuleCase { method: "GET", path: "/services/order-desk/orders", non_idempotent: false },
        RuleCase { method: "POST", path: "/services/order-desk", non_idempotent: false },
    ];
    for case in cases {
        let is_non_idempotent = document.is_non_idempotent(case.method, case.path, &target);
        assert_eq!(is_non_idempotent, case.non_idempotent, "{} {}", case.method, case.path);
    }
}

#[test]
fn token_grants_access_to_its_workspace_only() {
    let document = Rc::new(ServiceDocument::try_from(BALLAST_EXAMPLE).unwrap());
    let view = ConfigView::new(7, [document]);
    let grants = view.grants("demo-clerks");
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].rules().name.as_str(), "clerks");
    assert!(view.grants("demo-clerk").is_empty());
    assert!(view.grants("").is_empty());
}

#[test]
fn regions_of_unknown_target_are_none() {
    let document = ServiceDocument::try_from(BALLAST_EXAMPLE).unwrap();
    let known = ServiceTarget::Model(ModelName::try_from("ballast").unwrap());
    assert_eq!(document.regions_of(&known).map(<[_]>::len), Some(3));
    let unknown = ServiceTarget::Model(ModelName::try_from("order-desk").unwrap());
    assert_eq!(document.regions_of(&unknown), None);
}

#[test]
fn debug_output_omits_token_hashes() {
    let output = format!("{:?}", TokenHash::of("demo-clerks"));
    assert!(output.len() < 30, "{output}");
}
