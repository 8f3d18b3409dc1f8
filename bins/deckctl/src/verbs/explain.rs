//! `explain`: finds in logs what happened to a request, an item or a batch job.

use std::path::{Path, PathBuf};

use serde_json::json;

use crate::{
    cli::Output,
    error::CtlError,
    explain::{
        analysis::{self, Explanation},
        line::LogLine,
    },
};

/// Prints the probable causes and the related log lines for the given id.
pub fn run(id: &str, files: &[PathBuf], output: Output) -> Result<(), CtlError> {
    let mut lines = Vec::new();
    for file in files {
        let text =
            std::fs::read_to_string(file).map_err(|error| CtlError::File(file.clone(), error))?;
        let node = node_name(file, &text);
        lines.extend(text.lines().filter_map(|line| LogLine::parse(line, &node)));
    }
    lines.sort_by_key(|line| line.timestamp);
    let Some(explanation) = analysis::explain_id(&lines, id) else {
        return Err(CtlError::NotFound(format!("a line on {id}")));
    };
    match output {
        Output::Text => print_explanation(id, &explanation),
        Output::Json => {
            let lines = explanation.lines.iter().map(|line| {
                json!({"at": line.timestamp.to_string(), "node": line.node, "text": line.text,
                       "component": line.component})
            });
            let lines: Vec<_> = lines.collect();
            print_line!("{}", json!({"id": id, "causes": explanation.causes, "lines": lines}));
        }
    }
    Ok(())
}

/// Returns the name of the node that wrote a log: the `vm` field of its first `start` line, or the
/// file name without extension if there is none.
fn node_name(file: &Path, text: &str) -> String {
    let logged_name = text.lines().find_map(|line| {
        let line = LogLine::parse(line, "")?;
        (line.event == "start").then(|| line.field("vm").map(str::to_owned)).flatten()
    });
    let file_stem = || file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    logged_name.unwrap_or_else(file_stem)
}

fn print_explanation(id: &str, explanation: &Explanation<'_>) {
    print_line!("{id}");
    for cause in &explanation.causes {
        print_line!("- {cause}");
    }
    print_line!();
    let start = explanation.lines.first().map(|line| line.timestamp);
    for line in &explanation.lines {
        let elapsed_s = start.map_or(0.0, |start| (line.timestamp - start).as_seconds_f64());
        print_line!("{elapsed_s:9.3} {} {}: {}", line.node, line.component, line.text);
    }
}
