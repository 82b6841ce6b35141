//! Rate limits on events under load.

use {
    gullglade_event::{EventDraft, EventSink, MemorySink, ThrottledSink},
    gullglade_units::fake::FakeWorld,
    std::{rc::Rc, time::Duration},
};

#[test]
fn each_kind_is_rate_limited_separately_and_suppressed_events_are_counted() {
    // Guards against a gateway that spends its CPU time on log lines while callers wait, for
    // example when it refuses every request for a second.
    let (world, context) = FakeWorld::new(1);
    let memory: Rc<MemorySink> = Rc::default();
    let sink = ThrottledSink::new(Rc::clone(&memory) as _, context.clock);
    for _ in 0..100 {
        for _ in 0..100 {
            sink.emit(EventDraft::new("request.refused"));
        }
        world.run_for(Duration::from_millis(10));
    }
    sink.emit(EventDraft::new("control.lost"));
    world.run_for(Duration::from_secs(2));
    sink.emit(EventDraft::new("request.refused"));
    let passed = memory.count("request.refused");
    assert!((200..=300).contains(&passed), "{passed} of 10,000");
    assert_eq!(memory.count("control.lost"), 1);
    let reported: u64 = memory
        .lines()
        .iter()
        .filter(|line| line.starts_with("log.throttled"))
        .filter_map(|line| line.rsplit_once("lines=")?.1.parse::<u64>().ok())
        .sum();
    assert_eq!(
        reported + passed as u64,
        10_001,
        "passed and reported events must add up to all events"
    );
}
