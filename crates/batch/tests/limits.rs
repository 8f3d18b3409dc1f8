//! Engines that name the number of requests a second that they take from all nodes together.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use deck_testkit::{eventually, memory::MemoryObjects, raw::RawServer};

mod common;

/// Time from the first response with a limit until it has to be kept.
const EFFECT_TIME: Duration = Duration::from_secs(3);
/// Period in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
const LIMIT_PER_S: usize = 4;

/// An engine in need gets more runs than it has named (LIMIT), because a runner fills its slots
/// whenever they are free.
#[test]
fn runs_on_an_engine_stay_within_its_limit() {
    let test = async {
        let received: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let engine_received = received.clone();
        let engine = RawServer::start(move |call| {
            engine_received.lock().expect("lock").push(Instant::now());
            let id = call.header("request-id").unwrap_or_default().to_owned();
            call.write(&format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nWeight-Versions: 1\r\nServer-Limit: {LIMIT_PER_S}\r\nTransfer-Encoding: chunked\r\n\r\n"
            ));
            call.write_chunk(&common::event("text", 1));
            call.write_chunk("");
        });
        let objects = MemoryObjects::default();
        let node = common::node("vm-1", SocketAddr::from(([127, 0, 0, 1], 1)), &objects);
        node.view.set_configuration(common::rollout_configuration(false));
        node.view.set_targets(vec![common::engine("e", engine.address)], Instant::now());
        let items: Vec<_> = (0..60).map(|number| common::item(&format!("i{number}"))).collect();
        let job = common::job("job", items);
        let job = common::start_job(&node, job).await;
        eventually("all items have run", async || job.is_complete()).await;
        let received = received.lock().expect("lock").clone();
        let counted: Vec<Instant> =
            received.iter().copied().filter(|at| *at >= received[0] + EFFECT_TIME).collect();
        let in_window = |from: &Instant| {
            counted.iter().filter(|at| (*from..*from + WINDOW).contains(*at)).count()
        };
        let most = counted.iter().map(in_window).max().unwrap_or(0);
        let allowed = LIMIT_PER_S * 6 + 5;
        assert!(most <= allowed, "{most} runs");
        let duration = received[received.len() - 1].duration_since(received[0]);
        let needed =
            Duration::from_secs((received.len() - allowed) as u64 / (LIMIT_PER_S as u64 * 2));
        assert!(duration > needed, "{} runs in {duration:?}", received.len());
    };
    deck_net::runtime::run(test).expect("runtime");
}
