//! Stand-ins for the outside systems of section 4 of `docs/design.md`, one subcommand each.
//!
//! Every stand-in serves `POST /admin/faults`, which changes its faults at run time, and
//! `GET /admin/records`, its own account of what happened.

mod cache;
mod common;
mod engine;
mod engine_order;
mod engine_run;
mod forward;
mod link;
mod objects;
mod objects_store;
mod platform;
mod scorer;
mod service;
mod trainer;
mod trainer_step;
mod vmlist;
mod weights;

use std::process::ExitCode;

use bpaf::Bpaf;
use common::StandinError;

/// Stand-ins for the systems around cowslipdeck.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// The users' platform: object API, model engines and plain servers in one process.
    #[bpaf(command)]
    Platform(#[bpaf(external(platform::platform_options))] platform::PlatformOptions),
    /// Object API with conditional writes and watches.
    #[bpaf(command)]
    Objects(#[bpaf(external(objects::objects_options))] objects::ObjectsOptions),
    /// Model engine with continuous batching.
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::engine_options))] engine::EngineOptions),
    /// Plain HTTP service that counts executions.
    #[bpaf(command)]
    Service(#[bpaf(external(service::service_options))] service::ServiceOptions),
    /// Lagging list of VMs.
    #[bpaf(command)]
    Vmlist(#[bpaf(external(vmlist::vm_list_options))] vmlist::VmListOptions),
    /// Rate-limited weight store.
    #[bpaf(command)]
    Weights(#[bpaf(external(weights::weights_options))] weights::WeightsOptions),
    /// Trainer that pulls the samples of a job.
    #[bpaf(command)]
    Trainer(#[bpaf(external(trainer::trainer_options))] trainer::TrainerOptions),
    /// Service that scores samples.
    #[bpaf(command)]
    Scorer(#[bpaf(external(scorer::scorer_options))] scorer::ScorerOptions),
    /// TCP forwarder that can delay, cut and heal.
    #[bpaf(command)]
    Link(#[bpaf(external(link::link_options))] link::LinkOptions),
}

fn main() -> ExitCode {
    let command = command().run();
    let _ = deck_obs::logs::try_init_to_stderr("info");
    let ended = deck_net::runtime::run(run(command));
    match ended.map_err(StandinError::from).and_then(|ended| ended) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "standin", "{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), StandinError> {
    match command {
        Command::Platform(options) => platform::run(options).await,
        Command::Objects(options) => objects::run(options).await,
        Command::Engine(options) => engine::run(options).await,
        Command::Service(options) => service::run(options).await,
        Command::Vmlist(options) => vmlist::run(options).await,
        Command::Weights(options) => weights::run(options).await,
        Command::Trainer(options) => trainer::run(options).await,
        Command::Scorer(options) => scorer::run(options).await,
        Command::Link(options) => link::run(options).await,
    }
}
