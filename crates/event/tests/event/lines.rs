//! Encoding of event lines: values round-trip and cannot inject another field or line.

use {
    crate::support::Process,
    gullglade_event::{EventDraft, EventQuery, EventRecord, Level},
    gullglade_units::{HybridStamp, WallMillis},
    quickcheck::quickcheck,
    std::fmt,
};

/// An error with an arbitrary message.
#[derive(Debug)]
struct ArbitraryError(String);

impl fmt::Display for ArbitraryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ArbitraryError {}

fn line_of(message: &str) -> String {
    let process = Process::new("puget-1", 1);
    let error = ArbitraryError(message.to_owned());
    process.emit(EventDraft::new("test.error").error("reason", &error).field("after", 7_u64));
    process.log.page(None, 1).lines.remove(0)
}

#[test]
fn values_are_quoted_and_escaped_only_where_necessary() {
    struct Case {
        message: &'static str,
        value: &'static str,
    }
    let cases = [
        Case { message: "plain", value: "plain" },
        Case { message: "", value: r#""""# },
        Case { message: "two words", value: r#""two words""# },
        Case { message: "a=b", value: r#""a=b""# },
        Case { message: "x\nstamp=1.0000 vm=b", value: r#""x\nstamp=1.0000 vm=b""# },
        Case { message: "say \"hi\"", value: r#""say \"hi\"""# },
        Case { message: "back\\slash", value: r#""back\\slash""# },
        Case { message: "\u{1b}[31mred", value: r#""\u001b[31mred""# },
        Case { message: "\u{9b}31m\u{7f}", value: r#""\u009b31m\u007f""# },
        Case { message: "é\u{202e}😀", value: r#""\u00e9\u202e\ud83d\ude00""# },
    ];
    for case in cases {
        let expected = format!(
            "stamp=0.0001 vm=puget-1 level=info kind=test.error reason={} after=7",
            case.value
        );
        assert_eq!(line_of(case.message), expected);
    }
}

quickcheck! {
    fn every_value_round_trips(message: String) -> bool {
        let line = line_of(&message);
        let record = EventRecord::try_from(line.as_str()).unwrap();
        let is_short = message.len() <= 240;
        let is_same = record.field("reason") == Some(message.as_str()) || !is_short;
        let one_line = line.bytes().all(|b| (0x20..0x7f).contains(&b));
        is_same && one_line && record.fields.len() == 2 && record.to_string() == line
    }
}

#[test]
fn long_values_are_truncated() {
    let record = EventRecord::try_from(line_of(&"é".repeat(4_000)).as_str()).unwrap();
    let value = record.field("reason").unwrap();
    assert!(value.ends_with("..."));
    assert!(value.len() <= 243, "{} bytes", value.len());
}

#[test]
fn lines_that_are_not_events_are_rejected() {
    struct Case {
        line: &'static str,
        expected_text: &'static str,
    }
    let cases = [
        Case { line: "", expected_text: "no stamp=" },
        Case { line: "hello", expected_text: "column 1" },
        Case { line: "wall=1 level=warn library=x message=y", expected_text: "no stamp=" },
        Case { line: "stamp=1.0000 vm=a level=info", expected_text: "no kind=" },
        Case { line: "stamp=1 vm=a level=info kind=k", expected_text: "stamp=1 cannot" },
        Case { line: "stamp=1.0000 vm=! level=info kind=k", expected_text: "vm= cannot" },
        Case { line: "stamp=1.0000 vm=a level=loud kind=k", expected_text: "level=loud cannot" },
        Case { line: "stamp=1.0000 vm=a level=info kind=k x=\"open", expected_text: "column 37" },
        Case { line: "stamp=1.0000 vm=a level=info kind=k x=\"a\"y=2", expected_text: "column 37" },
        Case { line: "stamp=1.0000 vm=a level=info kind=k  x=1", expected_text: "column 37" },
    ];
    for case in cases {
        let error = EventRecord::try_from(case.line).unwrap_err().to_string();
        assert!(error.contains(case.expected_text), "{:?} gave {error:?}", case.line);
    }
}

#[test]
fn stamps_follow_messages_and_never_decrease() {
    // Guards against a timeline that shows an answer before its request. With stamps from the wall
    // clock alone, this happens when a message arrives from a VM whose clock is 5 s ahead, or when
    // the local clock steps back.
    let process = Process::new("puget-1", 8);
    process.clock.0.set(10_000);
    process.emit(EventDraft::new("test.first"));
    process.hybrid.observe(HybridStamp { wall: WallMillis(15_000), counter: 3 });
    process.emit(EventDraft::new("test.second"));
    process.clock.0.set(9_000);
    process.emit(EventDraft::new("test.third"));
    let stamps: Vec<String> =
        process.log.page(None, 9).lines.iter().map(|l| l[6..16].to_owned()).collect();
    assert_eq!(stamps, ["10000.0000", "15000.0004", "15000.0005"]);
}

#[test]
fn memory_retains_the_last_events_and_reports_evicted_ones() {
    let process = Process::new("puget-1", 2);
    for wall in 1..=4 {
        process.clock.0.set(wall);
        process.emit(EventDraft::new("test.event").field("wall", wall));
    }
    process.emit(EventDraft::new("test.detail").level(Level::Debug));
    let page = process.log.page(None, 10);
    assert!(page.dropped);
    assert_eq!(page.lines.len(), 2);
    let last_evicted = HybridStamp { wall: WallMillis(2), counter: 0 };
    assert!(!process.log.page(Some(last_evicted), 10).dropped);
    let newest = HybridStamp { wall: WallMillis(4), counter: 0 };
    assert_eq!(process.log.page(Some(newest), 10).lines, Vec::<String>::new());
    assert_eq!(process.log.page(Some(last_evicted), 1).lines.len(), 1);
    assert!(page.into_text().starts_with("# older events"));
}

#[test]
fn event_queries_are_validated() {
    struct Case {
        query: Option<&'static str>,
        found: Result<(Option<&'static str>, usize), &'static str>,
    }
    let cases = [
        Case { query: None, found: Ok((None, 10_000)) },
        Case { query: Some(""), found: Ok((None, 10_000)) },
        Case { query: Some("since=7.0003"), found: Ok((Some("7.0003"), 10_000)) },
        Case { query: Some("limit=5&since=7.0003"), found: Ok((Some("7.0003"), 5)) },
        Case { query: Some("limit=99999999"), found: Ok((None, 10_000)) },
        Case { query: Some("limit=-1"), found: Err("limit: ") },
        Case { query: Some("since=yesterday"), found: Err("since: ") },
        Case { query: Some("from=1"), found: Err("from=1") },
    ];
    for case in cases {
        let found = EventQuery::try_from(case.query).map_err(|e| e.to_string());
        match case.found {
            Ok((since, limit)) => {
                let since = since.map(|text| text.parse().unwrap());
                assert_eq!(found, Ok(EventQuery { since, limit }));
            }
            Err(part) => assert!(found.unwrap_err().contains(part)),
        }
    }
}
