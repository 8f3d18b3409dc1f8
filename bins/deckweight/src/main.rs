//! `deckweight`: brings new weights to the engines of the pools that this VM owns.

mod settings;

use std::{path::PathBuf, process::ExitCode, rc::Rc, time::Duration};

use bpaf::Bpaf;
use deck_core::CancellationToken;
use deck_net::{Client, ServerOptions, admin, runtime};
use deck_obs::{logs, metrics::Metrics};
use deck_peer::local::LocalView;
use deck_plat::Store;
use deck_weight::{
    owner::{OwnerOptions, WeightOwner},
    relay::Relay,
};

use crate::settings::{RelaySettings, Settings};

/// Brings new weights to the engines of the pools that this VM owns.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer("Example: deckweight --config deckweight.ini"))]
struct Options {
    /// Settings file; bins/deckweight/sample.ini documents all keys
    #[bpaf(long("config"), argument("FILE"))]
    config: PathBuf,
    /// Check the settings file and exit; exits with 2 if it is not valid
    #[bpaf(long("check"))]
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match Settings::try_open(&options.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("deckweight: {error}");
            return ExitCode::from(2);
        }
    };
    if options.check {
        println!("{}: valid", options.config.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logs::try_init(&settings.log.level) {
        eprintln!("deckweight: {error}");
        return ExitCode::FAILURE;
    }
    match runtime::run(run(settings)).flatten() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "deckweight", "stopped error={error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> std::io::Result<()> {
    let stop = runtime::stop_token()?;
    let end = CancellationToken::new();
    let readiness = admin::Readiness::new("no configuration yet");
    let client = Client::default();
    let store = Store::new(client.clone(), settings.object_api, settings.object_api_timeout);
    start_admin(&settings, &readiness, &end)?;
    if let Some(relay) = settings.relay {
        start_relay(relay, &client, &end)?;
    }

    let view = LocalView::connect(client.clone(), settings.entry, end.clone());
    if stop.run_until_cancelled(view.config().wait_synced()).await.is_none() {
        return Ok(());
    }
    readiness.set_ready();
    log::info!(target: "deckweight", "ready vm={}", settings.vm.id);
    let options = OwnerOptions {
        vm: settings.vm.id,
        lease: settings.lease,
        plan: settings.plan,
        run: settings.run,
    };
    let config = view.config();
    let owner = WeightOwner::new(client, store, config, Rc::new(move || view.members()), options);
    owner.run(stop).await;
    readiness.set_not_ready("stopping");
    log::info!(target: "deckweight", "stopped, leases released");
    end.cancel();
    Ok(())
}

fn start_admin(
    settings: &Settings,
    readiness: &admin::Readiness,
    end: &CancellationToken,
) -> std::io::Result<()> {
    let listener = deck_net::bind(settings.admin.address)?;
    println!("listening admin {}", listener.local_addr()?);
    monoio::spawn(admin::serve(listener, Metrics::default(), readiness.clone(), end.clone()));
    Ok(())
}

fn start_relay(
    settings: RelaySettings,
    client: &Client,
    end: &CancellationToken,
) -> std::io::Result<()> {
    let relay = Relay::try_new(settings.options, client.clone())?;
    let listener = deck_net::bind(settings.address)?;
    println!("listening weights {}", listener.local_addr()?);
    let options =
        ServerOptions { head_timeout: Duration::from_secs(10), ..ServerOptions::default() };
    let handler = move |request| {
        let relay = relay.clone();
        async move { relay.respond(request).await }
    };
    monoio::spawn(deck_net::serve(listener, options, end.clone(), handler));
    Ok(())
}
