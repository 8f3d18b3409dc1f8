//! Environment of a running scenario: its processes, templates, variables and files.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use deck_testkit::Process;

use crate::{command::KeyValue, error::CommandError};

/// Kinds of stand-ins that are started with `--journal`.
const JOURNALED_KINDS: &[&str] = &["engine", "service", "trainer"];

/// Parameters with which a process was started; a restart reuses them.
#[derive(Debug, Clone)]
enum LaunchSpec {
    Standin { kind: String, arguments: Vec<String> },
    Daemon { program: String, settings: String, bindings: Vec<KeyValue> },
}

/// A process of the scenario and what is needed to restart it.
pub struct ManagedProcess {
    launch_spec: LaunchSpec,
    process: Process,
    /// Addresses by listener name. A restart binds the same ones, because other processes use them.
    listeners: BTreeMap<String, SocketAddr>,
}

/// Processes, settings templates and variables of one scenario.
pub struct Environment {
    directory: PathBuf,
    seed: u64,
    templates: BTreeMap<String, String>,
    processes: BTreeMap<String, ManagedProcess>,
    /// Variables set by `mark` and by finished loads.
    variables: BTreeMap<String, String>,
}

impl Environment {
    /// Returns an environment without processes. Logs, settings files and journals are written to
    /// `directory`.
    pub fn new(directory: PathBuf, seed: u64) -> Self {
        Self {
            directory,
            seed,
            templates: BTreeMap::new(),
            processes: BTreeMap::new(),
            variables: BTreeMap::new(),
        }
    }

    /// Defines a template of a settings file.
    pub fn add_template(&mut self, name: String, text: String) {
        self.templates.insert(name, text);
    }

    /// Sets the variable `${name}`.
    pub fn set_variable(&mut self, name: String, value: String) {
        self.variables.insert(name, value);
    }

    /// Starts a stand-in of a kind that `deckstandin` knows, such as `engine`.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is taken or an argument contains an unknown variable.
    pub fn start_standin(
        &mut self,
        name: &str,
        kind: &str,
        arguments: &[String],
    ) -> Result<(), CommandError> {
        let launch_spec =
            LaunchSpec::Standin { kind: kind.to_owned(), arguments: arguments.to_vec() };
        self.start_new(name, launch_spec)
    }

    /// Starts a daemon with a settings file made from the template `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is taken, the template is not defined or it contains an unknown
    /// variable.
    pub fn start_daemon(
        &mut self,
        name: &str,
        program: &str,
        settings: &str,
        bindings: &[KeyValue],
    ) -> Result<(), CommandError> {
        let launch_spec = LaunchSpec::Daemon {
            program: program.to_owned(),
            settings: settings.to_owned(),
            bindings: bindings.to_vec(),
        };
        self.start_new(name, launch_spec)
    }

