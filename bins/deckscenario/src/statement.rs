//! Splits a scenario file into statements: words, quoted words, JSON values and text blocks.

use winnow::{
    ModalResult, Parser,
    ascii::space0,
    combinator::{alt, delimited, repeat, terminated},
    token::{any, none_of, take_while},
};

use crate::error::ScenarioError;

/// One line of a scenario file, with the text block that follows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// Line number, starting at 1.
    pub line: usize,
    /// Words: bare, in double quotes, or a JSON object or array with balanced brackets.
    pub words: Vec<String>,
    /// Text block: the lines between `<<END` at the end of this line and a line `END`. `END` can be any
    /// word.
    pub block: Option<String>,
}

/// Splits the text of a scenario file into statements. Empty lines and lines that start with `#` are
/// skipped.
///
/// # Errors
///
/// Returns [`ScenarioError::Syntax`] if a quote, bracket or block is not closed.
pub fn parse_statements(text: &str) -> Result<Vec<Statement>, ScenarioError> {
    let mut statements = Vec::new();
    let mut lines = (1..).zip(text.lines());
    while let Some((line, text)) = lines.next() {
        let trimmed = text.trim();
        if trimmed.is_empty() || trimmed.starts_with('#') {
            continue;
        }
        let mut words = words_parser.parse(trimmed).map_err(|error| {
            ScenarioError::Syntax(line, syntax_message(trimmed, error.offset()))
        })?;
        let block = match words.last().and_then(|word| word.strip_prefix("<<")) {
            Some(terminator) if !terminator.is_empty() => {
                let terminator = terminator.to_owned();
                words.pop();
                Some(read_block(line, &terminator, &mut lines)?)
            }
            _ => None,
        };
        statements.push(Statement { line, words, block });
    }
    Ok(statements)
}

fn read_block<'a>(
    line: usize,
    terminator: &str,
    lines: &mut impl Iterator<Item = (usize, &'a str)>,
) -> Result<String, ScenarioError> {
    let mut block = String::new();
    for (_, text) in lines {
        if text.trim() == terminator {
            return Ok(block);
        }
        block.push_str(text);
        block.push('\n');
    }
    Err(ScenarioError::Syntax(line, format!("no line {terminator} ends the block")))
}

fn syntax_message(text: &str, offset: usize) -> String {
    let excerpt: String = text.chars().skip(offset).take(40).collect();
    format!("syntax error at {excerpt:?}: a quote or bracket is not closed")
}

fn words_parser(input: &mut &str) -> ModalResult<Vec<String>> {
    repeat(1.., terminated(word_parser, space0)).parse_next(input)
}

fn word_parser(input: &mut &str) -> ModalResult<String> {
    alt((quoted_word, json_brackets.take().map(str::to_owned), bare_word)).parse_next(input)
}

fn quoted_word(input: &mut &str) -> ModalResult<String> {
    delimited('"', take_while(0.., |c| c != '"'), '"').map(str::to_owned).parse_next(input)
}

fn bare_word(input: &mut &str) -> ModalResult<String> {
    let first = none_of(['"', '{', '[', ' ', '\t']);
    (first, take_while(0.., |c: char| !c.is_whitespace()))
        .take()
        .map(str::to_owned)
        .parse_next(input)
}

/// Matches a JSON object or array by its brackets and strings; the content is not validated.
fn json_brackets(input: &mut &str) -> ModalResult<()> {
    alt((
        delimited('{', repeat::<_, _, (), _, _>(0.., bracket_content), '}'),
        delimited('[', repeat::<_, _, (), _, _>(0.., bracket_content), ']'),
    ))
    .parse_next(input)
}

fn bracket_content(input: &mut &str) -> ModalResult<()> {
    alt((json_brackets, json_string, none_of(['{', '}', '[', ']', '"']).void())).parse_next(input)
}

fn json_string(input: &mut &str) -> ModalResult<()> {
    let escaped = ('\\', any).void();
    let character = alt((escaped, none_of(['"', '\\']).void()));
    delimited('"', repeat::<_, _, (), _, _>(0.., character), '"').parse_next(input)
}
