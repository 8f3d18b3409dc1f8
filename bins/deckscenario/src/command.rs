//! Commands of the scenario language.

use std::path::Path;

use crate::{
    comparison::{Comparison, Relation},
    error::ScenarioError,
    statement::{Statement, statements},
};

/// A scenario file.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Failure that the scenario guards against.
    pub guards: String,
    /// Seed, unless the command line gives another one.
    pub seed: u64,
    /// Commands in order.
    pub commands: Vec<Located>,
}

/// A command and its line.
#[derive(Debug, Clone)]
pub struct Located {
    /// Line, from 1.
    pub line: usize,
    /// Command.
    pub command: Command,
}

/// A setting of one process, `key=value`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binding {
    /// Name in the template, `${key}`.
    pub key: String,
    /// Value.
    pub value: String,
}

impl Binding {
    /// Reads `key=value`.
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

/// Where a value is read: a load report, or a path at a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// Process or load.
    pub name: String,
    /// Path at the process; `/admin/records` if the line names none.
    pub path: String,
}

/// Invariant that is checked on the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// `executions SERVICE..`: each key ran at most once.
    Executions,
    /// `bookings LOAD SERVICE..`: an accepted booking ran once, one that never ran did not run.
    Bookings,
    /// `samples TRAINER..`: finished steps are complete and no sample came twice.
    Samples,
    /// `spans TRAINER.. from ENGINE..`: engines recorded the delivered weight versions.
    Spans,
    /// `staleness BOUND TRAINER..`: no sample is older than the bound.
    Staleness,
    /// `versions ENGINE..`: accepted orders never go back in fencing number or version. Only for
    /// engines that check fencing numbers.
    Versions,
    /// `load-factor FACTOR CONSTANT LOAD SERVICE..`: services ran at most FACTOR times the calls
    /// of the load, and CONSTANT more.
    LoadFactor,
    /// `share ORGANISATION PERCENT TOLERANCE LOAD`: the organisation's part of the load's tokens.
    Share,
    /// `configuration STORE`: the accepted revision of an object never falls.
    Configuration,
}

