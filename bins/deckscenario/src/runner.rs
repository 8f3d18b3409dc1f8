//! Executes the commands of a scenario.

use std::{
    collections::BTreeMap,
    io::Read,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command as ProcessCommand, Stdio},
    time::{Duration, Instant},
};

use deck_net::{
    Body, Client,
    http::{Method, Request},
};
use deck_plat::{
    Precondition, StoreError,
    store::{Object, Store},
};
use deck_testkit::EVENT_WAIT_TIMEOUT;
use serde_json::{Value, json};

use crate::{
    command::{Command, KeyValue, RecordSource, Scenario},
    comparison::{Comparison, lookup, parse_expected},
    environment::Environment,
    error::{CommandError, ScenarioError},
};

/// Interval at which `ready` and `wait` poll a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a request to a process.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// State of a running scenario.
pub struct Runner {
    pub(crate) environment: Environment,
    client: Client,
    running_loads: BTreeMap<String, RunningLoad>,
    /// Reports of finished loads by name.
    pub(crate) reports: BTreeMap<String, Value>,
    started_loads: u64,
    seed: u64,
}

/// Process of a load, killed on drop if the scenario ends first.
struct RunningLoad(Child);

impl Drop for RunningLoad {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Executes the commands of a scenario in order and stops at the first failure.
///
/// # Errors
///
/// Returns [`ScenarioError::Command`] with the line of the failed command.
pub async fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    directory: PathBuf,
) -> Result<(), ScenarioError> {
    let mut runner = Runner {
        environment: Environment::new(directory, seed),
        client: Client::default(),
        running_loads: BTreeMap::new(),
        reports: BTreeMap::new(),
        started_loads: 0,
        seed,
    };
    for located in &scenario.commands {
        let result = runner.execute(&located.command).await;
        result.map_err(|error| ScenarioError::Command(located.line, error.to_string()))?;
    }
    Ok(())
}

impl Runner {
    async fn execute(&mut self, command: &Command) -> Result<(), CommandError> {
        match command {
            Command::Settings { name, text } => {
                self.environment.add_template(name.clone(), text.clone());
            }
            Command::Standin { name, kind, arguments } => {
                self.environment.start_standin(name, kind, arguments)?;
            }
            Command::Daemon { name, program, settings, bindings } => {
                self.environment.start_daemon(name, program, settings, bindings)?;
            }
            Command::Restart { name, arguments } => self.environment.restart(name, arguments)?,
            Command::Ready { names } => {
                for name in names {
                    self.wait_until_ready(name).await?;
                }
            }
            Command::Alive { count, names } => self.expect_alive(*count, names).await?,
            Command::Kill { .. }
            | Command::Freeze { .. }
            | Command::Thaw { .. }
            | Command::Terminate { .. }
            | Command::Exits { .. } => self.control_processes(command)?,
            Command::Link { names, mode } => {
                for name in names {
                    self.set_faults(name, json!({ "mode": mode })).await?;
                }
            }
            Command::Fault { name, faults } => {
                let faults = serde_json::from_str(&self.environment.expand(faults)?)?;
                self.set_faults(name, faults).await?;
            }
            Command::Call { name, method, path, expected_status, body, headers } => {
                self.call(name, method, path, expected_status, body, headers).await?;
            }
            Command::Apply { store, kind, name, spec } => {
                self.apply(store, kind, name, spec).await?;
            }
            Command::Race { store, kind, name, specs } => {
                self.race(store, kind, name, specs).await?;
            }
            Command::Load { name, arguments } => self.start_load(name, arguments)?,
            Command::Finish { name } => self.finish_load(name)?,
            Command::Sleep { duration_ms } => {
                monoio::time::sleep(Duration::from_millis(*duration_ms)).await;
            }
            Command::Mark { variable, source, field_path, addend } => {
                let value = lookup(&self.read_record(source).await?, field_path);
                let number = value
                    .as_u64()
                    .ok_or_else(|| format!("{field_path} is {value}, not a number"))?;
                self.environment.set_variable(variable.clone(), (number + addend).to_string());
            }
            Command::Wait { source, comparison } => self.wait_for(source, comparison).await?,
            Command::Expect { source, comparison } => {
                let record = self.read_record(source).await?;
                self.compare(source, comparison, &record)?;
            }
            Command::Check { invariant, arguments } => self.check(*invariant, arguments).await?,
        }
        Ok(())
    }

    fn control_processes(&mut self, command: &Command) -> Result<(), CommandError> {
        match command {
            Command::Kill { names } => {
                for name in names {
                    self.environment.process(name)?.kill();
                }
            }
            Command::Freeze { names } => {
                for name in names {
                    self.environment.process(name)?.suspend();
                }
            }
            Command::Thaw { names } => {
                for name in names {
                    self.environment.process(name)?.resume();
                }
            }
            Command::Terminate { names } => {
                for name in names {
                    self.environment.process(name)?.terminate();
                }
                for name in names {
                    let status = self.environment.process(name)?.wait();
                    if !status.success() {
                        return Err(format!("{name} ended with {status}").into());
                    }
                }
            }
            Command::Exits { name } => {
                self.environment.process(name)?.wait();
            }
            _ => {}
        }
        Ok(())
    }

