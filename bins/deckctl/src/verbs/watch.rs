//! `watch`: shows objects and status as they change.

use std::time::Duration;

use deck_core::{id::Revision, object::Kind};
use deck_plat::{Backoff, Store, StoreError, Watch, WatchEvent};
use serde_json::json;

use crate::{
    cli::Output,
    error::CtlError,
    output::{print_fields, print_json},
};

/// Shows changes until `count` of them were shown, or until the process is stopped.
///
/// A watch that breaks is started again after the last revision shown, so that no change is missed.
pub async fn run(
    store: &Store,
    kind: Kind,
    name: Option<&str>,
    count: Option<u64>,
    output: Output,
) -> Result<(), CtlError> {
    let listed = store.list(kind.as_str()).await;
    let (mut from, _) = listed.map_err(|error| CtlError::store(kind.as_str(), error))?;
    let mut remaining = count.unwrap_or(u64::MAX);
    let mut backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(5));
    while remaining > 0 {
        match store.watch(&[kind.as_str(), kind.status_kind()], from).await {
            Ok(mut watch) => {
                backoff.reset();
                from = show_events(&mut watch, name, from, &mut remaining, output).await;
            }
            Err(StoreError::Compacted) => {
                eprintln!("deckctl: some changes were missed; showing changes from now on");
                let listed = store.list(kind.as_str()).await;
                from = listed.map_err(|error| CtlError::store(kind.as_str(), error))?.0;
            }
            Err(error) => eprintln!("deckctl: {error}; trying again"),
        }
        monoio::time::sleep(backoff.next_delay()).await;
    }
    Ok(())
}

/// Shows events until the watch ends and returns the last revision seen.
async fn show_events(
    watch: &mut Watch,
    name: Option<&str>,
    mut from: Revision,
    remaining: &mut u64,
    output: Output,
) -> Revision {
    while *remaining > 0 {
        let event = match watch.next().await {
            Ok(Some(event)) => event,
            Ok(None) => break,
            Err(error) => {
                eprintln!("deckctl: {error}; trying again");
                break;
            }
        };
        from = revision(&event);
        if show(&event, name, output) {
            *remaining -= 1;
        }
    }
    from
}

fn revision(event: &WatchEvent) -> Revision {
    match event {
        WatchEvent::Put(object) => object.revision,
        WatchEvent::Delete { revision, .. } | WatchEvent::Bookmark(revision) => *revision,
    }
}

fn show(event: &WatchEvent, wanted: Option<&str>, output: Output) -> bool {
    let (event_name, object_name) = match event {
        WatchEvent::Put(object) => ("put", &object.name),
        WatchEvent::Delete { name, .. } => ("delete", name),
        WatchEvent::Bookmark(_) => return false,
    };
    if wanted.is_some_and(|wanted| wanted != object_name) {
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