/// One command. Words may contain `${dir}`, `${seed}`, `${NAME.LISTENER}` and, in templates,
/// `${name}`, `${listen.LISTENER}` and the bindings of the process.
#[expect(missing_docs, reason = "the form of the line names the fields")]
#[derive(Debug, Clone)]
pub enum Command {
    /// `settings NAME <<END`: template of a settings file.
    Settings { name: String, text: String },
    /// `standin NAME KIND ARGUMENT..`: starts a stand-in.
    Standin { name: String, kind: String, arguments: Vec<String> },
    /// `daemon NAME PROGRAM SETTINGS KEY=VALUE..`: starts a daemon.
    Daemon { name: String, program: String, settings: String, bindings: Vec<Binding> },
    /// `ready NAME..`: waits until `/readyz` succeeds.
    Ready { names: Vec<String> },
    /// `kill NAME..`: SIGKILL.
    Kill { names: Vec<String> },
    /// `freeze NAME..`: SIGSTOP.
    Freeze { names: Vec<String> },
    /// `thaw NAME..`: SIGCONT.
    Thaw { names: Vec<String> },
    /// `terminate NAME..`: SIGTERM and wait for a successful end.
    Terminate { names: Vec<String> },
    /// `alive COUNT NAME..`: so many of these stand-ins answer.
    Alive { count: usize, names: Vec<String> },
    /// `exits NAME`: waits for the end of the process.
    Exits { name: String },
    /// `restart NAME ARGUMENT..`: starts it again on the same addresses. Arguments replace those of
    /// the start for a stand-in, and are further or changed bindings for a daemon.
    Restart { name: String, arguments: Vec<String> },
    /// `cut LINK..`, `stall LINK..`, `heal LINK..`.
    Link { names: Vec<String>, mode: &'static str },
    /// `fault NAME JSON`.
    Fault { name: String, faults: String },
    /// `call NAME METHOD PATH STATUS [JSON] [HEADER=VALUE..]`: a call that has to end with STATUS,
    /// or with a broken connection if STATUS is `broken`.
    Call {
        name: String,
        method: String,
        path: String,
        status: String,
        body: String,
        headers: Vec<Binding>,
    },
    /// `apply STORE KIND NAME <<END` (or JSON): conditional write of a spec.
    Apply { store: String, kind: String, name: String, spec: String },
    /// `race STORE KIND NAME JSON JSON`: two operators write on the same revision; one has to win.
    Race { store: String, kind: String, name: String, specs: [String; 2] },
    /// `load NAME ARGUMENT..`: starts `deckload`.
    Load { name: String, arguments: Vec<String> },
    /// `finish NAME`: waits for the end of a load.
    Finish { name: String },
    /// `sleep MS`.
    Sleep { wait_ms: u64 },
    /// `mark VARIABLE NAME[/PATH] PLACE PLUS`: sets a variable to a number in a record and PLUS, to
    /// wait for progress from here on.
    Mark { variable: String, source: Source, place: String, plus: u64 },
    /// `wait NAME[/PATH] PLACE RELATION VALUE`: waits until it holds.
    Wait { source: Source, comparison: Comparison },
    /// `expect NAME[/PATH] PLACE RELATION VALUE`: it has to hold now.
    Expect { source: Source, comparison: Comparison },
    /// `check INVARIANT ..`.
    Check { invariant: Invariant, arguments: Vec<String> },
}

/// Reads a scenario file.
///
/// # Errors
///
/// Returns an error if a file cannot be read, or one that names the line and what is expected there.
pub fn read(file: &Path) -> Result<Scenario, ScenarioError> {
    let text = read_text(file)?;
    parse(&text, file.parent().unwrap_or(Path::new("")))
}

/// Reads a scenario from a text; `include FILE` takes the commands of a file below `directory`.
///
/// # Errors
///
/// As [`read`].
pub fn parse(text: &str, directory: &Path) -> Result<Scenario, ScenarioError> {
    let mut scenario = Scenario { guards: String::new(), seed: 1, commands: Vec::new() };
    add_statements(&mut scenario, text, directory)?;
    if scenario.guards.is_empty() {
        let message = "no guards line names the failure that the scenario guards against";
        return Err(ScenarioError::Syntax(1, message.to_owned()));
    }
    Ok(scenario)
}

fn read_text(file: &Path) -> Result<String, ScenarioError> {
    std::fs::read_to_string(file).map_err(|error| ScenarioError::File(file.to_owned(), error))
}

fn add_statements(
    scenario: &mut Scenario,
    text: &str,
    directory: &Path,
) -> Result<(), ScenarioError> {
    for statement in statements(text)? {
        let line = statement.line;
        match statement.words[0].as_str() {
            "guards" => scenario.guards = statement.words[1..].join(" "),
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
                let command =
                    command(statement).map_err(|message| ScenarioError::Syntax(line, message))?;
                scenario.commands.push(Located { line, command });
            }
        }
    }
    Ok(())
}

/// Arguments of a statement in order.
struct Words {
    verb: String,
    rest: std::vec::IntoIter<String>,
    block: Option<String>,
}

impl Words {
    fn next(&mut self, what: &str) -> Result<String, String> {
        self.rest.next().ok_or_else(|| format!("{}: expected {what}", self.verb))
    }

    fn all(&mut self) -> Vec<String> {
        self.rest.by_ref().collect()
    }

    fn names(&mut self) -> Result<Vec<String>, String> {
        let names = self.all();
        if names.is_empty() { Err(format!("{}: expected a name", self.verb)) } else { Ok(names) }
    }

    /// A block, or else a word.
    fn text(&mut self, what: &str) -> Result<String, String> {
        match self.block.take() {
            Some(block) => Ok(block),
            None => self.next(what),
        }
    }

    fn bindings(&mut self) -> Result<Vec<Binding>, String> {
        self.all().iter().map(|word| Binding::try_parse(word)).collect()
    }

    fn comparison(&mut self) -> Result<(Source, Comparison), String> {
        let source = source(&self.next("a process or load")?);
        let place = self.next("a place in the record")?;
        let operator = self.next("an operator")?;
        let relation = Relation::parse(&operator)
            .ok_or_else(|| format!("{operator}: expected ==, !=, <, <=, > or >="))?;
        Ok((source, Comparison { place, relation, literal: self.next("a value")? }))
    }
}

