//! A standard output that nobody reads.

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

/// Marks the copy of this program that writes.
const WRITER: &str = "GULLGLADE_TEST_WRITER";

/// More lines than a pipe and the queue before it hold.
const LINES: usize = 20_000;

fn write_lines() {
    let log = LogSettings::default().output(LogOutput::Stdout).start().expect("a log");
    let (_, context) = FakeWorld::new(1);
    let context = ProcessContext { spawner: Rc::new(SystemSpawner), ..context };
    let vm = VmName::try_from("vm").expect("a name");
    let events = EventLog::new(vm, Rc::new(HybridClock::default()), context, 1);
    let began = Instant::now();
    for number in 0..LINES {
        events.emit(EventDraft::new("request.refused").field("number", number));
    }
    let took = began.elapsed();
    drop(log);
    assert!(took < Duration::from_secs(5), "{took:?}");
    std::process::exit(0);
}

#[test]
fn a_reader_that_stands_still_stops_nothing() {
    // Symptom: a gateway stands still. Sequence: whoever collects its standard output hangs; the
    // pipe is full; the next line blocks the thread that serves requests.
    if env::var_os(WRITER).is_some() {
        return write_lines();
    }
    let program = env::current_exe().expect("this program");
    let mut writer = Command::new(program)
        .args(["--exact", "a_reader_that_stands_still_stops_nothing", "--nocapture"])
        .env(WRITER, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("a copy of this program");
    let began = Instant::now();
    let status = loop {
        if let Some(status) = writer.try_wait().expect("its status") {
            break status;
        }
        assert!(began.elapsed() < Duration::from_secs(30), "it hangs");
        std::thread::sleep(Duration::from_millis(50));
    };
    assert!(status.success(), "{status}");
    let mut text = String::new();
    writer.stdout.take().expect("its output").read_to_string(&mut text).expect("text");
    assert!(text.lines().filter(|line| line.contains("kind=request.refused")).count() > 10);
}
