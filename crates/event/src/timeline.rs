//! Merges the events of all logs and live processes of a deployment into one causal order.
//!
//! Hybrid logical clocks stamp every cause before its effect, so the merge is a sort by stamp and
//! does not depend on correct wall clocks. Only events that no chain of messages connects may be
//! out of their real order, by up to the error of the wall clocks.

mod filter;
mod html;
mod text;

pub use filter::EventFilter;

use {
    crate::{EventRecord, record::RecordError},
    std::collections::BTreeSet,
};

/// Prefix of comment lines in a page of events.
const COMMENT_PREFIX: char = '#';

/// Events of many processes; [`sort`](Self::sort) puts them into causal order.
#[derive(Debug, Default)]
pub struct Timeline {
    events: Vec<EventRecord>,
    notes: Vec<String>,
}

impl Timeline {
    /// Adds the lines of one log file or live process. Comment lines become notes, and lines that
    /// are not events are counted in a note.
    pub fn add(&mut self, source: &str, lines: &str) {
        let mut rejected: Option<(usize, RecordError)> = None;
        for line in lines.lines().filter(|line| !line.is_empty()) {
            if let Some(comment) = line.strip_prefix(COMMENT_PREFIX) {
                self.note(format!("{source}: {}", comment.trim()));
                continue;
            }
            match EventRecord::try_from(line) {
                Ok(event) => self.events.push(event),
                Err(error) => {
                    let count = rejected.map_or(0, |(count, _)| count);
                    rejected = Some((count + 1, error));
                }
            }
        }
        if let Some((count, error)) = rejected {
            self.note(format!("{source}: {count} lines are not events; the last: {error}"));
        }
    }

    /// Adds a note on missing data, such as a process that did not answer.
    pub fn note(&mut self, note: String) {
        self.notes.push(note);
    }

    /// Notes on data that is missing or could not be parsed.
    pub fn notes(&self) -> &[String] {
        &self.notes
    }

    /// Sorts the events into causal order and removes duplicates, which arise when an event comes
    /// from both a log file and the live process.
    pub fn sort(&mut self) {
        self.events.sort_by(|a, b| (a.stamp, &a.vm).cmp(&(b.stamp, &b.vm)));
        self.events.dedup();
    }

    /// Returns the events that `filter` selects, in order.
    pub fn select(&self, filter: &EventFilter) -> Vec<&EventRecord> {
        filter.select(&self.events)
    }

    /// Renders `events` as text, one per line, followed by the notes.
    pub fn text(&self, events: &[&EventRecord]) -> String {
        text::render(events, &self.notes)
    }

    /// Renders `events` as a self-contained HTML page with one column per VM.
    pub fn html(&self, title: &str, events: &[&EventRecord]) -> String {
        html::render(title, events, &self.notes)
    }
}

/// Returns the VMs of `events`, sorted by name; each is a column of the HTML page.
fn vm_columns<'a>(events: &[&'a EventRecord]) -> Vec<&'a str> {
    let names: BTreeSet<&str> = events.iter().map(|event| event.vm.as_str()).collect();
    names.into_iter().collect()
}

/// Formats an event's stamp as RFC 3339 UTC time plus the logical counter that orders equal times.
fn format_time(event: &EventRecord) -> String {
    let millis = i64::try_from(event.stamp.wall.0).unwrap_or(i64::MAX);
    match chrono::DateTime::from_timestamp_millis(millis) {
        Some(time) => {
            format!("{}+{:04}", time.format("%Y-%m-%dT%H:%M:%S%.3fZ"), event.stamp.counter)
        }
        None => event.stamp.to_string(),
    }
}

/// Formats the fields as they appear in the event line.
fn format_fields(event: &EventRecord) -> String {
    let mut text = String::new();
    for (key, value) in &event.fields {
        crate::line::push_field(&mut text, key, value);
    }
    text.trim_start().to_owned()
}
