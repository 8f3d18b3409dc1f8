//! Single requests against scripted targets.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, error::RunState};
use deck_fleet::RouteKind;
use deck_forward::{Call, CrashGuard, Forwarder, ReplyBody};
use deck_net::{
    Body, ServerOptions, bind,
    http::{Response, StatusCode},
    server::{drop_connection, text_response},
};
use test_case::test_case;

mod common;

/// How a target answers.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Answers,
    Unsigned,
    OtherId,
    Refuses,
    Fails,
    Drops,
    Silent,
    /// Answers, refuses or fails, and says that it leaves.
    Leaves(StatusCode),
    /// Another target has the address, and that one leaves.
    OtherLeaves,
}

struct World {
    forwarder: Forwarder,
    /// Targets that received the request, in order.
    received: Rc<RefCell<Vec<usize>>>,
    cancel: CancellationToken,
}

impl Drop for World {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

fn start(behaviours: &[Behaviour]) -> World {
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
                async move { answer(behaviour, &id).await }
            });
        monoio::spawn(serve);
        targets.push(common::target(index, address));
    }
    let forwarder = common::forwarder(targets, CrashGuard::default());
    World { forwarder, received, cancel }
}

async fn answer(behaviour: Behaviour, id: &str) -> Response<Body> {
    let mut response = text_response(200, "whole");
    let headers = response.headers_mut();
    headers.insert("request-id", id.parse().expect("id"));
    headers.insert("response-stamp", "stamp".parse().expect("stamp"));
    match behaviour {
        Behaviour::Answers => {}
        Behaviour::Unsigned => {
            headers.remove("response-stamp");
        }
        Behaviour::OtherId => {
            headers.insert("request-id", "other".parse().expect("id"));
        }
        Behaviour::Refuses => {
            headers.insert("not-executed", "1".parse().expect("one"));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Behaviour::Fails => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        Behaviour::Drops => return drop_connection(),
        Behaviour::Silent => monoio::time::sleep(Duration::from_secs(10)).await,
        Behaviour::Leaves(status) => {
            headers.insert("server-leaving", "1".parse().expect("one"));
            if status == StatusCode::SERVICE_UNAVAILABLE {
                headers.insert("not-executed", "1".parse().expect("one"));
            }
            *response.status_mut() = status;
        }
        Behaviour::OtherLeaves => {
            headers.insert("server-leaving", "1".parse().expect("one"));
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        }
    }
    response
}

fn call(kind: RouteKind) -> Call {
    common::call(common::route(kind), "body", Duration::from_millis(800))
}

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

async fn status(world: &World, kind: RouteKind) -> Result<StatusCode, (u16, RunState)> {
    match world.forwarder.forward(call(kind)).await {
        Ok(reply) => {
            let whole = matches!(&reply.body, ReplyBody::Whole(body) if body == "whole");
            assert!(whole || reply.status != StatusCode::OK);
            Ok(reply.status)
        }
        Err(error) => Err((error.kind.row().status, error.kind.row().run)),
    }
}

/// Guards against a success that is not the target's own answer to this very request.
#[test]
fn foreign_and_unsigned_answers_are_failures() {
    run(async {
        for behaviour in [Behaviour::Unsigned, Behaviour::OtherId] {
            let world = start(&[behaviour]);
            let result = status(&world, RouteKind::NonIdempotent).await;
            assert_eq!(result, Err((502, RunState::Unknown)));
        }
    });
}

/// Guards against a second run of a request that may run once: its answer was lost, and nobody
/// knows whether it ran.
#[test]
fn non_idempotent_request_is_not_sent_again() {
    run(async {
        for behaviour in [Behaviour::Drops, Behaviour::Fails] {
            let world = start(&[behaviour, behaviour, behaviour]);
            let result = status(&world, RouteKind::NonIdempotent).await;
            let lost = behaviour == Behaviour::Drops;
            let failed = Ok(StatusCode::INTERNAL_SERVER_ERROR);
            assert_eq!(result, if lost { Err((502, RunState::Unknown)) } else { failed });
            assert_eq!(world.received.borrow().len(), 1);
        }
    });
}

/// Guards against a request that is given up although a target that can run it is there.
#[test]
fn refused_request_goes_to_another_target() {
    run(async {
        let world = start(&[Behaviour::Refuses, Behaviour::Refuses, Behaviour::Answers]);
        assert_eq!(status(&world, RouteKind::NonIdempotent).await, Ok(StatusCode::OK));
    });
}

/// Guards against a refusal that is not true, and one that is not given at once.
#[test]
fn request_that_all_targets_refuse_has_not_run() {
    run(async {
        let world = start(&[Behaviour::Refuses, Behaviour::Refuses]);
        let started = Instant::now();
        let result = status(&world, RouteKind::NonIdempotent).await;
        assert_eq!(result, Err((503, RunState::NotRun)));
        assert!(started.elapsed() < Duration::from_millis(500));
        let nobody = start(&[]);
        let result = status(&nobody, RouteKind::Idempotent).await;
        assert_eq!(result, Err((503, RunState::NotRun)));
    });
}

/// Guards against more runs than the route allows.
#[test]
fn idempotent_request_runs_on_at_most_as_many_targets_as_attempts() {
    run(async {
        let world = start(&[Behaviour::Drops, Behaviour::Drops, Behaviour::Drops]);
        let result = status(&world, RouteKind::Idempotent).await;
        assert_eq!(result, Err((502, RunState::Unknown)));
        assert_eq!(world.received.borrow().len(), 2);
    });
}

/// Pattern: a target goes silent without closing its connections. Guards against a caller that waits
/// for its deadline although another target would have answered.
#[test]
fn silent_target_is_hedged() {
    run(async {
        let world = start(&[Behaviour::Silent, Behaviour::Answers]);
        for _ in 0..5 {
            let started = Instant::now();
            assert_eq!(status(&world, RouteKind::Idempotent).await, Ok(StatusCode::OK));
            assert!(started.elapsed() < Duration::from_millis(400), "{:?}", started.elapsed());
        }
    });
}

/// Guards against requests to a target after it has said in an answer that it leaves, while its entry
/// still lists it as ready.
#[test_case(StatusCode::OK; "in an answer")]
#[test_case(StatusCode::INTERNAL_SERVER_ERROR; "in a failure")]
#[test_case(StatusCode::SERVICE_UNAVAILABLE; "in a refusal")]
fn target_that_says_it_leaves_gets_no_further_request(with: StatusCode) {
    run(async {
        let world = start(&[Behaviour::Leaves(with); 3]);
        for _ in 0..20 {
            let _ = status(&world, RouteKind::NonIdempotent).await;
        }
        let mut received = world.received.borrow().clone();
        received.sort_unstable();
        assert_eq!(received, [0, 1, 2]);
    });
}

/// Guards against a request to the only target after it has said that it leaves: the refusal is true
/// and comes at once.
#[test]
fn request_is_refused_if_all_targets_leave() {
    run(async {
        let world = start(&[Behaviour::Leaves(StatusCode::OK)]);
        assert_eq!(status(&world, RouteKind::Idempotent).await, Ok(StatusCode::OK));
        let result = status(&world, RouteKind::Idempotent).await;
        assert_eq!(result, Err((503, RunState::NotRun)));
        assert_eq!(world.received.borrow().len(), 1);
    });
}

/// Guards against a target that is given up because another one, which has its address, leaves.
#[test]
fn misdirected_answer_says_nothing_of_the_target() {
    run(async {
        let world = start(&[Behaviour::OtherLeaves]);
        for _ in 0..3 {
            let _ = status(&world, RouteKind::NonIdempotent).await;
        }
        assert_eq!(world.received.borrow().len(), 3);
    });
}

/// Guards against an answer that comes later than the caller waits.
#[test]
fn deadline_ends_the_request() {
    run(async {
        let world = start(&[Behaviour::Silent]);
        let started = Instant::now();
        let result = status(&world, RouteKind::NonIdempotent).await;
        assert_eq!(result, Err((504, RunState::Unknown)));
        let elapsed = started.elapsed();
        assert!(elapsed >= Duration::from_millis(700) && elapsed < Duration::from_secs(3));
    });
}
