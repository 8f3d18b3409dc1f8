//! For how long a node may rely on the keys of its configuration.

use std::time::Duration;

use deck_core::boot_clock::BootInstant;
use deck_fleet::{ConfigurationCurrency, ConfirmationRole};

/// Bound on the withdrawal of a key.
const BOUND: Duration = Duration::from_secs(5);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against a node that is frozen, suspended, or cut from the object API and from all nodes, and
/// goes on with keys that may have been withdrawn; and against one that stops earlier than it has to.
#[test]
fn confirmation_allows_keys_for_the_bound() {
    let start = BootInstant::now();
    let mut currency = ConfigurationCurrency::default();
    currency.set_in_force(1);
    currency.confirm(1, start);
    assert!(currency.allows_keys(BOUND, start + seconds(4.8)));
    assert!(!currency.allows_keys(BOUND, start + BOUND));
    assert!(!currency.allows_keys(BOUND, start + seconds(3600.0)));
    currency.confirm(1, start + seconds(3600.0));
    assert!(currency.allows_keys(BOUND, start + seconds(3600.0)));
}

/// Guards against a node that restarts with an old list and takes it for current, also when another
/// node states an age for a newer one.
#[test]
fn old_list_is_not_current() {
    let start = BootInstant::now();
    let mut currency = ConfigurationCurrency::default();
    assert!(!currency.allows_keys(BOUND, start));
    currency.set_in_force(1);
    assert!(!currency.allows_keys(BOUND, start));
    currency.confirm(2, start);
    assert!(!currency.allows_keys(BOUND, start));
    currency.set_in_force(2);
    assert!(currency.allows_keys(BOUND, start));
}

/// Guards against a confirmation of the second of two versions in quick succession that counts for the
/// first one, and against one that is lost while the second is on its way.
#[test]
fn confirmation_counts_for_its_version_and_later_ones() {
    let start = BootInstant::now();
    let mut currency = ConfigurationCurrency::default();
    currency.set_in_force(1);
    currency.confirm(1, start);
    currency.confirm(3, start + seconds(2.0));
    assert_eq!(currency.confirmed_at(), Some(start));
    currency.set_in_force(2);
    assert_eq!(currency.confirmed_at(), Some(start), "version 2 is not the newest");
    currency.set_in_force(3);
    assert_eq!(currency.confirmed_at(), Some(start + seconds(2.0)));
    // The answer to an earlier read arrives late.
    currency.confirm(2, start + seconds(1.0));
    assert_eq!(currency.confirmed_at(), Some(start + seconds(2.0)));
    currency.confirm(2, start + seconds(3.0));
    assert_eq!(currency.confirmed_at(), Some(start + seconds(3.0)));
}

/// Guards against nodes that refuse keys while watchers confirm the configuration as usual, and against
/// ones that refuse them earlier than three fifths of the bound after they lose all others.
#[test]
fn usual_age_leaves_time_without_contact() {
    // A poll of a watcher is held for up to half a second, and the next one follows as long after it.
    let polls = seconds(1.0);
    let usual_age = ConfirmationRole::Watcher.max_age(BOUND) + polls;
    assert!(usual_age + BOUND * 3 / 5 < BOUND.mul_f64(0.98), "{usual_age:?}");
    assert!(usual_age < ConfirmationRole::Reader.max_age(BOUND), "each reader would read as well");
}
