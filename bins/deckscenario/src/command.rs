//! Commands of the scenario language and their parser.

use std::path::Path;

use crate::{
    comparison::{Comparison, Relation},
    error::ScenarioError,
    statement::{Statement, parse_statements},
};

/// A parsed scenario file.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Text of the `guards` line: the failure that the scenario guards against.
    pub guarded_failure: String,
    /// Seed of arrivals, keys and random faults. `--seed` on the command line replaces it.
    pub seed: u64,
    /// Commands in the order of the file.
    pub commands: Vec<LocatedCommand>,
}

/// A command with its line number.
#[derive(Debug, Clone)]
pub struct LocatedCommand {
    /// Line number in its file, starting at 1.
    pub line: usize,
    /// Parsed command.
    pub command: Command,
}

/// Argument of the form `key=value`: a template variable of a daemon, or an HTTP header of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Name of the template variable or header.
    pub key: String,
    /// Value, which may contain `=`.
    pub value: String,
}

impl KeyValue {
    /// Parses `key=value`.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no `=`.
    pub fn try_parse(word: &str) -> Result<Self, String> {
        let (key, value) =
            word.split_once('=').ok_or_else(|| format!("{word:?}: expected key=value"))?;
        Ok(Self { key: key.to_owned(), value: value.to_owned() })
    }
}

/// Source of a JSON record: the report of a finished load, or an HTTP path of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordSource {
    /// Name of a process or load.
    pub name: String,
    /// HTTP path of the process; `/admin/records` by default. Unused for a load.
    pub path: String,
}

/// Invariant of the `check` command, with its arguments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// `executions SERVICE..`: no key was executed more than once.
    Executions,
    /// `bookings LOAD SERVICE..`: a confirmed booking was executed exactly once, and a booking that was
    /// only ever refused as not run was not executed.
    Bookings,
    /// `samples TRAINER..`: finished steps are complete, no sample was received twice, and no message
    /// broke the protocol.
    Samples,
    /// `spans TRAINER.. from ENGINE..`: the engines generated each token of a delivered sample with the
    /// weight version that the sample reports for it.
    Spans,
    /// `staleness BOUND TRAINER..`: no sample is more than BOUND weight versions behind the trainer.
    Staleness,
    /// `versions ENGINE..`: among the orders that an engine accepts, neither the fencing number nor
    /// the active weight version decreases. Only for engines that check fencing numbers.
    Versions,
    /// `load-factor FACTOR CONSTANT LOAD SERVICE..`: the services executed at most FACTOR times the
    /// number of calls in the load, plus CONSTANT.
    LoadFactor,
    /// `share ORGANISATION PERCENT TOLERANCE LOAD`: the organisation received PERCENT of the load's
    /// tokens, plus or minus TOLERANCE percentage points.
    Share,
    /// `configuration STORE`: the accepted revision of an object never decreases.
    Configuration,
}

