//! Checks of a configuration before it is sent.

use std::{path::PathBuf, process::Command};

use deck_testkit::program_path;
use serde_json::{Value, json};
use test_case::test_case;

/// Key that no output may contain.
const KEY: &str = "akn2ftimaj3nr26tta82";

/// Returns a configuration without findings.
fn configuration() -> Value {
    json!({
        "Version": 7,
        "Routes": [
            {"Name": "seats", "Host": "h.example", "PathPrefix": "/seats/", "RouteType": "idempotent",
             "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2, "Attempts": 2,
             "TrafficSplit": [{"Service": "app", "Weight": 90}, {"Service": "app2", "Weight": 10}]},
            {"Name": "steps", "Host": "h.example", "PathPrefix": "/steps/", "RouteType": "rollout",
             "ResultDeadlineMs": 7500, "MaxWaitS": 12, "Attempts": 3, "Service": "models"}],
        "Services": [
            {"Name": "app", "HealthPath": "/healthz", "MaxConns": 420},
            {"Name": "app2", "HealthPath": "/healthz", "MaxConns": 420},
            {"Name": "models", "Engine": {"Slots": 6, "Stride": 73, "Models": [{"Name": "m0"}]},
             "Autoscale": {"MinInstances": 1, "MaxInstances": 22, "BootTimeS": 4.0,
                           "SpotPrice": 0.2, "ZonePrices": {"a": 1.0}}}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "one", "ApiKeys": [KEY], "Priority": 1}]
    })
}

/// Writes a configuration with one value in a line of its own and returns the path of the file.
fn file_of(configuration: &Value) -> PathBuf {
    let name = format!("deckctl-{}.json", deck_core::id::random_id());
    let path = std::env::temp_dir().join(name);
    let text = serde_json::to_string_pretty(configuration).expect("json");
    std::fs::write(&path, text).expect("file is written");
    path
}

/// Runs the check; returns its exit code, its report and all that it has printed.
fn check(configuration: &Value, in_force: Option<&Value>) -> (Option<i32>, Value, String) {
    let mut command = Command::new(program_path("deckctl"));
    command.args(["--output", "json", "check-configuration"]).arg(file_of(configuration));
    if let Some(in_force) = in_force {
        command.arg("--against").arg(file_of(in_force));
    }
    let output = command.output().expect("deckctl starts");
    let report = serde_json::from_slice(&output.stdout).unwrap_or_default();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), report, String::from_utf8_lossy(&text).into_owned())
}

/// Sets the value at a JSON pointer; a pointer that ends with `-` appends to a list.
fn set(configuration: &mut Value, pointer: &str, value: Value) {
    let (parent, name) = pointer.rsplit_once('/').expect("pointer");
    let parent = configuration.pointer_mut(parent).expect("parent");
    match parent {
        Value::Array(items) if name == "-" => items.push(value),
        parent => parent[name] = value,
    }
}

/// Guards against findings about a configuration that is in order, also as a stored object.
#[test]
fn sound_configuration_has_no_findings() {
    for file in [configuration(), json!({"Metadata": {"Name": "main"}, "Spec": configuration()})] {
        let (code, report, text) = check(&file, None);
        assert_eq!((code, &report["findings"]), (Some(0), &json!([])), "{text}");
    }
}

