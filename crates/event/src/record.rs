//! Events parsed from log lines.

use {
    crate::line::{push_field, take_field},
    gullglade_units::{HybridStamp, VmName},
    log::Level,
    snafu::{OptionExt, ResultExt, Snafu},
    std::fmt::{self, Write},
};

/// Reason why a line cannot be parsed as an event.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The line does not consist of key=value pairs.
    #[snafu(display("column {column}: not a key=value pair; is this a complete gullglade log?"))]
    NotFields {
        /// Byte position of the first malformed pair, counted from 1.
        column: usize,
    },
    /// A header field is missing or out of order.
    #[snafu(display("no {key}= header field; the line comes from a library and is not an event"))]
    Missing {
        /// The field's key.
        key: &'static str,
    },
    /// A header field has an invalid value.
    #[snafu(display("{key}={value} cannot be parsed; was the line edited?"))]
    BadValue {
        /// The field's key.
        key: &'static str,
        /// The value found.
        value: String,
    },
    /// The VM name is invalid.
    #[snafu(display("vm= cannot be parsed: {source}"))]
    BadVm {
        /// The reason why the name is invalid.
        source: gullglade_units::NameError,
    },
}

/// One stamped event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventRecord {
    /// Stamp from the hybrid logical clock of the process.
    pub stamp: HybridStamp,
    /// The VM of the process that emitted the event.
    pub vm: VmName,
    /// Severity of the event.
    pub level: Level,
    /// Dotted kind, such as `request.dispatched`.
    pub kind: String,
    /// Fields after the header, in the order of the line.
    pub fields: Vec<(String, String)>,
}

impl EventRecord {
    /// Returns the value of the first field with this key.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(k, _)| k == key).map(|(_, value)| value.as_str())
    }
}

impl TryFrom<&str> for EventRecord {
    type Error = RecordError;

    fn try_from(line: &str) -> Result<Self, RecordError> {
        let mut fields = read_fields(line)?.into_iter();
        let mut header_value = |key: &'static str| {
            let (found, value) = fields.next().context(MissingSnafu { key })?;
            if found == key { Ok(value) } else { MissingSnafu { key }.fail() }
        };
        let stamp = header_value("stamp")?;
        let vm = header_value("vm")?;
        let level = header_value("level")?;
        let kind = header_value("kind")?;
        Ok(Self {
            stamp: stamp
                .parse()
                .ok()
                .context(BadValueSnafu { key: "stamp", value: stamp.as_str() })?,
            vm: VmName::try_from(vm).context(BadVmSnafu)?,
            level: level
                .parse()
                .ok()
                .context(BadValueSnafu { key: "level", value: level.as_str() })?,
            kind,
            fields: fields.collect(),
        })
    }
}

fn read_fields(line: &str) -> Result<Vec<(String, String)>, RecordError> {
    let mut fields = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let column = line.len() - rest.len() + 1;
        let (key, value, next) = take_field(rest).context(NotFieldsSnafu { column })?;
        fields.push((key.to_owned(), value));
        rest = next;
    }
    Ok(fields)
}

impl fmt::Display for EventRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut line = String::new();
        push_header(&mut line, self.stamp, &self.vm, self.level, &self.kind);
        for (key, value) in &self.fields {
            push_field(&mut line, key, value);
        }
        f.write_str(&line)
    }
}

/// Appends the header of an event line: `stamp`, `vm`, `level` and `kind`.
pub(crate) fn push_header(
    line: &mut String,
    stamp: HybridStamp,
    vm: &VmName,
    level: Level,
    kind: &str,
) {
    write!(line, "stamp={stamp}").expect("a String takes every write");
    let level = match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    };
    for part in [" vm=", vm.as_str(), " level=", level] {
        line.push_str(part);
    }
    push_field(line, "kind", &kind);
}