/// Command of a scenario; each variant documents its syntax.
///
/// Arguments may contain the variables `${dir}`, `${seed}` and `${NAME.LISTENER}` (the address of a
/// listener), variables set by `mark`, and `${LOAD.sent}` and `${LOAD.sent.CLASS}` of finished loads.
/// Templates may also contain `${name}`, `${listen.LISTENER}` (the address to bind) and the
/// `KEY=VALUE` arguments of the daemon.
#[expect(missing_docs, reason = "the syntax of each variant explains its fields")]
#[derive(Debug, Clone)]
pub enum Command {
    /// `settings NAME <<END`: defines a template of a settings file.
    Settings { name: String, text: String },
    /// `standin NAME KIND ARGUMENT..`: starts `deckstandin` as a stand-in of this kind.
    Standin { name: String, kind: String, arguments: Vec<String> },
    /// `daemon NAME PROGRAM SETTINGS KEY=VALUE..`: starts a daemon with a settings file made from the
    /// template SETTINGS.
    Daemon { name: String, program: String, settings: String, bindings: Vec<KeyValue> },
    /// `ready NAME..`: waits until `/readyz` returns 200.
    Ready { names: Vec<String> },
    /// `kill NAME..`: sends SIGKILL.
    Kill { names: Vec<String> },
    /// `freeze NAME..`: sends SIGSTOP.
    Freeze { names: Vec<String> },
    /// `thaw NAME..`: sends SIGCONT.
    Thaw { names: Vec<String> },
    /// `terminate NAME..`: sends SIGTERM and waits until the processes exit with code 0.
    Terminate { names: Vec<String> },
    /// `alive COUNT NAME..`: expects that exactly COUNT of these stand-ins respond.
    Alive { count: usize, names: Vec<String> },
    /// `exits NAME`: waits until the process exits, with any code.
    Exits { name: String },
    /// `restart NAME ARGUMENT..`: starts the process again on the same addresses, after killing it if
    /// it still runs. For a stand-in, arguments replace all earlier ones; for a daemon, they are
    /// `KEY=VALUE` and add or replace single template variables.
    Restart { name: String, arguments: Vec<String> },
    /// `cut LINK..`, `stall LINK..`, `heal LINK..`: sets the mode of links. `cut` breaks connections,
    /// `stall` drops their data silently, `heal` restores them.
    Link { names: Vec<String>, mode: &'static str },
    /// `fault NAME JSON`: posts the JSON to `/admin/faults` of a stand-in.
    Fault { name: String, faults: String },
    /// `call NAME METHOD PATH STATUS [JSON] [HEADER=VALUE..]`: sends a request and expects STATUS, or
    /// a broken connection if STATUS is `broken`.
    Call {
        name: String,
        method: String,
        path: String,
        expected_status: String,
        body: String,
        headers: Vec<KeyValue>,
    },
    /// `apply STORE KIND NAME <<END` (or JSON): creates or updates an object. The write is conditional
    /// on the revision that was read just before.
    Apply { store: String, kind: String, name: String, spec: String },
    /// `race STORE KIND NAME JSON JSON`: makes two concurrent writes conditional on the same revision;
    /// exactly one has to succeed.
    Race { store: String, kind: String, name: String, specs: [String; 2] },
    /// `load NAME ARGUMENT..`: starts `deckload` with these arguments.
    Load { name: String, arguments: Vec<String> },
    /// `finish NAME`: waits until a load exits, and reads its report.
    Finish { name: String },
    /// `sleep MS`: pauses the scenario.
    Sleep { duration_ms: u64 },
    /// `mark VARIABLE NAME[/PATH] FIELD ADDEND`: sets a variable to the number in a field plus ADDEND.
    /// A later `wait` for the variable waits for ADDEND further events.
    Mark { variable: String, source: RecordSource, field_path: String, addend: u64 },
    /// `wait NAME[/PATH] FIELD RELATION VALUE`: waits until the comparison holds; see [`Comparison`].
    Wait { source: RecordSource, comparison: Comparison },
    /// `expect NAME[/PATH] FIELD RELATION VALUE`: fails unless the comparison holds now.
    Expect { source: RecordSource, comparison: Comparison },
    /// `check INVARIANT ARGUMENT..`: fails if the invariant is violated; see [`Invariant`].
    Check { invariant: Invariant, arguments: Vec<String> },
}

/// Reads and parses a scenario file.
///
/// # Errors
///
/// Returns [`ScenarioError::File`] if the file or an included one cannot be read, and
/// [`ScenarioError::Syntax`] if a line is malformed.
pub fn read_scenario(file: &Path) -> Result<Scenario, ScenarioError> {
    let text = read_text(file)?;
    parse_scenario(&text, file.parent().unwrap_or(Path::new("")))
}

/// Parses the text of a scenario file. `include FILE` inserts the commands of a file, whose path is
/// relative to `directory`.
///
/// # Errors
///
/// As [`read_scenario`].
pub fn parse_scenario(text: &str, directory: &Path) -> Result<Scenario, ScenarioError> {
    let mut scenario = Scenario { guarded_failure: String::new(), seed: 1, commands: Vec::new() };
    add_statements(&mut scenario, text, directory)?;
    if scenario.guarded_failure.is_empty() {
        let message = "no guards line names the failure that the scenario guards against";
        return Err(ScenarioError::Syntax(1, message.to_owned()));
    }
    Ok(scenario)
}

fn read_text(file: &Path) -> Result<String, ScenarioError> {
    std::fs::read_to_string(file).map_err(|error| ScenarioError::File(file.to_owned(), error))
}

/// Parses the statements of `text` and adds them to `scenario`.
fn add_statements(
    scenario: &mut Scenario,
    text: &str,
    directory: &Path,
) -> Result<(), ScenarioError> {
    for statement in parse_statements(text)? {
        let line = statement.line;
        match statement.words[0].as_str() {
            "guards" => scenario.guarded_failure = statement.words[1..].join(" "),
            "seed" => {
                scenario.seed =
                    statement.words.get(1).and_then(|seed| seed.parse().ok()).ok_or_else(|| {
                        ScenarioError::Syntax(line, "seed: expected a number".to_owned())
                    })?;
            }
            "include" => {
                let file = directory.join(statement.words[1..].concat());
                let included = read_text(&file)?;
                add_statements(scenario, &included, directory).map_err(|error| {
                    ScenarioError::Syntax(line, format!("{}: {error}", file.display()))
                })?;
            }
            _ => {
                let command = parse_command(statement)
                    .map_err(|message| ScenarioError::Syntax(line, message))?;
                scenario.commands.push(LocatedCommand { line, command });
            }
        }
    }
    Ok(())
}

/// Arguments of a command that are not parsed yet.
struct Arguments {
    verb: String,
    words: std::vec::IntoIter<String>,
    block: Option<String>,
}

impl Arguments {
    /// Takes the next word; `expected` describes it in the error message.
    fn next(&mut self, expected: &str) -> Result<String, String> {
        self.words.next().ok_or_else(|| format!("{}: expected {expected}", self.verb))
    }

