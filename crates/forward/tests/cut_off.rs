//! Requests and streams of a node whose links to the targets are cut while another node reaches them.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::CancellationToken;
use deck_fleet::{FleetView, Route, RouteKind};
use deck_forward::{CrashGuard, ForwardOptions, Forwarder, response_from_reply};
use deck_net::{
    Body, Client, ClientOptions, ServerOptions, TcpKeepaliveOptions, bind,
    http::{Method, Request, Response, StatusCode},
};
use deck_platform::PlatformWire;
use deck_reach::{RelayDependencies, RelayService, TargetClient};
use deck_testkit::proxy::{LinkCut, Proxy};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use test_case::test_case;

mod common;

/// Number of events of a stream, and the time between them.
const EVENT_COUNT: u64 = 30;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a target takes for a request that is not a stream.
const REQUEST_TIME: Duration = Duration::from_millis(200);
/// Pause in a stream after which callers leave.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Crashes for which a request is suspended at all nodes.
const SUSPENDING_CRASHES: usize = 3;

/// Starts a target that answers after [`REQUEST_TIME`], or with a stream if the path is `/stream`.
fn start_target() -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let serve = |request: Request<Incoming>| async move {
        let headers = request.headers();
        let last_event = headers.get("last-event-id").and_then(|id| id.to_str().ok()?.parse().ok());
        let id = headers["request-id"].clone();
        let mut response = if request.uri().path() == "/stream" {
            let (sender, body) = Body::stream();
            monoio::spawn(async move {
                for number in last_event.unwrap_or(0) + 1..=EVENT_COUNT {
                    monoio::time::sleep(EVENT_INTERVAL).await;
                    if sender.send(format!("id: {number}\ndata: d\n\n")).await.is_err() {
                        return;
                    }
                }
                sender.finish().await;
            });
            let mut response = Response::new(body);
            let content_type = "text/event-stream".parse().expect("value");
            response.headers_mut().insert("content-type", content_type);
            response
        } else {
            monoio::time::sleep(REQUEST_TIME).await;
            Response::new(Body::full("whole"))
        };
        response.headers_mut().insert("request-id", id);
        response.headers_mut().insert("response-stamp", "s".parse().expect("value"));
        response
    };
    let cancel = CancellationToken::new();
    monoio::spawn(deck_net::serve(listener, ServerOptions::default(), cancel, serve));
    address
}

fn client() -> Client {
    Client::new(ClientOptions {
        connect_timeout: Duration::from_millis(300),
        tcp_keepalive: Some(TcpKeepaliveOptions { interval: Duration::from_secs(1), count: 2 }),
        ..ClientOptions::default()
    })
}

/// Starts a node that relays requests to targets; returns its address.
fn start_relay(view: FleetView) -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let service = RelayService::new(client().into(), view, Rc::new(PlatformWire));
    let serve = move |request| {
        let service = service.clone();
        async move { service.serve(request).await }
    };
    let cancel = CancellationToken::new();
    monoio::spawn(deck_net::serve(listener, ServerOptions::default(), cancel, serve));
    address
}

/// Node whose links to the targets go through proxies.
struct CutNode {
    forwarder: Forwarder,
    links: Vec<Proxy>,
    cancel: CancellationToken,
}

impl CutNode {
    /// Starts a node, another one that relays its requests, and targets.
    fn start(target_count: usize) -> Self {
        let targets: Vec<SocketAddr> = (0..target_count).map(|_| start_target()).collect();
        let links: Vec<Proxy> = targets.iter().map(|target| Proxy::start(*target)).collect();
        let view = |addresses: Vec<SocketAddr>| {
            let targets = addresses.into_iter().enumerate();
            common::fleet_view(targets.map(|(i, address)| common::target(i, address)).collect())
        };
        let relay = start_relay(view(targets));
        let own_view = view(links.iter().map(|link| link.address).collect());
        let dependencies = RelayDependencies {
            view: own_view.clone(),
            own_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            nodes: Rc::new(move || vec![relay]),
        };
        let target_client = TargetClient::new(client(), dependencies);
        let cancel = CancellationToken::new();
        monoio::spawn(target_client.clone().run_probes(cancel.clone()));
        let forwarder = Forwarder::new(
            own_view,
            target_client,
            Rc::new(PlatformWire),
            CrashGuard::default(),
            Rc::new(()),
            ForwardOptions::default(),
        );
        Self { forwarder, links, cancel }
    }

    fn set_cut(&self, cut: Option<LinkCut>) {
        self.links.iter().for_each(|link| link.set_cut(cut));
    }
}

impl Drop for CutNode {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Guards against streams that break off, pause for too long, or lose or repeat events when the links of
/// their node are cut.
#[test_case(LinkCut::Hang; "links hang")]
#[test_case(LinkCut::Close; "links are closed")]
fn stream_goes_on_through_another_node_when_links_are_cut(cut: LinkCut) {
    deck_net::runtime::run(async move {
        let node = CutNode::start(3);
        let route =
            Route { resumable: true, max_attempts: 3, ..common::route(RouteKind::Streaming) };
        let mut call = common::call(route, "", Duration::from_secs(20));
        call.uri = "/stream".parse().expect("uri");
        let reply = node.forwarder.forward(call).await.expect("a stream");
        let mut body = response_from_reply(reply, &Method::POST).into_body();
        let (mut text, mut longest_pause, mut is_cut) = (Vec::new(), Duration::ZERO, false);
        loop {
            let waiting_since = Instant::now();
            let Some(frame) = body.frame().await else { break };
            longest_pause = longest_pause.max(waiting_since.elapsed());
            text.extend_from_slice(frame.expect("no break").data_ref().expect("data"));
            if !is_cut {
                node.set_cut(Some(cut));
                is_cut = true;
            }
        }
        let expected: String = (1..=EVENT_COUNT).map(|n| format!("id: {n}\ndata: d\n\n")).collect();
        assert_eq!(String::from_utf8(text).expect("text"), expected);
        assert!(longest_pause < MAX_PAUSE, "{longest_pause:?}");
    })
    .expect("runtime");
}

/// Guards against a request that is suspended as the cause of crashes because the links over which it was
/// sent were cut again and again.
#[test]
fn request_is_not_blamed_for_links_that_are_cut() {
    deck_net::runtime::run(async {
        let node = CutNode::start(4);
        let send = || {
            let route = Route { max_attempts: 1, ..common::route(RouteKind::NonIdempotent) };
            node.forwarder.forward(common::call(route, "the same", Duration::from_secs(2)))
        };
        for _ in 0..SUSPENDING_CRASHES + 1 {
            let cut = async {
                monoio::time::sleep(REQUEST_TIME / 2).await;
                node.set_cut(Some(LinkCut::Close));
            };
            let (result, ()) = futures_util::future::join(send(), cut).await;
            result.err().expect("the connection broke");
            // Covers the check whether the target has crashed.
            monoio::time::sleep(Duration::from_millis(800)).await;
            node.set_cut(None);
            // Covers the probes that find the targets in reach again.
            monoio::time::sleep(Duration::from_millis(1200)).await;
        }
        let reply = send().await.expect("not suspended");
        assert_eq!(reply.status, StatusCode::OK);
    })
    .expect("runtime");
}
