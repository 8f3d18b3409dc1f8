//! Callers that resume streams at other nodes while targets of two software versions serve.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_net::{
    Body,
    http::{Method, Request, StatusCode, header},
    sse::EventSplitter,
};
use deck_testkit::eventually;
use futures_util::future::join_all;

mod common;

use common::{Fleet, HOST, run};

/// Number of events in a stream of the stand-in.
const EVENT_COUNT: u64 = 30;
/// Two targets of each version. Without the check of the version, half of the resumptions would go
/// to the other one.
const TWO_VERSIONS: [&str; 4] = ["--stream-versions", "v1,v1,v2,v2", "--event-ms", "30"];
/// Time after which nodes know that a service has had a single version: the timeout of the route, the
/// margin of ten seconds that is added to it, and the start of the nodes.
const SINGLE_VERSION_TIME: Duration = Duration::from_secs(20);
/// Time within which a request that cannot be served is refused; lookups of unknown streams take
/// about 50 ms.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Stream of a caller over all its attempts.
#[derive(Debug)]
struct CallerStream {
    /// Id of the first attempt.
    id: String,
    /// Software version of each received event.
    versions: Vec<String>,
    is_complete: bool,
}

/// Answer to one attempt that did not start a stream.
#[derive(Debug)]
struct Refusal {
    status: StatusCode,
    has_retry_after: bool,
    time: Duration,
}

impl CallerStream {
    fn new(id: String) -> Self {
        Self { id, versions: Vec::new(), is_complete: false }
    }

    /// Sends an attempt and receives events until there are `max_events` or the stream ends. The
    /// connection is then closed.
    async fn attempt(
        &mut self,
        fleet: &Fleet,
        node: SocketAddr,
        max_events: u64,
    ) -> Result<(), Refusal> {
        let started = Instant::now();
        let mut request = Request::builder().method(Method::POST).uri("/stream/x");
        request = request.header("Host", HOST).header("Deadline-Ms", "4000");
        let received = self.versions.len();
        request = if received == 0 {
            request.header("Request-Id", &self.id)
        } else {
            let attempt_id = format!("{}-{received}", self.id);
            request
                .header("Request-Id", attempt_id)
                .header("Resumes", &self.id)
                .header("Last-Event-Id", received)
        };
        let request = request.body(Body::empty()).expect("request");
        let response = fleet.client.send_on_new_connection(node, request).await;
        let mut response = response.expect("a response");
        if response.status != StatusCode::OK {
            let has_retry_after = response.headers.contains_key(header::RETRY_AFTER);
            let (status, time) = (response.status, started.elapsed());
            return Err(Refusal { status, has_retry_after, time });
        }
        let mut splitter = EventSplitter::default();
        while (self.versions.len() as u64) < max_events {
            match response.chunk().await {
                Ok(Some(chunk)) => {
                    for block in splitter.push(&chunk) {
                        let expected_number = self.versions.len() as u64 + 1;
                        assert_eq!(EventSplitter::numeric_id(&block), Some(expected_number));
                        let text = String::from_utf8(block).expect("text");
                        let version = text.lines().find_map(|line| line.strip_prefix("data: "));
                        self.versions.push(version.expect("data").to_owned());
                    }
                }
                Ok(None) => {
                    self.is_complete = true;
                    break;
                }
                Err(_) => break,
            }
        }
        Ok(())
    }

    fn assert_whole_and_of_one_version(&self) {
        assert!(self.is_complete && self.versions.len() as u64 == EVENT_COUNT, "{self:?}");
        assert!(self.versions.iter().all(|version| *version == self.versions[0]), "{self:?}");
    }
}

/// Starts a fleet with targets of two versions, and waits until the nodes know each other.
async fn start_fleet(entry_nodes: usize) -> Fleet {
    let fleet = Fleet::start_with_options(entry_nodes, &TWO_VERSIONS);
    fleet.wait_until_ready().await;
    monoio::time::sleep(Duration::from_secs(3)).await;
    fleet
}

/// Starts `count` streams at a node and receives a few events of each.
async fn begin_streams(
    fleet: &Fleet,
    prefix: &str,
    node: SocketAddr,
    count: usize,
) -> Vec<CallerStream> {
    let begin = |index: usize| async move {
        let mut stream = CallerStream::new(format!("{prefix}-{index}"));
        stream.attempt(fleet, node, 3).await.expect("a stream");
        stream
    };
    join_all((0..count).map(begin)).await
}

