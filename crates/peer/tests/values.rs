//! Published values, requests between VMs and the local interface.

mod common;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use common::{Cluster, Node, eventually, pool, pool_kind, run, wait_joined};
use deck_core::CancellationToken;
use deck_net::Client;
use deck_peer::{LocalStateClient, MemberState, PeerError, Topic, local};

/// Timeout of requests that are expected to be answered or to fail earlier.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

fn value_at(node: &Node, vm: &str, topic: Topic) -> Option<Bytes> {
    let published = node.peer.published_values(topic);
    published.into_iter().find(|entry| entry.vm == vm).map(|entry| entry.value)
}

/// Guards against values that do not reach all VMs, older values that replace newer ones, and
/// values of dead VMs that never expire.
#[test]
fn newest_value_of_each_vm_reaches_all_and_expires_with_its_vm() {
    run(async {
        let cluster = Cluster::default();
        let mut nodes = cluster.start_data_centre("a", 6).await;
        nodes.extend(cluster.start_data_centre("b", 6).await);
        wait_joined(&nodes.iter().collect::<Vec<_>>()).await;
        for round in 0..5_u8 {
            for node in &nodes {
                node.peer.publish(Topic::ShareDemand, Bytes::from(vec![round; 100]));
            }
            monoio::time::sleep(Duration::from_millis(30)).await;
        }
        let last_value = Bytes::from(vec![4; 100]);
        eventually("the last values are everywhere", async || {
            nodes.iter().all(|node| {
                let published = node.peer.published_values(Topic::ShareDemand);
                published.len() == 12 && published.iter().all(|entry| entry.value == last_value)
            })
        })
        .await;
        let dead_vm = nodes.pop().expect("node").vm.clone();
        eventually("the value of the dead VM is gone", async || {
            nodes.iter().all(|node| value_at(node, &dead_vm, Topic::ShareDemand).is_none())
        })
        .await;
        assert!(
            nodes.iter().all(|node| node.peer.published_values(Topic::ShareDemand).len() == 11)
        );
    });
}

/// Guards against a constantly changing topic that uses up the byte budget and starves the others.
#[test]
fn busy_topic_does_not_starve_others() {
    run(async {
        let cluster = Cluster::default();
        let mut options = common::fast_options();
        options.values_budget_bytes_per_s = 2_000;
        let start = |vm: &str| {
            let (vm, data_centre) = (vm.to_owned(), "a".to_owned());
            cluster.start_with(deck_peer::PeerOptions { vm, data_centre, ..options.clone() })
        };
        let nodes = [start("a-0"), start("a-1")];
        wait_joined(&[&nodes[0], &nodes[1]]).await;
        let mut round = 0_u32;
        let mut publish_busy = || {
            round += 1;
            let mut busy_value = vec![0; 400];
            busy_value[..4].copy_from_slice(&round.to_le_bytes());
            nodes[0].peer.publish(Topic::ShareDemand, busy_value.into());
        };
        eventually("the busy topic arrives", async || {
            publish_busy();
            value_at(&nodes[1], "a-0", Topic::ShareDemand).is_some()
        })
        .await;
        nodes[0].peer.publish(Topic::Usage, Bytes::from_static(b"usage"));
        eventually("the other topic arrives", async || {
            publish_busy();
            value_at(&nodes[1], "a-0", Topic::Usage).is_some()
        })
        .await;
    });
}

