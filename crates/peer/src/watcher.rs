//! Reading of the configuration from the object API, by list and watch.

use std::{collections::HashSet, rc::Rc, time::Duration};

use deck_core::{
    id::Revision,
    object::{Kind, check_object_name},
};
use deck_plat::{Backoff, Object, StoreError, WatchEvent};

use crate::{
    config::{Applied, ConfigView, ObjectVersion},
    peer::Shared,
};

/// First limit of the wait after a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Why a watch ended.
enum End {
    /// This VM is no longer one of the watchers.
    RoleLost,
    /// The connection ended or was idle; continue after the last revision.
    Continue,
    /// The store no longer has the events; list again.
    ListAgain,
}

/// Lists and watches the store while this VM is one of its data centre's watchers.
pub(crate) async fn run(shared: Rc<Shared>) {
    let mut backoff = Backoff::new(INITIAL_BACKOFF, shared.options.max_store_backoff);
    // Revision after which the next watch starts; `None` if a list is needed.
    let mut from = None;
    loop {
        shared.wait_for_watcher_role().await;
        let wait = match list_and_watch(&shared, &mut from, &mut backoff).await {
            Ok(End::RoleLost) => {
                from = None;
                continue;
            }
            Ok(End::Continue) => backoff.next_delay(),
            Ok(End::ListAgain) => {
                from = None;
                backoff.next_delay()
            }
            Err(StoreError::RateLimited(retry_after)) => retry_after + backoff.next_delay(),
            Err(error) => {
                log::debug!(target: "peer", "object API not read error={error}");
                backoff.next_delay()
            }
        };
        monoio::time::sleep(wait).await;
    }
}

async fn list_and_watch(
    shared: &Shared,
    from: &mut Option<Revision>,
    backoff: &mut Backoff,
) -> Result<End, StoreError> {
    let start = match *from {
        Some(revision) => revision,
        None => list_all(shared).await?,
    };
    *from = Some(start);
    let kinds: Vec<_> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
    shared.traffic.count_store_call();
    let mut watch = match shared.store.watch(&kinds, start).await {
        Err(StoreError::Compacted) => return Ok(End::ListAgain),
        other => other?,
    };
    loop {
        let next = monoio::time::timeout(shared.options.watch_idle_timeout, watch.next());
        let event = monoio::select! {
            event = next => event,
            () = shared.wait_for_watcher_role_lost() => return Ok(End::RoleLost),
        };
        let revision = match event {
            // A watch without bookmarks may be cut off silently by a partition.
            Err(_) | Ok(Ok(None)) => return Ok(End::Continue),
            Ok(Err(error)) => return Err(error),
            Ok(Ok(Some(WatchEvent::Bookmark(revision)))) => revision,
            Ok(Ok(Some(WatchEvent::Put(object)))) => {
                let revision = object.revision;
                apply_object(&shared.config, object);
                revision
            }
            Ok(Ok(Some(WatchEvent::Delete { kind, name, revision }))) => {
                apply_deletion(&shared.config, &kind, name, revision);
                revision
            }
        };
        backoff.reset();
        // The revision never falls: a stale bookmark would replay events.
        *from = (*from).max(Some(revision));
    }
}

/// Lists all kinds and returns the revision after which a watch has to start.
async fn list_all(shared: &Shared) -> Result<Revision, StoreError> {
    let mut oldest = Revision::MAX;
    for &kind in Kind::ALL {
        shared.traffic.count_store_call();
        let (revision, objects) = shared.store.list(kind.as_str()).await?;
        apply_list(&shared.config, kind, revision, objects);
        oldest = oldest.min(revision);
    }
    shared.config.set_synced();
    Ok(oldest)
}

/// Applies a list of all objects of a kind; objects that are missing from it were deleted.
///
/// An object that is newer than the list stays: the list may come from a stale replica.
fn apply_list(config: &ConfigView, kind: Kind, revision: Revision, objects: Vec<Object>) {
    let listed: HashSet<_> = objects.iter().map(|object| object.name.clone()).collect();
    for object in objects {
        apply_object(config, object);
    }
    for version in config.versions() {
        let missing = version.kind == kind
            && version.value.is_some()
            && version.revision < revision
            && !listed.contains(&version.name);
        if missing {
            config.apply(ObjectVersion { revision, value: None, ..version });
        }
    }
}

fn apply_object(config: &ConfigView, object: Object) {
    let Object { kind, name, revision, value, .. } = object;
    let Ok(kind) = kind.parse::<Kind>() else { return };
    if let Err(error) = check_object_name(&name) {
        log::warn!(target: "peer", "object ignored kind={kind} error={error}");
        return;
    }
    let version = ObjectVersion { kind, name, revision, value: Some(value) };
    let name = version.name.clone();
    if let Applied::Refused(reason) = config.apply(version) {
        log::warn!(
            target: "peer",
            "object refused kind={kind} name={name} revision={revision} reason={reason:?}"
        );
    }
}

fn apply_deletion(config: &ConfigView, kind: &str, name: String, revision: Revision) {
    if let Ok(kind) = kind.parse::<Kind>() {
        config.apply(ObjectVersion { kind, name, revision, value: None });
    }
}
