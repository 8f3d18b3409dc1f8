//! Configuration relay: spreads configuration objects from the watchers of the object API to all
//! VMs.
//!
//! New versions are announced on all links, and each VM fetches a version on one of the links on
//! which it was announced. It therefore receives the object about once, although it has about 16
//! links. Versions whose announcement was missed are found by anti-entropy: partners periodically
//! compare digests of their configuration.
//!
//! A VM is synced once it has had all objects of the deployment at some time since its process
//! started, read from the object API or listed completely by a VM that was synced.

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
    peer::SharedState,
    wire::{ConfigDigest, ConfigSummary, Message, VersionKey},
};

/// Number of buckets into which objects are divided for digests, so that after a difference only
/// the versions in one bucket have to be compared.
const DIGEST_BUCKETS: usize = 32;
/// Bit mask that selects all digest buckets.
const ALL_BUCKETS_MASK: u64 = (1 << DIGEST_BUCKETS) - 1;
/// Maximum number of object versions requested in one message.
const MAX_VERSIONS_PER_FETCH: usize = 64;
/// Size of the values in a reply above which no further version is added; the requesting VM
/// requests the remaining versions again.
const MAX_REPLY_VALUE_BYTES: usize = 256 * 1024;
/// Time after which a version that was requested on one link and has not arrived may be requested
/// on another.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Mean time between anti-entropy exchanges until this VM has received the whole configuration.
const UNSYNCED_ANTI_ENTROPY_PERIOD: Duration = Duration::from_millis(500);

/// Kind and name of an object.
type ObjectKey = (Kind, String);

/// Object versions to fetch on a link, on which they were announced.
#[derive(Default)]
pub(crate) struct FetchQueue {
    /// Revision to fetch of each object that has not been received yet.
    wanted_revisions: BTreeMap<ObjectKey, Revision>,
    /// Versions in the request that has not been answered yet; empty if there is none.
    requested_versions: Vec<VersionKey>,
}

/// Fetches in progress on all links, and the state of the first synchronisation.
#[derive(Default)]
pub(crate) struct RelayState {
    /// Newest revision of each object that was requested on some link, with the time of the
    /// request.
    in_flight: HashMap<ObjectKey, (Revision, Instant)>,
    /// Complete list of the object versions of a synced VM. This VM becomes synced once it has all
    /// of them; `None` if it is synced or has not received such a list.
    versions_to_sync: Option<Vec<VersionKey>>,
}

