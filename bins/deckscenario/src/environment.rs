//! Processes of a running scenario and the texts that refer to them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use deck_testkit::Process;

use crate::{command::Binding, error::CommandError};

/// Kinds of stand-ins that keep a journal.
const JOURNALED: &[&str] = &["engine", "service", "trainer"];

/// How a process is started, for its restart.
#[derive(Debug, Clone)]
enum Launch {
    Standin { kind: String, arguments: Vec<String> },
    Daemon { program: String, settings: String, bindings: Vec<Binding> },
}

/// A process of the scenario.
pub struct Member {
    launch: Launch,
    process: Process,
    /// Addresses by listener. A restart takes the same ones, which other processes know.
    listeners: BTreeMap<String, SocketAddr>,
}

/// All processes of a scenario and its directory.
pub struct World {
    directory: PathBuf,
    seed: u64,
    templates: BTreeMap<String, String>,
    members: BTreeMap<String, Member>,
    /// Results of finished loads.
    variables: BTreeMap<String, String>,
}

impl World {
    /// Returns a world without processes whose files go to `directory`.
    pub fn new(directory: PathBuf, seed: u64) -> Self {
        Self {
            directory,
            seed,
            templates: BTreeMap::new(),
            members: BTreeMap::new(),
            variables: BTreeMap::new(),
        }
    }

    /// Keeps a template of a settings file.
    pub fn add_template(&mut self, name: String, text: String) {
        self.templates.insert(name, text);
    }

    /// Sets a variable that texts refer to.
    pub fn set_variable(&mut self, name: String, value: String) {
        self.variables.insert(name, value);
    }

    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is taken or an argument refers to an unknown name.
    pub fn start_standin(
        &mut self,
        name: &str,
        kind: &str,
        arguments: &[String],
    ) -> Result<(), CommandError> {
        let launch = Launch::Standin { kind: kind.to_owned(), arguments: arguments.to_vec() };
        self.start_new(name, launch)
    }

    /// Starts a daemon with settings from a template.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is taken, or the template or a name in it is not known.
    pub fn start_daemon(
        &mut self,
        name: &str,
        program: &str,
        settings: &str,
        bindings: &[Binding],
    ) -> Result<(), CommandError> {
        let launch = Launch::Daemon {
            program: program.to_owned(),
            settings: settings.to_owned(),
            bindings: bindings.to_vec(),
        };
        self.start_new(name, launch)
    }

    fn start_new(&mut self, name: &str, launch: Launch) -> Result<(), CommandError> {
        if self.members.contains_key(name) {
            return Err(format!("{name} has been started before").into());
        }
        let member = self.launch(name, launch, BTreeMap::new())?;
        self.members.insert(name.to_owned(), member);
        Ok(())
    }

    /// Starts an ended process again on its addresses; `arguments` replace those of a
    /// stand-in, or single bindings of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not known.
    pub fn restart(&mut self, name: &str, arguments: &[String]) -> Result<(), CommandError> {
        let member = self.member(name)?;
        let (mut launch, listeners) = (member.launch.clone(), member.listeners.clone());
        match &mut launch {
            Launch::Standin { arguments: old, .. } if !arguments.is_empty() => {
                *old = arguments.to_vec();
            }
            Launch::Standin { .. } => {}
            Launch::Daemon { bindings, .. } => {
                for argument in arguments {
                    let binding = Binding::try_parse(argument)?;
                    bindings.retain(|old| old.key != binding.key);
                    bindings.push(binding);
                }
            }
        }
        // Ends a process that is still there, which frees its addresses.
        self.members.remove(name);
        let member = self.launch(name, launch, listeners)?;
        self.members.insert(name.to_owned(), member);
        Ok(())
    }

    fn launch(
        &self,
        name: &str,
        launch: Launch,
        listeners: BTreeMap<String, SocketAddr>,
    ) -> Result<Member, CommandError> {
        let log = self.directory.join(format!("{name}.log"));
        let (program, arguments) = match &launch {
            Launch::Standin { kind, arguments } => {
                ("deckstandin", self.standin_arguments(name, kind, arguments, &listeners)?)
            }
            Launch::Daemon { program, settings, bindings } => {
                let text = self.settings(name, settings, bindings, &listeners)?;
                let path = self.directory.join(format!("{name}.ini"));
                std::fs::write(&path, text)?;
                (program.as_str(), vec!["--config".to_owned(), path.display().to_string()])
            }
        };
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let process = Process::start(name, program, &arguments, Some(&log));
        let mut member = Member { launch, process, listeners };
        for listener in member.expected_listeners() {
            let address = member.process.address(&listener);
            member.listeners.insert(listener, address);
        }
        Ok(member)
    }

