//! Runs of `deckctl` and `deckload`, and reads of stand-ins' records.

use std::{
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use deck_net::{
    Body, Client,
    http::{Method, Request},
};
use deck_plat::{Precondition, Store};
use deck_testkit::{EVENT_WAIT_TIMEOUT, program_path};
use serde_json::{Value, json};

use crate::error::DemoError;

/// Runs a program to its end and returns its standard output.
pub fn run(name: &str, arguments: &[String]) -> Result<String, DemoError> {
    let output = Command::new(program_path(name)).args(arguments).output()?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    let message = String::from_utf8_lossy(&output.stderr).trim().to_owned();
    Err(DemoError::Program(name.to_owned(), message))
}

/// Starts a program in the background.
pub fn start(name: &str, arguments: &[String]) -> Result<Child, DemoError> {
    let child = Command::new(program_path(name))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    Ok(child)
}

/// Waits for a background program and returns its standard output.
pub fn finish(name: &str, child: Child) -> Result<String, DemoError> {
    let output = child.wait_with_output()?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    Err(DemoError::Program(name.to_owned(), format!("ended with {}", output.status)))
}

/// Reads a JSON document of a stand-in or daemon.
pub fn read(address: SocketAddr, path: &str) -> Result<Value, DemoError> {
    exchange(Method::GET, address, path, None)
}

/// Sends a JSON document to a stand-in.
pub fn put(address: SocketAddr, path: &str, body: &Value) -> Result<Value, DemoError> {
    exchange(Method::PUT, address, path, Some(body))
}

/// Creates an object in the object API.
pub fn create_object(
    store: SocketAddr,
    kind: &str,
    name: &str,
    spec: &Value,
) -> Result<(), DemoError> {
    let store = Store::new(Client::default(), store, Duration::from_secs(10));
    let value = json!({ "schema": 1, "spec": spec });
    let write = store.put(kind, name, Precondition::Absent, &value);
    match deck_net::runtime::run(write)? {
        Ok(_) => Ok(()),
        Err(error) => Err(DemoError::Program(format!("{kind}/{name}"), error.to_string())),
    }
}

fn exchange(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Option<&Value>,
) -> Result<Value, DemoError> {
    let failed = |message: String| DemoError::Program(format!("{address}{path}"), message);
    let result = deck_net::runtime::run(async {
        Client::default().json::<Value, Value>(method, address, path, body).await
    })?;
    match result {
        Ok((status, value)) if status.is_success() => Ok(value),
        Ok((status, value)) => Err(failed(format!("status {status}: {value}"))),
        Err(error) => Err(failed(error.to_string())),
    }
}

/// Runs `condition` until it holds.
pub fn wait_for(
    what: &str,
    mut condition: impl FnMut() -> Result<bool, DemoError>,
) -> Result<(), DemoError> {
    let deadline = Instant::now() + EVENT_WAIT_TIMEOUT;
    while !condition()? {
        if Instant::now() > deadline {
            return Err(DemoError::Program("wait".to_owned(), format!("not in time: {what}")));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Waits until the daemon whose admin listener is at `address` is ready.
pub fn wait_ready(name: &str, address: SocketAddr) -> Result<(), DemoError> {
    wait_for(&format!("{name} is ready"), || {
        let request = Request::builder()
            .uri("/readyz")
            .body(Body::empty())
            .map_err(|error| DemoError::Program(name.to_owned(), error.to_string()))?;
        let response = deck_net::runtime::run(Client::default().send(address, request))?;
        Ok(response.is_ok_and(|response| response.status.is_success()))
    })
}
