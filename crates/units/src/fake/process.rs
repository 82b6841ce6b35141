//! One process of a world, which can be killed.

use {
    super::time::{FakeClock, FakeTime},
    crate::{LocalFuture, ProcessContext, SeededRandom, TaskSpawner},
    futures::{executor::LocalSpawner, task::LocalSpawnExt},
    std::{
        cell::{Cell, RefCell},
        future::Future,
        pin::Pin,
        rc::{Rc, Weak},
        task::{Context, Poll},
        time::Duration,
    },
};

/// A task's future; empty once it has ended or was killed.
type TaskSlot = RefCell<Option<LocalFuture<'static, ()>>>;

/// The list of tasks is swept of ended ones when it has grown to this.
const FIRST_SWEEP: usize = 64;

/// One process of a [`FakeWorld`](crate::fake::FakeWorld).
#[derive(Clone)]
pub struct FakeProcess {
    context: ProcessContext,
    clock: Rc<FakeClock>,
    tasks: Rc<FakeSpawner>,
}

impl FakeProcess {
    pub(super) fn new(time: Rc<FakeTime>, pool: LocalSpawner, seed: u64) -> Self {
        let clock = Rc::new(FakeClock { time, offset: Cell::new(0), suspended: Cell::default() });
        let tasks = Rc::new(FakeSpawner {
            pool,
            killed: Rc::default(),
            slots: RefCell::default(),
            next_sweep: Cell::new(FIRST_SWEEP),
        });
        let random = Rc::new(SeededRandom::new(seed));
        let context = ProcessContext { clock: clock.clone(), random, spawner: tasks.clone() };
        Self { context, clock, tasks }
    }

    /// What the process's code takes.
    pub fn context(&self) -> &ProcessContext {
        &self.context
    }

    /// Sets how many milliseconds the wall clock is ahead of the truth; below zero: behind.
    pub fn set_wall_offset(&self, millis: i64) {
        self.clock.offset.set(millis);
    }

    /// Has the process's clocks show that its VM was suspended for so long: the monotonic one stood
    /// still meanwhile, the others did not.
    pub fn note_suspension(&self, duration: Duration) {
        self.clock.suspended.set(self.clock.suspended.get() + duration);
        let millis = i64::try_from(duration.as_millis()).unwrap_or(i64::MAX);
        self.clock.offset.set(self.clock.offset.get().saturating_add(millis));
    }

    /// Drops every task of the process where it stands; tasks started later never run. A restart
    /// is a new process.
    pub fn kill(&self) {
        self.tasks.kill();
    }

    /// Whether the process was killed.
    pub fn is_killed(&self) -> bool {
        self.tasks.killed.get()
    }
}

/// Starts the tasks of one process.
struct FakeSpawner {
    pool: LocalSpawner,
    killed: Rc<Cell<bool>>,
    slots: RefCell<Vec<Weak<TaskSlot>>>,
    next_sweep: Cell<usize>,
}

impl FakeSpawner {
    fn kill(&self) {
        self.killed.set(true);
        let slots = self.slots.take();
        for slot in slots.iter().filter_map(Weak::upgrade) {
            // A task that kills its own process is borrowed just now; it drops itself.
            let task = slot.try_borrow_mut().ok().and_then(|mut task| task.take());
            drop(task);
        }
    }

    fn sweep(&self) {
        let mut slots = self.slots.borrow_mut();
        if slots.len() >= self.next_sweep.get() {
            slots.retain(|slot| slot.strong_count() > 0);
            self.next_sweep.set(FIRST_SWEEP.max(2 * slots.len()));
        }
    }
}

impl TaskSpawner for FakeSpawner {
    fn spawn(&self, task: LocalFuture<'static, ()>) {
        if self.killed.get() {
            return;
        }
        self.sweep();
        let slot = Rc::new(TaskSlot::new(Some(task)));
        self.slots.borrow_mut().push(Rc::downgrade(&slot));
        let task = ProcessTask { slot, killed: self.killed.clone() };
        self.pool.spawn_local(task).expect("the world's pool lives as long as the world");
    }
}

/// A task in the world's pool.
struct ProcessTask {
    slot: Rc<TaskSlot>,
    killed: Rc<Cell<bool>>,
}

impl Future for ProcessTask {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut task = self.slot.borrow_mut();
        let Some(future) = task.as_mut() else {
            return Poll::Ready(());
        };
        let poll = future.as_mut().poll(cx);
        if poll.is_ready() || self.killed.get() {
            *task = None;
            return Poll::Ready(());
        }
        Poll::Pending
    }
}