    /// Takes all remaining words.
    fn take_all(&mut self) -> Vec<String> {
        self.words.by_ref().collect()
    }

    /// Takes all remaining words as names; there has to be at least one.
    fn names(&mut self) -> Result<Vec<String>, String> {
        let names = self.take_all();
        if names.is_empty() { Err(format!("{}: expected a name", self.verb)) } else { Ok(names) }
    }

    /// Takes the text block if there is one, and the next word otherwise.
    fn block_or_next(&mut self, expected: &str) -> Result<String, String> {
        match self.block.take() {
            Some(block) => Ok(block),
            None => self.next(expected),
        }
    }

    fn key_values(&mut self) -> Result<Vec<KeyValue>, String> {
        self.take_all().iter().map(|word| KeyValue::try_parse(word)).collect()
    }

    fn comparison(&mut self) -> Result<(RecordSource, Comparison), String> {
        let source = parse_source(&self.next("a process or load")?);
        let field_path = self.next("a field of the record")?;
        let operator = self.next("an operator")?;
        let relation = Relation::parse(&operator)
            .ok_or_else(|| format!("{operator}: expected ==, !=, <, <=, > or >="))?;
        Ok((source, Comparison { field_path, relation, expected: self.next("a value")? }))
    }
}

/// Parses a statement. Surplus words or an unexpected text block are an error.
fn parse_command(statement: Statement) -> Result<Command, String> {
    let mut words = statement.words.into_iter();
    let verb = words.next().unwrap_or_default();
    let mut arguments = Arguments { verb: verb.clone(), words, block: statement.block };
    let command = parse_arguments(&verb, &mut arguments)?;
    match arguments.words.next() {
        Some(surplus) => Err(format!("{verb}: {surplus:?} is one word too many")),
        None if arguments.block.is_some() => Err(format!("{verb}: unexpected text block")),
        None => Ok(command),
    }
}

fn parse_arguments(verb: &str, arguments: &mut Arguments) -> Result<Command, String> {
    Ok(match verb {
        "settings" => Command::Settings {
            name: arguments.next("a name")?,
            text: arguments.block_or_next("a block")?,
        },
        "standin" => Command::Standin {
            name: arguments.next("a name")?,
            kind: arguments.next("a kind")?,
            arguments: arguments.take_all(),
        },
        "daemon" => Command::Daemon {
            name: arguments.next("a name")?,
            program: arguments.next("a program")?,
            settings: arguments.next("a settings template")?,
            bindings: arguments.key_values()?,
        },
        "ready" => Command::Ready { names: arguments.names()? },
        "kill" => Command::Kill { names: arguments.names()? },
        "freeze" => Command::Freeze { names: arguments.names()? },
        "thaw" => Command::Thaw { names: arguments.names()? },
        "terminate" => Command::Terminate { names: arguments.names()? },
        "alive" => {
            let count = arguments.next("a number")?;
            let count = count.parse().map_err(|_| format!("alive: {count:?} is not a number"))?;
            Command::Alive { count, names: arguments.names()? }
        }
        "exits" => Command::Exits { name: arguments.next("a name")? },
        "restart" => {
            Command::Restart { name: arguments.next("a name")?, arguments: arguments.take_all() }
        }
        "cut" => Command::Link { names: arguments.names()?, mode: "cut" },
        "stall" => Command::Link { names: arguments.names()?, mode: "black_hole" },
        "heal" => Command::Link { names: arguments.names()?, mode: "open" },
        "fault" => Command::Fault {
            name: arguments.next("a name")?,
            faults: arguments.block_or_next("JSON")?,
        },
        "call" => parse_call(arguments)?,
        "apply" => Command::Apply {
            store: arguments.next("a store")?,
            kind: arguments.next("a kind")?,
            name: arguments.next("an object's name")?,
            spec: arguments.block_or_next("a spec")?,
        },
        "race" => Command::Race {
            store: arguments.next("a store")?,
            kind: arguments.next("a kind")?,
            name: arguments.next("an object's name")?,
            specs: [arguments.next("a spec")?, arguments.next("another spec")?],
        },
        "load" => {
            Command::Load { name: arguments.next("a name")?, arguments: arguments.take_all() }
        }
        "finish" => Command::Finish { name: arguments.next("a load")? },
        "sleep" => {
            let duration = arguments.next("milliseconds")?;
            let duration_ms =
                duration.parse().map_err(|_| format!("sleep: {duration:?} is not a number"))?;
            Command::Sleep { duration_ms }
        }
        "mark" => {
            let variable = arguments.next("a variable")?;
            let source = parse_source(&arguments.next("a process or load")?);
            let field_path = arguments.next("a field of the record")?;
            let addend = arguments.next("a number")?;
            let addend = addend.parse().map_err(|_| format!("mark: {addend:?} is not a number"))?;
            Command::Mark { variable, source, field_path, addend }
        }
        "wait" => {
            let (source, comparison) = arguments.comparison()?;
            Command::Wait { source, comparison }
        }
        "expect" => {
            let (source, comparison) = arguments.comparison()?;
            Command::Expect { source, comparison }
        }
        "check" => {
            let name = arguments.next("an invariant")?;
            Command::Check { invariant: parse_invariant(&name)?, arguments: arguments.take_all() }
        }
        _ => return Err(format!("{verb:?} is not a command")),
    })
}

fn parse_call(arguments: &mut Arguments) -> Result<Command, String> {
    let (name, method) = (arguments.next("a name")?, arguments.next("a method")?);
    let (path, expected_status) = (arguments.next("a path")?, arguments.next("a status")?);
    let mut body = arguments.block.take().unwrap_or_default();
    let mut headers = Vec::new();
    for word in arguments.take_all() {
        if word.starts_with(['{', '[']) {
            body = word;
        } else {
            headers.push(KeyValue::try_parse(&word)?);
        }
    }
    Ok(Command::Call { name, method, path, expected_status, body, headers })
}

fn parse_source(word: &str) -> RecordSource {
    let (name, path) = match word.find('/') {
        Some(slash) => (&word[..slash], &word[slash..]),
        None => (word, "/admin/records"),
    };
    RecordSource { name: name.to_owned(), path: path.to_owned() }
}

fn parse_invariant(name: &str) -> Result<Invariant, String> {
    Ok(match name {
        "executions" => Invariant::Executions,
        "bookings" => Invariant::Bookings,
        "samples" => Invariant::Samples,
        "spans" => Invariant::Spans,
        "staleness" => Invariant::Staleness,
        "versions" => Invariant::Versions,
        "load-factor" => Invariant::LoadFactor,
        "share" => Invariant::Share,
        "configuration" => Invariant::Configuration,
        _ => {
            return Err(format!(
                "{name:?}: expected executions, bookings, samples, spans, staleness, versions, \
                 load-factor, share or configuration"
            ));
        }
    })
}
