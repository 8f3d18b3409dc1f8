//! Runs the load generator directly against stand-ins, without an entry between them.

use std::process::Command;

use deck_net::server::{read_body, text_response};
use deck_testkit::{Process, program_path};
use serde_json::Value;
use test_case::test_case;

/// Starts a stand-in, whose kind is the first argument; returns it with its HTTP address.
fn start_standin(arguments: &[&str]) -> (Process, String) {
    let arguments = [&arguments[..1], &["--listen", "127.0.0.1:0"], &arguments[1..]].concat();
    let mut process = Process::start(arguments[0], "deckstandin", &arguments, None);
    let address = process.address("http").to_string();
    (process, address)
}

/// Runs `deckload` to its end and returns its report.
fn run_load(arguments: &[&str]) -> Value {
    let output = Command::new(program_path("deckload")).args(arguments).output().expect("runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("JSON")
}

/// Guards against a check of completions that counts correct responses as wrong.
#[test]
fn completions_are_checked_and_measured() {
    let (_engine, address) =
        start_standin(&["engine", "--tokens-per-s", "2000", "--max-batch", "32"]);
    let report = run_load(&[
        "--entry",
        &address,
        "--duration-ms",
        "500",
        "--short-per-s",
        "40",
        "--long-per-s",
        "10",
        "--long-tokens",
        "60",
        "--organisation",
        "a",
        "--organisation",
        "b",
    ]);
    let sent = report["sent"].as_u64().expect("sent");
    assert!(sent > 10, "{report}");
    assert_eq!(report["ok"], sent, "{report}");
    assert_eq!(
        report["classes"]["short"]["first_token_ms"]["count"],
        report["classes"]["short"]["sent"]
    );
    assert!(report["organisations"]["a"]["ok"].as_u64() > Some(0), "{report}");
}

/// Guards against runs with the same seed that make different calls.
#[test]
fn same_seed_gives_same_bookings() {
    let (_service, address) = start_standin(&["service"]);
    let arguments = |seed| {
        [
            "--entry",
            &address,
            "--duration-ms",
            "200",
            "--book-per-s",
            "100",
            "--get-per-s",
            "50",
            "--list-bookings",
            "--seed",
            seed,
        ]
    };
    let keys = |report: &Value| -> Vec<String> {
        let bookings = report["bookings"].as_array().expect("bookings").iter();
        let mut keys: Vec<_> = bookings.map(|booking| booking["key"].to_string()).collect();
        keys.sort();
        keys
    };
    let first = run_load(&arguments("7"));
    assert_eq!(first["ok"], first["sent"], "{first}");
    assert_eq!(keys(&first), keys(&run_load(&arguments("7"))));
    assert_ne!(keys(&first), keys(&run_load(&arguments("8"))));
}

/// Guards against truncated responses and responses to other requests that count as correct.
#[test_case(false, "mismatched"; "answer to another request")]
#[test_case(true, "truncated"; "answer cut short")]
fn wrong_answers_are_found(is_cut: bool, counter: &str) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let (stop_sender, stop) = std::sync::mpsc::channel::<()>();
    let (ready_sender, ready) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        deck_net::runtime::run(async {
            let token = deck_core::CancellationToken::new();
            let listener = deck_net::bind(address).expect("bind");
            monoio::spawn(deck_net::serve(
                listener,
                deck_net::ServerOptions::default(),
                token.clone(),
                move |request| async move {
                    let _ = read_body(request.into_body(), 10_000).await;
                    if !is_cut {
                        return text_response(200, "answer to another request");
                    }
                    let (sender, body) = deck_net::Body::stream();
                    monoio::spawn(async move {
                        let _ = sender.send("cut").await;
                        // The response head must be sent before the body is aborted.
                        monoio::time::sleep(std::time::Duration::from_millis(30)).await;
                    });
                    deck_net::http::Response::new(body)
                },
            ));
            ready_sender.send(()).expect("test waits");
            while stop.try_recv() == Err(std::sync::mpsc::TryRecvError::Empty) {
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        })
        .expect("runtime");
    });
    ready.recv().expect("server");
    let report = run_load(&[
        "--entry",
        &address.to_string(),
        "--duration-ms",
        "200",
        "--get-per-s",
        "50",
        "--book-per-s",
        "50",
        "--tries",
        "1",
    ]);
    assert!(report["sent"].as_u64() > Some(0));
    assert_eq!(report[counter], report["sent"], "{report}");
    drop(stop_sender);
    server.join().expect("server ends");
}

/// Guards against a booking that is not retried after its response was lost or truncated, or that
/// counts as not executed although an attempt may have been.
#[test]
fn bookings_are_retried_with_the_same_key() {
    let (_service, address) = start_standin(&["service"]);
    deck_net::runtime::run(async {
        let client = deck_net::Client::default();
        let faults = serde_json::json!({ "lose_answers": 3, "cut_answers": 3 });
        let address = address.parse().expect("address");
        let call = client.json::<_, Value>(
            deck_net::http::Method::POST,
            address,
            "/admin/faults",
            Some(&faults),
        );
        assert_eq!(call.await.expect("answer").0, 200);
    })
    .expect("runtime");
    let report = run_load(&[
        "--entry",
        &address,
        "--duration-ms",
        "300",
        "--book-per-s",
        "50",
        "--list-bookings",
    ]);
    assert_eq!(report["ok"], report["sent"], "{report}");
    assert_eq!(report["classes"]["book"]["retries"], 6, "{report}");
    let no_retried_booking_is_reported_as_never_run = report["bookings"]
        .as_array()
        .expect("bookings")
        .iter()
        .filter(|booking| booking["tries"] != 1)
        .all(|booking| booking["never_run"] == false);
    assert!(no_retried_booking_is_reported_as_never_run, "{report}");
}
