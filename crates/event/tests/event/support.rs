//! Processes with clocks that the test sets and with messages that carry hybrid stamps.

use {
    gullglade_event::{EventDraft, EventLog, EventSink},
    gullglade_units::{
        Clock, HybridClock, HybridStamp, LocalFuture, MonotonicTime, ProcessContext, SeededRandom,
        SystemSpawner, VmName, WallMillis,
    },
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// A wall clock that a test sets.
#[derive(Default)]
pub(crate) struct ManualClock(pub(crate) Cell<u64>);

impl Clock for ManualClock {
    fn now(&self) -> MonotonicTime {
        MonotonicTime::default()
    }

    fn wall(&self) -> WallMillis {
        WallMillis(self.0.get())
    }

    fn sleep(&self, _duration: Duration) -> LocalFuture<'static, ()> {
        Box::pin(std::future::pending())
    }
}

/// One process with its own clock.
pub(crate) struct Process {
    pub(crate) clock: Rc<ManualClock>,
    pub(crate) hybrid: Rc<HybridClock>,
    pub(crate) log: EventLog,
}

impl Process {
    /// Creates a process that retains `capacity` events.
    pub(crate) fn new(vm: &str, capacity: usize) -> Self {
        let clock = Rc::new(ManualClock::default());
        let context = ProcessContext {
            clock: clock.clone(),
            random: Rc::new(SeededRandom::new(1)),
            spawner: Rc::new(SystemSpawner),
        };
        let hybrid = Rc::new(HybridClock::default());
        let vm = VmName::try_from(vm).unwrap();
        Self { log: EventLog::new(vm, hybrid.clone(), context, capacity), clock, hybrid }
    }

    pub(crate) fn emit(&self, event: EventDraft) {
        self.log.emit(event);
    }

    /// Returns all retained events as the operator port sends them.
    pub(crate) fn text(&self) -> String {
        self.log.page(None, usize::MAX).into_text()
    }

    /// Returns the stamp of a message that is sent now.
    pub(crate) fn stamp_message(&self) -> HybridStamp {
        self.hybrid.stamp(self.clock.wall())
    }
}
