//! Items on engines that stall, break off a response or send endless data.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_batch::{JobStore, Runner, RunnerOptions, StoreJobOutcome};
use deck_core::CancellationToken;
use deck_core::boot_clock::BootInstant;
use deck_testkit::{
    eventually,
    memory::MemoryObjects,
    raw::{RawExchange, RawServer},
};
use test_case::test_case;

mod common;

/// Number of events in a complete text.
const EVENT_COUNT: u64 = 4;
/// Timeout between two events in these tests.
const EVENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of bytes that a node may read of an endless response: its own buffers and those
/// of the connection.
const MAX_ENDLESS_BYTES: u64 = 24 * 1024 * 1024;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: text {number}\n\n")
}

fn head(call: &RawExchange, status: &str, extra_headers: &str) -> String {
    let id = call.header("request-id").unwrap_or_default();
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nWeight-Versions: 1\r\n{extra_headers}"
    )
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

/// Streams the events after the request's last event id, with a pause before each.
fn stream_events(call: &mut RawExchange, pause: Duration) {
    let last_event =
        call.header("last-event-id").and_then(|last_event| last_event.parse().ok()).unwrap_or(0);
    let head = head(call, "200 OK", CHUNKED);
    call.write(&head);
    for number in last_event + 1..=EVENT_COUNT {
        std::thread::sleep(pause);
        call.write_chunk(&event(number));
    }
    call.write("0\r\n\r\n");
}

/// Runs one item on an engine with the given script, and returns the engine's server once the item
/// is complete.
async fn run_item_to_completion(script: fn(&mut RawExchange)) -> RawServer {
    let server = RawServer::start(script);
    let cancel = CancellationToken::new();
    let job_store = JobStore::new(MemoryObjects::default().store(), 1 << 20);
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    let deps = common::runner_deps("vm-1", own, &job_store);
    deps.view.set_configuration(common::rollout_configuration(false));
    deps.view.set_targets(vec![common::engine("e", server.address)], Instant::now());
    let options = RunnerOptions {
        first_event_timeout: EVENT_TIMEOUT * 2,
        event_gap_timeout: EVENT_TIMEOUT,
        ..RunnerOptions::default()
    };
    let runner = Runner::start(deps, options, cancel.clone());
    let job = common::job("job", vec![common::item("i")]);
    let accepted = job_store.store_job(&job, "vm-1", own).await;
    let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
    let job = runner.start_job("job", record, revision, BootInstant::now(), job.items);
    eventually("the item is complete", async || job.is_complete()).await;
    let results: Vec<Rc<_>> = job.published_results.borrow().clone();
    let texts: Vec<String> = (1..=EVENT_COUNT).map(|number| format!("text {number}")).collect();
    assert_eq!(results[0].text, texts.join("\n"));
    cancel.cancel();
    server
}

fn run_async<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Answers the first request with `invalid_answer` and later ones with a valid stream.
fn answer_first(call: &mut RawExchange, invalid_answer: fn(&mut RawExchange)) {
    if call.request_index == 0 { invalid_answer(call) } else { stream_events(call, Duration::ZERO) }
}

fn partial_event_then_slow_bytes(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "200 OK", CHUNKED);
        call.write(&head);
        call.write_chunk(&event(1));
        call.write_chunk("data: ");
        call.write_endless_response("1\r\nx\r\n", EVENT_TIMEOUT / 4);
    });
}

fn endless_comments(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "200 OK", CHUNKED);
        call.write(&head);
        call.write_endless_response("3\r\n:\n\n\r\n", EVENT_TIMEOUT / 4);
    });
}

fn ends_within_an_event(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "200 OK", CHUNKED);
        call.write(&head);
        call.write_chunk(&event(1));
        call.write_chunk("id: 2\ndata: te");
        call.write("0\r\n\r\n");
    });
}

fn endless_event(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "200 OK", "\r\n");
        call.write(&head);
        call.write_endless_response(&"data: more ".repeat(1000), Duration::ZERO);
    });
}

fn endless_head(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "200 OK", "");
        call.write(&head);
        call.write_endless_response("X-More: and more of it\r\n", Duration::ZERO);
    });
}

fn endless_head_line(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "200 OK", "X-More: ");
        call.write(&head);
        call.write_endless_response(&"x".repeat(10_000), Duration::ZERO);
    });
}

fn endless_informational_responses(call: &mut RawExchange) {
    answer_first(call, |call| {
        call.write_endless_response("HTTP/1.1 100 Continue\r\n\r\n", Duration::ZERO)
    });
}

fn endless_refusal(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "503 Service Unavailable", "Not-Executed: 1\r\n\r\n");
        call.write(&head);
        call.write_endless_response(&"full ".repeat(1000), Duration::ZERO);
    });
}

fn slow_refusal(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "503 Service Unavailable", "Not-Executed: 1\r\n\r\n");
        call.write(&head);
        call.write_endless_response("x", EVENT_TIMEOUT / 4);
    });
}

fn endless_chunk_extension(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "200 OK", CHUNKED);
        call.write(&head);
        call.write("5;");
        call.write_endless_response(&"x".repeat(10_000), Duration::ZERO);
    });
}

fn ends_in_the_head(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "200 OK", "Content-Le");
        call.write(&head);
    });
}

fn ends_after_the_head(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "200 OK", CHUNKED);
        call.write(&head);
    });
}

fn ends_in_a_chunk_size(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "200 OK", CHUNKED);
        call.write(&head);
        call.write_chunk(&event(1));
        call.write("1");
    });
}

