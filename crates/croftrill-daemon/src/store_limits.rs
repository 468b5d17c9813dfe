//! The stated limits of the weight store.
//!
//! Asked beside the start, since a store that is slow or down must not hold up a
//! node. Until it answers, permits go by the cautious limits of
//! [`croftrill_state::load_admission::LoadAdmissionConfig`].

use crate::retry_pause::RetryPause;
use croftrill_coordination::load_permits::LoadPermitService;
use croftrill_platform::weight_store::{WeightStore, WeightStoreLimits};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Learns the limits and sets them in the permit service.
pub async fn learn(store: Arc<dyn WeightStore>, permits: Arc<LoadPermitService>, stop: CancellationToken) {
    tokio::select! {
        () = stop.cancelled() => {}
        limits = ask_until_known(store.as_ref()) => permits.set_limits(&limits),
    }
}

/// Asks the store, however often it fails, until it tells its limits.
pub async fn ask_until_known(store: &dyn WeightStore) -> WeightStoreLimits {
    let mut pause = RetryPause::new();
    loop {
        match store.limits().await {
            Ok(limits) => return limits,
            Err(error) => log::warn!("permits: limits of the weight store unknown error=\"{error}\""),
        }
        pause.sleep().await;
    }
}
