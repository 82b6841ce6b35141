//! Measures the CPU cost of events and metrics at a constant request rate, in paired runs.
//!
//! Each pair runs the same paced loop twice, once without events and metrics, once with the real
//! log (files in a temporary folder) and metrics, and reads the CPU time of all threads from the
//! kernel's statistics. Prints each pair and the median difference.
//!
//! `cargo run --release -p gullglade-event --example event_cost [-- requests-per-second]`

use {
    gullglade_event::{
        EventDraft, EventLog, EventSink, LogOutput, LogSettings, MetricSet, RequestOutcome,
    },
    gullglade_units::{
        BackendName, HybridClock, ModelName, ProcessContext, RequestId, ServiceName, VmName,
    },
    std::{
        error::Error,
        fs,
        hint::black_box,
        rc::Rc,
        thread,
        time::{Duration, Instant},
    },
};

/// Default request rate per second.
const DEFAULT_RATE: u32 = 10_000;

/// Duration of each run of a pair.
const RUN_DURATION: Duration = Duration::from_secs(1);

/// Number of pairs.
const PAIRS: usize = 9;

/// Pieces of a streamed answer, each observed by a histogram.
const PIECES_PER_ANSWER: u32 = 8;

/// Requests handled between two readings of the clock.
const BATCH_REQUESTS: u32 = 50;

struct Bench {
    context: ProcessContext,
    service: ServiceName,
    model: ModelName,
    backend: BackendName,
}

impl Bench {
    /// Emits the events and metrics of one typical request: four events and eleven metric updates.
    fn request(&self, observers: Option<(&EventLog, &MetricSet)>) {
        let id = black_box(RequestId::new(&self.context));
        let Some((sink, metrics)) = observers else { return };
        let event = |kind| EventDraft::new(kind).field("request", id);
        sink.emit(event("request.received").field("service", &self.service));
        sink.emit(event("request.dispatched").field("backend", &self.backend).field("attempt", 1));
        sink.emit(event("request.first_byte").millis("after_ms", Duration::from_micros(8_123)));
        sink.emit(event("request.answered").field("tokens", 12).field("run", "run"));
        metrics.request_ended(&self.service, RequestOutcome::Answered);
        let series = metrics.model(&self.model);
        series.engine_time(Duration::from_millis(80));
        series.first_token(Duration::from_millis(8));
        for _ in 0..PIECES_PER_ANSWER {
            series.inter_token(Duration::from_millis(9));
        }
    }

    /// Runs one paced loop and returns its CPU time over wall time.
    fn run(&self, rate: u32, observers: Option<(&EventLog, &MetricSet)>) -> f64 {
        let start = Instant::now();
        let before = cpu_time();
        let mut done = 0;
        while start.elapsed() < RUN_DURATION {
            for _ in 0..BATCH_REQUESTS {
                self.request(observers);
            }
            done += BATCH_REQUESTS;
            let due = Duration::from_secs(1) * done / rate;
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
        let spent = cpu_time() - before;
        spent.as_secs_f64() / start.elapsed().as_secs_f64()
    }
}

/// Returns the CPU time of all threads so far: the sum of the first field, in nanoseconds, of each
/// thread's `schedstat`.
fn cpu_time() -> Duration {
    let read = |task: fs::DirEntry| -> Option<u64> {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse().ok()
    };
    let tasks = fs::read_dir("/proc/self/task").expect("/proc/self/task must be readable");
    Duration::from_nanos(tasks.flatten().filter_map(read).sum())
}

fn main() -> Result<(), Box<dyn Error>> {
    let rate = std::env::args().nth(1).map_or(Ok(DEFAULT_RATE), |text| text.parse())?;
    let folder = std::env::temp_dir().join(format!("event-cost-{}", std::process::id()));
    let log = LogSettings::default().output(LogOutput::Folder(folder.clone())).start()?;
    let bench = Bench {
        context: ProcessContext::system(),
        service: ServiceName::try_from("quotes")?,
        model: ModelName::try_from("ballast")?,
        backend: BackendName::try_from("puget-engine-07")?,
    };
    let vm = VmName::try_from("puget-1")?;
    let hybrid = Rc::new(HybridClock::default());
    let events = EventLog::new(vm, hybrid, bench.context.clone(), 10_000);
    let metrics = MetricSet::new()?;

    let mut differences = Vec::new();
    for pair in 1..=PAIRS {
        let without = bench.run(rate, None);
        let with = bench.run(rate, Some((&events, &metrics)));
        differences.push(with - without);
        println!(
            "pair {pair}: without {:.2}%, with log and metrics {:.2}% of one core",
            without * 100.0,
            with * 100.0
        );
    }
    differences.sort_by(f64::total_cmp);
    println!(
        "median difference at {rate} requests/s: {:.2}% of one core",
        differences[PAIRS / 2] * 100.0
    );
    log.flush();
    fs::remove_dir_all(folder)?;
    Ok(())
}