    async fn wait_until_ready(&self, name: &str) -> Result<(), CommandError> {
        let address = self.environment.admin_address(name)?;
        let deadline = Instant::now() + EVENT_WAIT_TIMEOUT;
        let mut last_response = String::new();
        while Instant::now() < deadline {
            match self.send(address, "GET", "/readyz", &[], "").await {
                Ok((200, _)) => return Ok(()),
                Ok((_, reason)) => last_response = reason.trim().to_owned(),
                Err(error) => last_response = error.to_string(),
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Err(format!("{name} is not ready within {EVENT_WAIT_TIMEOUT:?}: {last_response}").into())
    }

    /// Expects that exactly `count` of the named stand-ins respond.
    async fn expect_alive(&self, count: usize, names: &[String]) -> Result<(), CommandError> {
        let mut alive = Vec::new();
        for name in names {
            let address = self.environment.admin_address(name)?;
            if self.send(address, "GET", "/admin/records", &[], "").await.is_ok() {
                alive.push(name.as_str());
            }
        }
        if alive.len() == count {
            return Ok(());
        }
        Err(format!("{} are alive, expected {count}: {}", alive.len(), alive.join(" ")).into())
    }

    /// Posts faults to `/admin/faults` of a stand-in.
    async fn set_faults(&self, name: &str, faults: Value) -> Result<(), CommandError> {
        let address = self.environment.admin_address(name)?;
        let body = faults.to_string();
        match self.send(address, "POST", "/admin/faults", &[], &body).await {
            Ok((200, _)) => Ok(()),
            Ok((status, response)) => {
                Err(format!("{name} rejected the fault with status {status}: {response}").into())
            }
            // A process that crashes because of the fault does not respond.
            Err(_) if faults["crash"] == true => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Sends a request to the listener that serves calls, or to the admin listener if the path starts
    /// with `/admin`, and compares the status.
    async fn call(
        &self,
        name: &str,
        method: &str,
        path: &str,
        expected_status: &str,
        body: &str,
        headers: &[KeyValue],
    ) -> Result<(), CommandError> {
        let call_address = ["caller", "trainer", "http"]
            .iter()
            .find_map(|listener| self.environment.address(name, listener))
            .ok_or_else(|| format!("{name} has no listener for calls"))?;
        let is_admin = path.starts_with("/admin");
        let address = if is_admin { self.environment.admin_address(name)? } else { call_address };
        let body = self.environment.expand(body)?;
        let outcome = match self.send(address, method, path, headers, &body).await {
            Ok((status, _)) => status.to_string(),
            Err(CommandError::Net(error)) => {
                log::info!(target: "scenario", "call to {name} broke: {error}");
                "broken".to_owned()
            }
            Err(error) => return Err(error),
        };
        if outcome == expected_status {
            Ok(())
        } else {
            Err(format!(
                "{method} {path} at {name} ended with {outcome}, expected {expected_status}"
            )
            .into())
        }
    }

    /// Sends a request and returns the status and the body of the response.
    async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[KeyValue],
        body: &str,
    ) -> Result<(u16, String), CommandError> {
        let method: Method = method.parse().map_err(|_| format!("{method:?} is not a method"))?;
        let mut request = Request::builder().method(method).uri(path);
        for header in headers {
            request = request.header(&header.key, &header.value);
        }
        let request = request
            .body(Body::full(body.to_owned()))
            .map_err(|error| CommandError::Failed(error.to_string()))?;
        let exchange = async {
            // A pooled connection from before a kill would fail the first call after the restart.
            let response = self.client.send_on_new_connection(address, request).await?;
            let status = response.status.as_u16();
            Ok((status, response.collect(MAX_RESPONSE_BYTES).await?))
        };
        let result: Result<_, CommandError> =
            monoio::time::timeout(CALL_TIMEOUT, exchange)
                .await
                .map_err(|_| format!("{path}: no response within {CALL_TIMEOUT:?}"))?;
        let (status, bytes) = result?;
        Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
    }

    fn store_client(&self, name: &str) -> Result<Store, CommandError> {
        let address = self.environment.admin_address(name)?;
        Ok(Store::new(self.client.clone(), address, CALL_TIMEOUT))
    }

    /// Returns an object with the given spec, in the format that the object API stores.
    fn object_value(&self, spec: &str) -> Result<Value, CommandError> {
        let spec: Value = serde_json::from_str(&self.environment.expand(spec)?)?;
        Ok(json!({ "schema": deck_core::object::SCHEMA_VERSION, "spec": spec }))
    }

    async fn apply(
        &self,
        store: &str,
        kind: &str,
        name: &str,
        spec: &str,
    ) -> Result<(), CommandError> {
        let (store, value) = (self.store_client(store)?, self.object_value(spec)?);
        let current = store.get(kind, name).await.map_err(store_error)?;
        let condition = write_condition(current.as_ref());
        store.put(kind, name, condition, &value).await.map_err(store_error)?;
        Ok(())
    }

    /// Sends two concurrent writes with the same precondition and expects that one succeeds.
    async fn race(
        &self,
        store: &str,
        kind: &str,
        name: &str,
        specs: &[String; 2],
    ) -> Result<(), CommandError> {
        let store = self.store_client(store)?;
        let values = [self.object_value(&specs[0])?, self.object_value(&specs[1])?];
        let current = store.get(kind, name).await.map_err(store_error)?;
        let condition = write_condition(current.as_ref());
        let writes = values.map(|value| {
            let (store, kind, name) = (store.clone(), kind.to_owned(), name.to_owned());
            monoio::spawn(async move { store.put(&kind, &name, condition, &value).await })
        });
        let mut succeeded = 0;
        for write in writes {
            match write.await {
                Ok(_) => succeeded += 1,
                Err(StoreError::Conflict(_)) => {}
                Err(error) => return Err(store_error(error)),
            }
        }
        if succeeded == 1 {
            Ok(())
        } else {
            Err(format!("{succeeded} of two racing writes succeeded, expected 1").into())
        }
    }

    fn start_load(&mut self, name: &str, arguments: &[String]) -> Result<(), CommandError> {
        let arguments: Result<Vec<String>, CommandError> =
            arguments.iter().map(|argument| self.environment.expand(argument)).collect();
        let log = std::fs::File::create(self.environment.directory().join(format!("{name}.log")))?;
        let child = ProcessCommand::new(deck_testkit::program_path("deckload"))
            .args(["--seed", &self.next_load_seed().to_string(), "--list-bookings"])
            .args(arguments?)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        self.running_loads.insert(name.to_owned(), RunningLoad(child));
        Ok(())
    }

    /// Returns a different seed for each load, so that no two loads use the same keys.
    fn next_load_seed(&mut self) -> u64 {
        self.started_loads += 1;
        self.seed.wrapping_mul(1000) + self.started_loads
    }

    /// Waits until a load exits, stores its report and sets the variables with its call counts.
    fn finish_load(&mut self, name: &str) -> Result<(), CommandError> {
        let mut load =
            self.running_loads.remove(name).ok_or_else(|| format!("load {name} is not running"))?;
        let mut report = String::new();
        if let Some(mut output) = load.0.stdout.take() {
            output.read_to_string(&mut report)?;
        }
        let status = load.0.wait()?;
        if !status.success() {
            return Err(format!("load {name} ended with {status}").into());
        }
        std::fs::write(self.environment.directory().join(format!("{name}.json")), &report)?;
        let report: Value = serde_json::from_str(&report)?;
        self.environment.set_variable(format!("{name}.sent"), report["sent"].to_string());
        for (class, counts) in report["classes"].as_object().into_iter().flatten() {
            self.environment
                .set_variable(format!("{name}.sent.{class}"), counts["sent"].to_string());
        }
        self.reports.insert(name.to_owned(), report);
        Ok(())
    }

    /// Reads a record of a process or the report of a finished load.
    pub(crate) async fn read_record(&self, source: &RecordSource) -> Result<Value, CommandError> {
        if let Some(report) = self.reports.get(&source.name) {
            return Ok(report.clone());
        }
        let address = self.environment.admin_address(&source.name)?;
        let (status, response) = self.send(address, "GET", &source.path, &[], "").await?;
        if status != 200 {
            return Err(format!("{}{}: status {status}", source.name, source.path).into());
        }
        Ok(serde_json::from_str(&response)?)
    }

    /// Returns an error that names the field and both values if a comparison does not hold.
    fn compare(
        &self,
        source: &RecordSource,
        comparison: &Comparison,
        record: &Value,
    ) -> Result<(), CommandError> {
        let found = lookup(record, &comparison.field_path);
        let expected = parse_expected(&self.environment.expand(&comparison.expected)?);
        if comparison.relation.holds(&found, &expected) {
            return Ok(());
        }
        let (name, path, field) = (&source.name, &source.path, &comparison.field_path);
        let relation = comparison.relation;
        Err(format!("{name}{path}: {field} is {found}, expected {relation:?} {expected}").into())
    }

    /// Polls a record until a comparison holds, for at most [`EVENT_WAIT_TIMEOUT`].
    async fn wait_for(
        &self,
        source: &RecordSource,
        comparison: &Comparison,
    ) -> Result<(), CommandError> {
        let deadline = Instant::now() + EVENT_WAIT_TIMEOUT;
        loop {
            let result = match self.read_record(source).await {
                Ok(record) => self.compare(source, comparison, &record),
                Err(error) => Err(error),
            };
            match result {
                Ok(()) => return Ok(()),
                Err(error) if Instant::now() >= deadline => {
                    return Err(format!("not within {EVENT_WAIT_TIMEOUT:?}: {error}").into());
                }
                Err(_) => monoio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }
}

/// Returns the precondition that an object has not changed since it was read.
fn write_condition(current: Option<&Object>) -> Precondition {
    current.map_or(Precondition::Absent, |object| Precondition::Revision(object.revision))
}

fn store_error(error: StoreError) -> CommandError {
    CommandError::Failed(error.to_string())
}
