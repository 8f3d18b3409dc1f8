//! Configuration relay: changes are announced on all links and fetched from one; digests repair
//! what was missed.
//!
//! Announcements are small, so each VM receives an object itself about once although it has about
//! 16 links.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{hash::hash64, id::Revision, object::Kind};
use rand::RngExt;
use serde_bytes::ByteBuf;

use crate::{
    config::ConfigView,
    links::{self, Link},
    peer::Shared,
    wire::{ConfigDigest, ConfigSummary, Message, VersionKey},
};

/// Buckets of the digest; a difference costs the versions of one bucket instead of all.
const BUCKETS: usize = 32;
/// Mask with the bits of all buckets.
const ALL_BUCKETS: u64 = (1 << BUCKETS) - 1;
/// Versions asked for in one message.
const FETCH_VERSIONS: usize = 64;
/// Bytes of values after which an answer to a fetch ends; the rest is asked for again.
const OBJECTS_BYTES: usize = 256 * 1024;
/// Time after which a version is fetched from another VM although one was asked before.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between digests while this VM has not been complete yet.
const UNSYNCED_REPAIR_PERIOD: Duration = Duration::from_millis(500);

type ObjectKey = (Kind, String);

/// Versions that a link announced and that are to be fetched on it.
#[derive(Default)]
pub(crate) struct FetchQueue {
    wanted: BTreeMap<ObjectKey, Revision>,
    /// Versions asked for on this link whose answer has not arrived.
    asked: Vec<VersionKey>,
}

/// State of the relay that is common to all links.
#[derive(Default)]
pub(crate) struct RelayState {
    /// Versions being fetched, with the time of the request.
    fetching: HashMap<ObjectKey, (Revision, Instant)>,
    /// Versions that a synced VM had; this VM is synced once it has them.
    sync_target: Option<Vec<VersionKey>>,
}

