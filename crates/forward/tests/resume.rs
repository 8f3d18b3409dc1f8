//! Requests with which callers resume streams at nodes that exchange the origins of streams.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, error::ErrorKind};
use deck_fleet::{
    FleetView, Observer, OriginRecord, ResumptionOutcome, ResumptionScope, Route, RouteKind,
    Target, TargetState,
    stream_origins::{MAX_ORIGINS_BYTES, STREAM_ORIGIN_LOOKUP_PATH},
};
use deck_forward::{CrashGuard, ForwardRequest, Forwarder, StreamOrigins, origins::PeerList};
use deck_net::{
    Body, Client, ServerOptions, bind, cbor,
    http::{Response, StatusCode},
    server::{empty_response, read_body},
};
use test_case::test_case;

mod common;

/// For each request at a target: its index, `Last-Event-Id` and `Resumes`.
type Received = Rc<RefCell<Vec<(usize, Option<String>, Option<String>)>>>;

/// Statuses with which targets reply instead of a stream, by their index.
type Statuses = Rc<RefCell<HashMap<usize, StatusCode>>>;

/// Message of a node to another one.
#[derive(Debug, Clone)]
struct PeerMessage {
    receiver: usize,
    is_lookup: bool,
    bytes: usize,
    /// Ids of the records in the message.
    ids: Vec<String>,
}

struct TestNode {
    forwarder: Forwarder,
    view: FleetView,
    /// Address for other nodes.
    address: SocketAddr,
    /// Stops the node's server for other nodes.
    cancel: CancellationToken,
    outcomes: Rc<Outcomes>,
}

#[derive(Default)]
struct Outcomes(RefCell<Vec<ResumptionOutcome>>);

impl Observer for Outcomes {
    fn on_stream_resumption(&self, scope: ResumptionScope, outcome: ResumptionOutcome) {
        assert_eq!(scope, ResumptionScope::Caller);
        self.0.borrow_mut().push(outcome);
    }
}

struct TestFleet {
    nodes: Vec<TestNode>,
    /// Software version of each target.
    versions: Vec<&'static str>,
    received: Received,
    statuses: Statuses,
    messages: Rc<RefCell<Vec<PeerMessage>>>,
    cancel: CancellationToken,
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Starts a target that streams one event and ends the stream, unless it has a status set. It has not
/// run a request that it answers with 503.
fn start_target(
    index: usize,
    received: &Received,
    statuses: &Statuses,
    cancel: &CancellationToken,
) -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let (received, statuses) = (received.clone(), statuses.clone());
    let serve =
        deck_net::serve(listener, ServerOptions::default(), cancel.clone(), move |request| {
            let header = |name: &str| {
                let value = request.headers().get(name)?;
                Some(value.to_str().expect("text").to_owned())
            };
            received.borrow_mut().push((index, header("last-event-id"), header("resumes")));
            let mut response = Response::new(Body::full("id: 4\ndata: x\n\n"));
            let headers = response.headers_mut();
            headers.insert("request-id", header("request-id").expect("id").parse().expect("id"));
            headers.insert("response-stamp", "stamp".parse().expect("stamp"));
            if let Some(status) = statuses.borrow().get(&index) {
                if *status == StatusCode::SERVICE_UNAVAILABLE {
                    headers.insert("not-executed", "1".parse().expect("one"));
                }
                *response.status_mut() = *status;
            }
            std::future::ready(response)
        });
    monoio::spawn(serve);
    address
}

