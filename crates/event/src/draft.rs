//! Events that have not been stamped yet, and the types of value that they may hold.

use {
    crate::line::{push_field, push_text_field},
    gullglade_units::{
        BackendName, ChangeId, FailureDomain, HybridStamp, Incarnation, ModelName, OrderKey,
        RegionName, RequestId, ServiceName, VmName, WallMillis, WorkspaceName,
    },
    log::Level,
    std::{
        fmt::Display,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// Initial capacity in bytes of an event's fields; most events need no reallocation.
const FIELDS_CAPACITY: usize = 192;

/// A value that may appear in a log line.
///
/// Logs are copied to locations that a service's document does not govern, so text from a
/// caller or a backend server must not reach them. `String`, `&str` (other than literals) and
/// `Bytes` therefore do not implement this trait: log an id, a name, a length or a count instead.
/// An enum whose variants print fixed words implements it with `impl FieldValue for Reason {}`.
#[diagnostic::on_unimplemented(
    message = "`{Self}` may not appear in a log line",
    note = "log a validated name, an id, a number or a literal; errors go through \
            `EventDraft::error`; enums of fixed words `impl FieldValue`"
)]
pub trait FieldValue: Display {}

macro_rules! field_values {
    ($($kind:ty),* $(,)?) => { $(impl FieldValue for $kind {})* };
}

field_values!(
    BackendName,
    ChangeId,
    FailureDomain,
    HybridStamp,
    Incarnation,
    ModelName,
    OrderKey,
    RegionName,
    RequestId,
    ServiceName,
    VmName,
    WallMillis,
    WorkspaceName,
    IpAddr,
    SocketAddr,
    bool,
    f32,
    f64,
    i32,
    i64,
    u8,
    u16,
    u32,
    u64,
    usize,
);

impl FieldValue for &'static str {}

impl<T: FieldValue> FieldValue for &T {}

/// One event without its stamp: a dotted kind, a level and fields in insertion order.
#[derive(Clone, Debug)]
pub struct EventDraft {
    pub(crate) kind: &'static str,
    pub(crate) level: Level,
    pub(crate) fields: String,
}

impl EventDraft {
    /// Creates an event of level `Info`. `kind` is a dotted name such as `request.dispatched`; its
    /// first segment is the module for which log levels are set.
    pub fn new(kind: &'static str) -> Self {
        Self { kind, level: Level::Info, fields: String::with_capacity(FIELDS_CAPACITY) }
    }

    /// Sets the level.
    pub fn level(mut self, level: Level) -> Self {
        self.level = level;
        self
    }

    /// Adds `key=value`. Keys are literals that match `[a-z0-9_]+`.
    ///
    /// ```
    /// # use gullglade_event::EventDraft;
    /// let event = EventDraft::new("request.refused").field("reason", "queue-full").field("queued", 7);
    /// assert_eq!(event.fields(), " reason=queue-full queued=7");
    /// ```
    ///
    /// Arbitrary text, such as a prompt, does not compile:
    ///
    /// ```compile_fail,E0277
    /// # use gullglade_event::EventDraft;
    /// let prompt = String::from("quote 400 t of ballast");
    /// EventDraft::new("request.received").field("prompt", &prompt);
    /// ```
    ///
    /// ```compile_fail,E0597
    /// # use gullglade_event::EventDraft;
    /// let prompt = String::from("quote 400 t of ballast");
    /// EventDraft::new("request.received").field("prompt", prompt.as_str());
    /// ```
    pub fn field(mut self, key: &'static str, value: impl FieldValue) -> Self {
        push_field(&mut self.fields, key, &value);
        self
    }

    /// Adds `key=value` if `value` is `Some`.
    pub fn optional(self, key: &'static str, value: Option<impl FieldValue>) -> Self {
        match value {
            Some(value) => self.field(key, value),
            None => self,
        }
    }

    /// Adds a duration in milliseconds with microsecond precision, as in `key=12.345`.
    pub fn millis(mut self, key: &'static str, duration: Duration) -> Self {
        let micros = duration.as_micros();
        push_field(
            &mut self.fields,
            key,
            &format_args!("{}.{:03}", micros / 1_000, micros % 1_000),
        );
        self
    }

    /// Adds the message of an error, truncated to the maximum length of a value and quoted where
    /// necessary. Messages of the system's typed errors contain identifiers and limits, never a
    /// request or response body.
    pub fn error(mut self, key: &'static str, error: &dyn std::error::Error) -> Self {
        push_text_field(&mut self.fields, key, error);
        self
    }

    /// Returns the dotted kind, such as `request.dispatched`.
    pub fn kind(&self) -> &'static str {
        self.kind
    }

    /// The encoded fields as they appear in the line, each preceded by a space.
    pub fn fields(&self) -> &str {
        &self.fields
    }
}