/// Announces new versions on all links.
pub(crate) async fn announce_changes(shared: Rc<Shared>) {
    let mut changes = shared.config.changes();
    let mut announced = HashMap::new();
    loop {
        let revisions = shared.config.revisions();
        let news: Vec<_> = revisions
            .iter()
            .filter(|(key, revision)| announced.get(*key) != Some(*revision))
            .map(|((kind, name), &revision)| version_key(*kind, name, revision))
            .collect();
        announced = revisions;
        if !news.is_empty() {
            links::broadcast(&shared, &Message::ConfigNews(news), None);
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Compares digests with one random partner in each period.
pub(crate) async fn repair(shared: Rc<Shared>) {
    loop {
        let period = if shared.config.is_synced() {
            shared.options.repair_period
        } else {
            UNSYNCED_REPAIR_PERIOD.min(shared.options.repair_period)
        };
        // Spread, so that the VMs of a deployment that starts do not all compare at once.
        let factor = rand::rng().random_range(0.5..1.5);
        monoio::time::sleep(period.mul_f64(factor)).await;
        let Some(link) = shared.random_link(|_| true) else { continue };
        link.send(&shared, &Message::MembersDigest(shared.members.borrow().digest()));
        link.send(&shared, &Message::ConfigDigest(digest(&shared)));
    }
}

/// Returns the digests of the configuration that this VM has.
pub(crate) fn digest(shared: &Shared) -> ConfigDigest {
    let bytes: Vec<u8> =
        bucket_digests(&shared.config).iter().flat_map(|digest| digest.to_le_bytes()).collect();
    ConfigDigest { synced: shared.config.is_synced(), buckets: ByteBuf::from(bytes) }
}

fn bucket_digests(config: &ConfigView) -> [u64; BUCKETS] {
    let mut digests = [0; BUCKETS];
    for ((kind, name), revision) in config.revisions() {
        digests[bucket(kind, &name)] ^= hash64(format!("{kind}/{name}/{revision}").as_bytes());
    }
    digests
}

fn bucket(kind: Kind, name: &str) -> usize {
    (hash64(format!("{kind}/{name}").as_bytes()) % BUCKETS as u64) as usize
}

/// Handles the announcement of versions.
pub(crate) fn on_news(shared: &Shared, link: &Link, keys: Vec<VersionKey>) {
    let now = Instant::now();
    {
        let mut state = shared.relay.borrow_mut();
        let mut queue = link.fetches.borrow_mut();
        for VersionKey { kind, name, revision } in keys {
            if shared.config.newest_revision(kind, &name) >= revision {
                continue;
            }
            let key = (kind, name);
            let is_asked = state.fetching.get(&key).is_some_and(|(asked, since)| {
                *asked >= revision && now.saturating_duration_since(*since) < FETCH_TIMEOUT
            });
            if !is_asked {
                state.fetching.insert(key.clone(), (revision, now));
                queue.wanted.insert(key, revision);
            }
        }
    }
    fetch_next(shared, link);
}

/// Asks for the next wanted versions if no answer is outstanding.
fn fetch_next(shared: &Shared, link: &Link) {
    let asked = {
        let mut queue = link.fetches.borrow_mut();
        if !queue.asked.is_empty() {
            return;
        }
        queue.wanted.retain(|(kind, name), revision| {
            shared.config.newest_revision(*kind, name) < *revision
        });
        let next = queue.wanted.iter().take(FETCH_VERSIONS);
        let asked: Vec<_> =
            next.map(|((kind, name), revision)| version_key(*kind, name, *revision)).collect();
        queue.asked = asked.clone();
        asked
    };
    if !asked.is_empty() {
        link.send(shared, &Message::ConfigFetch(asked));
    }
}

/// Answers a request for versions; an answer that is too large ends early.
pub(crate) fn on_fetch(shared: &Shared, link: &Link, keys: &[VersionKey]) {
    let mut size_bytes = 0;
    let mut versions = Vec::new();
    for key in keys {
        let Some(version) = shared.config.version(key.kind, &key.name) else { continue };
        if version.revision < key.revision {
            continue;
        }
        if let Some(value) = &version.value {
            size_bytes += serde_json::to_vec(value).map_or(0, |bytes| bytes.len());
        }
        if size_bytes > OBJECTS_BYTES && !versions.is_empty() {
            break;
        }
        versions.push(version);
    }
    link.send(shared, &Message::ConfigObjects(versions));
}

/// Applies versions that were asked for.
pub(crate) fn on_objects(
    shared: &Shared,
    link: &Link,
    versions: Vec<crate::config::ObjectVersion>,
) {
    {
        let mut queue = link.fetches.borrow_mut();
        let asked = std::mem::take(&mut queue.asked);
        if versions.is_empty() {
            // The other side has none of them: asking again would not end.
            for key in asked {
                queue.wanted.remove(&(key.kind, key.name));
            }
        }
    }
    for version in versions {
        let key = (version.kind, version.name.clone());
        shared.relay.borrow_mut().fetching.remove(&key);
        if deck_core::object::check_object_name(&version.name).is_ok() {
            shared.config.apply(version);
        }
    }
    check_sync_target(shared);
    fetch_next(shared, link);
}

/// Compares the digests of another VM with the own ones.
pub(crate) fn on_digest(shared: &Shared, link: &Link, digest: &ConfigDigest) {
    let own = bucket_digests(&shared.config);
    let received: Vec<_> = digest.buckets.chunks_exact(8).collect();
    let is_equal = |index: usize| received.get(index) == Some(&&own[index].to_le_bytes()[..]);
    let bucket_mask = if digest.synced {
        (0..BUCKETS).filter(|&index| !is_equal(index)).fold(0, |mask, index| mask | 1 << index)
    } else {
        ALL_BUCKETS
    };
    if bucket_mask == 0 {
        return;
    }
    let complete = shared.config.is_synced() && bucket_mask == ALL_BUCKETS;
    let keys = versions_in(&shared.config, bucket_mask);
    let summary = ConfigSummary { complete, bucket_mask, keys };
    link.send(shared, &Message::ConfigSummary(summary));
}

/// Fetches what a summary has newer and announces what this VM has newer.
pub(crate) fn on_summary(shared: &Shared, link: &Link, summary: ConfigSummary) {
    let theirs: HashMap<_, _> =
        summary.keys.iter().map(|key| ((key.kind, key.name.as_str()), key.revision)).collect();
    let mut newer = versions_in(&shared.config, summary.bucket_mask);
    newer.retain(|key| {
        theirs.get(&(key.kind, key.name.as_str())).is_none_or(|theirs| key.revision > *theirs)
    });
    if !newer.is_empty() {
        link.send(shared, &Message::ConfigNews(newer));
    }
    if summary.complete && !shared.config.is_synced() {
        shared.relay.borrow_mut().sync_target = Some(summary.keys.clone());
        check_sync_target(shared);
    }
    on_news(shared, link, summary.keys);
}

/// Declares the view complete once it has all that a synced VM had.
fn check_sync_target(shared: &Shared) {
    let mut state = shared.relay.borrow_mut();
    let Some(target) = &state.sync_target else { return };
    let has = |key: &VersionKey| shared.config.newest_revision(key.kind, &key.name) >= key.revision;
    if target.iter().all(has) {
        state.sync_target = None;
        drop(state);
        shared.config.set_synced();
    }
}

/// Forgets the fetches of a closed link and asks the others for what is missing.
pub(crate) fn forget_fetches(shared: &Shared, link: &Link) {
    let queue = link.fetches.take();
    if queue.wanted.is_empty() {
        return;
    }
    for key in queue.wanted.keys() {
        shared.relay.borrow_mut().fetching.remove(key);
    }
    links::broadcast(shared, &Message::ConfigDigest(digest(shared)), None);
}

fn versions_in(config: &ConfigView, bucket_mask: u64) -> Vec<VersionKey> {
    let revisions = config.revisions().into_iter();
    revisions
        .filter(|((kind, name), _)| bucket_mask & (1 << bucket(*kind, name)) != 0)
        .map(|((kind, name), revision)| VersionKey { kind, name, revision })
        .collect()
}

fn version_key(kind: Kind, name: &str, revision: Revision) -> VersionKey {
    VersionKey { kind, name: name.to_owned(), revision }
}