/// Starts the server of node `index` for other nodes.
fn start_peer_server(
    index: usize,
    listener: monoio::net::TcpListener,
    origins: StreamOrigins,
    messages: Rc<RefCell<Vec<PeerMessage>>>,
    cancel: CancellationToken,
) {
    let serve = deck_net::serve(listener, ServerOptions::default(), cancel, move |request| {
        let (origins, messages) = (origins.clone(), messages.clone());
        async move {
            let is_lookup = request.uri().path() == STREAM_ORIGIN_LOOKUP_PATH;
            let message = read_body(request.into_body(), MAX_ORIGINS_BYTES).await.expect("body");
            let bytes = message.len();
            let records: Vec<OriginRecord> =
                if is_lookup { Vec::new() } else { cbor::decode(&message).expect("records") };
            let ids = records.into_iter().map(|record| record.request_id).collect();
            messages.borrow_mut().push(PeerMessage { receiver: index, is_lookup, bytes, ids });
            if is_lookup {
                let answer = origins.serve_lookup(&message).expect("lookup");
                return Response::new(Body::full(answer));
            }
            origins.receive(&message).expect("records");
            empty_response(StatusCode::OK)
        }
    });
    monoio::spawn(serve);
}

/// Starts nodes, each of which knows one target of `s` for each of the software versions.
fn start(node_count: usize, versions: &[&'static str]) -> TestFleet {
    let (received, statuses) = (Received::default(), Statuses::default());
    let cancel = CancellationToken::new();
    let messages: Rc<RefCell<Vec<PeerMessage>>> = Rc::default();
    let targets: Vec<Target> = versions
        .iter()
        .enumerate()
        .map(|(index, version)| {
            let software_version = Some((*version).to_owned());
            let address = start_target(index, &received, &statuses, &cancel);
            Target { software_version, ..common::target(index, address) }
        })
        .collect();
    let listeners: Vec<_> = (0..node_count)
        .map(|_| bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind"))
        .collect();
    let addresses: Vec<SocketAddr> =
        listeners.iter().map(|listener| listener.local_addr().expect("address")).collect();
    let nodes = listeners.into_iter().enumerate().map(|(index, listener)| {
        let address = addresses[index];
        let other_nodes: Vec<SocketAddr> =
            addresses.iter().copied().filter(|other| *other != address).collect();
        let list: PeerList = Rc::new(move || other_nodes.clone());
        let node_cancel = cancel.child_token();
        let origins = StreamOrigins::new(list, Client::default(), node_cancel.clone());
        start_peer_server(index, listener, origins.clone(), messages.clone(), node_cancel.clone());
        let (view, outcomes) = (common::fleet_view(targets.clone()), Rc::<Outcomes>::default());
        let forwarder =
            common::forwarder_with_observer(&view, CrashGuard::default(), outcomes.clone());
        let forwarder = forwarder.with_stream_origins(origins);
        TestNode { forwarder, view, address, cancel: node_cancel, outcomes }
    });
    let nodes = nodes.collect();
    TestFleet { nodes, versions: versions.to_vec(), received, statuses, messages, cancel }
}

fn route() -> Route {
    Route {
        resumable: true,
        timeout: Duration::from_secs(5),
        ..common::route(RouteKind::Streaming)
    }
}

/// Returns a request that begins a stream.
fn first_attempt(id: &str) -> ForwardRequest {
    let call = common::call(route(), "body", Duration::from_secs(3));
    ForwardRequest { request_id: id.to_owned(), ..call }
}

/// Returns a request that resumes the stream of `first` after event 3.
fn later_attempt(first: &str) -> ForwardRequest {
    let mut call = first_attempt(&format!("{first}-again"));
    call.headers.insert("resumes", first.parse().expect("id"));
    ForwardRequest { resumes: Some(first.to_owned()), last_event: Some(3), ..call }
}

impl TestFleet {
    /// Forwards a request at a node; returns the software version of the target that replies.
    async fn forward(&self, node: usize, call: ForwardRequest) -> Result<&str, ErrorKind> {
        let reply = self.nodes[node].forwarder.forward(call).await.map_err(|error| {
            assert_eq!(error.retry_after, None, "{error}");
            error.kind
        })?;
        let index: usize = reply.target[1..].parse().expect("index");
        Ok(self.versions[index])
    }

    /// Stops the servers of nodes for other nodes, and waits until they refuse connections.
    async fn stop_nodes(&self, nodes: std::ops::Range<usize>) {
        let client = Client::default();
        for node in &self.nodes[nodes] {
            node.cancel.cancel();
            while client.accepts_connections(node.address).await {
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    fn record_messages(&self) -> Vec<PeerMessage> {
        let messages = self.messages.borrow();
        messages.iter().filter(|message| !message.is_lookup).cloned().collect()
    }

    /// Waits until `count` copies of the record of each of the streams have been received.
    async fn wait_until_recorded(&self, ids: &[String], count: usize) {
        let started = Instant::now();
        let copies = |id: &String| {
            let messages = self.messages.borrow();
            messages.iter().filter(|message| message.ids.contains(id)).count()
        };
        while ids.iter().any(|id| copies(id) < count) {
            assert!(started.elapsed() < Duration::from_secs(10), "records are missing");
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn last_outcome(&self, node: usize) -> Option<ResumptionOutcome> {
        self.nodes[node].outcomes.0.borrow().last().copied()
    }
}

/// Guards against a stream that another software version continues, at any node and also after the
/// first node is gone, and against a request to the target that lacks the caller's headers.
#[test_case(false; "first node runs")]
#[test_case(true; "first node is gone")]
fn caller_resumes_at_any_node(is_first_node_gone: bool) {
    run(async {
        let fleet = start(6, &["v1", "v1", "v2", "v2"]);
        let ids: Vec<String> = (0..10).map(|index| format!("id-{index}")).collect();
        let mut versions = Vec::new();
        for id in &ids {
            versions.push(fleet.forward(0, first_attempt(id)).await.expect("a stream"));
        }
        fleet.wait_until_recorded(&ids, 2).await;
        if is_first_node_gone {
            fleet.stop_nodes(0..1).await;
        }
        for (id, version) in ids.iter().zip(versions) {
            for node in 1..6 {
                assert_eq!(fleet.forward(node, later_attempt(id)).await, Ok(version));
                assert_eq!(fleet.last_outcome(node), Some(ResumptionOutcome::Resumed));
                let (_, last_event, resumes) =
                    fleet.received.borrow().last().cloned().expect("one");
                assert_eq!((last_event.as_deref(), resumes.as_ref()), (Some("3"), Some(id)));
            }
        }
    });
}

/// Guards against a caller that resumes faster than the record is sent and is refused.
#[test]
fn caller_resumes_before_the_record_is_sent() {
    run(async {
        // With so many nodes the first one is seldom among those that are asked first.
        let fleet = start(12, &["v1", "v1", "v2", "v2"]);
        for index in 0..20 {
            let id = format!("id-{index}");
            let version = fleet.forward(0, first_attempt(&id)).await.expect("a stream");
            assert_eq!(fleet.forward(1, later_attempt(&id)).await, Ok(version));
        }
    });
}

/// Guards against records that are lost because the nodes that should keep them are gone but still
/// listed.
#[test]
fn records_reach_other_nodes_if_some_are_gone() {
    run(async {
        let fleet = start(6, &["v1", "v1", "v2", "v2"]);
        fleet.stop_nodes(3..6).await;
        let ids: Vec<String> = (0..20).map(|index| format!("id-{index}")).collect();
        let mut versions = Vec::new();
        for id in &ids {
            versions.push(fleet.forward(0, first_attempt(id)).await.expect("a stream"));
        }
        fleet.wait_until_recorded(&ids, 1).await;
        fleet.stop_nodes(0..1).await;
        for (id, version) in ids.iter().zip(versions) {
            assert_eq!(fleet.forward(1, later_attempt(id)).await, Ok(version), "{id}");
        }
    });
}

/// Guards against a guess of the version, and against a refusal that invites the caller to retry or
/// that comes after the request was run.
#[test]
fn stream_of_an_unknown_version_is_refused() {
    run(async {
        let fleet = start(3, &["v1", "v2"]);
        let without_resumes = ForwardRequest { resumes: None, ..later_attempt("lost") };
        for call in [later_attempt("lost"), without_resumes] {
            let started = Instant::now();
            let result = fleet.forward(1, call).await;
            assert_eq!(result, Err(ErrorKind::SoftwareVersionUnknown));
            assert_eq!(fleet.last_outcome(1), Some(ResumptionOutcome::VersionUnknown));
            assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
        }
        assert!(fleet.received.borrow().is_empty());
    });
}

/// Guards against refusing to resume in a service that has had one version only, and against a node
/// that has just started and takes the version that it sees for the only one.
#[test_case(60, Ok("v1"); "followed for longer than a stream lasts")]
#[test_case(5, Err(ErrorKind::SoftwareVersionUnknown); "just started")]
fn stream_without_a_record_goes_on_if_there_was_one_version(
    followed_s: u64,
    expected: Result<&str, ErrorKind>,
) {
    run(async {
        let fleet = start(1, &["v1", "v1"]);
        for seconds in (0..=followed_s).rev() {
            let at = Instant::now().checked_sub(Duration::from_secs(seconds)).expect("a time");
            fleet.nodes[0].view.set_up_to_date_at(at);
        }
        let call = ForwardRequest { resumes: None, ..later_attempt("id") };
        assert_eq!(fleet.forward(0, call).await, expected);
    });
}

/// Guards against a stream that goes on at another version because its own has no target left, and
/// against a caller that waits for one.
#[test_case(false; "removed")]
#[test_case(true; "draining")]
fn stream_of_a_version_without_targets_is_refused(is_draining: bool) {
    run(async {
        let fleet = start(3, &["v1", "v1"]);
        assert_eq!(fleet.forward(0, first_attempt("id")).await, Ok("v1"));
        fleet.wait_until_recorded(&["id".to_owned()], 2).await;
        let view = &fleet.nodes[1].view;
        for index in 0..2 {
            let entry = view.target(&format!("t{index}")).expect("entry");
            let software_version = Some("v2".to_owned());
            let id = format!("new-{index}");
            view.set_target(Target { id, software_version, ..(*entry).clone() });
            if is_draining {
                view.set_target(Target { state: TargetState::Draining, ..(*entry).clone() });
            } else {
                view.remove_target(&entry.id, Instant::now());
            }
        }
        let result = fleet.forward(1, later_attempt("id")).await;
        assert_eq!(result, Err(ErrorKind::SoftwareVersionGone));
        assert_eq!(fleet.last_outcome(1), Some(ResumptionOutcome::VersionGone));
        assert_eq!(fleet.received.borrow().len(), 1);
    });
}

/// Guards against another version that takes over when the targets of the stream's version are full
/// or fail, and against a refusal of full targets that looks final.
#[test]
fn full_and_failing_targets_do_not_pass_a_stream_to_another_version() {
    run(async {
        let fleet = start(3, &["v1", "v1", "v2", "v2"]);
        for target in [2, 3] {
            fleet.statuses.borrow_mut().insert(target, StatusCode::SERVICE_UNAVAILABLE);
        }
        assert_eq!(fleet.forward(0, first_attempt("id")).await, Ok("v1"));
        fleet.wait_until_recorded(&["id".to_owned()], 2).await;
        let node = &fleet.nodes[1];
        *fleet.statuses.borrow_mut() =
            HashMap::from([0, 1].map(|target| (target, StatusCode::SERVICE_UNAVAILABLE)));
        fleet.received.borrow_mut().clear();
        let refusal = node.forwarder.forward(later_attempt("id")).await.err().expect("refusal");
        assert_eq!(refusal.kind, ErrorKind::TargetRefused);
        assert!(refusal.retry_after.is_some());
        assert_eq!(fleet.last_outcome(1), Some(ResumptionOutcome::Refused));
        *fleet.statuses.borrow_mut() = HashMap::from([(0, StatusCode::INTERNAL_SERVER_ERROR)]);
        for _ in 0..10 {
            assert_eq!(fleet.forward(1, later_attempt("id")).await, Ok("v1"));
        }
        *fleet.statuses.borrow_mut() =
            HashMap::from([0, 1].map(|target| (target, StatusCode::INTERNAL_SERVER_ERROR)));
        let reply = node.forwarder.forward(later_attempt("id")).await.expect("the last reply");
        assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(fleet.last_outcome(1), Some(ResumptionOutcome::Failed));
        assert!(fleet.received.borrow().iter().all(|(target, ..)| *target < 2));
    });
}

/// Guards against a resumption at a service that did not begin the stream, and at one that the route
/// has left.
#[test]
fn stream_goes_on_at_its_service_while_the_route_leads_there() {
    run(async {
        let fleet = start(3, &["v1", "v1"]);
        assert_eq!(fleet.forward(0, first_attempt("id")).await, Ok("v1"));
        fleet.wait_until_recorded(&["id".to_owned()], 2).await;
        let with_services = |weights: &[(&str, u32)]| {
            let weights = weights.iter().map(|(name, weight)| ((*name).to_owned(), *weight));
            let route = Route { service_weights: weights.collect(), ..route() };
            ForwardRequest { route: Rc::new(route), ..later_attempt("id") }
        };
        for _ in 0..10 {
            let call = with_services(&[("other", 9), ("s", 1)]);
            assert_eq!(fleet.forward(1, call).await, Ok("v1"));
        }
        let call = with_services(&[("other", 9), ("s", 0)]);
        assert_eq!(fleet.forward(1, call).await, Err(ErrorKind::SoftwareVersionGone));
    });
}

/// Guards against records that cost more messages or bytes than designed: two messages for a single
/// stream, and a few for many streams that begin at once.
#[test]
fn records_cost_two_messages_or_fewer_per_stream() {
    run(async {
        let fleet = start(6, &["v1"]);
        let first_id = "9c41d07be2a35f68".to_owned();
        fleet.forward(0, first_attempt(&first_id)).await.expect("a stream");
        fleet.wait_until_recorded(&[first_id], 2).await;
        let messages = fleet.record_messages();
        assert_eq!(messages.len(), 2, "{messages:?}");
        assert_ne!(messages[0].receiver, messages[1].receiver);
        assert!(messages.iter().all(|message| message.bytes <= 40), "{messages:?}");
        let ids: Vec<String> = (0..100).map(|index| format!("9c41d07be2a35f{index:02}")).collect();
        let streams = ids.iter().map(|id| fleet.forward(0, first_attempt(id)));
        for result in futures_util::future::join_all(streams).await {
            result.expect("a stream");
        }
        fleet.wait_until_recorded(&ids, 2).await;
        let burst = &fleet.record_messages()[2..];
        let bytes: usize = burst.iter().map(|message| message.bytes).sum();
        println!("100 streams at once: {} messages, {bytes} bytes", burst.len());
        assert!(
            burst.len() <= 50 && bytes <= 100 * 2 * 40,
            "{} messages, {bytes} bytes",
            burst.len()
        );
    });
}

/// Pattern: nodes that keep records are frozen, cut off or without power, so that calls to them time
/// out instead of failing. Guards against a lookup that waits for each of them in each of its rounds:
/// the same bound holds as for a refusal while all nodes answer.
#[test]
fn stream_of_an_unknown_version_is_refused_in_time_while_nodes_are_silent() {
    run(async {
        // The connections are accepted by the operating system and never served.
        let listeners = [(); 3].map(|()| std::net::TcpListener::bind("127.0.0.1:0").expect("bind"));
        let silent_nodes = listeners.each_ref().map(|l| l.local_addr().expect("address"));
        let list: PeerList = Rc::new(move || silent_nodes.to_vec());
        let fleet = start(1, &["v1", "v2"]);
        let origins = StreamOrigins::new(list, Client::default(), fleet.cancel.child_token());
        let forwarder = fleet.nodes[0].forwarder.clone().with_stream_origins(origins);
        let started = Instant::now();
        let error = forwarder.forward(later_attempt("lost")).await.err().expect("refusal");
        assert_eq!(error.kind, ErrorKind::SoftwareVersionUnknown);
        assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
    });
}
