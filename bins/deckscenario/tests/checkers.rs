//! Each invariant check accepts valid records and reports a violation in faulty ones.

use deckscenario::{
    comparison::{Relation, lookup, parse_expected},
    invariants,
    records::{Booking, JournalEntry, ObjectWrite, OrganisationTokens},
};
use serde_json::{Value, from_value, json};
use test_case::test_case;

fn entries(values: Value) -> Vec<JournalEntry> {
    from_value(values).expect("entries")
}

fn sample(id: &str, trainer_version: u64, spans: Value) -> Value {
    json!({ "sample": { "run": 1, "id": id, "step": 0, "text_key": "k", "spans": spans,
        "trainer_version": trainer_version } })
}

fn tokens(request_id: &str, weight_version: u64, from: u32, to: u32) -> Value {
    json!({ "tokens": { "request_id": request_id, "text_key": "k",
        "weight_version": weight_version, "from": from, "to": to } })
}

fn step(samples_per_step: usize) -> Value {
    json!({ "step": { "run": 1, "step": 0, "samples_per_step": samples_per_step } })
}

fn one_span(weight_version: u64, token_count: u32) -> Value {
    json!([{ "weight_version": weight_version, "token_count": token_count }])
}

#[test]
fn repeated_execution_is_found() {
    let once = json!({ "execution": { "key": "a" } });
    let without_key = json!({ "execution": { "key": null } });
    let valid = entries(json!([once, without_key, without_key]));
    assert_eq!(invariants::check_executions(&valid), Vec::<String>::new());
    assert_eq!(invariants::check_executions(&entries(json!([once, once]))), ["key a ran 2 times"]);
}

#[test_case("ok", false, 1, true; "confirmed and ran once")]
#[test_case("ok", false, 0, false; "confirmed and did not run")]
#[test_case("ok", false, 2, false; "ran twice")]
#[test_case("not_run", true, 0, true; "refused as not run and did not run")]
#[test_case("not_run", true, 1, false; "refused as not run and ran")]
#[test_case("unknown", false, 1, true; "unknown and ran")]
#[test_case("unknown", false, 0, true; "unknown and did not run")]
fn booking_that_contradicts_the_service_is_found(
    outcome: &str,
    never_run: bool,
    executions: usize,
    is_valid: bool,
) {
    let booking = Booking { key: Some("a".to_owned()), outcome: outcome.to_owned(), never_run };
    let journal = entries(json!(vec![json!({ "execution": { "key": "a" } }); executions]));
    assert_eq!(invariants::check_bookings(&[booking], &journal).is_empty(), is_valid);
}

#[test_case(json!([]), 2, true; "complete step")]
#[test_case(json!([]), 3, false; "incomplete step")]
#[test_case(json!([sample("j/0/0/1", 1, json!([]))]), 3, false; "sample received twice")]
#[test_case(json!([{ "duplicate": { "step": 0, "group": 0 } }]), 2, false; "held group delivered again")]
#[test_case(json!([{ "violation": "x" }]), 2, false; "protocol violation")]
fn incomplete_or_repeated_samples_are_found(
    further_entries: Value,
    samples_per_step: usize,
    is_valid: bool,
) {
    let mut journal = vec![sample("j/0/0/0", 1, json!([])), sample("j/0/0/1", 1, json!([]))];
    journal.extend(further_entries.as_array().expect("array").iter().cloned());
    journal.push(step(samples_per_step));
    assert_eq!(invariants::check_samples(&entries(json!(journal))).is_empty(), is_valid);
}

#[test_case(1, 1, 0, true; "fresh")]
#[test_case(3, 1, 2, true; "at the bound")]
#[test_case(4, 1, 2, false; "beyond the bound")]
fn stale_sample_is_found(
    trainer_version: u64,
    oldest_version: u64,
    bound_versions: u64,
    is_valid: bool,
) {
    let spans = json!([{ "weight_version": 9, "token_count": 1 },
        { "weight_version": oldest_version, "token_count": 1 }]);
    let journal = entries(json!([sample("a", trainer_version, spans)]));
    assert_eq!(invariants::check_staleness(&journal, bound_versions).is_empty(), is_valid);
}

#[test_case(json!([tokens("r", 1, 0, 6), tokens("s", 1, 4, 10)]), true; "resumed on another engine")]
#[test_case(json!([tokens("r", 1, 0, 6), tokens("s", 1, 7, 10)]), false; "token that no engine generated")]
#[test_case(json!([tokens("r", 1, 0, 6), tokens("s", 2, 6, 10)]), false; "wrong version")]
#[test_case(json!([tokens("j/0/0/1", 1, 0, 4), tokens("r", 1, 0, 10)]), false;
    "tokens of another request")]
