//! Event streams from targets with scripted behaviour.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_fleet::{FleetView, Route, RouteKind, Target};
use deck_forward::{CrashGuard, ForwardRequest, Forwarder, Reply, response_from_reply};
use deck_net::{
    Body, ServerOptions, bind,
    http::{Method, Response},
};
use http_body_util::BodyExt;
use test_case::test_case;

mod common;

/// Number of events of a complete stream.
const EVENT_COUNT: u64 = 6;

/// How a target streams the events that follow the requested last event.
#[derive(Clone, Copy)]
enum Script {
    /// Streams all requested events and ends the stream properly.
    Complete,
    /// Aborts the stream after this many events and half of the next one.
    BreaksAfter(u64),
    /// Starts one event after the first requested one, which leaves a gap in the stream.
    SkipsFirstRequested,
    /// Starts two events before the first requested one.
    RepeatsEarlier,
}

/// For each received request, the index of its target and its `Last-Event-ID`.
type Received = Rc<RefCell<Vec<(usize, Option<u64>)>>>;

/// Action on each request, with the index of the target that received it.
type RequestHook = Rc<RefCell<Option<Box<dyn Fn(usize)>>>>;

struct TestSetup {
    forwarder: Forwarder,
    on_request: RequestHook,
    fleet_view: FleetView,
    received: Received,
    cancel: CancellationToken,
}

impl Drop for TestSetup {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: text {number}\n\n")
}

fn complete_stream() -> String {
    (1..=EVENT_COUNT).map(event).collect()
}

async fn send_events(script: Script, last_event: u64, sender: deck_net::body::BodySender) {
    let first_event = match script {
        Script::SkipsFirstRequested => last_event + 2,
        Script::RepeatsEarlier => last_event.saturating_sub(1).max(1),
        _ => last_event + 1,
    };
    for number in first_event..=EVENT_COUNT {
        let breaks_here =
            matches!(script, Script::BreaksAfter(count) if number > last_event + count);
        let text = event(number);
        let text = if breaks_here { &text[..text.len() / 2] } else { &text };
        if sender.send(text.to_owned()).await.is_err() || breaks_here {
            // Dropping the sender aborts the stream.
            monoio::time::sleep(Duration::from_millis(20)).await;
            return;
        }
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    sender.finish().await;
}

/// Starts one target per script.
fn start(scripts: &[Script]) -> TestSetup {
    start_with_versions(scripts, &vec!["v1"; scripts.len()])
}

/// Starts one target per software version; each request takes the next script.
fn start_with_versions(scripts: &[Script], versions: &[&str]) -> TestSetup {
    let (received, cancel): (Received, _) = (Rc::default(), CancellationToken::new());
    // Scripts apply in the order of the requests, whichever target receives them.
    let scripts: Rc<RefCell<Vec<Script>>> =
        Rc::new(RefCell::new(scripts.iter().rev().copied().collect()));
    let on_request = RequestHook::default();
    let mut targets = Vec::new();
    for (index, version) in versions.iter().enumerate() {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        let (received, scripts, hook) = (received.clone(), scripts.clone(), on_request.clone());
        let serve =
            deck_net::serve(listener, ServerOptions::default(), cancel.clone(), move |request| {
                let last_event = request.headers().get("last-event-id");
                let last_event = last_event.and_then(|number| number.to_str().ok()?.parse().ok());
                received.borrow_mut().push((index, last_event));
                if let Some(hook) = &*hook.borrow() {
                    hook(index);
                }
                let script = scripts.borrow_mut().pop().expect("a script");
                let id = request.headers()["request-id"].clone();
                let (sender, body) = Body::stream();
                monoio::spawn(send_events(script, last_event.unwrap_or(0), sender));
                let mut response = Response::new(body);
                response.headers_mut().insert("request-id", id);
                response.headers_mut().insert("response-stamp", "stamp".parse().expect("stamp"));
                std::future::ready(response)
            });
        monoio::spawn(serve);
        let software_version = Some((*version).to_owned());
        targets.push(Target { software_version, ..common::target(index, address) });
    }
    let fleet_view = common::fleet_view(targets);
    let forwarder = common::forwarder_for(&fleet_view, CrashGuard::default());
    TestSetup { forwarder, on_request, fleet_view, received, cancel }
}

fn call(resumable: bool) -> ForwardRequest {
    let route = Route {
        resumable,
        timeout: Duration::from_secs(5),
        max_attempts: 3,
        ..common::route(RouteKind::Streaming)
    };
    common::call(route, "body", Duration::from_secs(3))
}

/// Returns the text that the caller receives, and whether the stream ended properly.
async fn receive(setup: &TestSetup, resumable: bool) -> (String, bool) {
    let reply = setup.forwarder.forward(call(resumable)).await.expect("reply");
    receive_body(reply).await
}

/// Returns the text of a reply, and whether the stream ended properly.
async fn receive_body(reply: Reply) -> (String, bool) {
    let mut body = response_from_reply(reply, &Method::POST).into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                text.push_str(std::str::from_utf8(&data).expect("text"));
            }
            Err(_) => return (text, false),
        }
    }
    (text, true)
}

