//! `get`: prints a one-line summary of each object.

use deck_core::object::Kind;
use deck_plat::{Object, Store};

use crate::{cli::Output, error::CtlError, output::print_json};

/// Prints one object, or all objects of a kind if `name` is `None`.
pub async fn run(
    store: &Store,
    kind: Kind,
    name: Option<&str>,
    output: Output,
) -> Result<(), CtlError> {
    let objects = match name {
        Some(name) => vec![read_existing(store, kind, name).await?],
        None => {
            let list_result = store.list(kind.as_str()).await;
            list_result.map_err(|error| CtlError::from_store(kind.as_str(), error))?.1
        }
    };
    match output {
        Output::Json => print_json(&objects),
        Output::Text => {
            print_line!("{:<32} {:>10}  SUMMARY", "NAME", "REVISION");
            for object in &objects {
                print_line!(
                    "{:<32} {:>10}  {}",
                    object.name,
                    object.revision,
                    summarize(kind, object)
                );
            }
        }
    }
    Ok(())
}

/// Reads one object; returns `NotFound` if it does not exist.
pub async fn read_existing(store: &Store, kind: Kind, name: &str) -> Result<Object, CtlError> {
    let label = format!("{kind}/{name}");
    let get_result = store.get(kind.as_str(), name).await;
    get_result
        .map_err(|error| CtlError::from_store(&label, error))?
        .ok_or(CtlError::NotFound(label))
}

/// Returns the most important fields of an object's spec as text.
fn summarize(kind: Kind, object: &Object) -> String {
    let spec = &object.value["spec"];
    match kind {
        Kind::RolloutJob => format!(
            "organisation={} pool={} samples_per_step={} staleness_bound_versions={}",
            spec["organisation"].as_str().unwrap_or("?"),
            spec["pool"].as_str().unwrap_or("?"),
            spec["samples_per_step"],
            spec["staleness_bound_versions"],
        ),
        Kind::OrganisationShare => {
            let shares = spec["shares"].as_array().map(Vec::as_slice).unwrap_or_default();
            let format_share = |share: &serde_json::Value| {
                let pool = share["pool"].as_str().unwrap_or("?");
                format!("{pool}={}%", share["share_percent"])
            };
            shares.iter().map(format_share).collect::<Vec<_>>().join(" ")
        }
        Kind::TargetPool => format!(
            "type={} targets={}",
            spec["type"].as_str().unwrap_or("?"),
            spec["targets"].as_array().map_or(0, Vec::len),
        ),
        Kind::ServiceObjective => format!(
            "organisation={} pool={} indicator={} objective_percent={}",
            spec["organisation"].as_str().unwrap_or("?"),
            spec["pool"].as_str().unwrap_or("?"),
            spec["indicator"]["type"].as_str().unwrap_or("?"),
            spec["objective_percent"],
        ),
    }
}
