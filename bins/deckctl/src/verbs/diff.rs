//! `diff`: compares files with the stored objects.

use std::{collections::BTreeMap, path::PathBuf};

use deck_plat::Store;
use serde::Serialize;
use serde_json::Value;

use crate::{
    cli::Output,
    error::CtlError,
    files,
    output::{flatten_fields, print_json},
};

/// A field whose value in a file differs from the stored one; `None` where the field is absent.
#[derive(Serialize)]
struct FieldDifference {
    object: String,
    field: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    stored: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    file: Option<String>,
}

/// Prints the differing fields of all objects of `files`; an error if there are any.
pub async fn run(store: &Store, files: &[PathBuf], output: Output) -> Result<(), CtlError> {
    let mut differences = Vec::new();
    let mut differing_object_count = 0;
    for object in files::read_objects(files)? {
        let label = object.label();
        let stored = store
            .get(object.kind.as_str(), &object.name)
            .await
            .map_err(|error| CtlError::from_store(&label, error))?;
        let stored = stored.map_or(Value::Null, |stored| stored.value);
        let object_differences = compare_fields(&label, &stored, &object.value);
        differing_object_count += usize::from(!object_differences.is_empty());
        differences.extend(object_differences);
    }
    match output {
        Output::Json => print_json(&differences),
        Output::Text => differences.iter().for_each(print_difference),
    }
    if differing_object_count == 0 {
        Ok(())
    } else {
        Err(CtlError::Different(differing_object_count))
    }
}

fn compare_fields(label: &str, stored_value: &Value, file_value: &Value) -> Vec<FieldDifference> {
    let (mut stored_fields, mut file_fields) = (BTreeMap::new(), BTreeMap::new());
    if !stored_value.is_null() {
        flatten_fields(String::new(), stored_value, &mut stored_fields);
    }
    flatten_fields(String::new(), file_value, &mut file_fields);
    let paths: std::collections::BTreeSet<_> =
        stored_fields.keys().chain(file_fields.keys()).cloned().collect();
    let differing_paths =
        paths.into_iter().filter(|path| stored_fields.get(path) != file_fields.get(path));
    differing_paths
        .map(|field| FieldDifference {
            object: label.to_owned(),
            stored: stored_fields.get(&field).cloned(),
            file: file_fields.get(&field).cloned(),
            field,
        })
        .collect()
}

fn print_difference(difference: &FieldDifference) {
    if let Some(stored) = &difference.stored {
        print_line!("- {} {}: {stored}", difference.object, difference.field);
    }
    if let Some(file) = &difference.file {
        print_line!("+ {} {}: {file}", difference.object, difference.field);
    }
}
