//! Graceful shutdown: a planned stop interrupts no request.

mod common;

use std::{cell::Cell, rc::Rc, time::Duration};

use common::{Entry, ORGANISATION, World};
use deck_testkit::eventually;
use futures_util::future::{join, join_all};
use serde_json::{Value, json};

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a stop that cuts a stream, a collected completion or a booking, that takes new
/// work for ever, or that does not announce itself.
#[test]
fn stop_finishes_requests_in_flight() {
    run(async {
        let world = World::start();
        let engine = world.stand_in("engine", &[]);
        let service = world.stand_in("service", &[]);
        world.put_shares(&["rank", "booking"]).await;
        world.put_engines("rank", "m", &[engine.address]).await;
        world.put_services("booking", &[service.address]).await;
        let mut entry = world.entry("e1", &[], "").await;
        world.wait_service(&entry, "booking").await;
        world.faults(&service, json!({ "slow_ms": 1500 })).await;

        let body = |stream: bool| {
            json!({ "model": "m", "prompt": "seat", "generate_tokens": 300, "max_tokens": 300,
                "stream": stream })
        };
        let (streamed, collected) = (body(true), body(false));
        let calls =
            join_all([world.complete(&entry, &streamed), world.complete(&entry, &collected)]);
        let booked = world.book(&entry, "k", "seat");
        let stopped = async {
            monoio::time::sleep(Duration::from_millis(400)).await;
            entry.process.terminate();
            eventually("readiness is withdrawn", async || {
                let answer = world.try_send(entry.admin, "GET", "/readyz", &[], "").await;
                answer.is_some_and(|answer| answer.status == 503)
            })
            .await;
            eventually("no new connection is accepted", async || {
                monoio::net::TcpStream::connect_addr(entry.caller).await.is_err()
            })
            .await;
        };
        let ((answers, booked), ()) = join(join(calls, booked), stopped).await;
        assert_eq!(booked.status, 200, "{booked:?}");
        assert_eq!(booked.header("connection"), Some("close"));
        let text = String::from_utf8(answers[0].body.clone()).expect("text");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        assert_eq!(answers[1].json()["token_count"], 300);
        assert!(entry.process.wait().success());
    });
}

/// Sends queries, bookings and completions until told to stop; every one has to succeed.
async fn load(
    world: &World,
    entries: &[Rc<Cell<Option<Target>>>],
    worker: usize,
    stop: &Cell<bool>,
) {
    let mut number = 0;
    while !stop.get() {
        number += 1;
        // As the balancer does: only entry VMs that are ready.
        let ready: Vec<_> = entries.iter().filter_map(|entry| entry.get()).collect();
        let Some(entry) = ready.get(number % ready.len().max(1)) else {
            monoio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let nonce = format!("{worker}-{number}");
        let mut headers = vec![("x-organisation", ORGANISATION)];
        let answer = match number % 3 {
            0 => {
                headers.push(("idempotency-key", nonce.as_str()));
                world
                    .try_send(entry.caller, "POST", "/services/booking/seats", &headers, &nonce)
                    .await
            }
            1 => {
                let path = "/services/booking/query";
                world.try_send(entry.caller, "POST", path, &headers, &nonce).await
            }
            _ => {
                let body = json!({ "model": "m", "prompt": nonce, "generate_tokens": 20 });
                let path = "/v1/completions";
                world.try_send(entry.caller, "POST", path, &headers, &body.to_string()).await
            }
        };
        let answer = answer.unwrap_or_else(|| panic!("request {nonce} was cut"));
        assert_eq!(answer.status, 200, "request {nonce}: {answer:?}");
        if number % 3 == 2 {
            let tokens = answer.json()["token_count"].clone();
            assert_eq!(tokens, Value::from(20), "{answer:?}");
        } else {
            assert_eq!(answer.body, nonce.as_bytes());
        }
    }
}

#[derive(Clone, Copy)]
struct Target {
    caller: std::net::SocketAddr,
}

/// Guards against requests that are cut or refused while entry VMs are restarted one after the
/// other under load.
#[test]
fn rolling_restart_under_load_cuts_no_request() {
    run(async {
        let world = World::start();
        let engines = [world.stand_in("engine", &[]), world.stand_in("engine", &[])];
        let service = world.stand_in("service", &[]);
        world.put_shares(&["rank", "booking"]).await;
        world.put_engines("rank", "m", &engines.each_ref().map(|engine| engine.address)).await;
        world.put_services("booking", &[service.address]).await;
        let limits = "claims_per_s = 1000\ndrain_delay_ms = 500";
        let first = world.entry("e1", &[], limits).await;
        let second = world.entry("e2", &[first.peer], limits).await;
        world.wait_service(&first, "booking").await;
        world.wait_service(&second, "booking").await;

        let balanced: Vec<_> = [&first, &second]
            .iter()
            .map(|entry| Rc::new(Cell::new(Some(Target { caller: entry.caller }))))
            .collect();
        let stop = Cell::new(false);
        let restarts = async {
            let mut entries = [first, second];
            for index in [0, 1, 0] {
                monoio::time::sleep(Duration::from_millis(300)).await;
                let other_peer = entries[1 - index].peer;
                let entry = &mut entries[index];
                restart(&world, entry, &balanced[index], other_peer, limits, index).await;
            }
            stop.set(true);
            entries
        };
        let workers = join_all((0..12).map(|worker| load(&world, &balanced, worker, &stop)));
        let (_entries, _) = join(restarts, workers).await;
        let executions = world.send(service.address, "GET", "/admin/executions", &[], "").await;
        let executions = executions.json();
        let executions = executions.as_object().expect("executions");
        assert!(executions.len() > 20, "{} bookings", executions.len());
        assert!(executions.values().all(|count| *count == 1), "{executions:?}");
    });
}

async fn restart(
    world: &World,
    entry: &mut Entry,
    balanced: &Rc<Cell<Option<Target>>>,
    seed: std::net::SocketAddr,
    limits: &str,
    index: usize,
) {
    entry.process.terminate();
    eventually("readiness is withdrawn", async || {
        let answer = world.try_send(entry.admin, "GET", "/readyz", &[], "").await;
        answer.is_none_or(|answer| answer.status == 503)
    })
    .await;
    balanced.set(None);
    let mut status = None;
    // Without blocking the thread: the load goes on meanwhile.
    eventually("the process ends", async || {
        status = entry.process.try_wait();
        status.is_some()
    })
    .await;
    assert!(status.is_some_and(|status| status.success()), "stopped cleanly");
    let name = format!("e{}", index + 1);
    let restarted = world.entry(&name, &[seed], limits).await;
    world.wait_service(&restarted, "booking").await;
    balanced.set(Some(Target { caller: restarted.caller }));
    *entry = restarted;
}
