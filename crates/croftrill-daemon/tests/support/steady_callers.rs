//! Callers that go on asking while something fails.

use super::{Answer, Caller, Completion};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(25);

/// Callers that ask one after the other until they are stopped.
pub struct SteadyCallers {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<(Completion, Answer)>>>,
}

impl SteadyCallers {
    /// One caller beside each of the gateways, all asking for `model`.
    pub fn start(gateways: Vec<Caller>, model: &str, max_tokens: u32) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = gateways.into_iter().enumerate().map(|(number, gateway)| {
            let (stop, model) = (stop.clone(), model.to_string());
            tokio::spawn(async move {
                let mut answers = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let prompt = format!("Caller {number} asks {}.", answers.len());
                    let completion = Completion::new(&model, &prompt, max_tokens);
                    let answer = gateway.complete(&completion).await;
                    answers.push((completion, answer));
                    tokio::time::sleep(PAUSE).await;
                }
                answers
            })
        });
        let callers = callers.collect();
        Self { stop, callers }
    }

    /// Stops them; everything that they asked and got.
    pub async fn stop(self) -> Vec<(Completion, Answer)> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        for caller in self.callers {
            all.extend(caller.await.expect("a caller does not panic"));
        }
        all
    }
}