/// Guards against entries that can never take effect, contradictions and misspelt fields that pass
/// unnoticed, and against a wrong exit code.
#[test_case("/Version", json!("7"), "error", "", "Version is not a whole number"; "undecodable")]
#[test_case("/Routes/0/PathPrefix", json!(7), "error", "Routes[0]", "PathPrefix is not a text"; "undecodable route")]
#[test_case("/Routes/0/Host", json!("h.example:80"), "error", "Routes[0].Host", "never matches"; "host with a port")]
#[test_case("/Routes/0/PathPrefix", json!("seats/"), "error", "Routes[0].PathPrefix", "never matches"; "prefix without a slash")]
#[test_case("/Routes/1/PathPrefix", json!("/seats/"), "error", "Routes[1].PathPrefix", "never matches: route \"seats\""; "prefix of another route")]
#[test_case("/Routes/1/Service", json!("gone"), "error", "Routes[1].Service", "does not exist"; "unknown service")]
#[test_case("/Routes/1/Service", json!("app"), "error", "Routes[1].Service", "no engines"; "jobs without engines")]
#[test_case("/Routes/0/TargetLatencyMs", json!(1600), "warning", "Routes[0].TargetLatencyMs", "time out"; "latency above the timeout")]
#[test_case("/Routes/1/MaxWaitS", json!(7), "warning", "Routes[1].MaxWaitS", "given up before"; "items given up early")]
#[test_case("/Routes/0/TrafficSplit/1/Weight", json!(0), "warning", "Routes[0].Service", "weight 0"; "no weight")]
#[test_case("/Services/-", json!({"Name": "app3"}), "warning", "Services[3]", "no route"; "unused service")]
#[test_case("/Services/2/Autoscale/MinInstances", json!(23), "error", "Services[2]", "MinInstances is 23"; "bounds the wrong way round")]
#[test_case("/Services/2/Autoscale/SpotPrice", json!(1.5), "warning", "Services[2].Autoscale", "not cheaper"; "dear spot targets")]
#[test_case("/Limits/IdleTimeoutMs", json!(0), "error", "Limits.IdleTimeoutMs", "closed before"; "no time")]
#[test_case("/Tenants/-", json!({"Name": "two", "ApiKeys": [KEY]}), "error", "", "also one of \"one\""; "key of two organisations")]
#[test_case("/Tenants/-", json!({"Name": "two", "ApiKeys": []}), "warning", "Tenants[1].ApiKeys", "no key"; "organisation without keys")]
#[test_case("/Routes/0/TimeoutMS", json!(3), "warning", "Routes[0].TimeoutMS", ""; "misspelt field")]
fn findings_name_their_path(pointer: &str, value: Value, severity: &str, path: &str, part: &str) {
    let mut configuration = configuration();
    if pointer.ends_with("TimeoutMS") {
        configuration["Routes"][0].as_object_mut().expect("route").remove("TimeoutMs");
    }
    set(&mut configuration, pointer, value);
    let (code, report, text) = check(&configuration, None);
    let findings = report["findings"].as_array().expect("findings");
    let is_expected = |finding: &&Value| {
        finding["severity"] == severity
            && finding["path"] == path
            && finding["message"].as_str().is_some_and(|message| message.contains(part))
    };
    let found = findings.iter().find(is_expected);
    assert!(found.is_some(), "{text}");
    let expected_code = if severity == "error" { 2 } else { 0 };
    assert_eq!(code, Some(expected_code), "{text}");
    assert!(!text.contains(KEY), "{text}");
    let pretty = serde_json::to_string_pretty(&configuration).expect("json");
    let line = found.and_then(|finding| finding["line"].as_u64()).expect("line") as usize;
    let field = path.rsplit('.').next().filter(|field| path.contains('.') && *field != "Service");
    let shown = pretty.lines().nth(line - 1).expect("line of the file");
    assert!(field.is_none_or(|field| shown.contains(field)), "line {line} is {shown}");
}

/// Guards against changes that pass unnoticed, keys that are shown, and a version that nodes ignore.
#[test]
fn differences_are_shown_without_keys() {
    let in_force = configuration();
    let mut new = configuration();
    set(&mut new, "/Version", json!(8));
    set(&mut new, "/Routes/0/TimeoutMs", json!(2000));
    set(&mut new, "/Tenants/0/ApiKeys", json!(["another key"]));
    new["Routes"].as_array_mut().expect("routes").remove(1);
    let (code, report, text) = check(&new, Some(&in_force));
    assert_eq!(code, Some(0), "{text}");
    let paths: Vec<&str> = report["differences"]
        .as_array()
        .expect("differences")
        .iter()
        .filter_map(|difference| difference["path"].as_str())
        .collect();
    for path in ["Version", "Routes[seats].TimeoutMs", "Routes[steps].Host", "Tenants[one].ApiKeys"]
    {
        assert!(paths.contains(&path), "{text}");
    }
    assert!(!text.contains(KEY) && !text.contains("another key"), "{text}");

    let (code, _, text) = check(&in_force, Some(&in_force));
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("version 7 is in force"), "{text}");
}

/// Guards against a key that is shown because its field is misspelt or its organisation has no name.
#[test]
fn keys_in_misplaced_fields_are_not_shown() {
    let mut new = configuration();
    set(&mut new, "/Tenants/-", json!({"ApiKeys": ["secret 1"]}));
    set(&mut new, "/Tenants/-", json!({"Name": "three", "Apikey": ["secret 2"]}));
    let (code, report, text) = check(&new, Some(&configuration()));
    assert_eq!(code, Some(2), "{text}");
    assert!(!text.contains("secret") && !report["differences"].is_null(), "{text}");
}
