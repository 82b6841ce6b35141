//! Plain-text rendering of the timeline for terminals.

use {
    super::{format_fields, format_time},
    crate::EventRecord,
    log::Level,
};

/// Renders one line per event, with aligned columns, followed by the notes.
pub(super) fn render(events: &[&EventRecord], notes: &[String]) -> String {
    let vm_width = max_width(events, |event| event.vm.as_str().len());
    let kind_width = max_width(events, |event| event.kind.len());
    let mut lines: Vec<String> = events
        .iter()
        .map(|event| {
            let line = format!(
                "{}  {:vm_width$}  {:5}  {:kind_width$}  {}",
                format_time(event),
                event.vm.as_str(),
                format_level(event.level),
                event.kind,
                format_fields(event),
            );
            line.trim_end().to_owned() + "\n"
        })
        .collect();
    lines.extend(notes.iter().map(|note| format!("# {}\n", note.escape_debug())));
    lines.concat()
}

fn max_width(events: &[&EventRecord], width: impl Fn(&EventRecord) -> usize) -> usize {
    events.iter().map(|event| width(event)).max().unwrap_or(0)
}

/// Returns the text of the level column, which is empty for levels below warning.
fn format_level(level: Level) -> &'static str {
    match level {
        Level::Error => "ERROR",
        Level::Warn => "WARN",
        Level::Info | Level::Debug | Level::Trace => "",
    }
}
