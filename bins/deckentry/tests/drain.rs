//! Graceful shutdown: a planned stop interrupts no request.

mod common;

use std::{cell::Cell, rc::Rc, time::Duration};

use common::{Deployment, Entry, ORGANISATION};
use deck_testkit::eventually;
use futures_util::future::{join, join_all};
use serde_json::{Value, json};

fn run_test<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a graceful stop that interrupts a stream, a collected completion or a booking,
/// that keeps accepting connections, or that leaves `/readyz` at 200.
#[test]
fn stop_finishes_requests_in_flight() {
    run_test(async {
        let deployment = Deployment::start();
        let engine = deployment.start_stand_in("engine", &[]);
        let service = deployment.start_stand_in("service", &[]);
        deployment.put_shares(&["rank", "booking"]).await;
        deployment.put_engine_pool("rank", "m", &[engine.address]).await;
        deployment.put_service_pool("booking", &[service.address]).await;
        let mut entry = deployment.start_entry("e1", &[], "").await;
        deployment.wait_until_served(&entry, "booking").await;
        deployment.set_faults(&service, json!({ "slow_ms": 1500 })).await;

        let body = |stream: bool| {
            json!({ "model": "m", "prompt": "seat", "generate_tokens": 300, "max_tokens": 300,
                "stream": stream })
        };
        let (streamed, collected) = (body(true), body(false));
        let calls = join_all([
            deployment.complete(&entry, &streamed),
            deployment.complete(&entry, &collected),
        ]);
        let booking = deployment.book(&entry, "k", "seat");
        let stop = async {
            monoio::time::sleep(Duration::from_millis(400)).await;
            entry.process.terminate();
            eventually("readiness is withdrawn", async || {
                let response = deployment.try_send(entry.admin, "GET", "/readyz", &[], "").await;
                response.is_some_and(|response| response.status == 503)
            })
            .await;
            eventually("no new connection is accepted", async || {
                monoio::net::TcpStream::connect_addr(entry.caller).await.is_err()
            })
            .await;
        };
        let ((responses, booking), ()) = join(join(calls, booking), stop).await;
        assert_eq!(booking.status, 200, "{booking:?}");
        assert_eq!(booking.header("connection"), Some("close"));
        let text = String::from_utf8(responses[0].body.clone()).expect("text");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        assert_eq!(responses[1].json()["token_count"], 300);
        assert!(entry.process.wait().success());
    });
}

/// Sends queries, bookings and completions until `stop` is set; each must succeed.
async fn run_load_worker(
    deployment: &Deployment,
    entries: &[Rc<Cell<Option<EntryAddress>>>],
    worker: usize,
    stop: &Cell<bool>,
) {
    let mut number = 0;
    while !stop.get() {
        number += 1;
        // Like the platform's load balancer, uses only entry VMs that are ready.
        let ready: Vec<_> = entries.iter().filter_map(|entry| entry.get()).collect();
        let Some(entry) = ready.get(number % ready.len().max(1)) else {
            monoio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let nonce = format!("{worker}-{number}");
        let mut headers = vec![("x-organisation", ORGANISATION)];
        let response = match number % 3 {
            0 => {
                headers.push(("idempotency-key", nonce.as_str()));
                deployment
                    .try_send(entry.caller, "POST", "/services/booking/seats", &headers, &nonce)
                    .await
            }
            1 => {
                let path = "/services/booking/query";
                deployment.try_send(entry.caller, "POST", path, &headers, &nonce).await
            }
            _ => {
                let body = json!({ "model": "m", "prompt": nonce, "generate_tokens": 20 });
                let path = "/v1/completions";
                deployment.try_send(entry.caller, "POST", path, &headers, &body.to_string()).await
            }
        };
        let response = response.unwrap_or_else(|| panic!("request {nonce} was cut"));
        assert_eq!(response.status, 200, "request {nonce}: {response:?}");
        if number % 3 == 2 {
            let tokens = response.json()["token_count"].clone();
            assert_eq!(tokens, Value::from(20), "{response:?}");
        } else {
            assert_eq!(response.body, nonce.as_bytes());
        }
    }
}

/// Entry VM to which the load is balanced.
#[derive(Clone, Copy)]
struct EntryAddress {
    caller: std::net::SocketAddr,
}

/// Guards against requests that are interrupted or refused while entry VMs are restarted one by one
/// under load.
#[test]
fn rolling_restart_under_load_cuts_no_request() {
    run_test(async {
        let deployment = Deployment::start();
        let engines =
            [deployment.start_stand_in("engine", &[]), deployment.start_stand_in("engine", &[])];
        let service = deployment.start_stand_in("service", &[]);
        deployment.put_shares(&["rank", "booking"]).await;
        deployment
            .put_engine_pool("rank", "m", &engines.each_ref().map(|engine| engine.address))
            .await;
        deployment.put_service_pool("booking", &[service.address]).await;
        let limits = "claims_per_s = 1000\ndrain_delay_ms = 500";
        let first_entry = deployment.start_entry("e1", &[], limits).await;
        let second_entry = deployment.start_entry("e2", &[first_entry.peer], limits).await;
        deployment.wait_until_served(&first_entry, "booking").await;
        deployment.wait_until_served(&second_entry, "booking").await;

        let balanced_entries: Vec<_> = [&first_entry, &second_entry]
            .iter()
            .map(|entry| Rc::new(Cell::new(Some(EntryAddress { caller: entry.caller }))))
            .collect();
        let stop = Cell::new(false);
        let restarts = async {
            let mut entries = [first_entry, second_entry];
            for index in [0, 1, 0] {
                monoio::time::sleep(Duration::from_millis(300)).await;
                let seed = entries[1 - index].peer;
                let entry = &mut entries[index];
                restart(&deployment, entry, &balanced_entries[index], seed, limits, index).await;
            }
            stop.set(true);
            entries
        };
        let workers = join_all(
            (0..12).map(|worker| run_load_worker(&deployment, &balanced_entries, worker, &stop)),
        );
        let (_entries, _) = join(restarts, workers).await;
        let executions =
            deployment.send(service.address, "GET", "/admin/executions", &[], "").await;
        let executions = executions.json();
        let executions = executions.as_object().expect("executions");
        assert!(executions.len() > 20, "{} bookings", executions.len());
        assert!(executions.values().all(|count| *count == 1), "{executions:?}");
    });
}

async fn restart(
    deployment: &Deployment,
    entry: &mut Entry,
    balanced_entry: &Rc<Cell<Option<EntryAddress>>>,
    seed: std::net::SocketAddr,
    limits: &str,
    index: usize,
) {
    entry.process.terminate();
    eventually("readiness is withdrawn", async || {
        let response = deployment.try_send(entry.admin, "GET", "/readyz", &[], "").await;
        response.is_none_or(|response| response.status == 503)
    })
    .await;
    balanced_entry.set(None);
    let mut status = None;
    // Polls instead of blocking, because the load workers run on the same thread.
    eventually("the process ends", async || {
        status = entry.process.try_wait();
        status.is_some()
    })
    .await;
    assert!(status.is_some_and(|status| status.success()), "stopped cleanly");
    let name = format!("e{}", index + 1);
    let restarted = deployment.start_entry(&name, &[seed], limits).await;
    deployment.wait_until_served(&restarted, "booking").await;
    balanced_entry.set(Some(EntryAddress { caller: restarted.caller }));
    *entry = restarted;
}
