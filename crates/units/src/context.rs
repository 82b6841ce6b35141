//! What a task needs from its process: time, randomness and a way to start further tasks.

use {
    crate::{Clock, RandomSource, SeededRandom, SystemClock},
    std::{future::Future, pin::Pin, rc::Rc},
};

/// A boxed future of this thread. Tasks stay on the thread that started them.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Starts tasks on this thread.
pub trait TaskSpawner {
    /// Runs `task` to its end, beside the caller.
    fn spawn(&self, task: LocalFuture<'static, ()>);
}

/// Starts tasks on the monoio runtime of this thread.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemSpawner;

impl TaskSpawner for SystemSpawner {
    fn spawn(&self, task: LocalFuture<'static, ()>) {
        drop(monoio::spawn(task));
    }
}

/// The seams between the system's code and the machine; tests put fakes here.
#[derive(Clone)]
pub struct ProcessContext {
    /// Clocks and timer.
    pub clock: Rc<dyn Clock>,
    /// Random numbers.
    pub random: Rc<dyn RandomSource>,
    /// Starts tasks.
    pub spawner: Rc<dyn TaskSpawner>,
}

impl ProcessContext {
    /// The real machine: system clocks, a random seed from the system, monoio tasks. To be used
    /// inside a monoio runtime.
    pub fn system() -> Self {
        Self {
            clock: Rc::new(SystemClock::new()),
            random: Rc::new(SeededRandom::from_system()),
            spawner: Rc::new(SystemSpawner),
        }
    }
}
