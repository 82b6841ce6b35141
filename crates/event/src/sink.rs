//! Event sinks: the process's event log, and sinks for tests.

use {
    crate::{EventDraft, EventQuery, record::push_header},
    gullglade_units::{HybridClock, HybridStamp, ProcessContext, VmName},
    log::{Level, Record},
    std::{cell::RefCell, collections::VecDeque, rc::Rc},
};

/// Module path that marks a log record whose message is a complete event line.
pub(crate) const EVENT_MODULE: &str = "gullglade::event";

/// Destination of events; modules receive one at their interface to report what they did.
pub trait EventSink {
    /// Records one event. Never fails and never waits for the network.
    fn emit(&self, event: EventDraft);
}

/// Discards every event.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullSink;

impl EventSink for NullSink {
    fn emit(&self, _event: EventDraft) {}
}

/// Stores every event as `kind key=value ...`, for tests.
#[derive(Debug, Default)]
pub struct MemorySink {
    lines: RefCell<Vec<String>>,
}

impl MemorySink {
    /// Returns the recorded events, oldest first.
    pub fn lines(&self) -> Vec<String> {
        self.lines.borrow().clone()
    }

    /// Returns the number of recorded events of `kind`.
    pub fn count(&self, kind: &str) -> usize {
        let of_kind = |line: &&String| line.split(' ').next() == Some(kind);
        self.lines.borrow().iter().filter(of_kind).count()
    }
}

impl EventSink for MemorySink {
    fn emit(&self, event: EventDraft) {
        self.lines.borrow_mut().push(format!("{}{}", event.kind, event.fields));
    }
}

/// The event log of one process: stamps each event, writes its line to the log and retains the most
/// recent events in memory for the operator port.
pub struct EventLog {
    vm: VmName,
    hybrid: Rc<HybridClock>,
    context: ProcessContext,
    capacity: usize,
    ring: RefCell<EventRing>,
    line: RefCell<String>,
}

/// Ring buffer of the most recent events. Lines are formatted on retrieval, because every request
/// emits events but operators rarely query them.
#[derive(Default)]
struct EventRing {
    events: VecDeque<(HybridStamp, EventDraft)>,
    dropped: Option<HybridStamp>,
}

/// A contiguous range of a process's retained events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventPage {
    /// Event lines, oldest first.
    pub lines: Vec<String>,
    /// True if events after the requested stamp have been evicted from memory.
    pub dropped: bool,
}

impl EventPage {
    /// Formats the page for the operator port: one line per event, preceded by a comment line if
    /// events are missing.
    pub fn into_text(self) -> String {
        let mut text = String::new();
        if self.dropped {
            text.push_str("# older events are no longer in memory; read the log files\n");
        }
        for line in self.lines {
            text.push_str(&line);
            text.push('\n');
        }
        text
    }
}

impl EventLog {
    /// Creates the event log of the process on `vm`, which retains the last `capacity` events.
    /// `hybrid` is the process-wide clock whose stamps the peer sessions exchange.
    pub fn new(
        vm: VmName,
        hybrid: Rc<HybridClock>,
        context: ProcessContext,
        capacity: usize,
    ) -> Self {
        Self { vm, hybrid, context, capacity, ring: RefCell::default(), line: RefCell::default() }
    }

    /// Returns the page that `query` selects.
    pub fn answer(&self, query: EventQuery) -> EventPage {
        self.page(query.since, query.limit)
    }

    /// Returns up to `limit` events stamped after `since`, oldest first. Pass the last stamp of a
    /// page as `since` to get the next one.
    pub fn page(&self, since: Option<HybridStamp>, limit: usize) -> EventPage {
        let ring = self.ring.borrow();
        let after = since.unwrap_or_default();
        let start = ring.events.partition_point(|(stamp, _)| *stamp <= after);
        let lines = ring.events.range(start..).take(limit).map(|(stamp, event)| {
            let mut line = String::new();
            self.push_line(&mut line, *stamp, event);
            line
        });
        EventPage {
            lines: lines.collect(),
            dropped: ring.dropped.is_some_and(|dropped| dropped > after),
        }
    }

    fn push_line(&self, line: &mut String, stamp: HybridStamp, event: &EventDraft) {
        push_header(line, stamp, &self.vm, event.level, event.kind);
        line.push_str(&event.fields);
    }

    fn write(&self, stamp: HybridStamp, event: &EventDraft) {
        if event.level > log::max_level() {
            return;
        }
        let mut line = self.line.borrow_mut();
        line.clear();
        self.push_line(&mut line, stamp, event);
        write_line(event.kind, event.level, &line);
    }

    fn retain(&self, stamp: HybridStamp, event: EventDraft) {
        let mut ring = self.ring.borrow_mut();
        ring.events.push_back((stamp, event));
        if ring.events.len() > self.capacity {
            ring.dropped = ring.events.pop_front().map(|(stamp, _)| stamp);
        }
    }
}

impl EventSink for EventLog {
    fn emit(&self, event: EventDraft) {
        let stamp = self.hybrid.stamp(self.context.clock.wall());
        self.write(stamp, &event);
        if event.level <= Level::Info {
            self.retain(stamp, event);
        }
    }
}

/// Passes the line to the logger with the kind as target, so that a level set for `request` applies
/// to `request.dispatched`.
fn write_line(kind: &str, level: Level, line: &str) {
    let mut builder = Record::builder();
    builder.target(kind).level(level).module_path_static(Some(EVENT_MODULE));
    log::logger().log(&builder.args(format_args!("{line}")).build());
}