/// Returns how often targets began to run an attempt that resumes the stream.
async fn resumed_run_count(fleet: &Fleet, stream: &CallerStream) -> usize {
    let records = fleet.stand_in_records().await;
    records.iter().filter(|record| record["resumes"] == *stream.id).count()
}

/// Removes the entry of a target, and waits until all nodes know of it.
async fn remove_target(fleet: &Fleet, id: &str) {
    let body = serde_json::to_vec(&[id]).expect("json");
    let removed = fleet.call(fleet.object_api, Method::POST, "/admin/remove", &[], body).await;
    assert_eq!(removed.expect("stand-in").0, StatusCode::OK);
    for node in fleet.entry_nodes() {
        let line = format!("target gone target={id}");
        eventually("the node knows of the removal", async || node.has_logged(&line)).await;
    }
}

/// Guards against streams that two software versions write when the caller resumes them at another
/// node, and against refusing to resume while targets of the version serve. Each stream breaks off
/// twice; its later attempts name the first one.
#[test]
fn caller_resumes_at_another_node_only_at_the_version_that_began_the_stream() {
    run(async {
        let fleet = start_fleet(4).await;
        let nodes: Vec<SocketAddr> = fleet.entry_nodes().map(|node| node.caller_address).collect();
        let mut seen_versions = Vec::new();
        for index in 0..16 {
            let mut stream = CallerStream::new(format!("s-{index}"));
            for attempt in 0..3 {
                let node = nodes[(index + attempt * (1 + index / 4 % 3)) % nodes.len()];
                if attempt < 2 {
                    fleet.set_faults(serde_json::json!({"cut_streams": 1})).await;
                }
                stream.attempt(&fleet, node, EVENT_COUNT + 1).await.expect("a stream");
                assert_eq!(stream.is_complete, attempt == 2);
            }
            stream.assert_whole_and_of_one_version();
            seen_versions.push(stream.versions[0].clone());
        }
        seen_versions.sort();
        seen_versions.dedup();
        assert_eq!(seen_versions, ["v1", "v2"], "streams of both versions");
    });
}

/// Guards against records of streams that are lost with the node that began them.
#[test]
fn stream_goes_on_after_the_node_that_began_it_was_killed() {
    run(async {
        let mut fleet = start_fleet(5).await;
        for round in 0..2 {
            let node = fleet.nodes[round].caller_address;
            let streams = begin_streams(&fleet, &format!("k-{round}"), node, 8).await;
            fleet.nodes[round].process.take().expect("process").kill();
            for (index, mut stream) in streams.into_iter().enumerate() {
                let node = fleet.nodes[2 + index % 3].caller_address;
                stream.attempt(&fleet, node, EVENT_COUNT + 1).await.expect("a stream");
                stream.assert_whole_and_of_one_version();
            }
        }
    });
}

/// Guards against a small fleet that takes itself for a large one because nodes that are gone stay
/// registered: the record of a stream would be kept by nodes that are gone.
#[test]
fn stream_goes_on_beside_registrations_of_nodes_that_are_gone() {
    run(async {
        let mut fleet = Fleet::configured_with_options(3, &TWO_VERSIONS);
        for index in 1..=90 {
            let value = serde_json::json!({"address": format!("127.0.0.2:{index}"), "cpu_share": 64.0, "has_disk": false});
            let name = format!("gone-{index}");
            let body = serde_json::json!({"Metadata": {"Name": name}, "Spec": value}).to_string();
            let created = fleet
                .call(fleet.object_api, Method::POST, "/v1/objects/nodes", &[], body.into_bytes())
                .await;
            assert!(created.expect("stand-in").0.is_success());
        }
        fleet.start_nodes();
        fleet.wait_until_ready().await;
        // Longer than a node needs to see that nodes which never answered are gone.
        monoio::time::sleep(Duration::from_secs(8)).await;
        let nodes: Vec<SocketAddr> = fleet.entry_nodes().map(|node| node.caller_address).collect();
        let streams = begin_streams(&fleet, "g", nodes[0], 12).await;
        for (index, mut stream) in streams.into_iter().enumerate() {
            let node = nodes[1 + index % 2];
            stream.attempt(&fleet, node, EVENT_COUNT + 1).await.expect("a stream");
            stream.assert_whole_and_of_one_version();
        }
    });
}

