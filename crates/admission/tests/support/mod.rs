//! Manual clock, task executor and request builders.

use {
    futures::{channel::oneshot, executor::LocalPool, task::LocalSpawnExt},
    gullglade_admission::{AdmissionPriority, AdmissionRequest},
    gullglade_units::{
        Clock, LocalFuture, ModelName, MonotonicTime, ProcessContext, SeededRandom, TaskSpawner,
        WallMillis, WorkspaceName,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

type Timer = (MonotonicTime, oneshot::Sender<()>);

#[derive(Default)]
pub(crate) struct ManualClock {
    now: Cell<MonotonicTime>,
    timers: RefCell<Vec<Timer>>,
}

impl Clock for ManualClock {
    fn now(&self) -> MonotonicTime {
        self.now.get()
    }

    fn wall(&self) -> WallMillis {
        WallMillis(0)
    }

    fn sleep(&self, duration: Duration) -> LocalFuture<'static, ()> {
        let (sender, receiver) = oneshot::channel();
        self.timers.borrow_mut().push((self.now() + duration, sender));
        Box::pin(async move { receiver.await.expect("the clock keeps the senders of its timers") })
    }
}

impl ManualClock {
    /// Advances the time and fires the timers that are due.
    pub(crate) fn advance(&self, duration: Duration) {
        let now = self.now() + duration;
        self.now.set(now);
        for (_, sender) in self.timers.borrow_mut().extract_if(.., |(end, _)| *end <= now) {
            let _ = sender.send(());
        }
    }
}

struct PanickingSpawner;

impl TaskSpawner for PanickingSpawner {
    fn spawn(&self, _task: LocalFuture<'static, ()>) {
        panic!("admission must not spawn tasks");
    }
}

/// Task executor with a manual clock.
pub(crate) struct TestRuntime {
    pub(crate) pool: LocalPool,
    pub(crate) clock: Rc<ManualClock>,
}

impl TestRuntime {
    pub(crate) fn new() -> Self {
        Self { pool: LocalPool::new(), clock: Rc::default() }
    }

    pub(crate) fn context(&self) -> ProcessContext {
        ProcessContext {
            clock: self.clock.clone(),
            random: Rc::new(SeededRandom::new(1)),
            spawner: Rc::new(PanickingSpawner),
        }
    }

    /// Runs `future` concurrently with the other tasks and stores its output in the returned cell.
    pub(crate) fn start<T: 'static>(
        &mut self,
        future: impl Future<Output = T> + 'static,
    ) -> Rc<RefCell<Option<T>>> {
        let output_cell = Rc::new(RefCell::new(None));
        let cell = output_cell.clone();
        let task = async move {
            let output = future.await;
            *cell.borrow_mut() = Some(output);
        };
        self.pool.spawner().spawn_local(task).expect("the pool is alive");
        self.pool.run_until_stalled();
        output_cell
    }

    pub(crate) fn advance(&mut self, duration: Duration) {
        self.clock.advance(duration);
        self.pool.run_until_stalled();
    }
}

pub(crate) fn model() -> ModelName {
    ModelName::try_from("ballast").expect("a name")
}

pub(crate) fn request(workspace: &str, deadline: Option<Duration>) -> AdmissionRequest {
    AdmissionRequest {
        workspace: WorkspaceName::try_from(workspace).expect("a name"),
        share: 1.0,
        model: model(),
        priority: AdmissionPriority::Normal,
        deadline: deadline.map(MonotonicTime),
        cost: 100,
    }
}
