//! One VM with stand-ins, sized for a sweep.

use std::{net::SocketAddr, path::Path};

use deckdemo::{
    error::DemoError,
    tools::{create_object, wait_ready},
};
use deckscenario::{command::KeyValue, environment::Environment};
use serde_json::{Value, json};

use crate::process::{Usage, usage};

const ENTRY: &str = "[vm]\nid = vm1\ndata_centre = dc\nregion = r\n\
    [listen]\ncaller = ${listen.caller}\npeer = ${listen.peer}\nlocal = ${listen.local}\n\
    [platform]\nobject_api = ${store.http}\n[log]\nlevel = warn\n\
    [admin]\naddress = ${listen.admin}\n";
const ROLL: &str = "[vm]\nid = vm1\ndata_centre = dc\nregion = r\n\
    [listen]\ntrainer = ${listen.trainer}\n[platform]\nobject_api = ${store.http}\n\
    [local]\nentry = ${entry.local}\ncaller = ${entry.caller}\n[log]\nlevel = warn\n\
    [admin]\naddress = ${listen.admin}\n";
const WEIGHT: &str = "[vm]\nid = vm1\ndata_centre = dc\nregion = r\n\
    [platform]\nobject_api = ${store.http}\n[local]\nentry = ${entry.local}\n\
    [log]\nlevel = warn\n[admin]\naddress = ${listen.admin}\n";

/// Processes of one measurement.
pub struct Deployment {
    /// The processes.
    pub world: Environment,
}

impl Deployment {
    /// Starts the object API, a weight store, a scorer, `engines` engines and one plain service, and
    /// applies pools of them.
    pub fn start(directory: &Path, engines: usize) -> Result<Self, DemoError> {
        std::fs::create_dir_all(directory)?;
        let mut world = Environment::new(directory.to_owned(), 1);
        world.add_template("entry".to_owned(), ENTRY.to_owned());
        world.add_template("roll".to_owned(), ROLL.to_owned());
        world.add_template("weight".to_owned(), WEIGHT.to_owned());
        world.start_standin("store", "objects", &[])?;
        world.start_standin("scorer", "scorer", &[])?;
        world.start_standin("weights", "weights", &["--model".into(), "m".into()])?;
        world.start_standin("service", "service", &[])?;
        for index in 0..engines {
            let arguments = ["--model", "m", "--max-batch", "256", "--batch-slowdown-percent", "0"];
            let arguments = arguments.map(str::to_owned);
            world.start_standin(&format!("engine{index}"), "engine", &arguments)?;
        }
        let deployment = Self { world };
        deployment.apply("OrganisationShare", "o", &json!({ "shares": [
            { "pool": "engines", "share_percent": 100 }, { "pool": "service", "share_percent": 100 },
        ]}))?;
        deployment.apply(
            "TargetPool",
            "service",
            &json!({
                "type": "service", "fencing": "ignored", "slots_per_target": 10_000,
                "targets": [deployment.target("service")?],
            }),
        )?;
        let targets: Result<Vec<_>, _> =
            (0..engines).map(|index| deployment.target(&format!("engine{index}"))).collect();
        deployment.apply(
            "TargetPool",
            "engines",
            &json!({
                "type": "engine", "model": "m", "fencing": "checked", "slots_per_target": 256,
                "weight_store_address": deployment.address("weights", "http")?.to_string(),
                "targets": targets?,
            }),
        )?;
        Ok(deployment)
    }

    /// Starts a daemon and waits until it is ready.
    pub fn start_daemon(&mut self, name: &str, program: &str) -> Result<(), DemoError> {
        let no_bindings: [KeyValue; 0] = [];
        self.world.start_daemon(name, program, name, &no_bindings)?;
        wait_ready(name, self.address(name, "admin")?)
    }

    /// Writes an object.
    pub fn apply(&self, kind: &str, name: &str, spec: &Value) -> Result<(), DemoError> {
        create_object(self.address("store", "http")?, kind, name, spec)
    }

    /// Returns the usage of a daemon.
    pub fn usage(&mut self, name: &str) -> Result<Usage, DemoError> {
        usage(self.world.process(name)?.id())
    }

    /// Returns the address of a listener.
    pub fn address(&self, name: &str, listener: &str) -> Result<SocketAddr, DemoError> {
        let missing = || DemoError::Program(name.to_owned(), format!("no listener {listener}"));
        self.world.address(name, listener).ok_or_else(missing)
    }

    fn target(&self, name: &str) -> Result<Value, DemoError> {
        let address = self.address(name, "http")?.to_string();
        Ok(json!({ "id": name, "address": address, "data_centre": "dc" }))
    }
}
