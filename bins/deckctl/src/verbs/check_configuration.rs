//! `check-configuration`: checks the configuration of the users' platform before it is sent.

use std::{
    collections::HashMap,
    path::{Path, PathBuf},
};

use deck_lint::{Finding, Place, Severity};
use deck_platform::{
    configuration::{OBJECT_CONTENT, VERSION, name_of, path_of},
    decode_entries,
};
use serde::Serialize;
use serde_json::Value;

use crate::{
    cli::Output,
    configuration::{Difference, differences, misspelt_fields},
    error::CtlError,
    json_lines::value_lines,
    output::print_json,
};

/// Result of the command.
#[derive(Debug)]
#[derive(Serialize)]
struct Report {
    findings: Vec<ReportedFinding>,
    /// What differs from the configuration in force; empty if none was given.
    differences: Vec<Difference>,
}

/// Finding with its position in the file.
#[derive(Debug)]
#[derive(Serialize)]
struct ReportedFinding {
    /// `error` or `warning`.
    severity: &'static str,
    /// Path of the value, such as `Routes[3].Host`; empty for the whole configuration.
    path: String,
    /// Line in the file; that of the entry if it lacks the field.
    line: usize,
    message: String,
}

/// A configuration file: its content, and the line of each value by its path.
struct File {
    configuration: Value,
    /// Path of the configuration in the file: empty, or that of the content of a stored object.
    prefix: &'static str,
    lines: HashMap<String, usize>,
}

/// Checks a configuration file, and compares it with the configuration in force if one is given.
///
/// # Errors
///
/// Returns an error if a file cannot be read, or if the configuration has errors.
pub fn run(file: &Path, in_force: Option<&PathBuf>, output: Output) -> Result<(), CtlError> {
    let checked = read(file)?;
    let mut findings = check(&checked);
    let mut changes = Vec::new();
    if let Some(in_force) = in_force {
        let in_force = read(in_force)?.configuration;
        let version = |configuration: &Value| configuration.get(VERSION).and_then(Value::as_u64);
        let versions = version(&checked.configuration).zip(version(&in_force));
        let outdated =
            versions.and_then(|(version, in_force)| deck_lint::check_version(version, in_force));
        findings.extend(outdated.map(|finding| checked.locate(finding)));
        changes = differences(&in_force, &checked.configuration);
    }
    findings.sort_by_key(|finding| finding.line);
    let errors = findings.iter().filter(|finding| finding.severity == ERROR).count();
    let report = Report { findings, differences: changes };
    match output {
        Output::Json => print_json(&report),
        Output::Text => print_report(file, &report),
    }
    match errors {
        0 => Ok(()),
        count => Err(CtlError::Configuration(file.to_owned(), count)),
    }
}

const ERROR: &str = "error";
const WARNING: &str = "warning";

fn check(file: &File) -> Vec<ReportedFinding> {
    let (entries, invalid) = decode_entries(&file.configuration);
    let mut findings: Vec<ReportedFinding> = invalid
        .iter()
        .map(|entry| file.report(ERROR, entry.path.clone(), entry.message.clone()))
        .collect();
    // With an entry missing, positions and references of the others would be wrong.
    if findings.is_empty() {
        findings.extend(deck_lint::check(&entries).into_iter().map(|finding| file.locate(finding)));
        if let Err(message) = entries.into_configuration() {
            findings.push(file.report(ERROR, path_of(Place::Configuration), message));
        }
    }
    for (path, known) in misspelt_fields(&file.configuration) {
        let message = format!("is not read by nodes; {known} may be meant");
        findings.push(file.report(WARNING, path, message));
    }
    findings
}

fn read(path: &Path) -> Result<File, CtlError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| CtlError::File(path.to_owned(), error))?;
    let document: Value = serde_json::from_str(&text)
        .map_err(|error| CtlError::Syntax(path.to_owned(), error.to_string()))?;
    let lines = value_lines(&text);
    let (configuration, prefix) = match document {
        Value::Object(mut members) if members.contains_key(OBJECT_CONTENT) => {
            (members.remove(OBJECT_CONTENT).unwrap_or_default(), OBJECT_CONTENT)
        }
        document => (document, ""),
    };
    Ok(File { configuration, prefix, lines })
}

impl File {
    /// Returns a finding with its path and line.
    fn locate(&self, finding: Finding) -> ReportedFinding {
        let severity = match finding.severity {
            Severity::Error => ERROR,
            Severity::Warning => WARNING,
        };
        let entry = path_of(finding.place);
        let path = match finding.field.map(name_of) {
            Some(name) if entry.is_empty() => name.to_owned(),
            Some(name) => format!("{entry}.{name}"),
            None => entry,
        };
        self.report(severity, path, finding.message)
    }

    fn report(&self, severity: &'static str, path: String, message: String) -> ReportedFinding {
        let line = self.line_of(&path);
        ReportedFinding { severity, path, line, message }
    }

    /// Returns the line of a value, or of the nearest entry around it.
    fn line_of(&self, path: &str) -> usize {
        let full_path = match (self.prefix, path) {
            (prefix, "") => prefix.to_owned(),
            ("", path) => path.to_owned(),
            (prefix, path) => format!("{prefix}.{path}"),
        };
        let mut path = full_path.as_str();
        loop {
            if let Some(line) = self.lines.get(path) {
                return *line;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return 1,
            }
        }
    }
}

fn print_report(file: &Path, report: &Report) {
    for finding in &report.findings {
        let ReportedFinding { severity, path, line, message } = finding;
        let path = if path.is_empty() { String::new() } else { format!("{path}: ") };
        print_line!("{}:{line}: {severity}: {path}{message}", file.display());
    }
    for Difference { path, in_force, new } in &report.differences {
        match (in_force, new) {
            (Some(in_force), Some(new)) => print_line!("~ {path}: {in_force} -> {new}"),
            (None, Some(new)) => print_line!("+ {path}: {new}"),
            (Some(in_force), None) => print_line!("- {path}: {in_force}"),
            (None, None) => {}
        }
    }
    if report.findings.is_empty() {
        print_line!("{} has no findings", file.display());
    }
}
