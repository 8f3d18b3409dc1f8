//! Runs the scenario files, and scenarios with a planted fault that have to fail.

use std::{
    path::PathBuf,
    process::Command,
    time::{Duration, Instant},
};

use deck_testkit::{EVENT_WAIT_TIMEOUT, Process};
use test_case::test_case;

/// Exit and output of one `deckscenario` process.
struct ScenarioResult {
    succeeded: bool,
    output: String,
}

fn run_scenario(file: &str) -> ScenarioResult {
    let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(file);
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let output = Command::new(deck_testkit::program_path("deckscenario"))
        .arg("--directory")
        .arg(directory)
        .arg(file)
        .output()
        .expect("runs");
    let text = [output.stdout, output.stderr].concat();
    ScenarioResult {
        succeeded: output.status.success(),
        output: String::from_utf8_lossy(&text).into_owned(),
    }
}

#[test_case("store-lost-response")]
#[test_case("engine-crash-and-swap")]
#[test_case("service-faults")]
fn scenario_with_standins_succeeds(name: &str) {
    let result = run_scenario(&format!("../../scenarios/{name}.scn"));
    assert!(result.succeeded, "{}", result.output);
    assert!(result.output.contains("seed"), "the output does not contain the seed");
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
#[test_case("retry-storm"; "retry_storm")]
#[test_case("swap-in-sample"; "swap_in_sample")]
fn scenario_with_daemons_succeeds(name: &str) {
    let result = run_scenario(&format!("../../scenarios/{name}.scn"));
    assert!(result.succeeded, "{}", result.output);
}

/// Guards against checks that pass although the system is faulty.
#[test_case("executions", "key k1 ran 2 times")]
#[test_case("bookings", "ran 2 times")]
#[test_case("mismatch", "executions is 0, expected Equal 1")]
#[test_case("race", "object API unavailable")]
#[test_case("terminate", "engine ended with")]
#[test_case("alive", "0 are alive, expected 1")]
fn planted_fault_fails_the_scenario(name: &str, message: &str) {
    let result = run_scenario(&format!("tests/planted/{name}.scn"));
    assert!(!result.succeeded, "{}", result.output);
    assert!(result.output.contains(message), "{}", result.output);
}

/// Guards against processes that keep running after their scenario was interrupted.
#[test]
fn stop_signal_ends_the_processes_of_a_scenario() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("stop");
    std::fs::create_dir_all(&directory).expect("directory");
    let file = directory.join("endless.scn");
    let text = "guards x\nstandin service service\n\
        load get --entry ${service.http} --duration-ms 1 --get-per-s 1\nsleep 3600000\n";
    std::fs::write(&file, text).expect("file");
    let arguments = ["--directory", &directory.display().to_string(), &file.display().to_string()];
    let mut runner = Process::start("runner", "deckscenario", &arguments, None);
    let run_directory = directory.join(format!("deckscenario-{}-endless", runner.id()));
    // The log of the load is created after the service has started, so both then exist.
    let deadline = Instant::now() + EVENT_WAIT_TIMEOUT;
    while !run_directory.join("get.log").exists() {
        assert!(Instant::now() < deadline, "the scenario did not start in time");
        std::thread::sleep(Duration::from_millis(20));
    }
    let children = children_of(runner.id());
    assert!(!children.is_empty(), "the service is not running");
    runner.terminate();
    assert!(!runner.wait().success());
    for child in children {
        assert!(!is_running(child), "process {child} is still running");
    }
    std::fs::remove_dir_all(&directory).expect("removed");
}

fn children_of(parent: u32) -> Vec<u32> {
    let path = format!("/proc/{parent}/task/{parent}/children");
    let children = std::fs::read_to_string(path).expect("own child");
    children.split_whitespace().map(|id| id.parse().expect("id")).collect()
}

fn is_running(id: u32) -> bool {
    PathBuf::from(format!("/proc/{id}")).exists()
}
