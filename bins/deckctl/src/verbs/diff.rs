//! `diff`: compares files with the stored objects.

use std::{collections::BTreeMap, path::PathBuf};

use deck_plat::Store;
use serde::Serialize;
use serde_json::Value;

use crate::{
    cli::Output,
    error::CtlError,
    files,
    output::{flatten, print_json},
};

/// One field that differs.
#[derive(Serialize)]
struct Difference {
    object: String,
    field: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    stored: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    file: Option<String>,
}

/// Compares all objects of `files` with the stored ones.
pub async fn run(store: &Store, files: &[PathBuf], output: Output) -> Result<(), CtlError> {
    let mut differences = Vec::new();
    let mut different_objects = 0;
    for object in files::read_all(files)? {
        let label = object.label();
        let stored = store
            .get(object.kind.as_str(), &object.name)
            .await
            .map_err(|error| CtlError::store(&label, error))?;
        let stored = stored.map_or(Value::Null, |stored| stored.value);
        let found = compare(&label, &stored, &object.value);
        different_objects += usize::from(!found.is_empty());
        differences.extend(found);
    }
    match output {
        Output::Json => print_json(&differences),
        Output::Text => differences.iter().for_each(print),
    }
    if different_objects == 0 { Ok(()) } else { Err(CtlError::Different(different_objects)) }
}

fn compare(label: &str, stored: &Value, file: &Value) -> Vec<Difference> {
    let (mut stored_fields, mut file_fields) = (BTreeMap::new(), BTreeMap::new());
    if !stored.is_null() {
        flatten(String::new(), stored, &mut stored_fields);
    }
    flatten(String::new(), file, &mut file_fields);
    let names: std::collections::BTreeSet<_> =
        stored_fields.keys().chain(file_fields.keys()).cloned().collect();
    let differing =
        names.into_iter().filter(|name| stored_fields.get(name) != file_fields.get(name));
    differing
        .map(|field| Difference {
            object: label.to_owned(),
            stored: stored_fields.get(&field).cloned(),
            file: file_fields.get(&field).cloned(),
            field,
        })
        .collect()
}

fn print(difference: &Difference) {
    if let Some(stored) = &difference.stored {
        print_line!("- {} {}: {stored}", difference.object, difference.field);
    }
    if let Some(file) = &difference.file {
        print_line!("+ {} {}: {file}", difference.object, difference.field);
    }
}