/// Guards against events that are missing, duplicated or truncated where another target resumes a
/// stream.
#[test_case(&[Script::BreaksAfter(2), Script::Complete], &[None, Some(2)]; "once")]
#[test_case(&[Script::BreaksAfter(1), Script::BreaksAfter(3), Script::Complete], &[None, Some(1), Some(4)]; "twice")]
#[test_case(&[Script::BreaksAfter(3), Script::RepeatsEarlier], &[None, Some(3)]; "events are repeated")]
#[test_case(&[Script::BreaksAfter(0), Script::Complete], &[None, None]; "before the first event")]
fn broken_stream_is_resumed_at_another_target(
    scripts: &[Script],
    expected_last_events: &[Option<u64>],
) {
    deck_net::runtime::run(async {
        let setup = start(scripts);
        assert_eq!(receive(&setup, true).await, (complete_stream(), true));
        let received = setup.received.borrow();
        assert_eq!(
            received.iter().map(|(_, last_event)| *last_event).collect::<Vec<_>>(),
            expected_last_events
        );
        let mut targets: Vec<usize> = received.iter().map(|(target, _)| *target).collect();
        targets.dedup();
        assert_eq!(
            targets.len(),
            expected_last_events.len(),
            "each request goes to a different target"
        );
    })
    .expect("runtime");
}

/// Guards against a stream that looks complete although events are missing.
#[test_case(&[Script::BreaksAfter(2), Script::SkipsFirstRequested], 2; "gap")]
#[test_case(&[Script::BreaksAfter(1), Script::BreaksAfter(1), Script::BreaksAfter(1), Script::Complete], 3; "attempts used up")]
#[test_case(&[Script::BreaksAfter(4)], 4; "no other target")]
fn stream_that_cannot_be_resumed_is_aborted(scripts: &[Script], events: u64) {
    deck_net::runtime::run(async {
        let setup = start(scripts);
        let expected: String = (1..=events).map(event).collect();
        assert_eq!(receive(&setup, true).await, (expected, false));
        assert!(setup.received.borrow().len() <= 3, "more targets than the route allows");
    })
    .expect("runtime");
}

/// Guards against resuming a stream, and thus running its request twice, on a route that forbids it.
#[test]
fn stream_of_a_route_that_is_not_resumable_is_aborted() {
    deck_net::runtime::run(async {
        let setup = start(&[Script::BreaksAfter(2), Script::Complete]);
        let (text, is_complete) = receive(&setup, false).await;
        assert!(text.starts_with(&(1..=2).map(event).collect::<String>()) && !is_complete);
        assert_eq!(setup.received.borrow().len(), 1);
    })
    .expect("runtime");
}

/// Runs that a test repeats because targets are chosen at random. With two versions of two targets
/// each, a choice that ignores the version passes all of them by chance less than once in 10,000.
const RANDOM_CHOICE_RUNS: usize = 25;

