//! Lines of a scenario file: words, quoted words, JSON values and text blocks.

use winnow::{
    ModalResult, Parser,
    ascii::space0,
    combinator::{alt, delimited, repeat, terminated},
    token::{any, none_of, take_while},
};

use crate::error::ScenarioError;

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// Number of its line, from 1.
    pub line: usize,
    /// Words. A word is bare, in double quotes, or a JSON object or array with balanced brackets.
    pub words: Vec<String>,
    /// Lines between `<<END` at the end of the line and a line `END`.
    pub block: Option<String>,
}

/// Splits a file into statements.
///
/// # Errors
///
/// Returns an error that names the line.
pub fn statements(text: &str) -> Result<Vec<Statement>, ScenarioError> {
    let mut statements = Vec::new();
    let mut lines = (1..).zip(text.lines());
    while let Some((line, text)) = lines.next() {
        let trimmed = text.trim();
        if trimmed.is_empty() || trimmed.starts_with('#') {
            continue;
        }
        let mut words = words
            .parse(trimmed)
            .map_err(|error| ScenarioError::Syntax(line, describe(trimmed, error.offset())))?;
        let block = match words.last().and_then(|word| word.strip_prefix("<<")) {
            Some(end) if !end.is_empty() => {
                let end = end.to_owned();
                words.pop();
                Some(block(line, &end, &mut lines)?)
            }
            _ => None,
        };
        statements.push(Statement { line, words, block });
    }
    Ok(statements)
}

fn block<'a>(
    line: usize,
    end: &str,
    lines: &mut impl Iterator<Item = (usize, &'a str)>,
) -> Result<String, ScenarioError> {
    let mut block = String::new();
    for (_, text) in lines {
        if text.trim() == end {
            return Ok(block);
        }
        block.push_str(text);
        block.push('\n');
    }
    Err(ScenarioError::Syntax(line, format!("no line {end} ends the block")))
}

fn describe(text: &str, offset: usize) -> String {
    let rest: String = text.chars().skip(offset).take(40).collect();
    format!("not understood at {rest:?}: a quote or bracket is not closed")
}

fn words(input: &mut &str) -> ModalResult<Vec<String>> {
    repeat(1.., terminated(word, space0)).parse_next(input)
}

fn word(input: &mut &str) -> ModalResult<String> {
    alt((quoted, brackets.take().map(str::to_owned), bare)).parse_next(input)
}

fn quoted(input: &mut &str) -> ModalResult<String> {
    delimited('"', take_while(0.., |c| c != '"'), '"').map(str::to_owned).parse_next(input)
}

fn bare(input: &mut &str) -> ModalResult<String> {
    let first = none_of(['"', '{', '[', ' ', '\t']);
    (first, take_while(0.., |c: char| !c.is_whitespace()))
        .take()
        .map(str::to_owned)
        .parse_next(input)
}

/// A JSON object or array; only brackets and strings matter here.
fn brackets(input: &mut &str) -> ModalResult<()> {
    alt((
        delimited('{', repeat::<_, _, (), _, _>(0.., inside), '}'),
        delimited('[', repeat::<_, _, (), _, _>(0.., inside), ']'),
    ))
    .parse_next(input)
}

fn inside(input: &mut &str) -> ModalResult<()> {
    alt((brackets, json_string, none_of(['{', '}', '[', ']', '"']).void())).parse_next(input)
}

fn json_string(input: &mut &str) -> ModalResult<()> {
    let escaped = ('\\', any).void();
    let character = alt((escaped, none_of(['"', '\\']).void()));
    delimited('"', repeat::<_, _, (), _, _>(0.., character), '"').parse_next(input)
}
