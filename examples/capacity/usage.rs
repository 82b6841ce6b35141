//! Processor time and memory of this process, from the kernel's accounts.

use std::{fs, thread, time::Duration};

/// Bytes of one page of memory on the machines that gullglade runs on.
const PAGE: u64 = 4_096;

/// How long to sleep before a reading, so that the kernel books the time of the running thread.
const BOOKING: Duration = Duration::from_micros(50);

/// Processor time of all threads so far: the first number of each `schedstat`, nanoseconds.
pub(crate) fn processor_time() -> Duration {
    thread::sleep(BOOKING);
    let read = |task: fs::DirEntry| -> Option<u64> {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse().ok()
    };
    let tasks = fs::read_dir("/proc/self/task").expect("Linux keeps accounts of threads");
    Duration::from_nanos(tasks.flatten().filter_map(read).sum())
}

/// Resident bytes.
pub(crate) fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("Linux keeps accounts of memory");
    let pages = text.split(' ').nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

/// Microseconds of processor time that one of `count` runs of `work` takes.
pub(crate) fn micros_each(count: u32, mut work: impl FnMut(u32)) -> f64 {
    let before = processor_time();
    for number in 0..count {
        work(number);
    }
    (processor_time() - before).as_secs_f64() * 1e6 / f64::from(count)
}
