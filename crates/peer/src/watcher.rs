//! Reads the configuration from the object API with list and watch calls, on the VMs that are
//! watchers.

use std::{collections::HashSet, rc::Rc, time::Duration};

use deck_core::{
    id::Revision,
    object::{Kind, check_object_name},
};
use deck_plat::{Backoff, Object, StoreError, WatchEvent};

use crate::{
    config::{ApplyOutcome, ConfigView, ObjectVersion},
    peer::SharedState,
};

/// Initial backoff after a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Why a watch ended, which determines how it is started again.
enum WatchEnd {
    /// This VM is no longer one of the watchers of its data centre.
    RoleLost,
    /// The connection ended or was idle: open a new watch after the last revision seen.
    Resume,
    /// The object API no longer has the events after the last revision, because it has compacted
    /// its history, or sent a change that cannot be decoded: list all objects again.
    Relist,
}

/// Lists and then watches all configuration objects while this VM is one of the watchers of its
/// data centre.
pub(crate) async fn run(shared: Rc<SharedState>) {
    let mut backoff = Backoff::new(INITIAL_BACKOFF, shared.options.max_store_backoff);
    // Revision after which the next watch starts; `None` if all objects have to be listed first.
    let mut resume_after = None;
    loop {
        shared.wait_for_watcher_role().await;
        let delay = match list_and_watch(&shared, &mut resume_after, &mut backoff).await {
            Ok(WatchEnd::RoleLost) => {
                resume_after = None;
                continue;
            }
            Ok(WatchEnd::Resume) => backoff.next_delay(),
            Ok(WatchEnd::Relist) => {
                resume_after = None;
                backoff.next_delay()
            }
            Err(StoreError::RateLimited(retry_after)) => retry_after + backoff.next_delay(),
            Err(error) => {
                log::debug!(target: "peer", "object API not read error={error}");
                backoff.next_delay()
            }
        };
        monoio::time::sleep(delay).await;
    }
}

/// Lists all objects unless `resume_after` is set, then applies watch events until the watch ends.
async fn list_and_watch(
    shared: &SharedState,
    resume_after: &mut Option<Revision>,
    backoff: &mut Backoff,
) -> Result<WatchEnd, StoreError> {
    let start_revision = match *resume_after {
        Some(revision) => revision,
        None => list_all(shared).await?,
    };
    *resume_after = Some(start_revision);
    let kinds: Vec<_> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
    shared.traffic.count_store_call();
    let mut watch = match shared.store.watch(&kinds, start_revision).await {
        Err(StoreError::Compacted) => return Ok(WatchEnd::Relist),
        result => result?,
    };
    loop {
        let next = monoio::time::timeout(shared.options.watch_idle_timeout, watch.next());
        let event = monoio::select! {
            event = next => event,
            () = shared.wait_for_watcher_role_lost() => return Ok(WatchEnd::RoleLost),
        };
        let revision = match event {
            // No event or bookmark in time: a network partition may have broken the connection
            // without notice.
            Err(_) | Ok(Ok(None)) => return Ok(WatchEnd::Resume),
            Ok(Err(StoreError::Compacted)) => return Ok(WatchEnd::Relist),
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
        // Never decreases: after a stale bookmark, the next watch would repeat events.
        *resume_after = (*resume_after).max(Some(revision));
    }
}

/// Lists the objects of all kinds and applies them. Returns the lowest revision of the lists: a
/// watch that starts after it misses no change.
async fn list_all(shared: &SharedState) -> Result<Revision, StoreError> {
    let mut oldest_revision = Revision::MAX;
    for &kind in Kind::ALL {
        shared.traffic.count_store_call();
        let (revision, objects) = shared.store.list(kind.as_str()).await?;
        apply_list(&shared.config, kind, revision, objects);
        oldest_revision = oldest_revision.min(revision);
    }
    shared.config.set_synced();
    Ok(oldest_revision)
}

/// Applies a list of all objects of a kind, made at `revision`. A known object that is not in the
/// list has been deleted, unless its revision is higher than that of the list, which may come from
/// a stale replica.
fn apply_list(config: &ConfigView, kind: Kind, revision: Revision, objects: Vec<Object>) {
    let listed_names: HashSet<_> = objects.iter().map(|object| object.name.clone()).collect();
    for object in objects {
        apply_object(config, object);
    }
    for version in config.newest_versions() {
        let is_deleted = version.kind == kind
            && version.value.is_some()
            && version.revision < revision
            && !listed_names.contains(&version.name);
        if is_deleted {
            config.apply(ObjectVersion { revision, value: None, ..version });
        }
    }
}

/// Applies a listed or changed object; logs objects that are refused or have an invalid name.
fn apply_object(config: &ConfigView, object: Object) {
    let Object { kind, name, revision, value, .. } = object;
    let Ok(kind) = kind.parse::<Kind>() else { return };
    if let Err(error) = check_object_name(&name) {
        log::warn!(target: "peer", "object ignored kind={kind} error={error}");
        return;
    }
    let version = ObjectVersion { kind, name, revision, value: Some(value) };
    let name = version.name.clone();
    if let ApplyOutcome::Refused(reason) = config.apply(version) {
        log::warn!(
            target: "peer",
            "object refused kind={kind} name={name} revision={revision} reason={reason:?}"
        );
    }
}

/// Applies the deletion of an object.
fn apply_deletion(config: &ConfigView, kind: &str, name: String, revision: Revision) {
    if let Ok(kind) = kind.parse::<Kind>() {
        config.apply(ObjectVersion { kind, name, revision, value: None });
    }
}
