//! Helpers that start stand-ins and send requests to them.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use std::net::SocketAddr;

use deck_net::{
    Body, Client,
    http::{Method, Request},
};
use deck_testkit::Process;
use serde_json::Value;

/// A running stand-in process, its main listener and a client for it.
pub struct Standin {
    pub process: Process,
    pub address: SocketAddr,
    pub client: Client,
}

impl Standin {
    /// Starts a stand-in; the first argument is its subcommand.
    pub fn start(arguments: &[&str]) -> Self {
        let arguments = [&arguments[..1], &["--listen", "127.0.0.1:0"], &arguments[1..]].concat();
        let mut process = Process::start(arguments[0], "deckstandin", &arguments, None);
        let address = process.address("http");
        Self { process, address, client: Client::default() }
    }

    /// Sends a JSON request and returns the status and the JSON response.
    pub async fn json(&self, method: &str, path: &str, body: Value) -> (u16, Value) {
        let method = method.parse::<Method>().expect("method");
        let response = self.client.json(method, self.address, path, Some(&body)).await;
        let (status, value) = response.expect("response");
        (status.as_u16(), value)
    }

    /// Sets injected faults.
    pub async fn faults(&self, faults: Value) {
        let (status, answer) = self.json("POST", "/admin/faults", faults).await;
        assert_eq!(status, 200, "{answer}");
    }

    /// Returns the records of the stand-in.
    pub async fn records(&self) -> Value {
        self.json("GET", "/admin/records", Value::Null).await.1
    }
}

pub fn post(path: &str, headers: &[(&str, &str)], body: &str) -> Request<Body> {
    let mut request = Request::builder().method(Method::POST).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Body::full(body.to_owned())).expect("request")
}

pub fn run<F: Future>(test: F) -> F::Output {
    deck_net::runtime::run(test).expect("runtime")
}
