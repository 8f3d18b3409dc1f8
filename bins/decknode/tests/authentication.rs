//! Decisions for which organisation a request runs.

use std::time::Duration;

use deck_core::error::ErrorKind;
use deck_fleet::{
    ApiKey, CallerLimits, Configuration, Organisation, Organisations, Route, RouteKind,
};
use decknode::authentication::{Access, authenticate, name_of};
use test_case::test_case;

fn route(host: &str, kind: RouteKind, is_public: bool) -> Route {
    Route {
        name: "r".to_owned(),
        host: host.to_owned(),
        path_prefix: "/".to_owned(),
        kind,
        timeout: Duration::ZERO,
        target_latency: Duration::ZERO,
        priority: 0,
        resumable: false,
        service_weights: vec![("s".to_owned(), 1)],
        max_attempts: 1,
        result_deadline: Duration::ZERO,
        item_deadline: Duration::ZERO,
        single_version: false,
        is_public,
    }
}

fn configuration(organisations: Option<Organisations>) -> Configuration {
    let routes = vec![
        route("public", RouteKind::Rollout, true),
        route("closed", RouteKind::Rollout, false),
        route("plain", RouteKind::Idempotent, true),
    ];
    Configuration::new(1, routes, vec![], CallerLimits::default()).with_organisations(organisations)
}

fn organisations() -> Organisations {
    let organisation = |name: &str| Organisation { name: name.to_owned(), priority: None };
    let key = |text: &str| ApiKey::new(text);
    let entries =
        vec![(organisation("a"), vec![key("a1"), key("a2")]), (organisation("b"), vec![key("b1")])];
    Organisations::new(entries).expect("organisations")
}

/// Guards against requests that run without a known key, or for another organisation than that of
/// the key.
#[test_case("closed", Some("a1"), Ok(Some("a")); "first key")]
#[test_case("closed", Some("a2"), Ok(Some("a")); "second key")]
#[test_case("closed", Some("b1"), Ok(Some("b")); "key of another organisation")]
#[test_case("closed", Some("a"), Err(ErrorKind::Unauthenticated); "name instead of a key")]
#[test_case("closed", Some("a11"), Err(ErrorKind::Unauthenticated); "longer than a key")]
#[test_case("closed", Some(""), Err(ErrorKind::Unauthenticated); "empty key")]
#[test_case("closed", None, Err(ErrorKind::Unauthenticated); "no key")]
#[test_case("public", None, Ok(None); "public route without a key")]
#[test_case("public", Some("unknown"), Ok(None); "public route with an unknown key")]
#[test_case("public", Some("b1"), Ok(Some("b")); "public route with a key")]
fn key_decides_the_organisation(
    host: &str,
    key: Option<&str>,
    expected: Result<Option<&str>, ErrorKind>,
) {
    let configuration = configuration(Some(organisations()));
    let route = configuration.route(host, "/").expect("route").clone();
    let key = key.map(ApiKey::new);
    for access in [Access::Route(&route), Access::BatchCall { host: Some(host) }] {
        let decided = authenticate(Some(&configuration), access, key.as_ref());
        let decided = decided.map(|organisation| name_of(organisation.as_ref()));
        let decided = decided.as_ref().map(Option::as_deref).map_err(|error| error.kind);
        assert_eq!(decided, expected, "{access:?}");
    }
}

/// Guards against calls on batch jobs that need no key since some other route of the host is public.
#[test]
fn public_plain_route_opens_no_batch_jobs() {
    let configuration = configuration(Some(organisations()));
    for host in [Some("plain"), Some("unknown"), None] {
        let decided = authenticate(Some(&configuration), Access::BatchCall { host }, None);
        assert_eq!(decided.map_err(|error| error.kind), Err(ErrorKind::Unauthenticated));
    }
}

/// Guards against a change of deployments without organisations, and against an answer that denies a
/// key although the node has no configuration.
#[test]
fn keys_matter_only_where_the_configuration_has_organisations() {
    let without = configuration(None);
    let access = Access::BatchCall { host: Some("closed") };
    for key in [None, Some(ApiKey::new("any"))] {
        assert_eq!(authenticate(Some(&without), access, key.as_ref()), Ok(None));
        let unknown = authenticate(None, access, key.as_ref()).expect_err("refusal");
        assert_eq!(unknown.kind, ErrorKind::NotReady);
    }
}

/// Guards against a key in the message of a refusal.
#[test]
fn refusal_does_not_contain_the_key() {
    let configuration = configuration(Some(organisations()));
    let access = Access::BatchCall { host: Some("closed") };
    let key = ApiKey::new("secret");
    let refused = authenticate(Some(&configuration), access, Some(&key)).expect_err("refusal");
    assert!(!format!("{refused:?} {refused} {key:?}").contains("secret"), "{refused}");
}
