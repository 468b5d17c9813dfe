//! Tests of lookups in a configuration.

use std::time::Duration;

use croftrill_scheduler::catalog::{Backend, CallerLimits, Configuration, ModelSpec, Route, RouteKind};

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
fn route_prefers_longest_prefix_of_host() {
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
fn is_idempotent_for_streaming_only_if_resumable() {
    let mut stream = route("s", "a", "/");
    stream.kind = RouteKind::Streaming;
    assert!(!stream.is_idempotent());
    stream.resumable = true;
    assert!(stream.is_idempotent());
    stream.kind = RouteKind::Unsafe;
    assert!(!stream.is_idempotent());
}

/// Whatever the objectives are, an attempt ends with the route, with its callers' patience, or with the
/// deadline of callers that name none.
#[test]
fn longest_attempt_ends_with_route_or_callers() {
    let longest = |route: Route| {
        let configuration = Configuration::new(1, CallerLimits::default(), Vec::new(), vec![route]);
        configuration.longest_attempt("app")
    };
    let plain = route("plain", "a", "/");
    assert_eq!(longest(plain.clone()), Duration::from_secs(30));
    let ended = Route {
        timeout: Some(Duration::from_secs(9)),
        ..plain.clone()
    };
    assert_eq!(longest(ended.clone()), Duration::from_secs(9));
    let stream = Route {
        kind: RouteKind::Streaming,
        ..ended
    };
    assert_eq!(longest(stream), Duration::from_secs(2));
}

#[test]
fn has_adapter_of_configured_number_only() {
    let spec = ModelSpec {
        name: "m".into(),
        weights_mb: 1.0,
        adapter_mb: 1.0,
        adapter_count: 12,
        store_load: Duration::ZERO,
        disk_load: Duration::ZERO,
        memory_load: Duration::ZERO,
    };
    for name in ["a1", "a9", "a12"] {
        assert!(spec.has_adapter(name), "{name}");
    }
    for name in ["a0", "a13", "a01", "a+1", "a", "1", "b1", "a1 ", "a99999999999"] {
        assert!(!spec.has_adapter(name), "{name}");
    }
}