    fn standin_arguments(
        &self,
        name: &str,
        kind: &str,
        arguments: &[String],
        listeners: &BTreeMap<String, SocketAddr>,
    ) -> Result<Vec<String>, CommandError> {
        let mut all = vec![kind.to_owned(), "--listen".to_owned(), bind_text(listeners, "http")];
        if kind == "link" {
            all.extend(["--admin".to_owned(), bind_text(listeners, "admin")]);
        }
        if kind == "objects" {
            all.push("--history".to_owned());
        }
        if JOURNALED.contains(&kind) {
            all.extend(["--journal".to_owned(), self.journal(name).display().to_string()]);
        }
        for argument in arguments {
            all.push(self.expand(argument)?);
        }
        Ok(all)
    }

    fn settings(
        &self,
        name: &str,
        settings: &str,
        bindings: &[Binding],
        listeners: &BTreeMap<String, SocketAddr>,
    ) -> Result<String, CommandError> {
        let template = self
            .templates
            .get(settings)
            .ok_or_else(|| format!("there are no settings {settings}"))?;
        expand(template, |variable| {
            if variable == "name" {
                return Some(name.to_owned());
            }
            if let Some(listener) = variable.strip_prefix("listen.") {
                return Some(bind_text(listeners, listener));
            }
            let binding = bindings.iter().find(|binding| binding.key == variable);
            match binding {
                Some(binding) => self.expand(&binding.value).ok(),
                None => self.variable(variable),
            }
        })
    }

    /// Returns a process.
    ///
    /// # Errors
    ///
    /// Returns an error if it has not been started.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, CommandError> {
        match self.members.get_mut(name) {
            Some(member) => Ok(&mut member.process),
            None => Err(format!("there is no process {name}").into()),
        }
    }

    /// Returns the address at which a process serves `/admin` paths.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not known.
    pub fn admin_address(&self, name: &str) -> Result<SocketAddr, CommandError> {
        let listeners = &self.member(name)?.listeners;
        let address = listeners.get("admin").or(listeners.get("http"));
        address.copied().ok_or_else(|| format!("{name} has no admin listener").into())
    }

    /// Returns the address of a listener; `None` if there is no such process or listener.
    pub fn address(&self, name: &str, listener: &str) -> Option<SocketAddr> {
        self.members.get(name)?.listeners.get(listener).copied()
    }

    /// Returns the path of a process's journal.
    pub fn journal(&self, name: &str) -> PathBuf {
        self.directory.join(format!("{name}.jsonl"))
    }

    /// Returns the directory of the scenario's files.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Replaces the variables in a text.
    ///
    /// # Errors
    ///
    /// Returns an error that names an unknown variable.
    pub fn expand(&self, text: &str) -> Result<String, CommandError> {
        expand(text, |variable| self.variable(variable))
    }

    fn variable(&self, variable: &str) -> Option<String> {
        match variable {
            "seed" => return Some(self.seed.to_string()),
            "dir" => return Some(self.directory.display().to_string()),
            _ => {}
        }
        if let Some(value) = self.variables.get(variable) {
            return Some(value.clone());
        }
        let (name, listener) = variable.rsplit_once('.')?;
        self.address(name, listener).map(|address| address.to_string())
    }

    fn member(&self, name: &str) -> Result<&Member, CommandError> {
        self.members.get(name).ok_or_else(|| format!("there is no process {name}").into())
    }
}

impl Member {
    fn expected_listeners(&self) -> Vec<String> {
        let names: &[&str] = match &self.launch {
            Launch::Standin { kind, .. } if kind == "link" => &["http", "admin"],
            Launch::Standin { .. } => &["http"],
            Launch::Daemon { program, .. } => match program.as_str() {
                "deckentry" => &["caller", "peer", "local", "admin"],
                "deckroll" => &["trainer", "admin"],
                _ => &["admin"],
            },
        };
        names.iter().map(|name| (*name).to_owned()).collect()
    }
}

/// Address to bind: the one of before, or a free port.
fn bind_text(listeners: &BTreeMap<String, SocketAddr>, listener: &str) -> String {
    listeners.get(listener).map_or("127.0.0.1:0".to_owned(), SocketAddr::to_string)
}

fn expand(text: &str, value: impl Fn(&str) -> Option<String>) -> Result<String, CommandError> {
    let mut expanded = String::new();
    let mut rest = text;
    while let Some(start) = rest.find("${") {
        let (before, variable) = rest.split_at(start);
        let end = variable.find('}').ok_or_else(|| format!("no }} after {variable:?}"))?;
        let name = &variable[2..end];
        let found = value(name).ok_or_else(|| format!("there is no variable ${{{name}}}"))?;
        expanded.push_str(before);
        expanded.push_str(&found);
        rest = &variable[end + 1..];
    }
    expanded.push_str(rest);
    Ok(expanded)
}
