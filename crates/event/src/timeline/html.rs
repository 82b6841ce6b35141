//! HTML rendering of the timeline.
//!
//! The page loads no resources and runs no scripts. Its content security policy enforces this in
//! the browser, as a second line of defence behind the template's escaping.

use {
    super::{format_time, vm_columns},
    crate::EventRecord,
    log::Level,
    maud::{DOCTYPE, Markup, html},
    xxhash_rust::xxh3::xxh3_64,
};

/// Content security policy that allows only the inline style sheet.
const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'";

const STYLE_SHEET: &str = "
body { font: 13px/1.4 system-ui, sans-serif; margin: 1em; color: #1a1a1a; background: #fff }
h1 { font-size: 1.2em; margin: 0 0 .3em }
p, ul { margin: .2em 0 .8em }
table { border-collapse: collapse }
th { position: sticky; top: 0; background: #f2f2f2; text-align: left; z-index: 1 }
th, td { padding: 2px 8px; vertical-align: top; border-left: 1px solid #ddd }
td.time { white-space: nowrap; color: #555; font: 12px ui-monospace, monospace; border-left: 0 }
td.event { border-left: 4px solid hsl(var(--hue) 60% 50%); background: hsl(var(--hue) 60% 96%) }
td.plain { border-left-color: #888; background: #f6f6f6 }
td.warn { outline: 2px solid #d90; outline-offset: -2px }
td.error { outline: 2px solid #c00; outline-offset: -2px }
b { font-weight: 600 }
dl { margin: 0; display: grid; grid-template-columns: auto 1fr; column-gap: .6em }
dt { color: #666 }
dd { margin: 0; overflow-wrap: anywhere; min-width: 6em; max-width: 26em }
";

/// Renders the page: one row per event, one column per VM, one colour per request or change.
pub(super) fn render(title: &str, events: &[&EventRecord], notes: &[String]) -> String {
    let vm_columns = vm_columns(events);
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta http-equiv="Content-Security-Policy" content=(CONTENT_SECURITY_POLICY);
                title { (title) }
                style { (maud::PreEscaped(STYLE_SHEET)) }
            }
            body {
                h1 { (title) }
                p {
                    (events.len()) " events of " (vm_columns.len()) " VMs, causes before effects. "
                    "Events of one request or change have one colour."
                }
                @if !notes.is_empty() {
                    ul { @for note in notes { li { (note) } } }
                }
                table {
                    thead { tr { th { "time (UTC)" } @for column in &vm_columns { th { (column) } } } }
                    tbody { @for event in events { (row(event, &vm_columns)) } }
                }
            }
        }
    };
    page.into_string()
}

fn row(event: &EventRecord, vm_columns: &[&str]) -> Markup {
    html! {
        tr {
            td.time { (format_time(event)) }
            @for column in vm_columns {
                @if *column == event.vm.as_str() { (event_cell(event)) } @else { td {} }
            }
        }
    }
}

fn event_cell(event: &EventRecord) -> Markup {
    let trace_id = event.field("request").or_else(|| event.field("change"));
    let is_uncorrelated = trace_id.is_none();
    let warn = event.level == Level::Warn;
    let error = event.level == Level::Error;
    html! {
        td.event.plain[is_uncorrelated].warn[warn].error[error] style=[trace_id.map(|id| format!("--hue:{}", hue(id)))] {
            b { (event.kind) }
            dl { @for (key, value) in &event.fields { dt { (key) } dd { (value) } } }
        }
    }
}

/// Derives a stable hue in degrees from an id.
fn hue(id: &str) -> u64 {
    xxh3_64(id.as_bytes()) % 360
}
