//! Start of stand-ins and calls to them.

// Each test binary uses a part of these helpers.
#![allow(dead_code)]

use std::net::SocketAddr;

use deck_net::{
    Body, Client,
    http::{Method, Request},
};
use deck_testkit::Process;
use serde_json::Value;

/// A running stand-in.
pub struct Standin {
    pub process: Process,
    pub address: SocketAddr,
    pub client: Client,
}

impl Standin {
    pub fn start(arguments: &[&str]) -> Self {
        let arguments = [&arguments[..1], &["--listen", "127.0.0.1:0"], &arguments[1..]].concat();
        let mut process = Process::start(arguments[0], "deckstandin", &arguments, None);
        let address = process.address("http");
        Self { process, address, client: Client::default() }
    }

    pub async fn json(&self, method: &str, path: &str, body: Value) -> (u16, Value) {
        let method = method.parse::<Method>().expect("method");
        let called = self.client.json(method, self.address, path, Some(&body)).await;
        let (status, value) = called.expect("response");
        (status.as_u16(), value)
    }

    pub async fn faults(&self, faults: Value) {
        let (status, answer) = self.json("POST", "/admin/faults", faults).await;
        assert_eq!(status, 200, "{answer}");
    }

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
