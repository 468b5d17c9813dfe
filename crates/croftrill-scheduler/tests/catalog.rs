//! Tests of lookups in a configuration.

use std::time::Duration;

use croftrill_scheduler::catalog::{Backend, CallerLimits, Configuration, Route, RouteKind};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: None,
        objective: Duration::from_millis(100),
        pause_objective: None,
        priority: 1,
        backends: vec![Backend {
            service: "app".into(),
            weight: 1,
        }],
        max_attempts: 1,
        resumable: false,
        public: false,
    }
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let routes = vec![
        route("short", "a", "/x/"),
        route("long", "a", "/x/y/"),
        route("other", "b", "/x/y/z/"),
    ];
    let configuration = Configuration::new(1, CallerLimits::default(), Vec::new(), routes);
    let name = |host: &str, path: &str| {
        configuration
            .route(host, path)
            .map(|route| route.name.to_string())
    };
    assert_eq!(name("a", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(name("a", "/x/z").as_deref(), Some("short"));
    assert_eq!(name("a", "/y/"), None);
    assert_eq!(name("c", "/x/"), None);
}

#[test]
fn only_resumable_streams_and_safe_requests_are_idempotent() {
    let mut stream = route("s", "a", "/");
    stream.kind = RouteKind::Streaming;
    assert!(!stream.is_idempotent());
    stream.resumable = true;
    assert!(stream.is_idempotent());
    stream.kind = RouteKind::Unsafe;
    assert!(!stream.is_idempotent());
}
