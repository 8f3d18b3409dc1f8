//! Single requests to targets with scripted behaviour.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, error::RunState};
use deck_fleet::RouteKind;
use deck_forward::{CrashGuard, ForwardRequest, Forwarder, ReplyBody};
use deck_net::{
    Body, ServerOptions, bind,
    http::{Response, StatusCode},
    server::{close_without_response, text_response},
};
use test_case::test_case;

mod common;

/// How a target responds to each request.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    /// Responds with status 200 and the complete body.
    Responds,
    /// Responds without the header that shows that the response is from the target.
    WithoutSignature,
    /// Responds with the id of another request.
    ForeignRequestId,
    /// Responds with status 503 and states that the request was not run.
    Refuses,
    /// Responds with status 500.
    Fails,
    /// Closes the connection without a response.
    DropsConnection,
    /// Accepts the request and does not respond.
    Silent,
    /// Responds with this status and announces that it is leaving.
    Leaving(StatusCode),
    /// Responds as a different, leaving target that now has the address.
    MisdirectedLeaving,
}

struct TestSetup {
    forwarder: Forwarder,
    /// Index of the target of each received request, in order.
    received: Rc<RefCell<Vec<usize>>>,
    cancel: CancellationToken,
}

impl Drop for TestSetup {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

fn start(behaviours: &[Behaviour]) -> TestSetup {
    let (received, cancel): (Rc<RefCell<Vec<usize>>>, _) =
        (Rc::default(), CancellationToken::new());
    let mut targets = Vec::new();
    for (index, behaviour) in behaviours.iter().copied().enumerate() {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        let received = received.clone();
        let serve =
            deck_net::serve(listener, ServerOptions::default(), cancel.clone(), move |request| {
                received.borrow_mut().push(index);
                let id = request.headers()["request-id"].to_str().expect("id").to_owned();
                async move { respond(behaviour, &id).await }
            });
        monoio::spawn(serve);
        targets.push(common::target(index, address));
    }
    let forwarder = common::forwarder(targets, CrashGuard::default());
    TestSetup { forwarder, received, cancel }
}

async fn respond(behaviour: Behaviour, id: &str) -> Response<Body> {
    let mut response = text_response(200, "whole");
    let headers = response.headers_mut();
    headers.insert("request-id", id.parse().expect("id"));
    headers.insert("response-stamp", "stamp".parse().expect("stamp"));
    match behaviour {
        Behaviour::Responds => {}
        Behaviour::WithoutSignature => {
            headers.remove("response-stamp");
        }
        Behaviour::ForeignRequestId => {
            headers.insert("request-id", "other".parse().expect("id"));
        }
        Behaviour::Refuses => {
            headers.insert("not-executed", "1".parse().expect("one"));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Behaviour::Fails => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        Behaviour::DropsConnection => return close_without_response(),
        Behaviour::Silent => monoio::time::sleep(Duration::from_secs(10)).await,
        Behaviour::Leaving(status) => {
            headers.insert("server-leaving", "1".parse().expect("one"));
            if status == StatusCode::SERVICE_UNAVAILABLE {
                headers.insert("not-executed", "1".parse().expect("one"));
            }
            *response.status_mut() = status;
        }
        Behaviour::MisdirectedLeaving => {
            headers.insert("server-leaving", "1".parse().expect("one"));
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        }
    }
    response
}

fn call(kind: RouteKind) -> ForwardRequest {
    common::call(common::route(kind), "body", Duration::from_millis(800))
}

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

async fn forward_status(setup: &TestSetup, kind: RouteKind) -> Result<StatusCode, (u16, RunState)> {
    match setup.forwarder.forward(call(kind)).await {
        Ok(reply) => {
            let is_whole = matches!(&reply.body, ReplyBody::Buffered(body) if body == "whole");
            assert!(is_whole || reply.status != StatusCode::OK);
            Ok(reply.status)
        }
        Err(error) => Err((error.kind.properties().status, error.kind.properties().run_state)),
    }
}

/// Guards against accepting a response that lacks the target's signature or belongs to another request.
#[test]
fn foreign_and_unsigned_responses_are_errors() {
    run(async {
        for behaviour in [Behaviour::WithoutSignature, Behaviour::ForeignRequestId] {
            let setup = start(&[behaviour]);
            let result = forward_status(&setup, RouteKind::NonIdempotent).await;
            assert_eq!(result, Err((502, RunState::Unknown)));
        }
    });
}

/// Guards against running a non-idempotent request twice after its response was lost, which leaves
/// open whether it ran.
#[test]
fn non_idempotent_request_is_not_sent_again() {
    run(async {
        for behaviour in [Behaviour::DropsConnection, Behaviour::Fails] {
            let setup = start(&[behaviour, behaviour, behaviour]);
            let result = forward_status(&setup, RouteKind::NonIdempotent).await;
            let is_lost = behaviour == Behaviour::DropsConnection;
            let failed_reply = Ok(StatusCode::INTERNAL_SERVER_ERROR);
            assert_eq!(result, if is_lost { Err((502, RunState::Unknown)) } else { failed_reply });
            assert_eq!(setup.received.borrow().len(), 1);
        }
    });
}

/// Guards against failing a request although another target can run it.
#[test]
fn refused_request_is_retried_at_another_target() {
    run(async {
        let setup = start(&[Behaviour::Refuses, Behaviour::Refuses, Behaviour::Responds]);
        assert_eq!(forward_status(&setup, RouteKind::NonIdempotent).await, Ok(StatusCode::OK));
    });
}

/// Guards against an error that does not state that the request never ran, and against an error that
/// is returned only at the deadline.
#[test]
fn request_that_all_targets_refuse_has_not_run() {
    run(async {
        let setup = start(&[Behaviour::Refuses, Behaviour::Refuses]);
        let started_at = Instant::now();
        let result = forward_status(&setup, RouteKind::NonIdempotent).await;
        assert_eq!(result, Err((503, RunState::NotRun)));
        assert!(started_at.elapsed() < Duration::from_millis(500));
        let no_targets = start(&[]);
        let result = forward_status(&no_targets, RouteKind::Idempotent).await;
        assert_eq!(result, Err((503, RunState::NotRun)));
    });
}

/// Guards against more runs of a request than the route allows.
#[test]
fn idempotent_request_runs_on_at_most_as_many_targets_as_attempts() {
    run(async {
        let setup = start(&[
            Behaviour::DropsConnection,
            Behaviour::DropsConnection,
            Behaviour::DropsConnection,
        ]);
        let result = forward_status(&setup, RouteKind::Idempotent).await;
        assert_eq!(result, Err((502, RunState::Unknown)));
        assert_eq!(setup.received.borrow().len(), 2);
    });
}

/// A target stops responding without closing its connections. Guards against a request that waits
/// for its deadline although another target could serve it.
#[test]
fn silent_target_is_hedged() {
    run(async {
        let setup = start(&[Behaviour::Silent, Behaviour::Responds]);
        for _ in 0..5 {
            let started_at = Instant::now();
            assert_eq!(forward_status(&setup, RouteKind::Idempotent).await, Ok(StatusCode::OK));
            assert!(
                started_at.elapsed() < Duration::from_millis(400),
                "{:?}",
                started_at.elapsed()
            );
        }
    });
}

/// Guards against requests to a target that has announced in a response that it is leaving while the
/// configuration still lists it as ready.
#[test_case(StatusCode::OK; "in a success")]
#[test_case(StatusCode::INTERNAL_SERVER_ERROR; "in a failure")]
#[test_case(StatusCode::SERVICE_UNAVAILABLE; "in a refusal")]
fn leaving_target_gets_no_further_request(status: StatusCode) {
    run(async {
        let setup = start(&[Behaviour::Leaving(status); 3]);
        for _ in 0..20 {
            let _ = forward_status(&setup, RouteKind::NonIdempotent).await;
        }
        let mut received = setup.received.borrow().clone();
        received.sort_unstable();
        assert_eq!(received, [0, 1, 2]);
    });
}

/// Guards against a request to the only target after it has announced that it is leaving. The request
/// is refused as not run.
#[test]
fn request_is_refused_if_all_targets_are_leaving() {
    run(async {
        let setup = start(&[Behaviour::Leaving(StatusCode::OK)]);
        assert_eq!(forward_status(&setup, RouteKind::Idempotent).await, Ok(StatusCode::OK));
        let result = forward_status(&setup, RouteKind::Idempotent).await;
        assert_eq!(result, Err((503, RunState::NotRun)));
        assert_eq!(setup.received.borrow().len(), 1);
    });
}

/// Guards against marking a target as leaving because another target, which now has its address, is.
#[test]
fn misdirected_response_does_not_mark_the_target_as_leaving() {
    run(async {
        let setup = start(&[Behaviour::MisdirectedLeaving]);
        for _ in 0..3 {
            let _ = forward_status(&setup, RouteKind::NonIdempotent).await;
        }
        assert_eq!(setup.received.borrow().len(), 3);
    });
}

/// Guards against a request that outlives its deadline.
#[test]
fn deadline_ends_the_request() {
    run(async {
        let setup = start(&[Behaviour::Silent]);
        let started_at = Instant::now();
        let result = forward_status(&setup, RouteKind::NonIdempotent).await;
        assert_eq!(result, Err((504, RunState::Unknown)));
        let elapsed = started_at.elapsed();
        assert!(elapsed >= Duration::from_millis(700) && elapsed < Duration::from_secs(3));
    });
}
