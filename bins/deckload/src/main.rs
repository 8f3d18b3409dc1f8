//! Load generator: seeded open-loop arrivals of completions, plain calls and bookings.
//!
//! Calls start at the planned times whether or not earlier ones have been answered, and latencies
//! count from the planned time, so that a stall is not hidden by a generator that waits for it.

mod booking;
mod completion;
mod exchange;
mod plan;
mod report;
mod service;

use std::{
    cell::RefCell,
    net::SocketAddr,
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use deck_net::{Client, ClientOptions};
use plan::{Arrival, Class};
use report::Report;

/// Generates load and prints a JSON report.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Address of an entry; several may be given.
    #[bpaf(argument("IP:PORT"), some("at least one --entry"))]
    entry: Vec<SocketAddr>,
    /// Seed of the arrivals and of all identifiers.
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Time during which calls start.
    #[bpaf(argument("MS"), fallback(5000))]
    duration_ms: u64,
    /// Organisation; several may be given and take part in equal shares.
    #[bpaf(argument("NAME"), many)]
    organisation: Vec<String>,
    /// Model of the completions.
    #[bpaf(argument("NAME"), fallback("m".to_owned()))]
    model: String,
    /// Short completions per second.
    #[bpaf(argument("N"), fallback(0.0))]
    short_per_s: f64,
    /// Tokens of a short completion.
    #[bpaf(argument("N"), fallback(20))]
    short_tokens: u32,
    /// Long completions per second.
    #[bpaf(argument("N"), fallback(0.0))]
    long_per_s: f64,
    /// Tokens of a long completion.
    #[bpaf(argument("N"), fallback(500))]
    long_tokens: u32,
    /// Text at the start of all prompts.
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    prompt_prefix: String,
    /// Pool of the plain service.
    #[bpaf(argument("NAME"), fallback("booking-app".to_owned()))]
    service: String,
    /// GET calls per second.
    #[bpaf(argument("N"), fallback(0.0))]
    get_per_s: f64,
    /// Bookings with keys per second.
    #[bpaf(argument("N"), fallback(0.0))]
    book_per_s: f64,
    /// Bookings with tickets per second.
    #[bpaf(argument("N"), fallback(0.0))]
    ticket_per_s: f64,
    /// Time after which a caller gives up, all tries included.
    #[bpaf(argument("MS"), fallback(10_000))]
    deadline_ms: u64,
    /// Most tries of one call, each through the next entry.
    #[bpaf(argument("N"), fallback(5))]
    tries: u32,
    /// List all bookings with their outcome in the report.
    list_bookings: bool,
}

/// What all calls share.
pub struct Load {
    options: Options,
    client: Client,
    report: RefCell<Report>,
}

fn main() -> ExitCode {
    let options = options().run();
    let _ = deck_obs::logs::try_init_to_stderr("warn");
    match deck_net::runtime::run(run(options)) {
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!(target: "load", "{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> serde_json::Value {
    let arrivals = plan::arrivals(&options);
    let client = Client::new(ClientOptions { max_idle_per_address: 256, ..Default::default() });
    let report = RefCell::new(Report::new(options.seed, options.duration_ms));
    let load = Rc::new(Load { options, client, report });
    let start = Instant::now();
    let mut calls = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let due = start + arrival.at;
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
        calls.push(monoio::spawn(call(load.clone(), arrival, due)));
    }
    for call in calls {
        call.await;
    }
    load.report.borrow().to_json(load.options.list_bookings)
}

/// Runs one call with its tries and records how it ended.
async fn call(load: Rc<Load>, arrival: Arrival, due: Instant) {
    let deadline = due + Duration::from_millis(load.options.deadline_ms);
    let ended = match arrival.class {
        Class::Short | Class::Long => completion::call(&load, &arrival, deadline).await,
        Class::Get => service::call(&load, &arrival, deadline).await,
        Class::Book | Class::Ticket => booking::call(&load, &arrival, deadline).await,
    };
    load.report.borrow_mut().record(&arrival, &ended, due, Instant::now());
}
