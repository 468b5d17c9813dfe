//! Connections that stop forwarding without a reset, while new ones work.

use std::rc::Rc;
use std::time::Duration;

use croftrill_http::store::StoreClient;
use croftrill_node::ports::{KeyValueStore, StoreError};
use croftrill_standin::http_server::listen;
use croftrill_standin::proxy::Proxy;
use croftrill_standin::store::StoreStandin;
use tokio::task::LocalSet;

/// Number of concurrent calls, and so of idle connections afterwards.
const CALLS: usize = 4;

async fn client_behind_proxy() -> (Rc<Proxy>, StoreClient) {
    let (listener, upstream) = listen().await.expect("a port");
    let _store = StoreStandin::start(listener);
    let (listener, address) = listen().await.expect("a port");
    (Proxy::start(listener, upstream), StoreClient::new(address))
}

async fn grant_leases_concurrently(client: &StoreClient) {
    let calls = (0..CALLS).map(|_| client.grant_lease(Duration::from_secs(3)));
    for answer in futures::future::join_all(calls).await {
        answer.expect("a lease");
    }
}

/// If each dead idle connection made one call wait until its timeout, a node could miss several
/// renewals of a lease in a row.
#[test]
fn grant_lease_after_idle_connections_are_silenced() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (proxy, client) = client_behind_proxy().await;
        grant_leases_concurrently(&client).await;
        proxy.silence_existing();
        let first = client.grant_lease(Duration::from_secs(3)).await;
        assert_eq!(first, Err(StoreError::NoAnswer));
        grant_leases_concurrently(&client).await;
    });
}