/// Guards against streams that go on at another software version once their own shrinks and
/// vanishes, and against a refusal while one of its targets is left. The final refusal comes at
/// once, promises that nothing was run and gives no time for a retry.
#[test]
fn streams_of_a_version_that_vanishes_go_on_until_its_last_target_is_removed() {
    run(async {
        let fleet = start_fleet(3).await;
        let nodes: Vec<SocketAddr> = fleet.entry_nodes().map(|node| node.caller_address).collect();
        let mut streams = begin_streams(&fleet, "r", nodes[0], 20).await;
        let (mut old_streams, mut new_streams) = (Vec::new(), Vec::new());
        for stream in streams.drain(..) {
            let is_old = stream.versions[0] == "v1";
            if is_old { &mut old_streams } else { &mut new_streams }.push(stream);
        }
        assert!(old_streams.len() >= 2 && new_streams.len() >= 2, "streams of both versions");
        remove_target(&fleet, "stream-0").await;
        for stream in &mut old_streams {
            let received = stream.versions.len() as u64;
            stream.attempt(&fleet, nodes[1], received + 3).await.expect("a stream");
        }
        remove_target(&fleet, "stream-1").await;
        for stream in &mut old_streams {
            let run_count = resumed_run_count(&fleet, stream).await;
            let refusal = stream.attempt(&fleet, nodes[2], EVENT_COUNT).await.expect_err("refusal");
            assert_eq!(refusal.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(!refusal.has_retry_after && refusal.time < REFUSAL_TIME, "{refusal:?}");
            assert_eq!(resumed_run_count(&fleet, stream).await, run_count, "{stream:?}");
            assert!(stream.versions.iter().all(|version| version == "v1"), "{stream:?}");
        }
        for stream in &mut new_streams {
            stream.attempt(&fleet, nodes[2], EVENT_COUNT + 1).await.expect("a stream");
            stream.assert_whole_and_of_one_version();
        }
    });
}

/// Guards against a guess: a stream whose software version no node knows is not resumed while
/// targets of two versions serve.
#[test]
fn stream_of_an_unknown_version_is_refused_at_once() {
    run(async {
        let fleet = start_fleet(3).await;
        let node = fleet.nodes[0].caller_address;
        for (index, resumes) in [Some("never-seen"), None].into_iter().enumerate() {
            let id = format!("u-{index}");
            let mut headers = vec![("Request-Id", id.as_str()), ("Last-Event-Id", "3")];
            headers.extend(resumes.map(|first_attempt| ("Resumes", first_attempt)));
            let started = Instant::now();
            let answer = fleet.call(node, Method::POST, "/stream/x", &headers, vec![]).await;
            assert_eq!(answer.expect("answer").0, StatusCode::SERVICE_UNAVAILABLE);
            assert!(started.elapsed() < REFUSAL_TIME, "{:?}", started.elapsed());
        }
        let records = fleet.stand_in_records().await;
        assert!(records.iter().all(|record| record.get("stream").is_none()), "{records:?}");
    });
}

/// Guards against refusing streams without a record, of callers that do not name their first attempt or
/// after a restart of the nodes, in a small fleet whose service has always had one version. Some of
/// the attempts come between two watches of the configuration, which does not change.
#[test]
fn stream_without_a_record_goes_on_in_a_service_of_one_version() {
    run(async {
        let fleet = Fleet::start_with_options(3, &["--stream-versions", "v1,v1"]);
        fleet.wait_until_ready().await;
        monoio::time::sleep(SINGLE_VERSION_TIME).await;
        let node = fleet.nodes[0].caller_address;
        let mut statuses = Vec::new();
        for index in 0..12 {
            let id = format!("o-{index}");
            let headers = [("Request-Id", id.as_str()), ("Last-Event-Id", "28")];
            let answer = fleet.call(node, Method::POST, "/stream/x", &headers, vec![]).await;
            statuses.push(answer.expect("answer").0.as_u16());
            monoio::time::sleep(Duration::from_secs(1)).await;
        }
        assert_eq!(statuses, [200; 12]);
    });
}
