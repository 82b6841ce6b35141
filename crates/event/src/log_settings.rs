//! Where log lines go and which levels.

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

/// The size at which a log file is closed and a new one begun, where the settings say nothing.
const DEFAULT_FILE_BYTES: u64 = 64 << 20;

/// How many closed log files are kept, where the settings say nothing.
const DEFAULT_KEPT_FILES: usize = 8;

/// Why the log cannot be started.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The levels cannot be read.
    #[snafu(display(
        "log levels {text:?} cannot be read ({reason}); write for example \
         \"info, request=warn, control=debug\""
    ))]
    BadLevels {
        /// The text given.
        text: String,
        /// The library's words.
        reason: String,
    },
    /// The log cannot be opened.
    #[snafu(display("the log cannot be started; is the log folder there and writable? {source}"))]
    NotStarted {
        /// The library's error.
        source: FlexiLoggerError,
    },
}

/// Where lines go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum LogOutput {
    /// To the standard error stream, for a service manager to collect.
    #[default]
    Stderr,
    /// To the standard output stream, without ever waiting for its reader: lines that it does not
    /// take in time are left out and counted in a line of their own.
    Stdout,
    /// To `gullglade.log` files in this folder, with rotation.
    Folder(PathBuf),
}

/// The settings of a process's log. Defaults: level `info`, standard error; files of 64 MiB, eight
/// closed ones kept.
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

    /// Reads levels such as `info, request=warn, control=debug`: a level for everything, then one
    /// for each module, which is the first word of an event's kind.
    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let levels = LogSpecification::parse(text)
            .map_err(|e| BadLevelsSnafu { text, reason: e.to_string() }.build())?;
        Ok(Self { levels, ..Self::default() })
    }
}

impl LogSettings {
    /// Sets where lines go.
    pub fn output(mut self, output: LogOutput) -> Self {
        self.output = output;
        self
    }

    /// Sets the size at which a file is closed, bytes.
    pub fn file_bytes(mut self, bytes: u64) -> Self {
        self.file_bytes = bytes;
        self
    }

    /// Sets how many closed files are kept.
    pub fn kept_files(mut self, files: usize) -> Self {
        self.kept_files = files;
        self
    }

    /// Starts the process's log. Once a process; the log stops when the handle is dropped.
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
                // In the background a burst of lines can leave more files than the disk has room
                // for; removing one file at a rotation costs little.
                .cleanup_in_background_thread(false)
                .append()
                .write_mode(WriteMode::BufferAndFlush),
        };
        logger.start().map(LogHandle).context(NotStartedSnafu)
    }
}

/// Keeps the log running.
pub struct LogHandle(LoggerHandle);

impl LogHandle {
    /// Writes out what is buffered; to be called before the process ends.
    pub fn flush(&self) {
        self.0.flush();
    }
}

/// Drops what libraries say below a warning: their debug lines may quote bodies, and no level that
/// an operator sets may bring a prompt into a log.
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
