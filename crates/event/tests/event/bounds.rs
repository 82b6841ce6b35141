//! The volume of the log under load, and a reader that stands still.

use {
    gullglade_event::{EventDraft, EventSink, MemorySink, ThrottledSink},
    gullglade_units::fake::FakeWorld,
    std::{rc::Rc, time::Duration},
};

#[test]
fn a_flood_of_one_kind_is_bounded_counted_and_hides_no_other() {
    // Symptom: a gateway spends its processor on log lines while callers wait. Sequence: every
    // request is refused for a second.
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
    let kept = memory.count("request.refused");
    assert!((200..=300).contains(&kept), "{kept} of 10,000");
    assert_eq!(memory.count("control.lost"), 1);
    let told: u64 = memory
        .lines()
        .iter()
        .filter(|line| line.starts_with("log.throttled"))
        .filter_map(|line| line.rsplit_once("lines=")?.1.parse::<u64>().ok())
        .sum();
    assert_eq!(told + kept as u64, 10_001, "what was left out is told");
}
