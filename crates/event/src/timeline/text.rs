//! Plain-text rendering of the timeline for terminals.

use {
    super::{fields_text, time_text},
    crate::EventRecord,
    log::Level,
};

/// Renders one line per event, with aligned columns, followed by the notes.
pub(super) fn render(events: &[&EventRecord], notes: &[String]) -> String {
    let vm_width = widest(events, |event| event.vm.as_str().len());
    let kind_width = widest(events, |event| event.kind.len());
    let mut lines: Vec<String> = events
        .iter()
        .map(|event| {
            let line = format!(
                "{}  {:vm_width$}  {:5}  {:kind_width$}  {}",
                time_text(event),
                event.vm.as_str(),
                level_text(event.level),
                event.kind,
                fields_text(event),
            );
            line.trim_end().to_owned() + "\n"
        })
        .collect();
    lines.extend(notes.iter().map(|note| format!("# {}\n", note.escape_debug())));
    lines.concat()
}

fn widest(events: &[&EventRecord], width: impl Fn(&EventRecord) -> usize) -> usize {
    events.iter().map(|event| width(event)).max().unwrap_or(0)
}

/// Returns the text of the level column, which is empty for levels below warning.
fn level_text(level: Level) -> &'static str {
    match level {
        Level::Error => "ERROR",
        Level::Warn => "WARN",
        Level::Info | Level::Debug | Level::Trace => "",
    }
}
