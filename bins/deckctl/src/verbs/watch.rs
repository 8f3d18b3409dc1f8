//! `watch`: prints changes of objects and of their status.

use std::time::Duration;

use deck_core::{id::Revision, object::Kind};
use deck_plat::{Backoff, Store, StoreError, Watch, WatchEvent};
use serde_json::json;

use crate::{
    cli::Output,
    error::CtlError,
    output::{print_fields, print_json},
};

/// Prints changes until `count` of them were printed, or, without a count, indefinitely.
///
/// A broken watch is restarted after the last revision received, so that no change is missed. If
/// that revision has been compacted, the watch continues from the current revision and says so.
pub async fn run(
    store: &Store,
    kind: Kind,
    name: Option<&str>,
    count: Option<u64>,
    output: Output,
) -> Result<(), CtlError> {
    let list_result = store.list(kind.as_str()).await;
    let (mut from_revision, _) =
        list_result.map_err(|error| CtlError::from_store(kind.as_str(), error))?;
    let mut remaining_events = count.unwrap_or(u64::MAX);
    let mut backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(5));
    while remaining_events > 0 {
        match store.watch(&[kind.as_str(), kind.status_kind()], from_revision).await {
            Ok(mut watch) => {
                backoff.reset();
                from_revision =
                    print_events(&mut watch, name, from_revision, &mut remaining_events, output)
                        .await;
            }
            Err(StoreError::Compacted) => {
                eprintln!("deckctl: some changes were missed; showing changes from now on");
                let list_result = store.list(kind.as_str()).await;
                from_revision =
                    list_result.map_err(|error| CtlError::from_store(kind.as_str(), error))?.0;
            }
            Err(error) => eprintln!("deckctl: {error}; trying again"),
        }
        monoio::time::sleep(backoff.next_delay()).await;
    }
    Ok(())
}

/// Prints events until the watch ends or the count is reached; returns the last revision received.
async fn print_events(
    watch: &mut Watch,
    name: Option<&str>,
    mut from_revision: Revision,
    remaining_events: &mut u64,
    output: Output,
) -> Revision {
    while *remaining_events > 0 {
        let event = match watch.next().await {
            Ok(Some(event)) => event,
            Ok(None) => break,
            Err(error) => {
                eprintln!("deckctl: {error}; trying again");
                break;
            }
        };
        from_revision = event_revision(&event);
        if print_event(&event, name, output) {
            *remaining_events -= 1;
        }
    }
    from_revision
}

fn event_revision(event: &WatchEvent) -> Revision {
    match event {
        WatchEvent::Put(object) => object.revision,
        WatchEvent::Delete { revision, .. } | WatchEvent::Bookmark(revision) => *revision,
    }
}

/// Prints an event unless `name_filter` excludes it; returns whether it was printed.
fn print_event(event: &WatchEvent, name_filter: Option<&str>, output: Output) -> bool {
    let (event_name, object_name) = match event {
        WatchEvent::Put(object) => ("put", &object.name),
        WatchEvent::Delete { name, .. } => ("delete", name),
        WatchEvent::Bookmark(_) => return false,
    };
    if name_filter.is_some_and(|filter| filter != object_name) {
        return false;
    }
    match (event, output) {
        (WatchEvent::Put(object), Output::Json) => {
            print_json(&json!({ "event": event_name, "object": object }));
        }
        (WatchEvent::Put(object), Output::Text) => {
            print_line!("{}/{} put (revision {})", object.kind, object.name, object.revision);
            print_fields(&object.value["spec"], 2);
        }
        (WatchEvent::Delete { kind, name, revision }, Output::Json) => print_json(&json!({
            "event": event_name, "kind": kind, "name": name, "revision": revision,
        })),
        (WatchEvent::Delete { kind, name, revision }, Output::Text) => {
            print_line!("{kind}/{name} deleted (revision {revision})");
        }
        (WatchEvent::Bookmark(_), _) => {}
    }
    true
}
