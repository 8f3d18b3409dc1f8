//! Division of a service's room among organisations, as nodes decide it without messages.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use deck_limit::{ShareOptions, Shares};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Time that a request holds a slot.
const HOLD_TIME: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(10);
/// Time after which requests are counted.
const WARM_UP: Duration = Duration::from_secs(5);

/// Requests that an organisation sends to a node.
#[derive(Clone)]
struct Load {
    organisation: String,
    node: usize,
    per_s: f64,
    from: Duration,
    until: Duration,
}

fn load(organisation: impl Into<String>, node: usize, per_s: f64) -> Load {
    let (from, until) = (Duration::ZERO, Duration::from_secs(3600));
    Load { organisation: organisation.into(), node, per_s, from, until }
}

/// Numbers of requests of an organisation.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    asked: f64,
    served: f64,
    /// Requests that a node refused.
    refused_by_node: f64,
}

impl Count {
    fn served_fraction(self) -> f64 {
        self.served / self.asked.max(1.0)
    }
}

/// Sends the loads to a service with `slots`, through nodes with accounts of their own. Returns the
/// numbers of requests between `from` and `until`, by organisation.
fn play(loads: &[Load], slots: usize, from: Duration, until: Duration) -> HashMap<String, Count> {
    let node_count = loads.iter().map(|load| load.node + 1).max().unwrap_or(1);
    let nodes: Vec<Shares> = (0..node_count).map(|_| Shares::default()).collect();
    let start = Instant::now();
    let mut busy_until: Vec<Duration> = Vec::new();
    let mut counts: HashMap<String, Count> = HashMap::new();
    let mut rng = StdRng::seed_from_u64(1);
    let mut at = Duration::ZERO;
    for step in 0_usize.. {
        at += STEP;
        if at >= until {
            break;
        }
        busy_until.retain(|end| *end > at);
        // The order of the loads changes, so that none always comes first.
        for position in 0..loads.len() {
            let index = (position + step * 7) % loads.len();
            let load = &loads[index];
            if at < load.from || at >= load.until {
                continue;
            }
            // Several requests of a load may come in one step.
            let chances = 8;
            let probability = load.per_s * STEP.as_secs_f64() / f64::from(chances);
            for _ in 0..chances {
                if !rng.random_bool(probability) {
                    continue;
                }
                let now = start + at;
                let (name, node) = (&load.organisation, &nodes[load.node]);
                let is_admitted = node.admit("s", name, HOLD_TIME, "r", now).is_ok();
                let is_served = is_admitted && busy_until.len() < slots;
                if is_served {
                    busy_until.push(at + HOLD_TIME);
                } else if is_admitted {
                    node.record_refused_by_targets("s", name, HOLD_TIME, now);
                }
                if at >= from {
                    let count = counts.entry(name.clone()).or_default();
                    count.asked += 1.0;
                    count.served += f64::from(u8::from(is_served));
                    count.refused_by_node += f64::from(u8::from(!is_admitted));
                }
            }
        }
    }
    counts
}

/// Returns the fraction of all requests that are served.
fn served_fraction(counts: &HashMap<String, Count>) -> f64 {
    let sum = |part: fn(&Count) -> f64| counts.values().map(part).sum::<f64>();
    sum(|count| count.served) / sum(|count| count.asked)
}

fn assert_nobody_starves(counts: &HashMap<String, Count>) {
    let all = served_fraction(counts);
    for (name, count) in counts {
        assert!(count.served_fraction() >= all / 4.0, "{name}: {count:?} of {all}");
    }
}

/// Load: one organisation sends 400 requests a second to a service that takes 100, and twenty send
/// one each. Guards against small organisations that are refused for a large one.
#[test]
fn small_organisations_are_served_beside_a_large_one() {
    let mut loads: Vec<_> = (0..20).map(|index| load(format!("small {index}"), 0, 1.0)).collect();
    loads.push(load("large", 0, 400.0));
    let counts = play(&loads, 10, WARM_UP, Duration::from_secs(60));
    assert_nobody_starves(&counts);
    for (name, count) in counts.iter().filter(|(name, _)| *name != "large") {
        assert!(count.served_fraction() > 0.75, "{name}: {count:?}");
    }
    let large = counts["large"];
    assert!(large.served + 19.0 * 55.0 > 0.8 * 55.0 * 100.0, "room is unused: {large:?}");
    assert!(large.refused_by_node > 0.5 * large.asked, "{large:?}");
}

/// Load: the small organisations alone need nearly all room. Guards against a large one that is
/// starved because equal parts leave nothing to it.
#[test]
fn large_organisation_is_not_starved_by_many_small_ones() {
    let mut loads: Vec<_> = (0..95).map(|index| load(format!("small {index}"), 0, 1.0)).collect();
    loads.push(load("large", 0, 200.0));
    assert_nobody_starves(&play(&loads, 10, WARM_UP, Duration::from_secs(60)));
}

