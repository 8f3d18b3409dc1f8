//! Engines that send events without end.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_testkit::{eventually, memory::MemoryObjects, raw::RawServer};
use test_case::test_case;

mod common;

/// Maximum size of an object in these tests, and so of a text.
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// Limit on the bytes that a runner takes of a text without end: the text, and what the buffers of the
/// connection hold.
const MAX_TAKEN_BYTES: u64 = 16 * MAX_OBJECT_BYTES as u64;

/// Guards against one answer without end, of long events or of empty ones, that takes the memory of the
/// runner and of the VM that keeps its checkpoints. The item runs again and is complete.
#[test_case(1000; "long events")]
#[test_case(0; "empty events")]
fn text_without_end_is_given_up(event_bytes: usize) {
    let test = async move {
        let engine = RawServer::start(move |call| {
            let id = call.header("request-id").unwrap_or_default().to_owned();
            call.write(&format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            ));
            if call.request_index == 0 {
                let event = format!("data: {}\n\n", "x".repeat(event_bytes));
                let events = event.repeat(64);
                let chunk = format!("{:x}\r\n{events}\r\n", events.len());
                call.write_endless_response(&chunk, Duration::ZERO);
                return;
            }
            assert_eq!(call.header("last-event-id"), None, "nothing of the endless text is kept");
            call.write_chunk(&common::event("text", 1));
            call.write_chunk("");
        });
        let objects = MemoryObjects::default();
        let node = common::node("vm-1", SocketAddr::from(([127, 0, 0, 1], 1)), &objects);
        node.view.set_configuration(common::rollout_configuration(false));
        node.view.set_targets(vec![common::engine("e", engine.address)], Instant::now());
        let job = common::job("job", vec![common::item("i0")]);
        let job = common::start_job(&node, job).await;
        eventually("the item is complete", async || job.is_complete()).await;
        let taken_bytes = engine.endless_response_bytes();
        assert!(taken_bytes < MAX_TAKEN_BYTES, "{taken_bytes} bytes");
        assert_eq!(engine.request_count(), 2);
    };
    deck_net::runtime::run(test).expect("runtime");
}
