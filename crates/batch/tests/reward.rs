//! Reward calls while the targets of their service crash.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use deck_batch::{JobStore, Runner, RunnerOptions, StoreJobOutcome, job::ItemPhase};
use deck_core::CancellationToken;
use deck_core::boot_clock::BootInstant;
use deck_fleet::{
    BatchJob, CallerLimits, Configuration, Item, ItemOutcome, ItemResult, RewardCall, Route,
    RouteKind, ServiceConfig, Target, TargetState,
};
use deck_net::bind;
use deck_testkit::{
    eventually,
    memory::MemoryObjects,
    raw::{RawExchange, RawServer},
};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use test_case::test_case;

mod common;

const TARGET_COUNT: usize = 8;
/// Number of targets that crash. More than the three crashes after which a plain request is
/// refused, because the last one of a call may be detected only after its next attempt has started.
const CRASH_COUNT: usize = 4;

/// Returns targets of the service `s`. Each of the first [`CRASH_COUNT`] requests, whichever target
/// receives it, crashes that target; later ones are answered.
fn start_targets(received_count: &Rc<Cell<usize>>) -> Vec<Target> {
    let targets = (0..TARGET_COUNT).map(|index| {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        monoio::spawn(serve(listener, received_count.clone()));
        target(index, address)
    });
    targets.collect()
}

