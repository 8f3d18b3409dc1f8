//! Each checker accepts sound records and finds a planted fault.

use deckscenario::{
    comparison::{Relation, literal, lookup},
    invariants,
    records::{Booking, Entry, Received, Write},
};
use serde_json::{Value, from_value, json};
use test_case::test_case;

fn entries(values: Value) -> Vec<Entry> {
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
fn doubled_execution_is_found() {
    let once = json!({ "execution": { "key": "a" } });
    let without_key = json!({ "execution": { "key": null } });
    let sound = entries(json!([once, without_key, without_key]));
    assert_eq!(invariants::executions(&sound), Vec::<String>::new());
    assert_eq!(invariants::executions(&entries(json!([once, once]))), ["key a ran 2 times"]);
}

#[test_case("ok", false, 1, true; "answered and ran once")]
#[test_case("ok", false, 0, false; "answered and did not run")]
#[test_case("ok", false, 2, false; "ran twice")]
#[test_case("not_run", true, 0, true; "true refusal")]
#[test_case("not_run", true, 1, false; "refused as not run and ran")]
#[test_case("unknown", false, 1, true; "unknown and ran")]
#[test_case("unknown", false, 0, true; "unknown and did not run")]
fn booking_that_contradicts_the_service_is_found(
    outcome: &str,
    never_run: bool,
    executions: usize,
    is_sound: bool,
) {
    let booking = Booking { key: Some("a".to_owned()), outcome: outcome.to_owned(), never_run };
    let ran = entries(json!(vec![json!({ "execution": { "key": "a" } }); executions]));
    assert_eq!(invariants::bookings(&[booking], &ran).is_empty(), is_sound);
}

#[test_case(json!([]), 2, true; "complete step")]
#[test_case(json!([]), 3, false; "incomplete step")]
#[test_case(json!([sample("j/0/0/1", 1, json!([]))]), 3, false; "sample twice")]
#[test_case(json!([{ "duplicate": { "step": 0, "group": 0 } }]), 2, false; "held group came again")]
#[test_case(json!([{ "violation": "x" }]), 2, false; "protocol violation")]
fn incomplete_or_repeated_samples_are_found(more: Value, samples_per_step: usize, is_sound: bool) {
    let mut all = vec![sample("j/0/0/0", 1, json!([])), sample("j/0/0/1", 1, json!([]))];
    all.extend(more.as_array().expect("array").iter().cloned());
    all.push(step(samples_per_step));
    assert_eq!(invariants::samples(&entries(json!(all))).is_empty(), is_sound);
}

#[test_case(1, 1, 0, true; "fresh")]
#[test_case(3, 1, 2, true; "at the bound")]
#[test_case(4, 1, 2, false; "beyond the bound")]
fn stale_sample_is_found(trainer_version: u64, oldest: u64, bound: u64, is_sound: bool) {
    let spans = json!([{ "weight_version": 9, "token_count": 1 },
        { "weight_version": oldest, "token_count": 1 }]);
    let all = entries(json!([sample("a", trainer_version, spans)]));
    assert_eq!(invariants::staleness(&all, bound).is_empty(), is_sound);
}

#[test_case(json!([tokens("r", 1, 0, 6), tokens("s", 1, 4, 10)]), true; "resumed elsewhere")]
#[test_case(json!([tokens("r", 1, 0, 6), tokens("s", 1, 7, 10)]), false; "token that nobody made")]
#[test_case(json!([tokens("r", 1, 0, 6), tokens("s", 2, 6, 10)]), false; "wrong version")]
#[test_case(json!([tokens("j/0/0/1", 1, 0, 4), tokens("r", 1, 0, 10)]), false;
    "tokens of another request")]
#[test_case(json!([tokens("j/0/0/1#2", 1, 0, 10)]), true; "second try of the sample")]
#[test_case(json!([tokens("j/0/0/12", 1, 0, 10), tokens("j/0/0/1", 1, 0, 5)]), false;
    "tokens of another sample")]
#[test_case(json!([]), false; "no record")]
fn span_that_no_engine_made_is_found(engines: Value, is_sound: bool) {
    let trainer = entries(json!([sample("j/0/0/1", 1, one_span(1, 10))]));
    assert_eq!(invariants::spans(&trainer, &entries(engines)).is_empty(), is_sound);
}

#[test]
fn sample_without_version_is_found() {
    let trainer = entries(json!([sample("j/0/0/1", 1, json!([]))]));
    assert_eq!(invariants::spans(&trainer, &[]).len(), 1);
}

#[test_case(&[2, 3, 3], true; "forward only")]
#[test_case(&[3, 2], false; "reverted")]
#[test_case(&[5], false; "revision of another object")]
fn reverted_configuration_is_found(accepted: &[u64], is_sound: bool) {
    let object = |name: &str, revision| {
        json!({ "kind": "TargetPool", "name": name,
        "revision": revision, "value": {} })
    };
    let mut history = vec![object("p", 2), object("p", 3), object("q", 5)];
    history.extend(accepted.iter().map(|accepted| {
        json!({ "kind": "TargetPoolStatus", "name": "p", "revision": 9,
            "value": { "schema": 1, "spec": { "accepted_revision": accepted } } })
    }));
    let history: Vec<Write> = from_value(json!(history)).expect("history");
    assert_eq!(invariants::configuration(&history).is_empty(), is_sound);
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
fn order_that_goes_back_is_found(orders: Value, is_sound: bool) {
    assert_eq!(invariants::versions(&entries(orders)).is_empty(), is_sound);
}

#[test_case(12, true; "at the bound")]
#[test_case(13, false; "above the bound")]
fn multiplied_load_is_found(runs: usize, is_sound: bool) {
    let ran = entries(json!(vec![json!({ "execution": { "key": null } }); runs]));
    assert_eq!(invariants::load_factor(1.1, 1, 10, &ran).is_empty(), is_sound);
}

#[test_case(json!({ "a": { "tokens": 75 }, "b": { "tokens": 25 } }), true; "as promised")]
#[test_case(json!({ "a": { "tokens": 50 }, "b": { "tokens": 50 } }), false; "too little")]
#[test_case(json!({ "a": { "tokens": 0 }, "b": { "tokens": 0 } }), false; "nothing at all")]
#[test_case(json!({}), false; "no organisations")]
fn missed_share_is_found(organisations: Value, is_sound: bool) {
    let received = Received::of_report(&json!({ "organisations": organisations }));
    assert_eq!(invariants::share("a", 75.0, 10.0, &received).is_empty(), is_sound);
}

/// Guards against expectations on an absent place that hold.
#[test_case("a.0.b", Relation::Equal, "1", true; "present")]
#[test_case("a.#", Relation::Equal, "1", true; "length")]
#[test_case("a.0.c", Relation::Equal, "0", false; "absent is not zero")]
#[test_case("a.0.c", Relation::AtMost, "5", false; "absent has no order")]
#[test_case("s", Relation::Equal, "failed", true; "text")]
#[test_case("s", Relation::Greater, "1", false; "text has no order")]
fn comparisons_of_records(place: &str, relation: Relation, expected: &str, holds: bool) {
    let record = json!({ "a": [{ "b": 1 }], "s": "failed" });
    assert_eq!(relation.holds(&lookup(&record, place), &literal(expected)), holds);
}
