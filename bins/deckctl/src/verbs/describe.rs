//! `describe`: shows one object with its status.

use deck_core::object::Kind;
use deck_plat::Store;
use serde_json::{Value, json};

use crate::{
    cli::Output,
    error::CtlError,
    output::{print_fields, print_json},
    verbs::get,
};

/// Prints the object and the status that the daemons reported for it.
pub async fn run(store: &Store, kind: Kind, name: &str, output: Output) -> Result<(), CtlError> {
    let object = get::read_existing(store, kind, name).await?;
    let status = store
        .get(kind.status_kind(), name)
        .await
        .map_err(|error| CtlError::from_store(&format!("{}/{name}", kind.status_kind()), error))?;
    let status = status.map(|status| status.value["spec"].clone());
    match output {
        Output::Json => print_json(&json!({ "object": object, "status": status })),
        Output::Text => {
            print_line!("{kind}/{name} (revision {})", object.revision);
            print_line!("spec:");
            print_fields(&object.value["spec"], 2);
            print_status(status.as_ref());
        }
    }
    Ok(())
}

fn print_status(status: Option<&Value>) {
    match status {
        Some(status) => {
            print_line!("status:");
            print_fields(status, 2);
        }
        None => print_line!("status: none written yet"),
    }
}
