//! `report`: records the daemons' metrics and reports error budgets and burn rates.

use std::{
    fs::{File, OpenOptions},
    io::BufReader,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use deck_burn::{
    history::{self, HistoryError, Scrape},
    render,
    report::burn_report,
};
use deck_core::object::{AnySpec, Kind, ServiceObjective, parse_spec};
use deck_net::{Body, Client, NetError, http::Request};
use deck_plat::Store;

use crate::{
    cli::{Output, Report},
    error::CtlError,
    files,
    output::print_json,
};

/// Maximum size of a daemon's metrics page.
const MAX_METRICS_BYTES: usize = 16 * 1024 * 1024;

/// Runs `report record` or `report burn`.
pub async fn run(
    report: Report,
    object_api: Option<SocketAddr>,
    timeout_ms: u64,
    output: Output,
) -> Result<(), CtlError> {
    let timeout = Duration::from_millis(timeout_ms);
    match report {
        Report::Record { admin, history, interval_ms, count } => {
            let interval = Duration::from_millis(interval_ms);
            record_scrapes(&admin, &history, interval, count.unwrap_or(u64::MAX), timeout).await
        }
        Report::Burn { history, html, gap_after_ms, files } => {
            let objectives = if files.is_empty() {
                let address = object_api.ok_or(CtlError::NoObjectApi)?;
                read_stored_objectives(&Store::new(Client::default(), address, timeout)).await?
            } else {
                read_file_objectives(&files)?
            };
            report_burn(&objectives, &history, html.as_deref(), gap_after_ms, output)
        }
    }
}

/// Scrapes each daemon `count` times and appends the scrapes to the history file.
///
/// A daemon that does not respond is reported and skipped, which leaves a gap in its history.
async fn record_scrapes(
    admin_addresses: &[SocketAddr],
    history_file: &Path,
    interval: Duration,
    count: u64,
    timeout: Duration,
) -> Result<(), CtlError> {
    let client = Client::default();
    for round in 0..count {
        if round > 0 {
            monoio::time::sleep(interval).await;
        }
        for address in admin_addresses {
            match scrape_metrics(&client, *address, timeout).await {
                Ok(scrape) => append_scrape(history_file, &scrape)?,
                Err(error) => eprintln!("deckctl: {address} not scraped: {error}"),
            }
        }
    }
    Ok(())
}

async fn scrape_metrics(
    client: &Client,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Scrape, String> {
    let request = Request::builder()
        .uri("/metrics")
        .body(Body::empty())
        .map_err(|error| error.to_string())?;
    let fetch = async {
        let response = client.send(address, request).await?;
        response.collect(MAX_METRICS_BYTES).await
    };
    let body = match monoio::time::timeout(timeout, fetch).await {
        Ok(body) => body.map_err(|error: NetError| error.to_string())?,
        Err(_) => return Err("no answer in time".to_owned()),
    };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let text = String::from_utf8_lossy(&body);
    Scrape::try_parse(since_epoch.as_millis() as u64, &address.to_string(), &text)
        .map_err(|error| error.to_string())
}

fn append_scrape(history_file: &Path, scrape: &Scrape) -> Result<(), CtlError> {
    let history_error = |error| CtlError::History(history_file.to_owned(), error);
    let mut writer = OpenOptions::new()
        .create(true)
        .append(true)
        .open(history_file)
        .map_err(|error| history_error(HistoryError::from(error)))?;
    history::append(&mut writer, scrape).map_err(history_error)
}

fn report_burn(
    objectives: &[(String, ServiceObjective)],
    history_file: &Path,
    html_file: Option<&Path>,
    gap_after_ms: u64,
    output: Output,
) -> Result<(), CtlError> {
    let history_error = |error| CtlError::History(history_file.to_owned(), error);
    let file =
        File::open(history_file).map_err(|error| history_error(HistoryError::from(error)))?;
    let scrapes = history::read(BufReader::new(file)).map_err(history_error)?;
    let report = burn_report(objectives, &scrapes, gap_after_ms);
    if let Some(html_file) = html_file {
        let page = render::render_html_page(&report).map_err(CtlError::Plot)?;
        std::fs::write(html_file, page)
            .map_err(|error| CtlError::File(html_file.to_owned(), error))?;
    }
    match output {
        Output::Json => print_json(&report),
        Output::Text => print_text!("{}", render::render_text(&report)),
    }
    Ok(())
}

async fn read_stored_objectives(
    store: &Store,
) -> Result<Vec<(String, ServiceObjective)>, CtlError> {
    let kind = Kind::ServiceObjective.as_str();
    let (_, objects) = store.list(kind).await.map_err(|error| CtlError::from_store(kind, error))?;
    let mut objectives = Vec::new();
    for object in objects {
        match parse_spec(&object.value) {
            Ok(objective) => objectives.push((object.name, objective)),
            Err(error) => eprintln!("deckctl: {kind}/{} left out: {error}", object.name),
        }
    }
    Ok(objectives)
}

fn read_file_objectives(files: &[PathBuf]) -> Result<Vec<(String, ServiceObjective)>, CtlError> {
    let mut objectives = Vec::new();
    for object in files::read_objects(files)? {
        // Objects of other kinds are skipped, so that the files of a whole deployment can be given.
        if let Ok(AnySpec::ServiceObjective(objective)) = AnySpec::parse(object.kind, &object.value)
        {
            objectives.push((object.name, objective));
        }
    }
    Ok(objectives)
}
