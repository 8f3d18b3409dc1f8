//! Decisions for which organisation a request runs.

use std::{rc::Rc, time::Duration};

use deck_core::error::ErrorKind;
use deck_fleet::{
    ApiKey, CallerLimits, Configuration, Organisation, Organisations, Route, RouteKind,
};
use decknode::authentication::{Access, authenticate};
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
        let decided = authenticate(Some(&configuration), true, access, key.as_ref());
        let name = |organisation: &Option<Rc<Organisation>>| {
            organisation.as_ref().map(|organisation| organisation.name.clone())
        };
        let decided = decided.as_ref().map(name).map_err(|error| error.kind);
        let expected = expected.map(|name| name.map(str::to_owned));
        assert_eq!(decided, expected, "{access:?}");
    }
}

/// Guards against calls on batch jobs that need no key since some other route of the host is public.
#[test]
fn public_plain_route_opens_no_batch_jobs() {
    let configuration = configuration(Some(organisations()));
    for host in [Some("plain"), Some("unknown"), None] {
        let decided = authenticate(Some(&configuration), true, Access::BatchCall { host }, None);
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
        assert_eq!(authenticate(Some(&without), false, access, key.as_ref()), Ok(None));
        let unknown = authenticate(None, true, access, key.as_ref()).expect_err("refusal");
        assert_eq!(unknown.kind, ErrorKind::NotReady);
    }
}

/// Guards against a configuration of unknown age that decides about a key, against 401 for a key that a
/// newer configuration may have, and against a refusal of requests that need no key.
#[test_case("closed", Some("a1"), Err(ErrorKind::ConfigurationOutdated); "known key")]
#[test_case("closed", Some("unknown"), Err(ErrorKind::ConfigurationOutdated); "unknown key")]
#[test_case("closed", None, Err(ErrorKind::Unauthenticated); "no key")]
#[test_case("public", Some("a1"), Ok(()); "public route with a key")]
#[test_case("public", None, Ok(()); "public route without a key")]
fn outdated_configuration_decides_about_no_key(
    host: &str,
    key: Option<&str>,
    expected: Result<(), ErrorKind>,
) {
    let configuration = configuration(Some(organisations()));
    let access = Access::BatchCall { host: Some(host) };
    let key = key.map(ApiKey::new);
    let decided = authenticate(Some(&configuration), false, access, key.as_ref());
    let decided = decided.map(|organisation| assert_eq!(organisation, None));
    assert_eq!(decided.map_err(|error| error.kind), expected);
}

/// Guards against a key in the message of a refusal.
#[test]
fn refusal_does_not_contain_the_key() {
    let configuration = configuration(Some(organisations()));
    let access = Access::BatchCall { host: Some("closed") };
    let key = ApiKey::new("secret");
    let refused =
        authenticate(Some(&configuration), true, access, Some(&key)).expect_err("refusal");
    assert!(!format!("{refused:?} {refused} {key:?}").contains("secret"), "{refused}");
}
