//! Execution of commands.

use std::{
    collections::BTreeMap,
    io::Read,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command as Program, Stdio},
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
use deck_testkit::EVENT_DEADLINE;
use serde_json::{Value, json};

use crate::{
    command::{Binding, Command, Scenario, Source},
    comparison::{Comparison, literal, lookup},
    environment::World,
    error::{CommandError, ScenarioError},
};

/// Pause between looks at a record.
const POLL_PERIOD: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A running scenario.
pub struct Runner {
    pub(crate) world: World,
    client: Client,
    running_loads: BTreeMap<String, RunningLoad>,
    /// Reports of finished loads.
    pub(crate) reports: BTreeMap<String, Value>,
    loads_started: u64,
    seed: u64,
}

/// A load that is killed if the scenario ends before it.
struct RunningLoad(Child);

impl Drop for RunningLoad {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs all commands; stops at the first that fails.
///
/// # Errors
///
/// Returns an error that names the line.
pub async fn run(scenario: &Scenario, seed: u64, directory: PathBuf) -> Result<(), ScenarioError> {
    let mut runner = Runner {
        world: World::new(directory, seed),
        client: Client::default(),
        running_loads: BTreeMap::new(),
        reports: BTreeMap::new(),
        loads_started: 0,
        seed,
    };
    for located in &scenario.commands {
        let ran = runner.command(&located.command).await;
        ran.map_err(|error| ScenarioError::Command(located.line, error.to_string()))?;
    }
    Ok(())
}

impl Runner {
    async fn command(&mut self, command: &Command) -> Result<(), CommandError> {
        match command {
            Command::Settings { name, text } => {
                self.world.add_template(name.clone(), text.clone());
            }
            Command::Standin { name, kind, arguments } => {
                self.world.start_standin(name, kind, arguments)?;
            }
            Command::Daemon { name, program, settings, bindings } => {
                self.world.start_daemon(name, program, settings, bindings)?;
            }
            Command::Restart { name, arguments } => self.world.restart(name, arguments)?,
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
            | Command::Exits { .. } => self.signal(command)?,
            Command::Link { names, mode } => {
                for name in names {
                    self.set_faults(name, json!({ "mode": mode })).await?;
                }
            }
            Command::Fault { name, faults } => {
                let faults = serde_json::from_str(&self.world.expand(faults)?)?;
                self.set_faults(name, faults).await?;
            }
            Command::Call { name, method, path, status, body, headers } => {
                self.call(name, method, path, status, body, headers).await?;
            }
            Command::Apply { store, kind, name, spec } => {
                self.apply(store, kind, name, spec).await?;
            }
            Command::Race { store, kind, name, specs } => {
                self.race(store, kind, name, specs).await?;
            }
            Command::Load { name, arguments } => self.start_load(name, arguments)?,
            Command::Finish { name } => self.finish_load(name)?,
            Command::Sleep { wait_ms } => {
                monoio::time::sleep(Duration::from_millis(*wait_ms)).await;
            }
            Command::Mark { variable, source, place, plus } => {
                let found = lookup(&self.read(source).await?, place);
                let number = found.as_u64().ok_or_else(|| format!("{place} is {found}"))?;
                self.world.set_variable(variable.clone(), (number + plus).to_string());
            }
            Command::Wait { source, comparison } => self.wait(source, comparison).await?,
            Command::Expect { source, comparison } => {
                let found = self.read(source).await?;
                self.compare(source, comparison, &found)?;
            }
            Command::Check { invariant, arguments } => self.check(*invariant, arguments).await?,
        }
        Ok(())
    }

    fn signal(&mut self, command: &Command) -> Result<(), CommandError> {
        match command {
            Command::Kill { names } => {
                for name in names {
                    self.world.process(name)?.kill();
                }
            }
            Command::Freeze { names } => {
                for name in names {
                    self.world.process(name)?.freeze();
                }
            }
            Command::Thaw { names } => {
                for name in names {
                    self.world.process(name)?.thaw();
                }
            }
            Command::Terminate { names } => {
                for name in names {
                    self.world.process(name)?.terminate();
                }
                for name in names {
                    let status = self.world.process(name)?.wait();
                    if !status.success() {
                        return Err(format!("{name} ended with {status}").into());
                    }
                }
            }
            Command::Exits { name } => {
                self.world.process(name)?.wait();
            }
            _ => {}
        }
        Ok(())
    }

