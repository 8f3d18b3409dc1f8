//! Reads and validates object files: JSON files with one object or an array of objects.

use std::path::{Path, PathBuf};

use deck_core::{
    id::Revision,
    object::{AnySpec, Kind, check_object_name},
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::error::CtlError;

/// A validated object from an object file.
pub struct FileObject {
    /// Object kind.
    pub kind: Kind,
    /// Object name, unique within its kind.
    pub name: String,
    /// Revision that the stored object must have for a write; 0 if it must not exist yet.
    pub revision: Option<Revision>,
    /// Value to store: the schema version and the spec.
    pub value: Value,
}

/// JSON form of an object in a file, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawObject {
    kind: String,
    name: String,
    schema: u32,
    spec: Value,
    #[serde(default)]
    revision: Option<Revision>,
}

impl FileObject {
    /// Returns `kind/name`, which identifies the object in messages.
    pub fn label(&self) -> String {
        format!("{}/{}", self.kind, self.name)
    }
}

/// Reads and validates the objects of all files; fails at the first invalid one.
pub fn read_objects(files: &[PathBuf]) -> Result<Vec<FileObject>, CtlError> {
    let mut objects = Vec::new();
    for file in files {
        objects.extend(read_file(file)?);
    }
    Ok(objects)
}

fn read_file(file: &Path) -> Result<Vec<FileObject>, CtlError> {
    let syntax_error =
        |error: serde_json::Error| CtlError::Syntax(file.to_owned(), error.to_string());
    let text =
        std::fs::read_to_string(file).map_err(|error| CtlError::File(file.to_owned(), error))?;
    let document: Value = serde_json::from_str(&text).map_err(syntax_error)?;
    let values = match document {
        Value::Array(values) => values,
        value => vec![value],
    };
    values
        .into_iter()
        .map(|value| validate(file, serde_json::from_value(value).map_err(syntax_error)?))
        .collect()
}

fn validate(file: &Path, raw_object: RawObject) -> Result<FileObject, CtlError> {
    let RawObject { kind, name, schema, spec, revision } = raw_object;
    let label = format!("{kind}/{name}");
    let object_error = |error| CtlError::Object(file.to_owned(), label.clone(), error);
    let kind: Kind = kind.parse().map_err(object_error)?;
    check_object_name(&name).map_err(object_error)?;
    let value = json!({ "schema": schema, "spec": spec });
    AnySpec::parse(kind, &value).map_err(object_error)?;
    Ok(FileObject { kind, name, revision, value })
}