/// Guards against a stream that goes on at a target of another software version than that of the
/// target that began it, and against a stream that breaks off although such a target is left.
#[test_case(false; "all targets stay")]
#[test_case(true; "first target leaves the view during the stream")]
fn stream_goes_on_only_at_a_target_of_its_software_version(first_target_leaves: bool) {
    deck_net::runtime::run(async {
        let versions = ["v1", "v1", "v2", "v2"];
        for _ in 0..RANDOM_CHOICE_RUNS {
            let scripts = [Script::BreaksAfter(2), Script::Complete];
            let setup = start_with_versions(&scripts, &versions);
            let reply = setup.forwarder.forward(call(true)).await.expect("reply");
            if first_target_leaves {
                setup.fleet_view.remove_target(&reply.target, Instant::now());
            }
            assert_eq!(receive_body(reply).await, (complete_stream(), true));
            let received = setup.received.borrow();
            let used: Vec<&str> = received.iter().map(|(index, _)| versions[*index]).collect();
            assert!(used.len() == 2 && used[0] == used[1], "{used:?}");
        }
    })
    .expect("runtime");
}

/// Guards against a stream that is handed to another software version when its own has no further
/// target.
#[test]
fn stream_without_a_further_target_of_its_software_version_is_aborted() {
    deck_net::runtime::run(async {
        let scripts = [Script::BreaksAfter(2), Script::Complete];
        let setup = start_with_versions(&scripts, &["v1", "v2", "v3"]);
        let expected: String = (1..=2).map(event).collect();
        assert_eq!(receive(&setup, true).await, (expected, false));
        assert_eq!(setup.received.borrow().len(), 1);
    })
    .expect("runtime");
}

/// Lets the target that receives the given request start again as another version just then.
fn restart_at_request(setup: &TestSetup, request_number: usize) {
    let (fleet_view, received) = (setup.fleet_view.clone(), setup.received.clone());
    *setup.on_request.borrow_mut() = Some(Box::new(move |index| {
        if received.borrow().len() == request_number {
            let entry = fleet_view.target(&format!("t{index}")).expect("entry");
            let software_version = Some("v2".to_owned());
            fleet_view.set_target(Target {
                software_version,
                started_at_ms: 1,
                ..(*entry).clone()
            });
        }
    }));
}

/// Guards against a stream that is attributed to the software version of an earlier process of its
/// target: the target starts again under its id, as another version, before it replies.
#[test]
fn stream_of_a_target_that_has_just_restarted_is_not_resumed() {
    deck_net::runtime::run(async {
        let scripts = [Script::BreaksAfter(2), Script::Complete];
        let setup = start_with_versions(&scripts, &["v1", "v1", "v1"]);
        restart_at_request(&setup, 1);
        assert!(!receive(&setup, true).await.1);
        assert_eq!(setup.received.borrow().len(), 1);
    })
    .expect("runtime");
}

/// Guards against events of another software version from a target that starts again under its id
/// while a stream is resumed there.
#[test]
fn target_that_has_just_restarted_does_not_continue_a_stream() {
    deck_net::runtime::run(async {
        let scripts = [Script::BreaksAfter(2), Script::Complete, Script::Complete];
        let setup = start_with_versions(&scripts, &["v1", "v1", "v1"]);
        restart_at_request(&setup, 2);
        assert_eq!(receive(&setup, true).await, (complete_stream(), true));
        assert_eq!(setup.received.borrow().len(), 3, "the second reply is discarded");
    })
    .expect("runtime");
}

/// Pattern: the target list of the node is older than the last start of the target, and becomes
/// current while the stream is on its way. Guards against a stream that is attributed to the software
/// version of the earlier process: the new one had started long before the request was sent.
#[test]
fn stream_of_a_target_whose_earlier_restart_is_learned_of_later_is_not_resumed() {
    deck_net::runtime::run(async {
        let scripts = [Script::BreaksAfter(2), Script::Complete];
        let setup = start_with_versions(&scripts, &["v1", "v1", "v1"]);
        let reply = setup.forwarder.forward(call(true)).await.expect("reply");
        let entry = setup.fleet_view.target(&reply.target).expect("entry");
        let software_version = Some("v2".to_owned());
        // A Unix time in milliseconds, far before the request.
        let started_at_ms = 1_000;
        setup.fleet_view.set_target(Target { software_version, started_at_ms, ..(*entry).clone() });
        assert!(!receive_body(reply).await.1, "a target of v1 continues a stream of v2");
        assert_eq!(setup.received.borrow().len(), 1);
    })
    .expect("runtime");
}
