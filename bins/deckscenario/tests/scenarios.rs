//! Whole scenarios, and scenarios with a planted fault that have to fail.

use std::{path::PathBuf, process::Command};

use test_case::test_case;

struct Ran {
    succeeded: bool,
    output: String,
}

fn run(file: &str) -> Ran {
    let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(file);
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let output = Command::new(deck_testkit::program("deckscenario"))
        .arg("--directory")
        .arg(directory)
        .arg(file)
        .output()
        .expect("runs");
    let text = [output.stdout, output.stderr].concat();
    Ran { succeeded: output.status.success(), output: String::from_utf8_lossy(&text).into_owned() }
}

#[test_case("store-lost-response")]
#[test_case("engine-crash-and-swap")]
#[test_case("service-faults")]
fn scenario_with_standins_succeeds(name: &str) {
    let ran = run(&format!("../../scenarios/{name}.scn"));
    assert!(ran.succeeded, "{}", ran.output);
    assert!(ran.output.contains("seed"), "the seed is printed");
}

#[test_case("bookings-once"; "bookings_once")]
#[test_case("store-outage"; "store_outage")]
#[test_case("engine-crash-resume"; "engine_crash_resume")]
#[test_case("graceful-stop"; "graceful_stop")]
#[test_case("operators-race"; "operators_race")]
#[test_case("rollout-owner-lost"; "rollout_owner_lost")]
#[test_case("poison-request"; "poison_request")]
#[test_case("target-leaving"; "target_leaving")]
#[test_case("slow-target"; "slow_target")]
#[test_case("regions-partitioned"; "regions_partitioned")]
#[test_case("trainer-restarts"; "trainer_restarts")]
#[test_case("weights-owner-paused"; "weights_owner_paused")]
#[test_case("rollout-store-outage"; "rollout_store_outage")]
#[test_case("shares"; "shares")]
fn scenario_with_daemons_succeeds(name: &str) {
    let ran = run(&format!("../../scenarios/{name}.scn"));
    assert!(ran.succeeded, "{}", ran.output);
}

// A function of its own, so that its name in KNOWN-RED.txt does not depend on the other scenarios.
#[test]
fn retries_do_not_multiply_the_load() {
    let ran = run("../../scenarios/retry-storm.scn");
    assert!(ran.succeeded, "{}", ran.output);
}

/// Guards against checks that a broken system passes.
#[test_case("executions", "key k1 ran 2 times")]
#[test_case("bookings", "ran 2 times")]
#[test_case("mismatch", "executions is 0, expected Equal 1")]
#[test_case("race", "object API unavailable")]
#[test_case("terminate", "engine ended with")]
#[test_case("alive", "0 are alive, expected 1")]
fn planted_fault_fails_the_scenario(name: &str, message: &str) {
    let ran = run(&format!("tests/planted/{name}.scn"));
    assert!(!ran.succeeded, "{}", ran.output);
    assert!(ran.output.contains(message), "{}", ran.output);
}
