//! Open-loop load generator: completions, plain calls and bookings at random times that a seed
//! determines.
//!
//! Each call starts at its planned time, whether or not earlier calls have ended, and latencies are
//! measured from the planned time. A generator that waited for responses would send fewer calls
//! during a stall and hide it (coordinated omission).

mod attempts;
mod booking;
mod completion;
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
use plan::{Class, PlannedCall};
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
    // Name of the pool of type `service` to which GET calls and bookings are sent.
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

/// Options, client and report, which all calls share.
pub struct Context {
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
    let planned_calls = plan::planned_calls(&options);
    let client = Client::new(ClientOptions { max_idle_per_address: 256, ..Default::default() });
    let report = RefCell::new(Report::new(options.seed, options.duration_ms));
    let context = Rc::new(Context { options, client, report });
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(planned_calls.len());
    for call in planned_calls {
        let planned_start = start + call.start;
        let delay = planned_start.saturating_duration_since(Instant::now());
        if !delay.is_zero() {
            monoio::time::sleep(delay).await;
        }
        tasks.push(monoio::spawn(run_call(context.clone(), call, planned_start)));
    }
    for task in tasks {
        task.await;
    }
    context.report.borrow().to_json(context.options.list_bookings)
}

/// Runs one call with its retries and adds the result to the report.
async fn run_call(context: Rc<Context>, call: PlannedCall, planned_start: Instant) {
    let deadline = planned_start + Duration::from_millis(context.options.deadline_ms);
    let result = match call.class {
        Class::Short | Class::Long => completion::run(&context, &call, deadline).await,
        Class::Get => service::run(&context, &call, deadline).await,
        Class::Book | Class::Ticket => booking::run(&context, &call, deadline).await,
    };
    context.report.borrow_mut().record(&call, &result, planned_start, Instant::now());
}
