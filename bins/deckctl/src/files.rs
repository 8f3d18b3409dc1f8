//! Object files.

use std::path::{Path, PathBuf};

use deck_core::{
    id::Revision,
    object::{AnySpec, Kind, check_object_name},
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::error::CtlError;

/// One object of a file, checked.
pub struct FileObject {
    /// Kind.
    pub kind: Kind,
    /// Name.
    pub name: String,
    /// Revision on which a write is conditional; 0 if the object must not exist.
    pub revision: Option<Revision>,
    /// Value to store.
    pub value: Value,
}

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
    /// Returns kind and name in the form in which messages name objects.
    pub fn label(&self) -> String {
        format!("{}/{}", self.kind, self.name)
    }
}

/// Reads and checks the objects of all files.
pub fn read_all(files: &[PathBuf]) -> Result<Vec<FileObject>, CtlError> {
    let mut objects = Vec::new();
    for file in files {
        objects.extend(read(file)?);
    }
    Ok(objects)
}

fn read(file: &Path) -> Result<Vec<FileObject>, CtlError> {
    let syntax = |error: serde_json::Error| CtlError::Syntax(file.to_owned(), error.to_string());
    let text =
        std::fs::read_to_string(file).map_err(|error| CtlError::File(file.to_owned(), error))?;
    let document: Value = serde_json::from_str(&text).map_err(syntax)?;
    let values = match document {
        Value::Array(values) => values,
        value => vec![value],
    };
    values
        .into_iter()
        .map(|value| check(file, serde_json::from_value(value).map_err(syntax)?))
        .collect()
}

fn check(file: &Path, raw: RawObject) -> Result<FileObject, CtlError> {
    let RawObject { kind, name, schema, spec, revision } = raw;
    let label = format!("{kind}/{name}");
    let invalid = |error| CtlError::Object(file.to_owned(), label.clone(), error);
    let kind: Kind = kind.parse().map_err(invalid)?;
    check_object_name(&name).map_err(invalid)?;
    let value = json!({ "schema": schema, "spec": spec });
    AnySpec::parse(kind, &value).map_err(invalid)?;
    Ok(FileObject { kind, name, revision, value })
}
