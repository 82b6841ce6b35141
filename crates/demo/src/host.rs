//! A thread with a monoio runtime that serves commands until its sender is gone.

use {
    crate::DemoError,
    futures::{
        StreamExt,
        channel::{mpsc, oneshot},
    },
    monoio::{LegacyDriver, RuntimeBuilder},
    std::{
        future::Future,
        thread::{self, JoinHandle},
    },
};

/// The commands' end of a thread.
pub(crate) struct ThreadHost<C> {
    name: String,
    commands: mpsc::UnboundedSender<C>,
    thread: Option<JoinHandle<()>>,
}

/// What runs in the thread.
pub(crate) trait ThreadBody<C>: Sized {
    /// What the thread is started with.
    type Input: Send + 'static;
    /// What it tells once it runs.
    type Started: Send + 'static;

    /// Starts the parts inside the thread's runtime.
    fn start(input: Self::Input) -> impl Future<Output = Result<(Self, Self::Started), String>>;

    /// Serves one command. False ends the thread at once.
    fn serve(&mut self, command: C) -> impl Future<Output = bool>;
}

impl<C: Send + 'static> ThreadHost<C> {
    /// Starts a thread and waits until its parts run.
    pub(crate) async fn start<B: ThreadBody<C> + 'static>(
        name: String,
        input: B::Input,
    ) -> Result<(Self, B::Started), DemoError> {
        let (commands, receiver) = mpsc::unbounded();
        let (started, wait) = oneshot::channel();
        let thread = thread::Builder::new()
            .name(name.clone())
            .spawn(move || run_thread::<C, B>(input, started, receiver))
            .map_err(|source| DemoError::Thread { name: name.clone(), source })?;
        let host = Self { name, commands, thread: Some(thread) };
        match wait.await {
            Ok(Ok(started)) => Ok((host, started)),
            Ok(Err(reason)) => Err(DemoError::Start { name: host.name.clone(), reason }),
            Err(oneshot::Canceled) => Err(DemoError::Gone { name: host.name.clone() }),
        }
    }

    /// Gives a command whose answer comes through the sender that `make` puts into it.
    pub(crate) async fn ask<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<T>) -> C,
    ) -> Result<T, DemoError> {
        let (sender, receiver) = oneshot::channel();
        let gone = || DemoError::Gone { name: self.name.clone() };
        self.commands.unbounded_send(make(sender)).map_err(|_| gone())?;
        receiver.await.map_err(|_| gone())
    }
}

impl<C> Drop for ThreadHost<C> {
    fn drop(&mut self) {
        self.commands.close_channel();
        if let Some(thread) = self.thread.take() {
            let _ended = thread.join();
        }
    }
}

fn run_thread<C: Send + 'static, B: ThreadBody<C> + 'static>(
    input: B::Input,
    started: oneshot::Sender<Result<B::Started, String>>,
    mut commands: mpsc::UnboundedReceiver<C>,
) {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let _gone = started.send(Err(error.to_string()));
            return;
        }
    };
    runtime.block_on(async move {
        let mut body = match B::start(input).await {
            Ok((body, told)) => {
                let _gone = started.send(Ok(told));
                body
            }
            Err(reason) => {
                let _gone = started.send(Err(reason));
                return;
            }
        };
        while let Some(command) = commands.next().await {
            if !body.serve(command).await {
                return;
            }
        }
    });
}
