//! Targets whose answer has no valid final status.

use std::time::Duration;

use deck_core::error::{ErrorKind, RunState};
use deck_fleet::RouteKind;
use deck_forward::CrashGuard;
use deck_testkit::raw::RawServer;
use http::StatusCode;
use test_case::test_case;

mod common;

const TIME_TO_DEADLINE: Duration = Duration::from_secs(2);

/// Starts a target whose first answer has the given status, and all others 200.
fn start_target(status: &'static str) -> RawServer {
    RawServer::start(move |call| {
        let id = call.header("request-id").unwrap_or_default().to_owned();
        let status = if call.request_index == 0 { status } else { "200" };
        call.write(&format!(
            "HTTP/1.1 {status} Some\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n\
             Content-Length: 5\r\n\r\nwhole"
        ));
    })
}

/// Guards against callers that get bytes of a faulty target which are no answer: a status outside of 200
/// to 599, or a switch of the protocol that nobody has asked for.
#[test_case("000"; "zero")]
#[test_case("099"; "below the classes")]
#[test_case("101"; "switch of the protocol")]
#[test_case("600"; "above the classes")]
#[test_case("999"; "largest")]
fn answer_without_a_valid_status_is_not_passed_on(status: &'static str) {
    deck_net::runtime::run(async move {
        let faulty = start_target(status);
        let targets = vec![common::target(0, faulty.address)];
        let forwarder = common::forwarder(targets, CrashGuard::default());
        let call = |kind| common::call(common::route(kind), "body", TIME_TO_DEADLINE);
        let error = forwarder.forward(call(RouteKind::NonIdempotent)).await;
        let error = error.err().expect("no answer");
        assert_eq!(
            (error.kind, error.kind.properties().run_state),
            (ErrorKind::TargetFailed, RunState::Unknown)
        );
        let reply = forwarder.forward(call(RouteKind::Idempotent)).await.expect("an answer");
        assert_eq!(reply.status, StatusCode::OK);

        let (first, second) = (start_target(status), start_target(status));
        let sound = start_target("200");
        let servers = [&first, &second, &sound];
        let targets = servers.iter().enumerate().map(|(i, s)| common::target(i, s.address));
        let forwarder = common::forwarder(targets.collect(), CrashGuard::default());
        let route = deck_fleet::Route { max_attempts: 3, ..common::route(RouteKind::Idempotent) };
        let reply = forwarder.forward(common::call(route, "body", TIME_TO_DEADLINE)).await;
        assert_eq!(reply.expect("an answer").status, StatusCode::OK);
    })
    .expect("runtime");
}
