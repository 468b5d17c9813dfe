//! The control thread: one OS thread with a current-thread runtime.
//!
//! Everything that decides (log, membership, claims, coordinator) runs here, so
//! that a burst of traffic cannot delay a probe or a lease renewal behind it,
//! and control state needs no locks against itself.

use anyhow::Context;
use std::future::Future;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The thread's name, as debuggers show it.
const THREAD_NAME: &str = "control";
/// Longest wait for the tasks to end after they were told to stop.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Where the parts on the control thread spawn their tasks.
#[derive(Clone, Default)]
pub struct ControlTasks {
    /// The tasks that a stop waits for.
    pub tracker: TaskTracker,
    /// Cancelled when the thread is to stop.
    pub stop: CancellationToken,
}

impl ControlTasks {
    /// Runs a task until it ends; it should end soon after `stop`.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tracker.spawn(task);
    }

    /// Runs a task that has no end of its own; it is dropped at `stop`.
    pub fn spawn_until_stop(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.spawn(async move {
            stop.run_until_cancelled(task).await;
        });
    }
}

/// A running control thread.
pub struct ControlThread {
    tasks: ControlTasks,
    thread: JoinHandle<Ended>,
}

/// How the thread ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// After the start had failed.
    NeverRan,
    /// All tasks ended by themselves.
    Whole,
    /// Some tasks were cut off.
    CutOff,
}

impl ControlThread {
    /// Starts the thread, runs `start` on it and hands back what it made. What
    /// `start` spawned goes on until the thread is stopped.
    pub async fn start<T, F, S>(start: S) -> anyhow::Result<(ControlThread, T)>
    where
        T: Send + 'static,
        F: Future<Output = anyhow::Result<T>>,
        S: FnOnce(ControlTasks) -> F + Send + 'static,
    {
        let tasks = ControlTasks::default();
        let given = tasks.clone();
        let (sender, receiver) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name(THREAD_NAME.to_string())
            .spawn(move || run(start, sender, given))
            .context("the control thread cannot be started")?;
        let made = receiver
            .await
            .context("the control thread ended at its start")??;
        Ok((ControlThread { tasks, thread }, made))
    }

    /// Ends the thread and everything on it. Whether all tasks ended by
    /// themselves.
    pub async fn stop(self) -> bool {
        self.tasks.stop.cancel();
        match tokio::task::spawn_blocking(move || self.thread.join()).await {
            Ok(Ok(ended)) => ended == Ended::Whole,
            _ => {
                log::error!("daemon: control thread ended badly");
                false
            }
        }
    }
}

fn run<T, F, S>(start: S, sender: oneshot::Sender<anyhow::Result<T>>, tasks: ControlTasks) -> Ended
where
    F: Future<Output = anyhow::Result<T>>,
    S: FnOnce(ControlTasks) -> F,
{
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = sender.send(Err(error.into()));
            return Ended::NeverRan;
        }
    };
    runtime.block_on(async move {
        let made = start(tasks.clone()).await;
        let failed = made.is_err();
        if sender.send(made).is_err() || failed {
            return Ended::NeverRan;
        }
        tasks.stop.cancelled().await;
        tasks.tracker.close();
        let ended = tokio::time::timeout(STOP_LIMIT, tasks.tracker.wait()).await;
        if ended.is_ok() {
            return Ended::Whole;
        }
        log::error!("daemon: control tasks did not end tasks={}", tasks.tracker.len());
        Ended::CutOff
    })
}