    fn start_new(&mut self, name: &str, launch_spec: LaunchSpec) -> Result<(), CommandError> {
        if self.processes.contains_key(name) {
            return Err(format!("the name {name} is already taken by another process").into());
        }
        let process = self.launch(name, launch_spec, BTreeMap::new())?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Starts a process again on the same addresses, after killing it if it still runs.
    ///
    /// For a stand-in, `arguments` replace the earlier ones unless they are empty. For a daemon, they
    /// are `key=value` and add or replace single bindings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is unknown or an argument is invalid.
    pub fn restart(&mut self, name: &str, arguments: &[String]) -> Result<(), CommandError> {
        let process = self.managed_process(name)?;
        let (mut launch_spec, listeners) = (process.launch_spec.clone(), process.listeners.clone());
        match &mut launch_spec {
            LaunchSpec::Standin { arguments: previous, .. } if !arguments.is_empty() => {
                *previous = arguments.to_vec();
            }
            LaunchSpec::Standin { .. } => {}
            LaunchSpec::Daemon { bindings, .. } => {
                for argument in arguments {
                    let binding = KeyValue::try_parse(argument)?;
                    bindings.retain(|previous| previous.key != binding.key);
                    bindings.push(binding);
                }
            }
        }
        // Dropping the old process kills it and so frees its addresses.
        self.processes.remove(name);
        let process = self.launch(name, launch_spec, listeners)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Starts a process on the addresses in `listeners`, and on free ports for listeners not in it, and
    /// waits until all its listeners are bound.
    fn launch(
        &self,
        name: &str,
        launch_spec: LaunchSpec,
        listeners: BTreeMap<String, SocketAddr>,
    ) -> Result<ManagedProcess, CommandError> {
        let log = self.directory.join(format!("{name}.log"));
        let (program, arguments) = match &launch_spec {
            LaunchSpec::Standin { kind, arguments } => {
                ("deckstandin", self.standin_arguments(name, kind, arguments, &listeners)?)
            }
            LaunchSpec::Daemon { program, settings, bindings } => {
                let text = self.expand_settings(name, settings, bindings, &listeners)?;
                let path = self.directory.join(format!("{name}.ini"));
                std::fs::write(&path, text)?;
                (program.as_str(), vec!["--config".to_owned(), path.display().to_string()])
            }
        };
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let process = Process::start(name, program, &arguments, Some(&log));
        let mut managed = ManagedProcess { launch_spec, process, listeners };
        for listener in managed.expected_listeners() {
            let address = managed.process.address(&listener);
            managed.listeners.insert(listener, address);
        }
        Ok(managed)
    }

    fn standin_arguments(
        &self,
        name: &str,
        kind: &str,
        arguments: &[String],
        listeners: &BTreeMap<String, SocketAddr>,
    ) -> Result<Vec<String>, CommandError> {
        let mut command_line =
            vec![kind.to_owned(), "--listen".to_owned(), bind_address(listeners, "http")];
        if kind == "link" {
            command_line.extend(["--admin".to_owned(), bind_address(listeners, "admin")]);
        }
        if kind == "objects" {
            command_line.push("--history".to_owned());
        }
        if JOURNALED_KINDS.contains(&kind) {
            command_line.extend(["--journal".to_owned(), self.journal(name).display().to_string()]);
        }
        for argument in arguments {
            command_line.push(self.expand(argument)?);
        }
        Ok(command_line)
    }

    /// Returns the text of a daemon's settings file.
    fn expand_settings(
        &self,
        name: &str,
        settings: &str,
        bindings: &[KeyValue],
        listeners: &BTreeMap<String, SocketAddr>,
    ) -> Result<String, CommandError> {
        let template = self
            .templates
            .get(settings)
            .ok_or_else(|| format!("settings template {settings} is not defined"))?;
        expand(template, |variable| {
            if variable == "name" {
                return Some(name.to_owned());
            }
            if let Some(listener) = variable.strip_prefix("listen.") {
                return Some(bind_address(listeners, listener));
            }
            let binding = bindings.iter().find(|binding| binding.key == variable);
            match binding {
                Some(binding) => self.expand(&binding.value).ok(),
                None => self.variable(variable),
            }
        })
    }

    /// Returns the handle of a process, for signals and waiting.
    ///
    /// # Errors
    ///
    /// Returns an error if no process of this name has been started.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, CommandError> {
        match self.processes.get_mut(name) {
            Some(managed) => Ok(&mut managed.process),
            None => Err(format!("process {name} has not been started").into()),
        }
    }

    /// Returns the address at which a process serves `/admin` paths: that of its `admin` listener, or
    /// else of its `http` listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is unknown or has neither listener.
    pub fn admin_address(&self, name: &str) -> Result<SocketAddr, CommandError> {
        let listeners = &self.managed_process(name)?.listeners;
        let address = listeners.get("admin").or(listeners.get("http"));
        address.copied().ok_or_else(|| format!("{name} has no admin listener").into())
    }

    /// Returns the address of a listener, or `None` if the process or the listener does not exist.
    pub fn address(&self, name: &str, listener: &str) -> Option<SocketAddr> {
        self.processes.get(name)?.listeners.get(listener).copied()
    }

    /// Returns the path of the journal of a process.
    pub fn journal(&self, name: &str) -> PathBuf {
        self.directory.join(format!("{name}.jsonl"))
    }

    /// Returns the directory of logs, settings files and journals.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Replaces the variables `${..}` in a text.
    ///
    /// # Errors
    ///
    /// Returns an error if a variable is unknown or a brace is not closed.
    pub fn expand(&self, text: &str) -> Result<String, CommandError> {
        expand(text, |variable| self.variable(variable))
    }

    /// Returns the value of a variable, or `None` if it is unknown.
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

    fn managed_process(&self, name: &str) -> Result<&ManagedProcess, CommandError> {
        self.processes
            .get(name)
            .ok_or_else(|| format!("process {name} has not been started").into())
    }
}

impl ManagedProcess {
    /// Returns the listeners whose addresses the program prints when it starts.
    fn expected_listeners(&self) -> Vec<String> {
        let names: &[&str] = match &self.launch_spec {
            LaunchSpec::Standin { kind, .. } if kind == "link" => &["http", "admin"],
            LaunchSpec::Standin { .. } => &["http"],
            LaunchSpec::Daemon { program, .. } => match program.as_str() {
                "deckentry" => &["caller", "peer", "local", "admin"],
                "deckroll" => &["trainer", "admin"],
                _ => &["admin"],
            },
        };
        names.iter().map(|name| (*name).to_owned()).collect()
    }
}

/// Returns the address that a listener has to bind: its earlier one after a restart, any free port
/// otherwise.
fn bind_address(listeners: &BTreeMap<String, SocketAddr>, listener: &str) -> String {
    listeners.get(listener).map_or("127.0.0.1:0".to_owned(), SocketAddr::to_string)
}

/// Replaces each `${variable}` in `text` by its value.
fn expand(text: &str, value_of: impl Fn(&str) -> Option<String>) -> Result<String, CommandError> {
    let mut expanded = String::new();
    let mut remaining = text;
    while let Some(start) = remaining.find("${") {
        let (literal, reference) = remaining.split_at(start);
        let end = reference.find('}').ok_or_else(|| format!("no }} after {reference:?}"))?;
        let name = &reference[2..end];
        let value = value_of(name).ok_or_else(|| format!("unknown variable ${{{name}}}"))?;
        expanded.push_str(literal);
        expanded.push_str(&value);
        remaining = &reference[end + 1..];
    }
    expanded.push_str(remaining);
    Ok(expanded)
}