#[test_case(json!([tokens("j/0/0/1#2", 1, 0, 10)]), true; "second attempt of the sample")]
#[test_case(json!([tokens("j/0/0/12", 1, 0, 10), tokens("j/0/0/1", 1, 0, 5)]), false;
    "tokens of another sample")]
#[test_case(json!([]), false; "no record")]
fn span_that_no_engine_generated_is_found(engines: Value, is_valid: bool) {
    let trainer = entries(json!([sample("j/0/0/1", 1, one_span(1, 10))]));
    assert_eq!(invariants::check_spans(&trainer, &entries(engines)).is_empty(), is_valid);
}

#[test]
fn sample_without_version_is_found() {
    let trainer = entries(json!([sample("j/0/0/1", 1, json!([]))]));
    assert_eq!(invariants::check_spans(&trainer, &[]).len(), 1);
}

#[test_case(&[2, 3, 3], true; "forward only")]
#[test_case(&[3, 2], false; "reverted")]
#[test_case(&[5], false; "revision of another object")]
fn reverted_configuration_is_found(accepted: &[u64], is_valid: bool) {
    let write = |name: &str, revision| {
        json!({ "kind": "TargetPool", "name": name,
        "revision": revision, "value": {} })
    };
    let mut history = vec![write("p", 2), write("p", 3), write("q", 5)];
    history.extend(accepted.iter().map(|accepted| {
        json!({ "kind": "TargetPoolStatus", "name": "p", "revision": 9,
            "value": { "schema": 1, "spec": { "accepted_revision": accepted } } })
    }));
    let history: Vec<ObjectWrite> = from_value(json!(history)).expect("history");
    assert_eq!(invariants::check_configuration(&history).is_empty(), is_valid);
}

fn order(fencing: u64, action: &str, version: u64, accepted: bool) -> Value {
    json!({ "order": { "fencing": fencing, "action": action, "version": version,
        "accepted": accepted } })
}

#[test_case(json!([order(1, "switch", 2, true), order(2, "switch", 3, true)]), true; "forward")]
#[test_case(json!([order(1, "switch", 3, true), order(1, "switch", 2, true)]), false; "older version")]
#[test_case(json!([order(2, "stage", 2, true), order(1, "stage", 2, true)]), false; "stale fencing")]
#[test_case(json!([order(2, "switch", 3, true), order(1, "switch", 2, false)]), true;
    "stale order refused")]
fn order_with_older_version_or_fencing_is_found(orders: Value, is_valid: bool) {
    assert_eq!(invariants::check_versions(&entries(orders)).is_empty(), is_valid);
}

#[test_case(12, true; "at the bound")]
#[test_case(13, false; "above the bound")]
fn multiplied_load_is_found(executions: usize, is_valid: bool) {
    let journal = entries(json!(vec![json!({ "execution": { "key": null } }); executions]));
    assert_eq!(invariants::check_load_factor(1.1, 1, 10, &journal).is_empty(), is_valid);
}

#[test_case(json!({ "a": { "tokens": 75 }, "b": { "tokens": 25 } }), true; "as promised")]
#[test_case(json!({ "a": { "tokens": 50 }, "b": { "tokens": 50 } }), false; "too little")]
#[test_case(json!({ "a": { "tokens": 0 }, "b": { "tokens": 0 } }), false; "no tokens")]
#[test_case(json!({}), false; "no organisations")]
fn missed_share_is_found(organisations: Value, is_valid: bool) {
    let token_counts = OrganisationTokens::from_report(&json!({ "organisations": organisations }));
    assert_eq!(invariants::check_share("a", 75.0, 10.0, &token_counts).is_empty(), is_valid);
}

/// Guards against an expectation that holds for an absent field.
#[test_case("a.0.b", Relation::Equal, "1", true; "present")]
#[test_case("a.#", Relation::Equal, "1", true; "length")]
#[test_case("a.0.c", Relation::Equal, "0", false; "absent is not zero")]
#[test_case("a.0.c", Relation::AtMost, "5", false; "absent has no order")]
#[test_case("s", Relation::Equal, "failed", true; "text")]
#[test_case("s", Relation::Greater, "1", false; "text has no order")]
fn comparisons_of_records(field_path: &str, relation: Relation, expected: &str, holds: bool) {
    let record = json!({ "a": [{ "b": 1 }], "s": "failed" });
    assert_eq!(relation.holds(&lookup(&record, field_path), &parse_expected(expected)), holds);
}
