//! Split of updates and views that are longer than a message.

use croftrill_node::peer::{DirectoryUpdate, FullViewChunk, RevisedChange, WireChange, WireListing};
use croftrill_scheduler::followed_view::{FollowConfig, FollowedView, RelayOutcome, RelayedSpan};
use croftrill_scheduler::time::Moment;
use nanoserde::SerBin;
use proptest::prelude::*;
use std::time::Duration;

/// Maximum frame size of a link.
const FRAME_BYTES: usize = 1024 * 1024;

fn listing(index: usize) -> WireChange {
    WireChange::Replica(WireListing {
        id: format!("i-{index:010x}"),
        service: "tender-llm".to_string(),
        address: format!("10.1.{}.{}:8080", index / 250, index % 250),
        zone: "boston-a".to_string(),
        slots: 64,
        is_draining: false,
        leaves_in_ms: None,
        started_ms: Some(1_790_000_000_000),
    })
}

fn update(after: u64, changes: Vec<RevisedChange>) -> DirectoryUpdate {
    DirectoryUpdate {
        after,
        reached: changes.last().map_or(after, |last| last.revision) + 3,
        proof_age_ms: 5,
        sent_at_ms: 1000,
        changes: changes.into(),
    }
}

/// A view of 10,000 replicas takes 1 MB. When the size estimate counted only names, the message
/// exceeded the frame limit and the listener's link ended.
#[test]
fn chunks_of_a_view_of_twenty_thousand_replicas_fit_into_messages() {
    let changes = (0..20_000).map(|index| RevisedChange {
        revision: 7,
        change: listing(index),
    });
    let chunks = FullViewChunk::chunks_of(update(0, changes.collect()), true).expect("each item fits");
    let total: usize = chunks.iter().map(|chunk| chunk.update.changes.len()).sum();
    assert_eq!(total, 20_000);
    assert!(chunks
        .iter()
        .all(|chunk| chunk.serialize_bin().len() < FRAME_BYTES / 4));
    assert!(chunks[0].is_first && chunks.last().is_some_and(|last| last.is_last));
    assert_eq!(
        chunks
            .iter()
            .filter(|chunk| chunk.is_first || chunk.is_last)
            .count(),
        2
    );
}

#[test]
fn chunks_of_a_view_with_an_oversized_item_is_none() {
    let change = WireChange::Written {
        key: "configuration".to_string(),
        value: vec![0; FRAME_BYTES].into(),
    };
    let changes = vec![RevisedChange { revision: 7, change }];
    assert!(FullViewChunk::chunks_of(update(0, changes), true).is_none());
}

proptest! {
    /// The chunks of a span advance a view to the same revision as the span, each change is
    /// applied once, and only the last chunk proves that the view is complete.
    #[test]
    fn into_chunks_of_a_span_leads_to_the_same_revision(steps in prop::collection::vec((0u64..2, 1usize..60_000), 1..40)) {
        let mut revision = 10;
        let mut changes = Vec::new();
        for (index, (gap, size)) in steps.into_iter().enumerate() {
            revision += gap;
            let change = WireChange::Written { key: format!("k{index}"), value: vec![0; size].into() };
            changes.push(RevisedChange { revision: revision + 1, change });
        }
        let span_update = update(10, changes.clone());
        let reached = span_update.reached;
        let chunks = span_update.into_chunks();
        let mut view = FollowedView::new(FollowConfig { proof_lifetime: Duration::from_secs(1) });
        view.advance(10);
        let now = Moment::from_start(Duration::from_secs(3600));
        let mut applied = Vec::new();
        let last = chunks.len() - 1;
        for (index, chunk) in chunks.into_iter().enumerate() {
            let proven_at = now - Duration::from_millis(u64::from(chunk.proof_age_ms));
            let span = RelayedSpan { after: chunk.after, reached: chunk.reached, proven_at };
            let applies = matches!(view.accept_span(span), RelayOutcome::Applied { .. });
            prop_assert!(applies);
            applied.extend(chunk.changes.into_iter().filter(|change| view.is_new(change.revision)));
            view.advance(chunk.reached);
            prop_assert_eq!(view.trusts_relay(now), index == last);
        }
        prop_assert_eq!(applied, changes);
        prop_assert_eq!(view.reached(), reached);
    }
}
