//! Requests that another node sends because this node does not reach the targets.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::CancellationToken;
use deck_fleet::{FleetView, Target, TargetState};
use deck_net::{Body, Client, ClientOptions, NetError, ServerOptions, bind};
use deck_platform::PlatformWire;
use deck_reach::{RelayDependencies, RelayService, TargetAddress, TargetClient};
use deck_route::{Router, RouterOptions};
use deck_testkit::{
    proxy::{LinkCut, Proxy},
    raw::{RawExchange, RawServer},
};
use http::{Method, Request, Response, StatusCode};
use test_case::test_case;

const TARGET: &str = "t-0";

fn target(address: SocketAddr) -> Target {
    Target {
        id: TARGET.to_owned(),
        service: "s".to_owned(),
        address,
        data_centre: "a".to_owned(),
        state: TargetState::Ready,
        software_version: None,
        slots: 8,
        models: Vec::new(),
        started_at_ms: 0,
        lifetime: Default::default(),
    }
}

/// Returns an address at which connections are refused.
fn closed_address() -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    listener.local_addr().expect("address")
}

/// Node that relays requests, or is cut off.
struct Node {
    address: SocketAddr,
    view: FleetView,
    targets: TargetClient,
}

/// Starts a node that reaches the target at `target_address` and may use `other_nodes`.
fn start_node(target_address: SocketAddr, other_nodes: Vec<SocketAddr>) -> Node {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let view = FleetView::new(Router::new(RouterOptions::default()));
    view.set_targets(vec![target(target_address)], Instant::now());
    let client = Client::new(ClientOptions {
        connect_timeout: Duration::from_millis(300),
        ..ClientOptions::default()
    });
    let dependencies = RelayDependencies {
        view: view.clone(),
        own_address: address,
        nodes: Rc::new(move || other_nodes.clone()),
    };
    let targets = TargetClient::new(client, dependencies);
    let service = RelayService::new(targets.clone(), view.clone(), Rc::new(PlatformWire));
    let serve = move |request| {
        let service = service.clone();
        async move { service.serve(request).await }
    };
    let cancel = CancellationToken::new();
    monoio::spawn(deck_net::serve(listener, ServerOptions::default(), cancel, serve));
    Node { address, view, targets }
}

impl Node {
    fn target_address(&self) -> SocketAddr {
        self.view.target(TARGET).expect("the target").address
    }

    async fn send(&self, request: Request<Bytes>) -> Result<deck_net::ClientResponse, NetError> {
        let id = TARGET.to_owned();
        let address = TargetAddress { id: &id, address: self.target_address() };
        self.targets.send(address, request, true).await
    }

    /// Tries to connect, so that this node knows that it does not reach the target.
    async fn learn_that_target_is_out_of_reach(&self) {
        assert!(!self.targets.accepts_direct_connections(self.target_address()).await);
        assert!(self.targets.is_relayed(self.target_address()));
    }
}

fn request(path: &str) -> Request<Bytes> {
    let request = Request::builder().method(Method::POST).uri(path).header("host", "h.example");
    request.body(Bytes::from_static(b"body")).expect("request")
}

/// Starts a target and two nodes; returns the one that does not reach the target, and the other one.
async fn start_cut_off_node(
    script: impl Fn(&mut RawExchange) + Send + Sync + 'static,
) -> (Node, Node, RawServer) {
    let server = RawServer::start(script);
    let relay = start_node(server.address, Vec::new());
    let node = start_node(closed_address(), vec![relay.address]);
    node.learn_that_target_is_out_of_reach().await;
    (node, relay, server)
}

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against requests that a relaying node changes, and against its own headers at the target or in
/// the answer.
#[test]
fn relayed_request_and_answer_are_unchanged() {
    run(async {
        type Received = (Method, String, Vec<(String, String)>, Bytes);
        let received: Rc<RefCell<Vec<Received>>> = Rc::default();
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let target_address = listener.local_addr().expect("address");
        let record = received.clone();
        let serve = move |request: Request<hyper::body::Incoming>| {
            let record = record.clone();
            async move {
                let (parts, body) = request.into_parts();
                let body = deck_net::server::read_body(body, 1 << 20).await.expect("body");
                let headers = parts.headers.iter();
                let headers = headers.map(|(name, value)| {
                    (name.to_string(), value.to_str().expect("text").to_owned())
                });
                let headers = headers.collect();
                record.borrow_mut().push((parts.method, parts.uri.to_string(), headers, body));
                let mut response = Response::new(Body::full("answer"));
                *response.status_mut() = StatusCode::IM_A_TEAPOT;
                let headers = response.headers_mut();
                headers.insert("response-stamp", "stamp".parse().expect("value"));
                headers.insert("connection", "close".parse().expect("value"));
                response
            }
        };
        let cancel = CancellationToken::new();
        monoio::spawn(deck_net::serve(listener, ServerOptions::default(), cancel, serve));
        let relay = start_node(target_address, Vec::new());
        let node = start_node(closed_address(), vec![relay.address]);
        let direct = relay.send(request("/a/b%2Fc/?x=1&y=%20")).await.expect("an answer");
        node.learn_that_target_is_out_of_reach().await;
        let relayed = node.send(request("/a/b%2Fc/?x=1&y=%20")).await.expect("an answer");
        assert_eq!(received.borrow()[0], received.borrow()[1]);
        assert_eq!(
            (direct.status, relayed.status),
            (StatusCode::IM_A_TEAPOT, StatusCode::IM_A_TEAPOT)
        );
        assert_eq!(relayed.headers["response-stamp"], "stamp");
        assert!(relayed.headers.keys().all(|name| !name.as_str().starts_with("x-relay")));
        assert_eq!(relayed.collect(100).await.expect("body"), "answer");
        assert_eq!(node.targets.relayed_request_count(), 1);
    });
}

