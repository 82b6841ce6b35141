//! Non-blocking log writer for standard output.
//!
//! If the reader of standard output stalls, the pipe fills up and the next write blocks. On the
//! event loop's thread that would stall every request, so lines go through a bounded queue to a
//! dedicated writer thread. Lines that do not fit into the queue are dropped and counted.

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

/// Capacity of the queue in lines. At a few hundred bytes per line, about 1 MB.
const QUEUE_LINES: usize = 4_096;

/// Batch size in bytes from which the writer thread stops collecting lines and writes.
const BATCH_BYTES: usize = 64 << 10;

enum LogJob {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// [`LogWriter`] that queues lines for a dedicated writer thread.
pub(crate) struct BoundedWriter {
    jobs: SyncSender<LogJob>,
    dropped_lines: Arc<AtomicU64>,
    format: FormatFunction,
}

impl BoundedWriter {
    /// Starts the thread that writes to `target`. Fails if the thread cannot be spawned.
    pub(crate) fn start(
        target: impl Write + Send + 'static,
        format: FormatFunction,
    ) -> io::Result<Self> {
        let (jobs, queue) = sync_channel(QUEUE_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped_lines);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || run_writer(target, &queue, &count))?;
        Ok(Self { jobs, dropped_lines, format })
    }

    fn enqueue(&self, line: Vec<u8>) {
        if self.jobs.try_send(LogJob::Line(line)).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn run_writer(mut target: impl Write, queue: &Receiver<LogJob>, dropped_lines: &AtomicU64) {
    let mut batch = Vec::with_capacity(BATCH_BYTES);
    while let Ok(first) = queue.recv() {
        let mut flush_waiters = Vec::new();
        let mut next = Some(first);
        while let Some(job) = next {
            match job {
                LogJob::Line(line) => {
                    batch.extend_from_slice(&line);
                    batch.push(b'\n');
                }
                LogJob::Flush(done) => flush_waiters.push(done),
            }
            next = if batch.len() < BATCH_BYTES { queue.try_recv().ok() } else { None };
        }
        let dropped = dropped_lines.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            batch.extend_from_slice(
                format!("level=WARN kind=log.left_out lines={dropped}\n").as_bytes(),
            );
        }
        // Ignored: standard output is closed, and there is no other place to report the error.
        let _: io::Result<()> = target.write_all(&batch).and_then(|()| target.flush());
        batch.clear();
        for done in flush_waiters {
            let _: Result<(), _> = done.send(());
        }
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        self.enqueue(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, flushed) = sync_channel(1);
        // A full queue means that the reader has stalled, so the flush is skipped.
        if self.jobs.try_send(LogJob::Flush(done)).is_ok() {
            let _: Result<(), _> = flushed.recv_timeout(std::time::Duration::from_millis(200));
        }
        Ok(())
    }

    fn reopen_output(&self) -> Result<(), FlexiLoggerError> {
        Ok(())
    }
}