/// Guards against responses that are matched to the wrong request, and against errors that do not
/// state whether the request may have been handled.
#[test]
fn requests_get_matching_responses_or_classified_errors() {
    run(async {
        let cluster = Cluster::default();
        let nodes = cluster.start_data_centre("a", 3).await;
        nodes[1].peer.set_request_handler(Topic::CallLookup, |from, body| {
            Box::pin(async move {
                // Later requests are answered earlier, so that responses arrive in reverse order.
                let delay_ms = 50_u64.saturating_sub(u64::from(body[0]) * 10);
                monoio::time::sleep(Duration::from_millis(delay_ms)).await;
                Bytes::from([from.as_bytes(), &body].concat())
            })
        });
        nodes[1].peer.set_request_handler(Topic::TicketCall, |_, _| {
            Box::pin(async { std::future::pending::<Bytes>().await })
        });
        let vm = nodes[1].vm.clone();
        let calls = (0..5_u8).map(|request_number| {
            let body = Bytes::from(vec![request_number; 100_000]);
            nodes[0].peer.request(&vm, Topic::CallLookup, body, REQUEST_TIMEOUT)
        });
        let responses = futures_util::future::join_all(calls).await;
        for (request_number, response) in responses.into_iter().enumerate() {
            let expected = [b"a-0".as_slice(), &vec![request_number as u8; 100_000]].concat();
            assert!(response.expect("response") == expected, "response of another request");
        }

        let request_error = async |vm: &str, topic, body: Bytes, timeout| {
            let error = nodes[0].peer.request(&vm.to_owned(), topic, body, timeout).await;
            error.expect_err("an error")
        };
        let error = request_error("nobody", Topic::CallLookup, Bytes::new(), REQUEST_TIMEOUT).await;
        assert_eq!(error, PeerError::UnknownVm("nobody".to_owned()));
        let error = request_error("a-2", Topic::CallLookup, Bytes::new(), REQUEST_TIMEOUT).await;
        assert_eq!(error, PeerError::NotServed("a-2".to_owned(), Topic::CallLookup));
        let short_timeout = Duration::from_millis(200);
        let error = request_error("a-1", Topic::TicketCall, Bytes::new(), short_timeout).await;
        assert!(error.may_have_arrived(), "{error}");
        let large_body = Bytes::from(vec![0; 5 * 1024 * 1024]);
        let error = request_error("a-1", Topic::TicketCall, large_body, REQUEST_TIMEOUT).await;
        assert!(matches!(error, PeerError::TooLarge(..)), "{error}");

        let (error_after_stop, ()) = futures_util::future::join(
            request_error("a-1", Topic::TicketCall, Bytes::new(), REQUEST_TIMEOUT),
            async {
                monoio::time::sleep(Duration::from_millis(50)).await;
                nodes[1].cancel.cancel();
            },
        )
        .await;
        assert!(error_after_stop.may_have_arrived(), "{error_after_stop}");
        let error = request_error("a-1", Topic::TicketCall, Bytes::new(), REQUEST_TIMEOUT).await;
        assert!(!error.may_have_arrived(), "{error}");
    });
}

/// Guards against other daemons of a VM that miss changes, in particular those made while they were
/// disconnected from `deckentry`.
#[test]
fn local_view_receives_changes_and_reconnects() {
    run(async {
        let cluster = Cluster::default();
        cluster.store.put(pool_kind(), "ranks", pool(1));
        let nodes = cluster.start_data_centre("a", 2).await;
        let bind = |address| deck_net::bind(address).expect("bind");
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = listener.local_addr().expect("address");
        let shutdown = CancellationToken::new();
        let server_task = monoio::spawn(local::serve_local_state(
            listener,
            nodes[0].peer.clone(),
            shutdown.clone(),
        ));
        let view_cancel = CancellationToken::new();
        let view = LocalStateClient::connect(Client::default(), address, view_cancel.clone());
        view.config().wait_synced().await;
        let slots = || view.config().pool("ranks").map(|(_, pool)| pool.slots_per_target);
        assert_eq!(slots(), Some(1));
        eventually("two live members", async || {
            view.members().iter().filter(|member| member.state == MemberState::Live).count() == 2
        })
        .await;

        shutdown.cancel();
        server_task.await;
        cluster.store.put(pool_kind(), "ranks", pool(2));
        common::wait_slots(&[&nodes[0]], "ranks", Some(2)).await;
        assert_eq!(slots(), Some(1), "the view keeps its last state");
        let shutdown = CancellationToken::new();
        monoio::spawn(local::serve_local_state(
            bind(address),
            nodes[0].peer.clone(),
            shutdown.clone(),
        ));
        eventually("the change arrives", async || slots() == Some(2)).await;
        cluster.store.delete(pool_kind(), "ranks");
        eventually("the deletion arrives", async || slots().is_none()).await;
        view_cancel.cancel();
        shutdown.cancel();
    });
}