/// Announces each new object version on all links.
pub(crate) async fn announce_changes(shared: Rc<SharedState>) {
    let mut changes = shared.config.subscribe();
    let mut announced = HashMap::new();
    loop {
        let revisions = shared.config.newest_revisions();
        let new_versions: Vec<_> = revisions
            .iter()
            .filter(|(key, revision)| announced.get(*key) != Some(*revision))
            .map(|((kind, name), &revision)| version_key(*kind, name, revision))
            .collect();
        announced = revisions;
        if !new_versions.is_empty() {
            links::broadcast(&shared, &Message::ConfigNews(new_versions), None);
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Sends digests of members and configuration on one random link in each period.
pub(crate) async fn run_anti_entropy(shared: Rc<SharedState>) {
    loop {
        let period = if shared.config.is_synced() {
            shared.options.anti_entropy_period
        } else {
            UNSYNCED_ANTI_ENTROPY_PERIOD.min(shared.options.anti_entropy_period)
        };
        // Jitter, so that VMs that started together do not send at the same time.
        let jitter = rand::rng().random_range(0.5..1.5);
        monoio::time::sleep(period.mul_f64(jitter)).await;
        let Some(link) = shared.random_link(|_| true) else { continue };
        link.send(&shared, &Message::MembersDigest(shared.members.borrow().digest()));
        link.send(&shared, &Message::ConfigDigest(digest(&shared)));
    }
}

/// Returns the digest message for the configuration known to this VM.
pub(crate) fn digest(shared: &SharedState) -> ConfigDigest {
    let bytes: Vec<u8> =
        bucket_digests(&shared.config).iter().flat_map(|digest| digest.to_le_bytes()).collect();
    ConfigDigest { synced: shared.config.is_synced(), buckets: ByteBuf::from(bytes) }
}

/// Returns the XOR of the hashes of all object versions in each bucket.
fn bucket_digests(config: &ConfigView) -> [u64; DIGEST_BUCKETS] {
    let mut digests = [0; DIGEST_BUCKETS];
    for ((kind, name), revision) in config.newest_revisions() {
        digests[bucket_index(kind, &name)] ^=
            hash64(format!("{kind}/{name}/{revision}").as_bytes());
    }
    digests
}

/// Returns the digest bucket of an object.
fn bucket_index(kind: Kind, name: &str) -> usize {
    (hash64(format!("{kind}/{name}").as_bytes()) % DIGEST_BUCKETS as u64) as usize
}

/// Handles an announcement: fetches the versions that are newer than the known ones, unless the
/// same or a newer version was requested on another link less than [`FETCH_TIMEOUT`] ago.
pub(crate) fn on_announcement(shared: &SharedState, link: &Link, keys: Vec<VersionKey>) {
    let now = Instant::now();
    {
        let mut state = shared.relay_state.borrow_mut();
        let mut fetch_queue = link.config_fetches.borrow_mut();
        for VersionKey { kind, name, revision } in keys {
            if shared.config.newest_revision(kind, &name) >= revision {
                continue;
            }
            let key = (kind, name);
            let is_requested =
                state.in_flight.get(&key).is_some_and(|(requested, requested_at)| {
                    *requested >= revision
                        && now.saturating_duration_since(*requested_at) < FETCH_TIMEOUT
                });
            if !is_requested {
                state.in_flight.insert(key.clone(), (revision, now));
                fetch_queue.wanted_revisions.insert(key, revision);
            }
        }
    }
    request_next_versions(shared, link);
}

/// Requests the next versions in the fetch queue of a link, unless a request on it has not been
/// answered yet.
fn request_next_versions(shared: &SharedState, link: &Link) {
    let requested = {
        let mut fetch_queue = link.config_fetches.borrow_mut();
        if !fetch_queue.requested_versions.is_empty() {
            return;
        }
        fetch_queue.wanted_revisions.retain(|(kind, name), revision| {
            shared.config.newest_revision(*kind, name) < *revision
        });
        let next_versions = fetch_queue.wanted_revisions.iter().take(MAX_VERSIONS_PER_FETCH);
        let requested: Vec<_> = next_versions
            .map(|((kind, name), revision)| version_key(*kind, name, *revision))
            .collect();
        fetch_queue.requested_versions = requested.clone();
        requested
    };
    if !requested.is_empty() {
        link.send(shared, &Message::ConfigFetch(requested));
    }
}

/// Handles a request for versions: replies with those that this VM has, up to the size limit.
pub(crate) fn on_fetch(shared: &SharedState, link: &Link, keys: &[VersionKey]) {
    let mut size_bytes = 0;
    let mut versions = Vec::new();
    for key in keys {
        let Some(version) = shared.config.newest_version(key.kind, &key.name) else { continue };
        if version.revision < key.revision {
            continue;
        }
        if let Some(value) = &version.value {
            size_bytes += serde_json::to_vec(value).map_or(0, |bytes| bytes.len());
        }
        if size_bytes > MAX_REPLY_VALUE_BYTES && !versions.is_empty() {
            break;
        }
        versions.push(version);
    }
    link.send(shared, &Message::ConfigObjects(versions));
}

/// Handles the reply to a request for versions: applies them and requests the next ones.
pub(crate) fn on_objects(
    shared: &SharedState,
    link: &Link,
    versions: Vec<crate::config::ObjectVersion>,
) {
    {
        let mut fetch_queue = link.config_fetches.borrow_mut();
        let requested = std::mem::take(&mut fetch_queue.requested_versions);
        if versions.is_empty() {
            // The other VM does not have the requested versions, so they are not requested on this
            // link again; otherwise the requests would go on forever.
            for key in requested {
                fetch_queue.wanted_revisions.remove(&(key.kind, key.name));
            }
        }
    }
    for version in versions {
        let key = (version.kind, version.name.clone());
        shared.relay_state.borrow_mut().in_flight.remove(&key);
        if deck_core::object::check_object_name(&version.name).is_ok() {
            shared.config.apply(version);
        }
    }
    mark_synced_if_complete(shared);
    request_next_versions(shared, link);
}

/// Handles the digests of another VM: replies with a summary of the versions in the buckets that
/// differ, or in all buckets if the other VM is not synced.
pub(crate) fn on_digest(shared: &SharedState, link: &Link, digest: &ConfigDigest) {
    let own_digests = bucket_digests(&shared.config);
    let received_digests: Vec<_> = digest.buckets.chunks_exact(8).collect();
    let is_equal =
        |index: usize| received_digests.get(index) == Some(&&own_digests[index].to_le_bytes()[..]);
    let bucket_mask = if digest.synced {
        (0..DIGEST_BUCKETS)
            .filter(|&index| !is_equal(index))
            .fold(0, |mask, index| mask | 1 << index)
    } else {
        ALL_BUCKETS_MASK
    };
    if bucket_mask == 0 {
        return;
    }
    let complete = shared.config.is_synced() && bucket_mask == ALL_BUCKETS_MASK;
    let keys = versions_in_buckets(&shared.config, bucket_mask);
    let summary = ConfigSummary { complete, bucket_mask, keys };
    link.send(shared, &Message::ConfigSummary(summary));
}

/// Handles a summary: fetches the versions that are newer at the sender and announces those that
/// are newer at this VM.
pub(crate) fn on_summary(shared: &SharedState, link: &Link, summary: ConfigSummary) {
    let remote_revisions: HashMap<_, _> =
        summary.keys.iter().map(|key| ((key.kind, key.name.as_str()), key.revision)).collect();
    let mut newer_versions = versions_in_buckets(&shared.config, summary.bucket_mask);
    newer_versions.retain(|key| {
        remote_revisions
            .get(&(key.kind, key.name.as_str()))
            .is_none_or(|remote_revision| key.revision > *remote_revision)
    });
    if !newer_versions.is_empty() {
        link.send(shared, &Message::ConfigNews(newer_versions));
    }
    if summary.complete && !shared.config.is_synced() {
        shared.relay_state.borrow_mut().versions_to_sync = Some(summary.keys.clone());
        mark_synced_if_complete(shared);
    }
    on_announcement(shared, link, summary.keys);
}

/// Marks the configuration as synced if it has all versions that a synced VM listed.
fn mark_synced_if_complete(shared: &SharedState) {
    let mut state = shared.relay_state.borrow_mut();
    let Some(versions_to_sync) = &state.versions_to_sync else { return };
    let is_known =
        |key: &VersionKey| shared.config.newest_revision(key.kind, &key.name) >= key.revision;
    if versions_to_sync.iter().all(is_known) {
        state.versions_to_sync = None;
        drop(state);
        shared.config.set_synced();
    }
}

/// Discards the fetches of a closed link and sends digests on the other links, so that VMs that
/// have the missing versions reply with them in a summary.
pub(crate) fn discard_fetches(shared: &SharedState, link: &Link) {
    let fetch_queue = link.config_fetches.take();
    if fetch_queue.wanted_revisions.is_empty() {
        return;
    }
    for key in fetch_queue.wanted_revisions.keys() {
        shared.relay_state.borrow_mut().in_flight.remove(key);
    }
    links::broadcast(shared, &Message::ConfigDigest(digest(shared)), None);
}

/// Returns the newest versions of all objects in the buckets that `bucket_mask` selects.
fn versions_in_buckets(config: &ConfigView, bucket_mask: u64) -> Vec<VersionKey> {
    let revisions = config.newest_revisions().into_iter();
    revisions
        .filter(|((kind, name), _)| bucket_mask & (1 << bucket_index(*kind, name)) != 0)
        .map(|((kind, name), revision)| VersionKey { kind, name, revision })
        .collect()
}

/// Returns the key of an object version.
fn version_key(kind: Kind, name: &str, revision: Revision) -> VersionKey {
    VersionKey { kind, name: name.to_owned(), revision }
}