fn target(index: usize, address: SocketAddr) -> Target {
    Target {
        id: format!("t{index}"),
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

/// Serves connections until a request crashes the target, which closes its listener and all its
/// connections.
async fn serve(listener: TcpListener, received_count: Rc<Cell<usize>>) {
    let crashed = CancellationToken::new();
    while let Some(Ok((stream, _))) = crashed.run_until_cancelled(listener.accept()).await {
        let (received_count, crashed) = (received_count.clone(), crashed.clone());
        monoio::spawn(async move {
            crashed.clone().run_until_cancelled(respond(stream, received_count, crashed)).await
        });
    }
}

/// Responds to the requests of one connection.
async fn respond(
    mut stream: TcpStream,
    received_count: Rc<Cell<usize>>,
    crashed: CancellationToken,
) {
    let mut buffer = String::new();
    loop {
        let (count, chunk) = stream.read(vec![0; 4096]).await;
        let Ok(count @ 1..) = count else { return };
        buffer.push_str(&String::from_utf8_lossy(&chunk[..count]));
        let Some((head, body)) = buffer.split_once("\r\n\r\n") else { continue };
        if body.is_empty() {
            continue;
        }
        received_count.set(received_count.get() + 1);
        if received_count.get() <= CRASH_COUNT {
            return crashed.cancel();
        }
        let id = head.lines().find_map(|line| line.strip_prefix("request-id: ")).expect("id");
        let response = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: score\r\ncontent-length: 2\r\n\r\nok"
        );
        let (written, _) = stream.write_all(response.into_bytes()).await;
        if written.is_err() {
            return;
        }
        buffer.clear();
    }
}

/// Returns a configuration whose only route leads to the service `s`.
fn configuration() -> Configuration {
    let route = Route {
        name: "reward".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Idempotent,
        resumable: false,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_secs(1),
        priority: 1,
        service_weights: vec![("s".to_owned(), 1)],
        max_attempts: 2,
        result_deadline: Duration::ZERO,
        item_deadline: Duration::ZERO,
        single_version: false,
        is_public: false,
    };
    let service = ServiceConfig { name: "s".to_owned(), engine: None, scaling: None };
    Configuration::new(1, vec![route], vec![service], CallerLimits::default())
}

/// Scores one item on `targets` and returns its result.
async fn score_item(targets: Vec<Target>) -> Rc<ItemResult> {
    let cancel = CancellationToken::new();
    let job_store = JobStore::new(MemoryObjects::default().store(), 1 << 20);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let deps = common::runner_deps("vm-1", address, &job_store);
    deps.view.set_configuration(configuration());
    deps.view.set_targets(targets, Instant::now());
    let runner = Runner::start(deps, RunnerOptions::default(), cancel.clone());

    let reward = RewardCall {
        id: "call".to_owned(),
        host: "h".to_owned(),
        path: "/score".to_owned(),
        body: "Ym9keQ==".to_owned(),
    };
    let item = Item { reward: Some(reward), ..common::item("i") };
    let BatchJob { items, .. } = common::job("job", vec![item.clone()]);
    let accepted = job_store.store_job(&common::job("job", vec![item]), "vm-1", address).await;
    let StoreJobOutcome::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
    let job = runner.start_job("job", record, revision, BootInstant::now(), items);
    job.unpublished_item("i").expect("item").set_phase(ItemPhase::Generated);

    eventually("the item has a result", async || job.is_complete()).await;
    let result = job.published_results.borrow()[0].clone();
    cancel.cancel();
    result
}

/// Guards against an accepted item that is never scored, and thus given up, because targets crashed
/// while they ran its reward call.
#[test]
fn reward_call_is_repeated_after_its_targets_crashed() {
    let test = async {
        let received_count = Rc::new(Cell::new(0));
        let result = score_item(start_targets(&received_count)).await;
        assert_eq!(result.outcome, ItemOutcome::Completed);
        assert_eq!(result.score.as_deref(), Some("score"));
        assert_eq!(received_count.get(), CRASH_COUNT + 1);
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Size of a body that is too large to be buffered by the forwarder.
const LARGE_BODY_BYTES: usize = 5 << 20;

/// Writes the head of a response with the given signature, and further lines and a body.
fn write_signed(call: &mut RawExchange, signature: &str, rest: &str) {
    let id = call.header("request-id").unwrap_or_default().to_owned();
    call.write(&format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {signature}\r\n\
         Connection: close\r\n{rest}"
    ));
}

/// Scores one item on targets of which the first to receive the reward call answers with `first`, and
/// each later one with a complete response.
async fn score_item_after(first: impl Fn(&mut RawExchange) + Send + Sync + 'static) -> ItemResult {
    let (request_count, first) = (Arc::<AtomicUsize>::default(), Arc::new(first));
    let servers = [(); 4].map(|()| {
        let (request_count, first) = (request_count.clone(), first.clone());
        RawServer::start(move |call| match request_count.fetch_add(1, Ordering::SeqCst) {
            0 => first(call),
            _ => write_signed(call, "complete", "Content-Length: 2\r\n\r\nok"),
        })
    });
    let targets = servers.iter().enumerate();
    let targets = targets.map(|(index, server)| target(index, server.address)).collect();
    (*score_item(targets).await).clone()
}

/// Guards against a score from a response whose body is truncated, also where the body is too large
/// to be buffered.
#[test_case("Content-Le", false; "within the head")]
#[test_case("Content-Length: 5\r\n\r\nwho", false; "within the body")]
#[test_case("Content-Length: 8388608\r\n\r\nwho", false; "within a large body")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n1", false; "within a chunk size")]
#[test_case("\r\nwho", true; "reset within a body without a length")]
#[test_case(
    &format!("\r\n{}", "x".repeat(LARGE_BODY_BYTES)), true;
    "reset within a large body without a length"
)]
fn truncated_response_gives_no_score(rest: &str, resets: bool) {
    let rest = rest.to_owned();
    let test = async {
        let truncated = move |call: &mut RawExchange| {
            write_signed(call, "truncated", &rest);
            if resets {
                // Leaves time to read the response before the reset discards it.
                std::thread::sleep(Duration::from_millis(20));
                call.reset();
            }
        };
        let result = score_item_after(truncated).await;
        assert_eq!(result.score.as_deref(), Some("complete"));
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a reward call that is repeated although its response is complete: its end is an
/// orderly close of the connection.
/// MIXED in RULES.md: "A server's answer may have no length and end with its connection".
#[test_case("\r\n"; "empty body")]
#[test_case("\r\nwhole"; "body")]
#[test_case(&format!("\r\n{}", "x".repeat(LARGE_BODY_BYTES)); "large body")]
fn response_that_ends_with_its_connection_gives_the_score(rest: &str) {
    let rest = rest.to_owned();
    let test = async {
        let closing = move |call: &mut RawExchange| write_signed(call, "closing", &rest);
        let result = score_item_after(closing).await;
        assert_eq!(result.outcome, ItemOutcome::Completed);
        assert_eq!(result.score.as_deref(), Some("closing"));
    };
    deck_net::runtime::run(test).expect("runtime");
}