fn command(statement: Statement) -> Result<Command, String> {
    let mut rest = statement.words.into_iter();
    let verb = rest.next().unwrap_or_default();
    let mut words = Words { verb: verb.clone(), rest, block: statement.block };
    let command = typed_command(&verb, &mut words)?;
    match words.rest.next() {
        Some(extra) => Err(format!("{verb}: {extra:?} is one word too many")),
        None if words.block.is_some() => Err(format!("{verb}: takes no block")),
        None => Ok(command),
    }
}

fn typed_command(verb: &str, words: &mut Words) -> Result<Command, String> {
    Ok(match verb {
        "settings" => {
            Command::Settings { name: words.next("a name")?, text: words.text("a block")? }
        }
        "standin" => Command::Standin {
            name: words.next("a name")?,
            kind: words.next("a kind")?,
            arguments: words.all(),
        },
        "daemon" => Command::Daemon {
            name: words.next("a name")?,
            program: words.next("a program")?,
            settings: words.next("the name of settings")?,
            bindings: words.bindings()?,
        },
        "ready" => Command::Ready { names: words.names()? },
        "kill" => Command::Kill { names: words.names()? },
        "freeze" => Command::Freeze { names: words.names()? },
        "thaw" => Command::Thaw { names: words.names()? },
        "terminate" => Command::Terminate { names: words.names()? },
        "alive" => {
            let count = words.next("a number")?;
            let count = count.parse().map_err(|_| format!("alive: {count:?} is not a number"))?;
            Command::Alive { count, names: words.names()? }
        }
        "exits" => Command::Exits { name: words.next("a name")? },
        "restart" => Command::Restart { name: words.next("a name")?, arguments: words.all() },
        "cut" => Command::Link { names: words.names()?, mode: "cut" },
        "stall" => Command::Link { names: words.names()?, mode: "black_hole" },
        "heal" => Command::Link { names: words.names()?, mode: "open" },
        "fault" => Command::Fault { name: words.next("a name")?, faults: words.text("JSON")? },
        "call" => call(words)?,
        "apply" => Command::Apply {
            store: words.next("a store")?,
            kind: words.next("a kind")?,
            name: words.next("an object's name")?,
            spec: words.text("a spec")?,
        },
        "race" => Command::Race {
            store: words.next("a store")?,
            kind: words.next("a kind")?,
            name: words.next("an object's name")?,
            specs: [words.next("a spec")?, words.next("another spec")?],
        },
        "load" => Command::Load { name: words.next("a name")?, arguments: words.all() },
        "finish" => Command::Finish { name: words.next("a load")? },
        "sleep" => {
            let wait = words.next("milliseconds")?;
            let wait_ms = wait.parse().map_err(|_| format!("sleep: {wait:?} is not a number"))?;
            Command::Sleep { wait_ms }
        }
        "mark" => {
            let variable = words.next("a variable")?;
            let source = source(&words.next("a process or load")?);
            let place = words.next("a place in the record")?;
            let plus = words.next("a number")?;
            let plus = plus.parse().map_err(|_| format!("mark: {plus:?} is not a number"))?;
            Command::Mark { variable, source, place, plus }
        }
        "wait" => {
            let (source, comparison) = words.comparison()?;
            Command::Wait { source, comparison }
        }
        "expect" => {
            let (source, comparison) = words.comparison()?;
            Command::Expect { source, comparison }
        }
        "check" => {
            let name = words.next("an invariant")?;
            Command::Check { invariant: invariant(&name)?, arguments: words.all() }
        }
        _ => return Err(format!("{verb:?} is not a command")),
    })
}

fn call(words: &mut Words) -> Result<Command, String> {
    let (name, method) = (words.next("a name")?, words.next("a method")?);
    let (path, status) = (words.next("a path")?, words.next("a status")?);
    let mut body = words.block.take().unwrap_or_default();
    let mut headers = Vec::new();
    for word in words.all() {
        if word.starts_with(['{', '[']) {
            body = word;
        } else {
            headers.push(Binding::try_parse(&word)?);
        }
    }
    Ok(Command::Call { name, method, path, status, body, headers })
}

fn source(word: &str) -> Source {
    let (name, path) = match word.find('/') {
        Some(at) => (&word[..at], &word[at..]),
        None => (word, "/admin/records"),
    };
    Source { name: name.to_owned(), path: path.to_owned() }
}

fn invariant(name: &str) -> Result<Invariant, String> {
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
