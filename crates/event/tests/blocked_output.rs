//! Logging to a standard output that nobody reads. A separate program, since a process has one
//! logger.

use {
    gullglade_event::{EventDraft, EventLog, EventSink, LogOutput, LogSettings},
    gullglade_units::{HybridClock, ProcessContext, SystemSpawner, VmName, fake::FakeWorld},
    std::{
        env,
        io::Read,
        process::{Command, Stdio},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Environment variable that makes a child process of this test write log lines.
const WRITER_VARIABLE: &str = "GULLGLADE_TEST_WRITER";

/// Number of lines; exceeds the capacity of the pipe and the writer's queue.
const LINES: usize = 20_000;

fn write_lines() {
    let log = LogSettings::default().output(LogOutput::Stdout).start().expect("a log");
    let (_, context) = FakeWorld::new(1);
    let context = ProcessContext { spawner: Rc::new(SystemSpawner), ..context };
    let vm = VmName::try_from("vm").expect("a name");
    let events = EventLog::new(vm, Rc::new(HybridClock::default()), context, 1);
    let start = Instant::now();
    for number in 0..LINES {
        events.emit(EventDraft::new("request.refused").field("number", number));
    }
    let elapsed = start.elapsed();
    drop(log);
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
    std::process::exit(0);
}

#[test]
fn a_stalled_reader_does_not_block_logging() {
    // Guards against a stalled gateway: if the collector of its standard output hangs, the pipe
    // fills up, and a blocking write would stop the thread that serves requests.
    if env::var_os(WRITER_VARIABLE).is_some() {
        return write_lines();
    }
    let program = env::current_exe().expect("this program");
    let mut writer = Command::new(program)
        .args(["--exact", "a_stalled_reader_does_not_block_logging", "--nocapture"])
        .env(WRITER_VARIABLE, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("a copy of this program");
    let start = Instant::now();
    let status = loop {
        if let Some(status) = writer.try_wait().expect("its status") {
            break status;
        }
        assert!(start.elapsed() < Duration::from_secs(30), "the writer process hangs");
        std::thread::sleep(Duration::from_millis(50));
    };
    assert!(status.success(), "{status}");
    let mut text = String::new();
    writer.stdout.take().expect("its output").read_to_string(&mut text).expect("text");
    assert!(text.lines().filter(|line| line.contains("kind=request.refused")).count() > 10);
}
