//! Streams of events against scripted targets.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use deck_core::CancellationToken;
use deck_fleet::{Route, RouteKind};
use deck_forward::{Call, CrashGuard, Forwarder, reply_response};
use deck_net::{
    Body, ServerOptions, bind,
    http::{Method, Response},
};
use http_body_util::BodyExt;
use test_case::test_case;

mod common;

/// Events of a whole stream.
const EVENTS: u64 = 6;

/// How a target streams: it breaks off after some bytes of the events from the one it is asked for.
#[derive(Clone, Copy)]
enum Script {
    Whole,
    /// Breaks off after this many events and a part of the next one.
    BreaksAfter(u64),
    /// Leaves out the first event that it is asked for.
    Skips,
    /// Begins two events earlier than it is asked to.
    Repeats,
}

/// Target index and the last event that the request names.
type Received = Rc<RefCell<Vec<(usize, Option<u64>)>>>;

struct World {
    forwarder: Forwarder,
    received: Received,
    cancel: CancellationToken,
}

impl Drop for World {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: text {number}\n\n")
}

fn whole() -> String {
    (1..=EVENTS).map(event).collect()
}

async fn stream(script: Script, last: u64, sender: deck_net::body::BodySender) {
    let first = match script {
        Script::Skips => last + 2,
        Script::Repeats => last.saturating_sub(1).max(1),
        _ => last + 1,
    };
    for number in first..=EVENTS {
        let breaks = matches!(script, Script::BreaksAfter(count) if number > last + count);
        let text = event(number);
        let text = if breaks { &text[..text.len() / 2] } else { &text };
        if sender.send(text.to_owned()).await.is_err() || breaks {
            // A dropped sender breaks the stream off.
            monoio::time::sleep(Duration::from_millis(20)).await;
            return;
        }
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    sender.finish().await;
}

fn start(scripts: &[Script]) -> World {
    let (received, cancel): (Received, _) = (Rc::default(), CancellationToken::new());
    // Each target plays the next script, whichever is asked first.
    let scripts: Rc<RefCell<Vec<Script>>> =
        Rc::new(RefCell::new(scripts.iter().rev().copied().collect()));
    let mut targets = Vec::new();
    for index in 0..scripts.borrow().len() {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        let (received, scripts) = (received.clone(), scripts.clone());
        let serve =
            deck_net::serve(listener, ServerOptions::default(), cancel.clone(), move |request| {
                let last = request.headers().get("last-event-id");
                let last = last.and_then(|last| last.to_str().ok()?.parse().ok());
                received.borrow_mut().push((index, last));
                let script = scripts.borrow_mut().pop().expect("a script");
                let id = request.headers()["request-id"].clone();
                let (sender, body) = Body::stream();
                monoio::spawn(stream(script, last.unwrap_or(0), sender));
                let mut response = Response::new(body);
                response.headers_mut().insert("request-id", id);
                response.headers_mut().insert("response-stamp", "stamp".parse().expect("stamp"));
                std::future::ready(response)
            });
        monoio::spawn(serve);
        targets.push(common::target(index, address));
    }
    let forwarder = common::forwarder(targets, CrashGuard::default());
    World { forwarder, received, cancel }
}

fn call(resumable: bool) -> Call {
    let route = Route {
        resumable,
        timeout: Duration::from_secs(5),
        attempts: 3,
        ..common::route(RouteKind::Streaming)
    };
    common::call(route, "body", Duration::from_secs(3))
}

/// Returns what the caller gets, and whether the stream ended as complete.
async fn receive(world: &World, resumable: bool) -> (String, bool) {
    let reply = world.forwarder.forward(call(resumable)).await.expect("reply");
    let mut body = reply_response(reply, &Method::POST).into_body();
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

/// Guards against pieces that are missing, come twice or are cut in the middle where a stream goes on
/// at another target.
#[test_case(&[Script::BreaksAfter(2), Script::Whole], &[None, Some(2)]; "once")]
#[test_case(&[Script::BreaksAfter(1), Script::BreaksAfter(3), Script::Whole], &[None, Some(1), Some(4)]; "twice")]
#[test_case(&[Script::BreaksAfter(3), Script::Repeats], &[None, Some(3)]; "events come again")]
#[test_case(&[Script::BreaksAfter(0), Script::Whole], &[None, None]; "before the first event")]
fn broken_stream_goes_on_at_another_target(scripts: &[Script], asked: &[Option<u64>]) {
    deck_net::runtime::run(async {
        let world = start(scripts);
        assert_eq!(receive(&world, true).await, (whole(), true));
        let received = world.received.borrow();
        assert_eq!(received.iter().map(|(_, last)| *last).collect::<Vec<_>>(), asked);
        let mut targets: Vec<usize> = received.iter().map(|(target, _)| *target).collect();
        targets.dedup();
        assert_eq!(targets.len(), asked.len(), "each part comes from another target");
    })
    .expect("runtime");
}

/// Guards against a stream that looks complete though events are missing.
#[test_case(&[Script::BreaksAfter(2), Script::Skips], 2; "gap")]
#[test_case(&[Script::BreaksAfter(1), Script::BreaksAfter(1), Script::BreaksAfter(1), Script::Whole], 3; "attempts used up")]
#[test_case(&[Script::BreaksAfter(4)], 4; "no other target")]
fn stream_that_cannot_go_on_is_broken_off(scripts: &[Script], events: u64) {
    deck_net::runtime::run(async {
        let world = start(scripts);
        let expected: String = (1..=events).map(event).collect();
        assert_eq!(receive(&world, true).await, (expected, false));
        assert!(world.received.borrow().len() <= 3, "more targets than the route allows");
    })
    .expect("runtime");
}

/// Guards against a second run of a stream whose route does not allow it.
#[test]
fn stream_that_may_not_be_resumed_is_broken_off() {
    deck_net::runtime::run(async {
        let world = start(&[Script::BreaksAfter(2), Script::Whole]);
        let (text, complete) = receive(&world, false).await;
        assert!(text.starts_with(&(1..=2).map(event).collect::<String>()) && !complete);
        assert_eq!(world.received.borrow().len(), 1);
    })
    .expect("runtime");
}