    async fn wait_until_ready(&self, name: &str) -> Result<(), CommandError> {
        let address = self.world.admin_address(name)?;
        let deadline = Instant::now() + EVENT_DEADLINE;
        let mut seen = String::new();
        while Instant::now() < deadline {
            match self.send(address, "GET", "/readyz", &[], "").await {
                Ok((200, _)) => return Ok(()),
                Ok((_, reason)) => seen = reason.trim().to_owned(),
                Err(error) => seen = error.to_string(),
            }
            monoio::time::sleep(POLL_PERIOD).await;
        }
        Err(format!("{name} is not ready within {EVENT_DEADLINE:?}: {seen}").into())
    }

    async fn expect_alive(&self, count: usize, names: &[String]) -> Result<(), CommandError> {
        let mut alive = Vec::new();
        for name in names {
            let address = self.world.admin_address(name)?;
            if self.send(address, "GET", "/admin/records", &[], "").await.is_ok() {
                alive.push(name.as_str());
            }
        }
        if alive.len() == count {
            return Ok(());
        }
        Err(format!("{} are alive, expected {count}: {}", alive.len(), alive.join(" ")).into())
    }

    async fn set_faults(&self, name: &str, faults: Value) -> Result<(), CommandError> {
        let address = self.world.admin_address(name)?;
        let body = faults.to_string();
        match self.send(address, "POST", "/admin/faults", &[], &body).await {
            Ok((200, _)) => Ok(()),
            Ok((status, answer)) => {
                Err(format!("{name} refuses the fault: status {status}: {answer}").into())
            }
            // A process that a fault ends does not answer.
            Err(_) if faults["crash"] == true => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn call(
        &self,
        name: &str,
        method: &str,
        path: &str,
        status: &str,
        body: &str,
        headers: &[Binding],
    ) -> Result<(), CommandError> {
        let listener = ["caller", "trainer", "http"]
            .iter()
            .find_map(|listener| self.world.address(name, listener))
            .ok_or_else(|| format!("{name} has no listener for calls"))?;
        let is_admin = path.starts_with("/admin");
        let address = if is_admin { self.world.admin_address(name)? } else { listener };
        let body = self.world.expand(body)?;
        let found = match self.send(address, method, path, headers, &body).await {
            Ok((found, _)) => found.to_string(),
            Err(CommandError::Net(error)) => {
                log::info!(target: "scenario", "call to {name} broke: {error}");
                "broken".to_owned()
            }
            Err(error) => return Err(error),
        };
        if found == status {
            Ok(())
        } else {
            Err(format!("{method} {path} at {name} ended with {found}, expected {status}").into())
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[Binding],
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
            // A connection of before a kill would break the first call after a restart.
            let response = self.client.send_fresh(address, request).await?;
            let status = response.status.as_u16();
            Ok((status, response.collect(MAX_ANSWER_BYTES).await?))
        };
        let exchanged: Result<_, CommandError> = monoio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| format!("{path}: no answer within {CALL_TIMEOUT:?}"))?;
        let (status, bytes) = exchanged?;
        Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
    }

    fn store(&self, name: &str) -> Result<Store, CommandError> {
        let address = self.world.admin_address(name)?;
        Ok(Store::new(self.client.clone(), address, CALL_TIMEOUT))
    }

    fn object(&self, spec: &str) -> Result<Value, CommandError> {
        let spec: Value = serde_json::from_str(&self.world.expand(spec)?)?;
        Ok(json!({ "schema": deck_core::object::SCHEMA_VERSION, "spec": spec }))
    }

    async fn apply(
        &self,
        store: &str,
        kind: &str,
        name: &str,
        spec: &str,
    ) -> Result<(), CommandError> {
        let (store, value) = (self.store(store)?, self.object(spec)?);
        let current = store.get(kind, name).await.map_err(store_failed)?;
        let condition = condition(current.as_ref());
        store.put(kind, name, condition, &value).await.map_err(store_failed)?;
        Ok(())
    }

    async fn race(
        &self,
        store: &str,
        kind: &str,
        name: &str,
        specs: &[String; 2],
    ) -> Result<(), CommandError> {
        let store = self.store(store)?;
        let values = [self.object(&specs[0])?, self.object(&specs[1])?];
        let current = store.get(kind, name).await.map_err(store_failed)?;
        let condition = condition(current.as_ref());
        let writes = values.map(|value| {
            let (store, kind, name) = (store.clone(), kind.to_owned(), name.to_owned());
            monoio::spawn(async move { store.put(&kind, &name, condition, &value).await })
        });
        let mut won = 0;
        for write in writes {
            match write.await {
                Ok(_) => won += 1,
                Err(StoreError::Conflict(_)) => {}
                Err(error) => return Err(store_failed(error)),
            }
        }
        if won == 1 { Ok(()) } else { Err(format!("{won} of two racing writes won").into()) }
    }

    fn start_load(&mut self, name: &str, arguments: &[String]) -> Result<(), CommandError> {
        let arguments: Result<Vec<String>, CommandError> =
            arguments.iter().map(|argument| self.world.expand(argument)).collect();
        let log = std::fs::File::create(self.world.directory().join(format!("{name}.log")))?;
        let child = Program::new(deck_testkit::program("deckload"))
            .args(["--seed", &self.next_load_seed().to_string(), "--list-bookings"])
            .args(arguments?)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        self.running_loads.insert(name.to_owned(), RunningLoad(child));
        Ok(())
    }

    /// Returns a seed of its own for each load, so that no two loads use the same keys.
    fn next_load_seed(&mut self) -> u64 {
        self.loads_started += 1;
        self.seed.wrapping_mul(1000) + self.loads_started
    }

    fn finish_load(&mut self, name: &str) -> Result<(), CommandError> {
        let mut load = self
            .running_loads
            .remove(name)
            .ok_or_else(|| format!("there is no running load {name}"))?;
        let mut report = String::new();
        if let Some(mut output) = load.0.stdout.take() {
            output.read_to_string(&mut report)?;
        }
        let status = load.0.wait()?;
        if !status.success() {
            return Err(format!("load {name} ended with {status}").into());
        }
        std::fs::write(self.world.directory().join(format!("{name}.json")), &report)?;
        let report: Value = serde_json::from_str(&report)?;
        self.world.set_variable(format!("{name}.sent"), report["sent"].to_string());
        for (class, counts) in report["classes"].as_object().into_iter().flatten() {
            self.world.set_variable(format!("{name}.sent.{class}"), counts["sent"].to_string());
        }
        self.reports.insert(name.to_owned(), report);
        Ok(())
    }

    /// Reads a record or load report.
    pub(crate) async fn read(&self, source: &Source) -> Result<Value, CommandError> {
        if let Some(report) = self.reports.get(&source.name) {
            return Ok(report.clone());
        }
        let address = self.world.admin_address(&source.name)?;
        let (status, answer) = self.send(address, "GET", &source.path, &[], "").await?;
        if status != 200 {
            return Err(format!("{}{}: status {status}", source.name, source.path).into());
        }
        Ok(serde_json::from_str(&answer)?)
    }

    fn compare(
        &self,
        source: &Source,
        comparison: &Comparison,
        record: &Value,
    ) -> Result<(), CommandError> {
        let found = lookup(record, &comparison.place);
        let expected = literal(&self.world.expand(&comparison.literal)?);
        if comparison.relation.holds(&found, &expected) {
            return Ok(());
        }
        let (name, path, place) = (&source.name, &source.path, &comparison.place);
        let relation = comparison.relation;
        Err(format!("{name}{path}: {place} is {found}, expected {relation:?} {expected}").into())
    }

    async fn wait(&self, source: &Source, comparison: &Comparison) -> Result<(), CommandError> {
        let deadline = Instant::now() + EVENT_DEADLINE;
        loop {
            let held = match self.read(source).await {
                Ok(record) => self.compare(source, comparison, &record),
                Err(error) => Err(error),
            };
            match held {
                Ok(()) => return Ok(()),
                Err(error) if Instant::now() >= deadline => {
                    return Err(format!("not within {EVENT_DEADLINE:?}: {error}").into());
                }
                Err(_) => monoio::time::sleep(POLL_PERIOD).await,
            }
        }
    }
}

fn condition(current: Option<&Object>) -> Precondition {
    current.map_or(Precondition::Absent, |object| Precondition::Revision(object.revision))
}

fn store_failed(error: StoreError) -> CommandError {
    CommandError::Failed(error.to_string())
}
