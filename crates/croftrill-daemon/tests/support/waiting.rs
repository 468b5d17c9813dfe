//! Waiting for a state that must come, without asserting how fast.

use std::future::Future;
use std::time::Duration;

/// Looks at a condition until it holds. Fails after a time that only a real
/// fault can use up.
pub async fn eventually<F>(what: &str, mut holds: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    const LOOKS: u32 = 1200;
    const PAUSE: Duration = Duration::from_millis(50);
    for _ in 0..LOOKS {
        if holds().await {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("never happened: {what}");
}