/// Guards against an answer that a target broke off and that looks complete after it was relayed.
#[test_case("Content-Length: 10\r\n\r\nhalf"; "with a length")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"; "in chunks")]
fn relayed_answer_that_breaks_off_is_not_complete(answer: &'static str) {
    run(async move {
        let (node, _relay, _server) = start_cut_off_node(move |call| {
            call.write(&format!("HTTP/1.1 200 OK\r\n{answer}"));
        })
        .await;
        let response = node.send(request("/")).await.expect("a head");
        assert_eq!(response.status, StatusCode::OK);
        response.collect(100).await.expect_err("the body is not complete");
    });
}

/// Guards against a relayed request that may have run and is reported as not sent.
#[test]
fn target_that_breaks_off_may_have_run_the_relayed_request() {
    run(async {
        let (node, _relay, server) = start_cut_off_node(|_| {}).await;
        let error = node.send(request("/")).await.err().expect("no answer");
        assert!(error.may_have_been_sent(), "{error}");
        assert_eq!(server.request_count(), 1);
    });
}

/// Guards against requests that go on at a target after the caller has left.
#[test]
fn target_of_a_relayed_request_sees_that_the_caller_has_left() {
    run(async {
        let (node, _relay, server) = start_cut_off_node(|call| {
            call.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            call.write_endless_response("4\r\nhalf\r\n", Duration::from_millis(20));
        })
        .await;
        let mut response = node.send(request("/")).await.expect("a head");
        for _ in 0..5 {
            assert_eq!(response.chunk().await.expect("a chunk").expect("more"), "half");
        }
        assert_eq!(server.open_endless_responses(), 1);
        drop(response);
        let left_at = Instant::now();
        while server.open_endless_responses() > 0 {
            assert!(left_at.elapsed() < Duration::from_millis(500), "the target still works");
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Guards against a first request that is refused because only its own attempt shows that the target is
/// out of reach.
#[test]
fn request_that_finds_its_target_out_of_reach_is_relayed() {
    run(async {
        let server = RawServer::start(|call| {
            call.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        });
        let relay = start_node(server.address, Vec::new());
        let node = start_node(closed_address(), vec![relay.address]);
        let response = node.send(request("/")).await.expect("an answer");
        assert_eq!(response.collect(100).await.expect("body"), "whole");
    });
}

/// Guards against a header of a caller that bears the name of one of the relay and decides whether the
/// request may run more than once: it would be given up at a silent target that is out of reach.
#[test]
fn header_of_a_caller_does_not_make_a_request_repeatable() {
    run(async {
        let target_link = RawServer::start(|_| std::thread::sleep(Duration::from_secs(3)));
        let link = Proxy::start(target_link.address);
        let relay = start_node(link.address, Vec::new());
        let node = start_node(closed_address(), vec![relay.address]);
        node.learn_that_target_is_out_of_reach().await;
        let mut request = request("/");
        request.headers_mut().insert("x-relay-repeatable", "1".parse().expect("value"));
        let id = TARGET.to_owned();
        let address = TargetAddress { id: &id, address: node.target_address() };
        let cut = async {
            monoio::time::sleep(Duration::from_millis(200)).await;
            link.set_cut(Some(LinkCut::Hang));
        };
        let send = node.targets.send(address, request, false);
        let send = monoio::time::timeout(Duration::from_millis(1500), send);
        let (sent, ()) = futures_util::future::join(send, cut).await;
        assert!(sent.is_err(), "the request was given up");
    });
}

/// Guards against requests that are refused because the first node that is asked cannot relay them:
/// its links are cut too, it is gone, it does not know the target, or it is of a version that does not
/// relay.
#[test]
fn another_node_relays_what_the_first_ones_cannot() {
    run(async {
        let server = RawServer::start(|call| {
            call.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        });
        let cut_off = start_node(closed_address(), Vec::new());
        let unaware = start_node(server.address, Vec::new());
        unaware.view.set_targets(Vec::new(), Instant::now());
        let old = RawServer::start(|call| {
            call.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        });
        for other in [cut_off.address, closed_address(), unaware.address, old.address] {
            let relay = start_node(server.address, Vec::new());
            let node = start_node(closed_address(), vec![other, relay.address]);
            node.learn_that_target_is_out_of_reach().await;
            for _ in 0..4 {
                let response = node.send(request("/")).await.expect("an answer");
                assert_eq!(response.collect(100).await.expect("body"), "whole");
            }
        }
    });
}

/// Guards against requests that travel between nodes which are all cut off: they fail at once as not
/// sent.
#[test]
fn request_that_no_node_can_send_fails_at_once() {
    run(async {
        let others: Vec<Node> = (0..3).map(|_| start_node(closed_address(), Vec::new())).collect();
        let addresses = others.iter().map(|node| node.address).collect();
        let node = start_node(closed_address(), addresses);
        node.learn_that_target_is_out_of_reach().await;
        let started_at = Instant::now();
        let error = node.send(request("/")).await.err().expect("no answer");
        assert!(!error.may_have_been_sent(), "{error}");
        assert!(started_at.elapsed() < Duration::from_millis(200), "{:?}", started_at.elapsed());
    });
}

/// Guards against a relaying node that sends requests to a target which has said to it that it leaves.
#[test]
fn relaying_node_learns_that_a_target_leaves() {
    run(async {
        let (node, relay, server) = start_cut_off_node(|call| {
            call.write("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n");
        })
        .await;
        node.send(request("/")).await.expect("an answer");
        assert_eq!(relay.view.target(TARGET).expect("the target").state, TargetState::Draining);
        let error = node.send(request("/")).await.err().expect("no answer");
        assert!(!error.may_have_been_sent(), "{error}");
        assert_eq!(server.request_count(), 1);
    });
}

/// Guards against a target that counts as crashed because the links of this node to it are cut.
#[test]
fn target_that_another_node_reaches_accepts_connections() {
    run(async {
        let (node, _relay, _server) = start_cut_off_node(|_| {}).await;
        let id = TARGET.to_owned();
        let address = TargetAddress { id: &id, address: node.target_address() };
        assert!(node.targets.accepts_connections(address).await);
        let unreached = start_node(closed_address(), Vec::new());
        let node = start_node(closed_address(), vec![unreached.address]);
        let address = TargetAddress { id: &id, address: node.target_address() };
        assert!(!node.targets.accepts_connections(address).await);
    });
}

/// Guards against a node that takes its links for sound because connections from before the cut are
/// still in its pool.
#[test]
fn check_of_links_does_not_rely_on_open_connections() {
    run(async {
        let server = RawServer::start(|call| {
            call.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
            std::thread::sleep(Duration::from_secs(5));
        });
        let relay = start_node(server.address, Vec::new());
        let links: Vec<Proxy> = (0..2).map(|_| Proxy::start(server.address)).collect();
        let node = start_node(links[0].address, vec![relay.address]);
        let second = Target { id: "t-1".to_owned(), ..target(links[1].address) };
        node.view.set_targets(vec![target(links[0].address), second.clone()], Instant::now());
        let second_at_relay = Target { address: server.address, ..second };
        relay.view.set_targets(vec![target(server.address), second_at_relay], Instant::now());
        assert!(!node.targets.check_links().await);
        for link in &links {
            link.set_cut(Some(LinkCut::Refuse));
        }
        // The proxies apply a cut within 20 ms.
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert!(node.targets.check_links().await);
        links.iter().for_each(|link| link.set_cut(None));
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert!(!node.targets.check_links().await);
    });
}

/// Guards against a node that takes its links for sound because the node that it asks first is cut off too
/// and does not know it.
#[test]
fn check_of_links_asks_several_nodes() {
    run(async {
        let server = RawServer::start(|_| {});
        let cut_off: Vec<Node> = (0..2).map(|_| start_node(closed_address(), Vec::new())).collect();
        let relay = start_node(server.address, Vec::new());
        let nodes = cut_off.iter().chain([&relay]).map(|node| node.address).collect();
        let node = start_node(closed_address(), nodes);
        let second = Target { id: "t-1".to_owned(), ..target(closed_address()) };
        node.view.set_targets(vec![target(node.target_address()), second.clone()], Instant::now());
        let second_at_relay = Target { address: server.address, ..second };
        relay.view.set_targets(vec![target(server.address), second_at_relay], Instant::now());
        assert!(node.targets.check_links().await);
        assert_eq!(node.targets.find_reaching_node().await, Some(relay.address));
    });
}