fn is_reset_between_events_without_a_length(call: &mut RawExchange) {
    answer_first(call, |call| {
        let head = head(call, "200 OK", "\r\n");
        call.write(&head);
        call.write(&event(1));
        call.write(&event(2));
        // Leaves time to read the events before the reset discards them.
        std::thread::sleep(Duration::from_millis(20));
        call.reset();
    });
}

/// Text of an error response that looks like an event.
const ERROR_EVENT: &str = "data: the engine failed\n\n";

/// Answers the second request with the given status, headers and body, and the first one with half
/// a stream.
fn answer_resumption_with(call: &mut RawExchange, head_lines: &str, body: &str) {
    match call.request_index {
        0 => {
            let head = head(call, "200 OK", CHUNKED);
            call.write(&head);
            call.write_chunk(&event(1));
            call.write("40\r\nid: 2\ndata: te");
        }
        1 => {
            let id = call.header("request-id").unwrap_or_default().to_owned();
            let length = body.len();
            call.write(&format!(
                "HTTP/1.1 {}\r\nContent-Length: {length}\r\n\r\n{body}",
                head_lines.replace("ID", &id)
            ));
        }
        _ => stream_events(call, Duration::ZERO),
    }
}

fn resumption_gets_500(call: &mut RawExchange) {
    answer_resumption_with(
        call,
        "500 Internal Server Error\r\nRequest-Id: ID\r\nResponse-Stamp: s",
        ERROR_EVENT,
    );
}

fn resumption_gets_404(call: &mut RawExchange) {
    answer_resumption_with(
        call,
        "404 Not Found\r\nRequest-Id: ID\r\nResponse-Stamp: s",
        ERROR_EVENT,
    );
}

fn resumption_gets_503(call: &mut RawExchange) {
    answer_resumption_with(call, "503 Service Unavailable\r\nRequest-Id: ID", ERROR_EVENT);
}

fn resumption_gets_an_unsigned_success(call: &mut RawExchange) {
    answer_resumption_with(call, "200 OK\r\nRequest-Id: ID\r\nWeight-Versions: 1", ERROR_EVENT);
}

fn resumption_gets_a_success_of_another_request(call: &mut RawExchange) {
    answer_resumption_with(
        call,
        "200 OK\r\nRequest-Id: other\r\nResponse-Stamp: s\r\nWeight-Versions: 1",
        ERROR_EVENT,
    );
}

fn resumption_gets_no_event_stream(call: &mut RawExchange) {
    answer_resumption_with(
        call,
        "200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nWeight-Versions: 1\r\n\
         Content-Type: application/json",
        "{}\n\n",
    );
}

/// Guards against an item whose text contains the text of an error, or counts as complete, because
/// the engine that resumes it answers with an error.
#[test_case(resumption_gets_500)]
#[test_case(resumption_gets_404)]
#[test_case(resumption_gets_503)]
#[test_case(resumption_gets_an_unsigned_success)]
#[test_case(resumption_gets_a_success_of_another_request)]
#[test_case(resumption_gets_no_event_stream)]
fn item_text_contains_no_error(script: fn(&mut RawExchange)) {
    run_async(async {
        let server = run_item_to_completion(script).await;
        assert_eq!(server.request_count(), 3);
    });
}

/// Guards against an engine that blocks an item by sending data without events, against memory that
/// grows with such data, and against a truncated text that counts as complete.
#[test_case(partial_event_then_slow_bytes)]
#[test_case(endless_comments)]
#[test_case(ends_within_an_event)]
#[test_case(endless_event)]
#[test_case(endless_head)]
#[test_case(endless_head_line)]
#[test_case(endless_informational_responses)]
#[test_case(endless_refusal)]
#[test_case(slow_refusal)]
#[test_case(endless_chunk_extension)]
#[test_case(ends_in_the_head)]
#[test_case(ends_after_the_head)]
#[test_case(ends_in_a_chunk_size)]
#[test_case(is_reset_between_events_without_a_length)]
fn item_resumes_after_an_invalid_response(script: fn(&mut RawExchange)) {
    run_async(async {
        let started = Instant::now();
        let server = run_item_to_completion(script).await;
        // Covers the timeout of the first event, the engine's cool-down after a failure, and a
        // second run.
        assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
        eventually("the connection is closed", async || server.open_endless_responses() == 0).await;
        assert!(
            server.endless_response_bytes() < MAX_ENDLESS_BYTES,
            "{}",
            server.endless_response_bytes()
        );
        assert_eq!(server.request_count(), 2);
    });
}

fn ends_with_its_connection(call: &mut RawExchange) {
    let head = head(call, "200 OK", "\r\n");
    call.write(&head);
    for number in 1..=EVENT_COUNT {
        call.write(&event(number));
    }
}

/// Guards against a complete text that is run again because its end is an orderly close of the
/// connection.
/// MIXED in RULES.md: "A server's answer may have no length and end with its connection".
#[test]
fn text_that_ends_with_its_connection_is_complete() {
    run_async(async {
        let server = run_item_to_completion(ends_with_its_connection).await;
        assert_eq!(server.request_count(), 1);
    });
}

/// Pattern: a slow engine uses most of the allowed time for each event. Guards against cancelling
/// and restarting valid runs.
#[test]
fn slow_valid_run_is_not_cancelled() {
    run_async(async {
        let server =
            run_item_to_completion(|call| stream_events(call, EVENT_TIMEOUT.mul_f64(0.8))).await;
        assert_eq!(server.request_count(), 1);
    });
}
