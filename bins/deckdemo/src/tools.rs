//! Runs of `deckctl` and `deckload`, and reads of stand-ins' records.

use std::{
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use deck_net::{Client, http::Method};
use deck_testkit::program;
use serde_json::Value;

use crate::error::DemoError;

/// Runs a program to its end and returns its standard output.
pub fn run(name: &str, arguments: &[String]) -> Result<String, DemoError> {
    let output = Command::new(program(name)).args(arguments).output()?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    let message = String::from_utf8_lossy(&output.stderr).trim().to_owned();
    Err(DemoError::Program(name.to_owned(), message))
}

/// Starts a program in the background.
pub fn start(name: &str, arguments: &[String]) -> Result<Child, DemoError> {
    let child = Command::new(program(name))
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
