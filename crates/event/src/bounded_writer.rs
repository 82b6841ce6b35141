//! Lines to standard output without ever waiting for whoever reads it.
//!
//! A reader that stands still fills the pipe, and the next write would block the thread of the
//! event loop, and with it every request. So lines go through a bounded queue to a thread of
//! their own; what does not fit is left out and counted.

use {
    flexi_logger::{DeferredNow, FlexiLoggerError, FormatFunction, writers::LogWriter},
    log::Record,
    std::{
        io::{self, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
    },
};

/// The most lines that wait. At a few hundred bytes a line, about a megabyte.
const QUEUE_LINES: usize = 4_096;

/// The most bytes that are written at once.
const BATCH_BYTES: usize = 64 << 10;

enum LogJob {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Writes log lines from a thread of its own.
pub(crate) struct BoundedWriter {
    jobs: SyncSender<LogJob>,
    left_out: Arc<AtomicU64>,
    format: FormatFunction,
}

impl BoundedWriter {
    /// Starts the thread that writes to `target`.
    pub(crate) fn start(
        target: impl Write + Send + 'static,
        format: FormatFunction,
    ) -> io::Result<Self> {
        let (jobs, queue) = sync_channel(QUEUE_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&left_out);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(target, &queue, &count))?;
        Ok(Self { jobs, left_out, format })
    }

    fn put(&self, line: Vec<u8>) {
        if self.jobs.try_send(LogJob::Line(line)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_all(mut target: impl Write, queue: &Receiver<LogJob>, left_out: &AtomicU64) {
    let mut batch = Vec::with_capacity(BATCH_BYTES);
    while let Ok(first) = queue.recv() {
        let mut flushed = Vec::new();
        let mut next = Some(first);
        while let Some(job) = next {
            match job {
                LogJob::Line(line) => {
                    batch.extend_from_slice(&line);
                    batch.push(b'\n');
                }
                LogJob::Flush(done) => flushed.push(done),
            }
            next = if batch.len() < BATCH_BYTES { queue.try_recv().ok() } else { None };
        }
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            batch.extend_from_slice(
                format!("level=WARN kind=log.left_out lines={missing}\n").as_bytes(),
            );
        }
        // Nobody reads standard output any more: there is no other place to say so.
        let _: io::Result<()> = target.write_all(&batch).and_then(|()| target.flush());
        batch.clear();
        for done in flushed {
            let _: Result<(), _> = done.send(());
        }
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        self.put(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, flushed) = sync_channel(1);
        // A full queue is not waited for: its reader stands still.
        if self.jobs.try_send(LogJob::Flush(done)).is_ok() {
            let _: Result<(), _> = flushed.recv_timeout(std::time::Duration::from_millis(200));
        }
        Ok(())
    }

    fn reopen_output(&self) -> Result<(), FlexiLoggerError> {
        Ok(())
    }
}
