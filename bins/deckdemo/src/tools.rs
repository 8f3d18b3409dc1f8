//! Running programs such as `deckctl` and `deckload`, JSON requests to stand-ins and daemons, and
//! waiting for conditions.

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

/// Runs a program until it exits and returns its standard output; the error contains its standard
/// error.
pub fn run_program(name: &str, arguments: &[String]) -> Result<String, DemoError> {
    let output = Command::new(program_path(name)).args(arguments).output()?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    let message = String::from_utf8_lossy(&output.stderr).trim().to_owned();
    Err(DemoError::Program(name.to_owned(), message))
}

/// Starts a program and returns without waiting for it. Its standard output is read by
/// [`wait_for_output`].
pub fn start_program(name: &str, arguments: &[String]) -> Result<Child, DemoError> {
    let child = Command::new(program_path(name))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    Ok(child)
}

/// Waits until a program started by [`start_program`] exits and returns its standard output.
pub fn wait_for_output(name: &str, child: Child) -> Result<String, DemoError> {
    let output = child.wait_with_output()?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    Err(DemoError::Program(name.to_owned(), format!("ended with {}", output.status)))
}

/// Sends a GET to a stand-in or daemon and returns the JSON response.
pub fn get_json(address: SocketAddr, path: &str) -> Result<Value, DemoError> {
    send_json(Method::GET, address, path, None)
}

/// Sends a PUT with a JSON body to a stand-in and returns the JSON response.
pub fn put_json(address: SocketAddr, path: &str, body: &Value) -> Result<Value, DemoError> {
    send_json(Method::PUT, address, path, Some(body))
}

/// Creates an object in the object API; fails if it already exists.
pub fn create_object(
    object_api_address: SocketAddr,
    kind: &str,
    name: &str,
    spec: &Value,
) -> Result<(), DemoError> {
    let store = Store::new(Client::default(), object_api_address, Duration::from_secs(10));
    let value = json!({ "schema": 1, "spec": spec });
    let write = store.put(kind, name, Precondition::Absent, &value);
    match deck_net::runtime::run(write)? {
        Ok(_) => Ok(()),
        Err(error) => Err(DemoError::Program(format!("{kind}/{name}"), error.to_string())),
    }
}

fn send_json(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Option<&Value>,
) -> Result<Value, DemoError> {
    let request_error = |message: String| DemoError::Program(format!("{address}{path}"), message);
    let result = deck_net::runtime::run(async {
        Client::default().json::<Value, Value>(method, address, path, body).await
    })?;
    match result {
        Ok((status, value)) if status.is_success() => Ok(value),
        Ok((status, value)) => Err(request_error(format!("status {status}: {value}"))),
        Err(error) => Err(request_error(error.to_string())),
    }
}

/// Calls `condition` until it returns true, at most for [`EVENT_WAIT_TIMEOUT`]; `description` says in
/// the error what was awaited.
pub fn wait_for(
    description: &str,
    mut condition: impl FnMut() -> Result<bool, DemoError>,
) -> Result<(), DemoError> {
    let deadline = Instant::now() + EVENT_WAIT_TIMEOUT;
    while !condition()? {
        if Instant::now() > deadline {
            return Err(DemoError::Program(
                "wait".to_owned(),
                format!("timed out waiting until {description}"),
            ));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Waits until the daemon `name` reports itself ready at its admin listener `address`.
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
