//! Runtimes whose threads bear a name, so that their processor time is told
//! apart.

use std::future::Future;
use tokio::runtime::Runtime;

/// Threads of each runtime.
const THREADS: usize = 2;

/// A runtime that ends, without waiting, when dropped.
pub struct NamedRuntime {
    runtime: Option<Runtime>,
}

impl NamedRuntime {
    /// A runtime whose threads have a name of at most 15 bytes.
    pub fn new(name: &str) -> anyhow::Result<Self> {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder
            .worker_threads(THREADS)
            .thread_name(name)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    /// Runs a task on it and waits for its end.
    pub async fn run<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> anyhow::Result<T> {
        match &self.runtime {
            Some(runtime) => Ok(runtime.spawn(task).await?),
            None => anyhow::bail!("the runtime has ended"),
        }
    }
}

impl Drop for NamedRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
