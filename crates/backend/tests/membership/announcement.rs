//! Validation of JSON announcements, and the remedies stated in the errors.

use gullglade_backend::Announcement;

struct AnnouncementCase {
    name: &'static str,
    json: &'static str,
    /// Substring of the error message. Empty if the JSON is valid.
    expected_error: &'static str,
}

const PROFILE: &str = r#""profile":{"region":"puget","domain":"puget-a","address":"10.0.0.9:8000",
    "kind":"engine","models":["ballast/7b"],"capacity":{"slots":8}}"#;

const CASES: &[AnnouncementCase] = &[
    AnnouncementCase {
        name: "renewal",
        json: r#"{"name":"e1","incarnation":7,"sequence":2,"state":"leaving"}"#,
        expected_error: "",
    },
    AnnouncementCase {
        name: "with profile",
        json: r#"{"name":"e1","incarnation":7,"sequence":1,"state":"serving",PROFILE}"#,
        expected_error: "",
    },
    AnnouncementCase {
        name: "unknown field",
        json: r#"{"name":"e1","incarnation":7,"sequence":1,"state":"serving","x":1}"#,
        expected_error: "unknown field `x`",
    },
    AnnouncementCase {
        name: "invalid name",
        json: r#"{"name":"e 1","incarnation":7,"sequence":1,"state":"serving"}"#,
        expected_error: "backend server name",
    },
    AnnouncementCase {
        name: "no slots",
        json: r#"{"name":"e1","incarnation":7,"sequence":1,"state":"serving","profile":{"region":"puget","domain":"a","address":"10.0.0.9:8000","kind":"engine","models":["m"],"capacity":{"slots":0}}}"#,
        expected_error: "capacity.slots",
    },
    AnnouncementCase {
        name: "no model",
        json: r#"{"name":"e1","incarnation":7,"sequence":1,"state":"serving","profile":{"region":"puget","domain":"a","address":"10.0.0.9:8000","kind":"engine","capacity":{"slots":1}}}"#,
        expected_error: "`models`",
    },
    AnnouncementCase {
        name: "no service",
        json: r#"{"name":"e1","incarnation":7,"sequence":1,"state":"serving","profile":{"region":"puget","domain":"a","address":"10.0.0.9:8000","kind":"service","capacity":{"slots":1}}}"#,
        expected_error: "`services`",
    },
    AnnouncementCase {
        name: "unspecified address",
        json: r#"{"name":"e1","incarnation":7,"sequence":1,"state":"serving","profile":{"region":"puget","domain":"a","address":"0.0.0.0:8000","kind":"engine","models":["m"],"capacity":{"slots":1}}}"#,
        expected_error: "can reach",
    },
];

#[test]
fn valid_announcements_round_trip_and_invalid_ones_state_the_remedy() {
    for case in CASES {
        let json = case.json.replace("PROFILE", PROFILE);
        match Announcement::try_from(json.as_bytes()) {
            Ok(announcement) => {
                assert_eq!(case.expected_error, "", "{}: accepted", case.name);
                let encoded = serde_json::to_vec(&announcement).unwrap();
                assert_eq!(
                    Announcement::try_from(&*encoded).unwrap(),
                    announcement,
                    "{}",
                    case.name
                );
            }
            Err(error) => {
                let message = error.to_string();
                assert!(!case.expected_error.is_empty(), "{}: refused: {message}", case.name);
                assert!(message.contains(case.expected_error), "{}: {message}", case.name);
            }
        }
    }
}
