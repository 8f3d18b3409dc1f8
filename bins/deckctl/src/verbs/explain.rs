//! `deckctl explain`.

use std::path::{Path, PathBuf};

use serde_json::json;

use crate::{
    cli::Output,
    error::CtlError,
    explain::{
        line::LogLine,
        story::{self, Story},
    },
};

/// Shows what logs say about a request, an item or a batch job.
pub fn run(id: &str, files: &[PathBuf], output: Output) -> Result<(), CtlError> {
    let mut lines = Vec::new();
    for file in files {
        let text =
            std::fs::read_to_string(file).map_err(|error| CtlError::File(file.clone(), error))?;
        let node = node_of(file, &text);
        lines.extend(text.lines().filter_map(|line| LogLine::parse(line, &node)));
    }
    lines.sort_by_key(|line| line.at);
    let Some(story) = story::tell(&lines, id) else {
        return Err(CtlError::NotFound(format!("a line on {id}")));
    };
    match output {
        Output::Text => print_text(id, &story),
        Output::Json => {
            let lines = story.lines.iter().map(|line| {
                json!({"at": line.at.to_string(), "node": line.node, "text": line.text,
                       "component": line.component})
            });
            let lines: Vec<_> = lines.collect();
            print_line!("{}", json!({"id": id, "causes": story.causes, "lines": lines}));
        }
    }
    Ok(())
}

/// Returns the name of the node whose log a file holds: from its first start, else from the file.
fn node_of(file: &Path, text: &str) -> String {
    let named = text.lines().find_map(|line| {
        let line = LogLine::parse(line, "")?;
        (line.event == "start").then(|| line.field("vm").map(str::to_owned)).flatten()
    });
    let stem = || file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    named.unwrap_or_else(stem)
}

fn print_text(id: &str, story: &Story<'_>) {
    print_line!("{id}");
    for cause in &story.causes {
        print_line!("- {cause}");
    }
    print_line!();
    let start = story.lines.first().map(|line| line.at);
    for line in &story.lines {
        let since = start.map_or(0.0, |start| (line.at - start).as_seconds_f64());
        print_line!("{since:9.3} {} {}: {}", line.node, line.component, line.text);
    }
}
