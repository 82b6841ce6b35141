//! Log levels and output of a process.

use {
    crate::{bounded_writer::BoundedWriter, line::push_field, sink::EVENT_MODULE},
    flexi_logger::{
        Cleanup, Criterion, DeferredNow, FileSpec, FlexiLoggerError, LogSpecification, Logger,
        LoggerHandle, Naming, WriteMode,
        filter::{LogLineFilter, LogLineWriter},
    },
    log::{Level, Record},
    snafu::{ResultExt, Snafu},
    std::{io, path::PathBuf, str::FromStr},
};

/// Default size at which log files are rotated.
const DEFAULT_FILE_BYTES: u64 = 64 << 20;

/// Default number of rotated log files to keep.
const DEFAULT_KEPT_FILES: usize = 8;

/// Error in the log settings or in starting the log.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The levels cannot be parsed.
    #[snafu(display(
        "log levels {text:?} cannot be read ({reason}); write for example \
         \"info, request=warn, control=debug\""
    ))]
    BadLevels {
        /// The rejected text.
        text: String,
        /// The parser's error message.
        reason: String,
    },
    /// The log output cannot be opened.
    #[snafu(display("the log cannot be started; is the log folder there and writable? {source}"))]
    NotStarted {
        /// The logger's error.
        source: FlexiLoggerError,
    },
}

/// Destination of log lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error, for a service manager to collect.
    #[default]
    Stderr,
    /// Standard output, without blocking on its reader: if the reader falls behind, lines are
    /// dropped and a separate line reports their number.
    Stdout,
    /// Rotated log files in this folder, with the base name `gullglade`.
    Folder(PathBuf),
}

/// Log settings of a process. Defaults: level `info`, output to standard error, rotation at 64 MiB,
/// eight rotated files kept.
#[derive(Clone, Debug)]
pub struct LogSettings {
    levels: LogSpecification,
    output: LogOutput,
    file_bytes: u64,
    kept_files: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            levels: LogSpecification::info(),
            output: LogOutput::Stderr,
            file_bytes: DEFAULT_FILE_BYTES,
            kept_files: DEFAULT_KEPT_FILES,
        }
    }
}

impl FromStr for LogSettings {
    type Err = SettingsError;

    /// Parses levels such as `info, request=warn, control=debug`: a default level, then levels for
    /// single modules. The module of an event is the first segment of its kind.
    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let levels = LogSpecification::parse(text)
            .map_err(|e| BadLevelsSnafu { text, reason: e.to_string() }.build())?;
        Ok(Self { levels, ..Self::default() })
    }
}

impl LogSettings {
    /// Sets the destination of log lines.
    pub fn output(mut self, output: LogOutput) -> Self {
        self.output = output;
        self
    }

    /// Sets the size in bytes at which log files are rotated.
    pub fn file_bytes(mut self, bytes: u64) -> Self {
        self.file_bytes = bytes;
        self
    }

    /// Sets the number of rotated files to keep.
    pub fn kept_files(mut self, files: usize) -> Self {
        self.kept_files = files;
        self
    }

    /// Starts the process's log, which stops when the handle is dropped. Fails if the output cannot
    /// be opened or a log was already started in this process.
    pub fn start(self) -> Result<LogHandle, SettingsError> {
        let logger = Logger::with(self.levels)
            .use_utc()
            .format(write_record)
            .filter(Box::new(LibraryFilter));
        let logger = match self.output {
            LogOutput::Stderr => logger.log_to_stderr().write_mode(WriteMode::Direct),
            LogOutput::Stdout => {
                let writer = BoundedWriter::start(io::stdout(), write_record)
                    .map_err(FlexiLoggerError::from)
                    .context(NotStartedSnafu)?;
                logger.log_to_writer(Box::new(writer))
            }
            LogOutput::Folder(folder) => logger
                .log_to_file(FileSpec::default().directory(folder).basename("gullglade"))
                .rotate(
                    Criterion::Size(self.file_bytes),
                    Naming::Numbers,
                    Cleanup::KeepLogFiles(self.kept_files),
                )
                // A background thread can fall behind a burst of lines, so that the files exceed
                // the disk space. Removing one file per rotation costs little.
                .cleanup_in_background_thread(false)
                .append()
                .write_mode(WriteMode::BufferAndFlush),
        };
        logger.start().map(LogHandle).context(NotStartedSnafu)
    }
}

/// Keeps the log running until it is dropped.
pub struct LogHandle(LoggerHandle);

impl LogHandle {
    /// Writes out buffered lines. Call this before the process exits.
    pub fn flush(&self) {
        self.0.flush();
    }
}

/// Drops records of libraries below level `Warn`, whatever levels the operator sets: debug lines of
/// libraries may quote request bodies, and prompts must not reach the log.
struct LibraryFilter;

impl LogLineFilter for LibraryFilter {
    fn write(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
        writer: &dyn LogLineWriter,
    ) -> io::Result<()> {
        if is_event(record) || record.level() <= Level::Warn {
            return writer.write(now, record);
        }
        Ok(())
    }
}

fn is_event(record: &Record<'_>) -> bool {
    record.module_path() == Some(EVENT_MODULE)
}

fn write_record(
    writer: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    if is_event(record) {
        return writer.write_fmt(*record.args());
    }
    let mut line = format!("wall={}", now.now().timestamp_millis());
    push_field(&mut line, "level", &record.level());
    push_field(&mut line, "library", &record.target());
    push_field(&mut line, "message", record.args());
    writer.write_all(line.as_bytes())
}
