//! The key-value service's adapter against the stand-in, directly and through
//! the proxy.

mod support;

use croftrill_platform::key_value::{KeyValueError, KeyValueService, WriteOutcome};
use croftrill_platform::{HttpEndpoint, HttpKeyValueService};
use croftrill_standin::control::CALLS_PATH;
use croftrill_standin::key_value::ChangeKind;
use croftrill_standin::proxy::{self, ProxyConfig, ProxyMode, RunningProxy};
use croftrill_standin::{
    ControlClient, KeyValue, KeyValueCalls, KeyValueConfig, KeyValueFaults, RunningKeyValue,
};
use std::net::SocketAddr;
use std::time::Duration;
use support::{eventually, refused_address, until};

/// Time of a call whose answer never comes.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longer than any test.
const LONG_MILLIS: u64 = 600_000;

async fn start() -> (RunningKeyValue, HttpKeyValueService) {
    let service = KeyValue::start(KeyValueConfig::default()).await.unwrap();
    let client = client(service.server.address());
    (service, client)
}

fn client(address: SocketAddr) -> HttpKeyValueService {
    HttpKeyValueService::new(HttpEndpoint::new(address.to_string()))
}

async fn start_behind_proxy() -> (RunningKeyValue, RunningProxy, HttpKeyValueService) {
    let (service, _) = start().await;
    let proxy = proxy::start(ProxyConfig::new(service.server.address()))
        .await
        .unwrap();
    let mut endpoint = HttpEndpoint::new(proxy.address().to_string());
    endpoint.call_timeout = SHORT_TIMEOUT;
    (service, proxy, HttpKeyValueService::new(endpoint))
}

fn written(outcome: WriteOutcome) -> u64 {
    match outcome {
        WriteOutcome::Written(version) => version,
        conflict => panic!("not written: {conflict:?}"),
    }
}

#[tokio::test]
async fn writes_only_over_the_expected_version() {
    let (service, client) = start().await;
    let first = written(client.write_if("k", vec![0, 255], None, None).await.unwrap());
    let created_again = client.write_if("k", vec![2], None, None).await.unwrap();
    let stored = client.get("k").await.unwrap().unwrap();
    assert_eq!(created_again, WriteOutcome::Conflict(Some(stored.clone())));
    assert_eq!((stored.value, stored.version), (vec![0, 255], first));

    let second = written(client.write_if("k", vec![3], Some(first), None).await.unwrap());
    let stale = client.delete_if("k", first).await.unwrap();
    assert!(matches!(stale, WriteOutcome::Conflict(Some(stored)) if stored.version == second));
    written(client.delete_if("k", second).await.unwrap());
    let gone = client.write_if("k", vec![4], Some(second), None).await.unwrap();
    assert_eq!(gone, WriteOutcome::Conflict(None));
    let kinds: Vec<ChangeKind> = service.ledger().iter().map(|change| change.kind).collect();
    assert_eq!(
        kinds,
        [ChangeKind::Created, ChangeKind::Updated, ChangeKind::Deleted]
    );
}

#[tokio::test]
async fn of_many_writers_of_one_key_one_wins() {
    let (service, client) = start().await;
    let writes = (0..20).map(|writer| client.write_if("log/1", vec![writer], None, None));
    let outcomes = futures::future::join_all(writes).await;
    let winners = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Ok(WriteOutcome::Written(_))));
    assert_eq!(winners.count(), 1);
    assert_eq!(service.ledger().len(), 1);
}

#[tokio::test]
async fn lists_a_prefix_in_order_after_a_key() {
    let (_service, client) = start().await;
    for key in ["log/3", "log/1", "other", "log/2", "log/4", "loz"] {
        client.write_if(key, Vec::new(), None, None).await.unwrap();
    }
    let keys = |values: Vec<_>| -> Vec<String> {
        let stored = values.into_iter();
        stored
            .map(|stored: croftrill_platform::key_value::StoredValue| stored.key)
            .collect()
    };
    assert_eq!(
        keys(client.list("log/", "", 3).await.unwrap()),
        ["log/1", "log/2", "log/3"]
    );
    assert_eq!(
        keys(client.list("log/", "log/2", 9).await.unwrap()),
        ["log/3", "log/4"]
    );
    assert_eq!(keys(client.list("log/", "log/4", 9).await.unwrap()), [""; 0]);
}