/// Load: 55 nodes, each with a tenth of the callers' requests a second of 75 organisations; one
/// organisation sends six times what the service takes, through five of the nodes. Guards against an
/// organisation that is starved where each node sees a small part of all callers.
#[test]
fn burst_at_some_of_many_nodes_starves_nobody() {
    let small = (0..75).flat_map(|organisation| {
        (0..4).map(move |copy| {
            load(format!("small {organisation}"), (organisation * 7 + copy * 13) % 55, 0.3)
        })
    });
    let loads: Vec<_> = small.chain((0..5).map(|node| load("large", node, 120.0))).collect();
    let counts = play(&loads, 10, WARM_UP, Duration::from_secs(60));
    assert_nobody_starves(&counts);
}

/// Load: a quarter of what the service takes, nearly all by one organisation.
/// Guards against refusals while there is room.
#[test]
fn nobody_is_refused_while_there_is_room() {
    let loads = [load("large", 0, 80.0), load("small", 0, 10.0)];
    for (name, count) in play(&loads, 40, Duration::ZERO, Duration::from_secs(30)) {
        assert!(count.refused_by_node == 0.0 && count.served == count.asked, "{name}: {count:?}");
    }
}

/// Load: an organisation that alone exceeds the room, and another one that sends as much for a while.
/// Guards against room that stays unused, or that is not given back.
#[test]
fn unused_room_is_lent_and_given_back() {
    let seconds = Duration::from_secs;
    let borrower = load("borrower", 0, 200.0);
    let owner = Load { from: seconds(20), until: seconds(40), ..load("owner", 0, 60.0) };
    let loads = [borrower, owner];
    let alone = play(&loads, 10, seconds(5), seconds(20))["borrower"];
    assert_eq!(alone.refused_by_node, 0.0, "{alone:?}");
    let both = play(&loads, 10, seconds(25), seconds(40));
    assert!(both["owner"].served > 0.65 * 50.0 * 15.0, "{both:?}");
    let after = play(&loads, 10, seconds(45), seconds(60))["borrower"];
    assert!(after.served > 0.95 * alone.served, "{alone:?} {after:?}");
}

/// Load: a thousand requests of an organisation beyond its part at the same moment. Guards against
/// callers that all return at once.
#[test]
fn refused_callers_return_at_different_times() {
    let (shares, start) = (Shares::default(), Instant::now());
    for index in 0..100 {
        shares.admit("s", "large", HOLD_TIME, "r", start + HOLD_TIME * index).expect("room");
    }
    let now = start + HOLD_TIME * 100;
    shares.admit("s", "small", HOLD_TIME, "r", now).expect("room");
    shares.record_refused_by_targets("s", "small", HOLD_TIME, now);
    for _ in 0..10 {
        let _ = shares.admit("s", "large", HOLD_TIME, "r", now);
    }
    let mut returns_by_50_ms: HashMap<u128, usize> = HashMap::new();
    for index in 0..1000 {
        let refusal = shares.admit("s", "large", HOLD_TIME, &format!("r{index}"), now);
        let retry_after = refusal.expect_err("a refusal").retry_after;
        assert!(retry_after <= Duration::from_secs(2), "{retry_after:?}");
        *returns_by_50_ms.entry(retry_after.as_millis() / 50).or_default() += 1;
    }
    assert!(returns_by_50_ms.values().all(|count| *count <= 200), "{returns_by_50_ms:?}");
    shares.admit("s", "small", HOLD_TIME, "r", now).expect("room of its own");
}

/// Load: items of one organisation hold a service's engines, and a request of another one finds no
/// slot. Guards against an organisation that gets two parts, one for its callers and one for its batch
/// jobs.
#[test]
fn requests_and_items_are_in_one_account() {
    let (shares, now) = (Shares::default(), Instant::now());
    let item_time = Duration::from_secs(2);
    for _ in 0..20 {
        shares.charge("s", "trainer", item_time, now);
    }
    shares.charge("s", "other", item_time, now);
    let waiting =
        HashMap::from([("trainer".to_owned(), item_time * 9), ("other".to_owned(), item_time * 9)]);
    assert!(shares.organisations_beyond_part("s", &waiting, now).is_empty(), "there is room");
    shares.record_refused_by_targets("s", "other", HOLD_TIME, now);
    let beyond = shares.organisations_beyond_part("s", &waiting, now);
    assert_eq!(beyond.into_iter().collect::<Vec<_>>(), ["trainer"]);
    let alone = HashMap::from([("trainer".to_owned(), item_time)]);
    assert!(shares.organisations_beyond_part("s", &alone, now).is_empty(), "nobody waits");
}

/// Load: a hundred thousand names that come and go. Guards against state that grows without bound.
#[test]
fn state_is_bounded_while_names_change() {
    let options = ShareOptions { max_accounts: 100, ..ShareOptions::default() };
    let (shares, start) = (Shares::new(options), Instant::now());
    for index in 0..100_000 {
        let now = start + Duration::from_micros(index);
        let _ = shares.admit("s", &format!("o{index}"), HOLD_TIME, "r", now);
        assert!(shares.account_count("s") <= 100);
    }
    let later = start + Duration::from_secs(120);
    shares.admit("s", "last", HOLD_TIME, "r", later).expect("room");
    assert_eq!(shares.account_count("s"), 1);
}
