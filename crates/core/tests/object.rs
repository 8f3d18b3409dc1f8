//! Validation of objects: valid ones are accepted, and errors name the field.

use deck_core::object::{AnySpec, Kind, check_object_name};
use serde_json::{Value, json};
use test_case::test_case;

fn job() -> Value {
    json!({"schema": 1, "spec": {
        "organisation": "vitosha", "pool": "draft-models", "scorer_address": "127.0.0.1:9",
        "samples_per_step": 64, "group_size": 8, "staleness_bound_versions": 2, "max_tokens": 512,
        "step_deadline_ms": 240_000, "prompts": ["a"],
    }})
}

fn pool() -> Value {
    json!({"schema": 1, "spec": {
        "type": "engine", "model": "drafts", "fencing": "checked", "slots_per_target": 8,
        "targets": [{"id": "e1", "address": "127.0.0.1:8001", "data_centre": "sofia-a"}],
    }})
}

/// Guards against a schema that refuses the objects shown in the documentation.
#[test]
fn valid_objects_are_accepted() {
    assert!(AnySpec::parse(Kind::RolloutJob, &job()).is_ok());
    assert!(AnySpec::parse(Kind::TargetPool, &pool()).is_ok());
}

/// Guards against invalid jobs that are accepted, or refused without the name of the field.
#[test_case("/spec/samples_per_step", json!(63), "multiple of spec.group_size"; "incomplete group")]
#[test_case("/spec/scorer_address", json!("scorer"), "spec.scorer_address"; "address")]
#[test_case("/spec/prompts", json!([]), "spec.prompts"; "no prompts")]
#[test_case("/spec/max_tokens", json!(0), "spec.max_tokens"; "no tokens")]
#[test_case("/spec/max_tokens", json!("many"), "invalid type"; "wrong type")]
#[test_case("/spec/colour", json!("red"), "colour"; "unknown field")]
#[test_case("/schema", json!(2), "schema 2"; "newer schema")]
fn bad_jobs_are_refused(pointer: &str, value: Value, expected: &str) {
    assert_refused(Kind::RolloutJob, job(), pointer, value, expected);
}

/// Guards against invalid pools that are accepted, or refused without the name of the field.
#[test_case("/spec/model", json!(""), "spec.model"; "engine without model")]
#[test_case("/spec/type", json!("service"), "spec.model"; "service with model")]
#[test_case("/spec/type", json!("printer"), "printer"; "unknown type")]
#[test_case("/spec/slots_per_target", json!(0), "spec.slots_per_target"; "no slots")]
#[test_case("/spec/serving_floor_percent", json!(101), "spec.serving_floor_percent"; "floor")]
#[test_case("/spec/targets/0/address", json!("host:80"), "spec.targets[0].address"; "host name")]
#[test_case("/spec/idempotent_paths", json!(["read"]), "spec.idempotent_paths[0]"; "path")]
fn bad_pools_are_refused(pointer: &str, value: Value, expected: &str) {
    assert_refused(Kind::TargetPool, pool(), pointer, value, expected);
}

/// Guards against two targets with the same id, whose load would be counted together.
#[test]
fn target_ids_are_unique() {
    let mut value = pool();
    let target = value["spec"]["targets"][0].clone();
    value["spec"]["targets"] = json!([target, target]);
    let error = AnySpec::parse(Kind::TargetPool, &value).expect_err("same id twice");
    assert!(error.to_string().contains("spec.targets[1].id"), "{error}");
}

/// Guards against a second share in the same pool and against a share that is not a percentage.
#[test_case(json!([{"pool": "p", "share_percent": 0}]), "spec.shares[0].share_percent"; "zero")]
#[test_case(json!([{"pool": "p", "share_percent": 60}, {"pool": "p", "share_percent": 40}]), "spec.shares[1].pool"; "pool twice")]
fn bad_shares_are_refused(shares: Value, expected: &str) {
    let value = json!({"schema": 1, "spec": {"shares": shares}});
    let error = AnySpec::parse(Kind::OrganisationShare, &value).expect_err("invalid share");
    assert!(error.to_string().contains(expected), "{error}");
}

#[test_case("draft-models.v2", true; "plain")]
#[test_case("", false; "empty")]
#[test_case("a/b", false; "separator")]
#[test_case("Upper", false; "upper case")]
fn names_are_checked(name: &str, valid: bool) {
    assert_eq!(check_object_name(name).is_ok(), valid);
}

fn assert_refused(kind: Kind, mut value: Value, pointer: &str, invalid: Value, expected: &str) {
    match value.pointer_mut(pointer) {
        Some(field) => *field = invalid,
        None => value["spec"][pointer.rsplit('/').next().expect("name")] = invalid,
    }
    let error = AnySpec::parse(kind, &value).expect_err("invalid object");
    assert!(error.to_string().contains(expected), "{error} does not name {expected}");
}