#[tokio::test]
async fn keys_vanish_with_their_lease() {
    let (service, client) = start().await;
    let short = client.grant_lease(1000).await.unwrap();
    let long = client.grant_lease(LONG_MILLIS).await.unwrap();
    written(
        client
            .write_if("short", Vec::new(), None, Some(short))
            .await
            .unwrap(),
    );
    written(
        client
            .write_if("long", Vec::new(), None, Some(long))
            .await
            .unwrap(),
    );
    until(|| {
        service
            .ledger()
            .iter()
            .any(|change| change.kind == ChangeKind::LeaseEnded)
    })
    .await;
    assert_eq!(client.get("short").await.unwrap(), None);
    assert_eq!(client.renew_lease(short).await, Err(KeyValueError::LeaseExpired));
    let late = client.write_if("late", Vec::new(), None, Some(short)).await;
    assert_eq!(late, Err(KeyValueError::LeaseExpired));

    client.renew_lease(long).await.unwrap();
    assert!(client.get("long").await.unwrap().is_some());
    client.revoke_lease(long).await.unwrap();
    assert_eq!(client.get("long").await.unwrap(), None);
}

#[tokio::test]
async fn a_watch_returns_with_the_next_key_or_empty() {
    let (_service, client) = start().await;
    client.write_if("log/1", Vec::new(), None, None).await.unwrap();
    let (seen, _) = tokio::join!(client.watch("log/", "log/1", LONG_MILLIS), async {
        client.write_if("other", Vec::new(), None, None).await.unwrap();
        client.write_if("log/2", vec![2], None, None).await.unwrap();
    });
    let seen = seen.unwrap();
    assert_eq!(seen.len(), 1);
    assert_eq!(
        (seen[0].key.as_str(), seen[0].value.as_slice()),
        ("log/2", [2].as_slice())
    );
    assert_eq!(client.watch("log/", "log/2", 10).await.unwrap(), []);
}

#[tokio::test]
async fn a_lost_answer_leaves_the_outcome_unknown_and_the_effect_in_place() {
    let (service, client) = start().await;
    service.set_faults(KeyValueFaults {
        lose_answers: 1,
        ..Default::default()
    });
    let lost = client.write_if("k", vec![1], None, None).await;
    assert!(matches!(lost, Err(KeyValueError::OutcomeUnknown(_))), "{lost:?}");
    assert_eq!(client.get("k").await.unwrap().unwrap().value, [1]);
    assert!(service.ledger()[0].answer_lost);
    assert_eq!(service.ledger().len(), 1);
}

#[tokio::test]
async fn an_outage_has_no_effect_but_promises_nothing() {
    let (service, client) = start().await;
    service.set_faults(KeyValueFaults {
        outage: true,
        ..Default::default()
    });
    let failed = client.write_if("k", vec![1], None, None).await;
    assert!(
        matches!(failed, Err(KeyValueError::OutcomeUnknown(_))),
        "{failed:?}"
    );
    service.set_faults(KeyValueFaults::default());
    assert_eq!(client.get("k").await.unwrap(), None);
    assert!(service.ledger().is_empty());
}

#[tokio::test]
async fn an_outage_breaks_watches() {
    let (service, client) = start().await;
    let watching = tokio::spawn(async move { client.watch("log/", "", LONG_MILLIS).await });
    // Gives the watch time to begin; either way it must break.
    tokio::time::sleep(Duration::from_millis(50)).await;
    service.set_faults(KeyValueFaults {
        outage: true,
        ..Default::default()
    });
    let broken = watching.await.unwrap();
    assert!(
        matches!(broken, Err(KeyValueError::OutcomeUnknown(_))),
        "{broken:?}"
    );
}

#[tokio::test]
async fn slowness_beyond_the_timeout_leaves_the_outcome_unknown() {
    let (service, _) = start().await;
    let mut endpoint = HttpEndpoint::new(service.server.address().to_string());
    endpoint.call_timeout = SHORT_TIMEOUT;
    let client = HttpKeyValueService::new(endpoint);
    // Half of it passes before the effect.
    service.set_faults(KeyValueFaults {
        latency_millis: 1500,
        ..Default::default()
    });
    let failed = client.write_if("k", vec![1], None, None).await;
    assert!(
        matches!(failed, Err(KeyValueError::OutcomeUnknown(_))),
        "{failed:?}"
    );
}

