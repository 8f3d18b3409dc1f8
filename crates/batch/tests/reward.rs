//! Reward calls while the targets of their service crash.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_batch::{JobStore, Runner, RunnerOptions, StoreJobOutcome, job::ItemPhase};
use deck_core::CancellationToken;
use deck_core::boot_clock::BootInstant;
use deck_fleet::{
    BatchJob, CallerLimits, Configuration, Item, ItemOutcome, RewardCall, Route, RouteKind,
    ServiceConfig, Target, TargetState,
};
use deck_net::bind;
use deck_testkit::{eventually, memory::MemoryObjects};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

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
        }
    });
    targets.collect()
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
    };
    let service = ServiceConfig { name: "s".to_owned(), engine: None };
    Configuration::new(1, vec![route], vec![service], CallerLimits::default())
}

/// Guards against an accepted item that is never scored, and thus given up, because targets crashed
/// while they ran its reward call.
#[test]
fn reward_call_is_repeated_after_its_targets_crashed() {
    let test = async {
        let received_count = Rc::new(Cell::new(0));
        let cancel = CancellationToken::new();
        let job_store = JobStore::new(MemoryObjects::default().store(), 1 << 20);
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let deps = common::runner_deps("vm-1", address, &job_store);
        deps.view.set_configuration(configuration());
        deps.view.set_targets(start_targets(&received_count), Instant::now());
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
        assert_eq!(result.outcome, ItemOutcome::Completed);
        assert_eq!(result.score.as_deref(), Some("score"));
        assert_eq!(received_count.get(), CRASH_COUNT + 1);
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
