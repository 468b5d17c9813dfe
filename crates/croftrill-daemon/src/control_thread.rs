//! The control thread: one OS thread with a current-thread runtime.
//!
//! Everything that decides (log, membership, claims, coordinator) runs here, so
//! that a burst of traffic cannot delay a probe or a lease renewal behind it,
//! and control state needs no locks against itself.

use anyhow::Context;
use std::future::Future;
use std::thread::JoinHandle;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// The thread's name, as debuggers show it.
const THREAD_NAME: &str = "control";

/// A running control thread.
pub struct ControlThread {
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Starts the thread, runs `start` on it and hands back what it made. What
    /// `start` spawned goes on until the thread is stopped.
    pub async fn start<T, F, S>(start: S) -> anyhow::Result<(ControlThread, T)>
    where
        T: Send + 'static,
        F: Future<Output = anyhow::Result<T>>,
        S: FnOnce() -> F + Send + 'static,
    {
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let (sender, receiver) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name(THREAD_NAME.to_string())
            .spawn(move || run(start, sender, stopped))
            .context("the control thread cannot be started")?;
        let made = receiver.await.context("the control thread ended at its start")??;
        Ok((ControlThread { stop, thread }, made))
    }

    /// Ends the thread and everything on it.
    pub async fn stop(self) {
        self.stop.cancel();
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            log::error!("daemon: control thread ended badly");
        }
    }
}

fn run<T, F, S>(start: S, sender: oneshot::Sender<anyhow::Result<T>>, stopped: CancellationToken)
where
    F: Future<Output = anyhow::Result<T>>,
    S: FnOnce() -> F,
{
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = sender.send(Err(error.into()));
            return;
        }
    };
    runtime.block_on(async move {
        let made = start().await;
        let failed = made.is_err();
        if sender.send(made).is_err() || failed {
            return;
        }
        stopped.cancelled().await;
    });
}