#[tokio::test]
async fn the_rate_limit_refuses_without_effect() {
    let config = KeyValueConfig {
        rate_per_second: 0.01,
        burst: 1.0,
        ..Default::default()
    };
    let service = KeyValue::start(config).await.unwrap();
    let client = client(service.server.address());
    assert_eq!(client.get("k").await.unwrap(), None);
    let limited = client.write_if("k", vec![1], None, None).await;
    let Err(KeyValueError::RateLimited { retry_after_millis }) = limited else {
        panic!("not limited: {limited:?}");
    };
    assert!(retry_after_millis > 0);
    assert!(service.ledger().is_empty());
}

#[tokio::test]
async fn a_refused_connection_is_unreachable() {
    let failed = client(refused_address()).write_if("k", vec![1], None, None).await;
    assert!(matches!(failed, Err(KeyValueError::Unreachable(_))), "{failed:?}");
}

#[tokio::test]
async fn a_cut_connection_is_refused_until_it_passes_again() {
    let (service, proxy, client) = start_behind_proxy().await;
    assert_eq!(client.get("k").await.unwrap(), None);
    proxy.set_mode(ProxyMode::Cut);
    // At first the pooled connection may be found broken only after sending.
    eventually(async || matches!(client.get("k").await, Err(KeyValueError::Unreachable(_)))).await;
    let failed = client.write_if("k", vec![1], None, None).await;
    assert!(matches!(failed, Err(KeyValueError::Unreachable(_))), "{failed:?}");
    assert!(service.ledger().is_empty());
    proxy.set_mode(ProxyMode::Pass);
    eventually(async || client.write_if("k", vec![1], None, None).await.is_ok()).await;
    assert_eq!(service.ledger().len(), 1);
}

#[tokio::test]
async fn dropped_replies_hide_an_effect() {
    let (service, proxy, client) = start_behind_proxy().await;
    proxy.set_mode(ProxyMode::DropReplies);
    let failed = client.write_if("k", vec![1], None, None).await;
    assert!(
        matches!(failed, Err(KeyValueError::OutcomeUnknown(_))),
        "{failed:?}"
    );
    until(|| service.ledger().len() == 1).await;
}

#[tokio::test]
async fn a_half_open_connection_swallows_the_call() {
    let (service, proxy, client) = start_behind_proxy().await;
    assert_eq!(client.get("k").await.unwrap(), None);
    proxy.set_mode(ProxyMode::HalfOpen);
    let failed = client.write_if("k", vec![1], None, None).await;
    assert!(
        matches!(failed, Err(KeyValueError::OutcomeUnknown(_))),
        "{failed:?}"
    );
    assert!(service.ledger().is_empty());
}

#[tokio::test]
async fn a_delay_only_slows() {
    let (service, proxy, client) = start_behind_proxy().await;
    proxy.set_mode(ProxyMode::Delay { millis: 20 });
    written(client.write_if("k", vec![1], None, None).await.unwrap());
    assert_eq!(service.ledger().len(), 1);
}

#[tokio::test]
async fn calls_are_counted_by_what_became_of_them() {
    let config = KeyValueConfig {
        rate_per_second: 0.001,
        burst: 2.0,
        ..KeyValueConfig::default()
    };
    let service = KeyValue::start(config).await.unwrap();
    let client = client(service.server.address());
    for _ in 0..3 {
        let _ = client.get("k").await;
    }
    service.set_faults(KeyValueFaults {
        outage: true,
        ..KeyValueFaults::default()
    });
    let _ = client.get("k").await;
    let control = ControlClient::new(service.server.address().to_string());
    let calls: KeyValueCalls = control.get(CALLS_PATH).await.unwrap();
    let expected = KeyValueCalls {
        admitted: 2,
        rate_limited: 1,
        refused_in_outage: 1,
    };
    assert_eq!(calls, expected);
    assert_eq!(calls.all(), 4);
}
