//! Command-line arguments of `deckctl`.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use deck_core::{id::Revision, object::Kind};

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Human-readable text.
    Text,
    /// One JSON document; for `watch`, one JSON document per line.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("{other:?} is not an output format; use text or json")),
        }
    }
}

const EXIT_CODES_HELP: &str = "Exit codes: 0 success, 1 unexpected error, 2 wrong arguments or an \
    object that is not valid, 3 not found, 4 conflict with another change, 5 the object API does \
    not answer, 6 the outcome of a write is not known, 7 diff found a difference";

/// Writes desired state to the object API and shows status.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES_HELP))]
pub struct Options {
    /// Address of the object API
    #[bpaf(long("object-api"), env("DECK_OBJECT_API"), argument("IP:PORT"), optional)]
    pub object_api: Option<SocketAddr>,
    /// Output format: text or json
    #[bpaf(long("output"), short('o'), argument("FORMAT"), fallback(Output::Text))]
    pub output: Output,
    /// Time limit of one call on the object API, in milliseconds
    #[bpaf(long("timeout-ms"), argument("MS"), fallback(5000))]
    pub timeout_ms: u64,
    /// What to do
    #[bpaf(external(command))]
    pub command: Command,
}

const APPLY_HELP: &str = "A file holds one object or a JSON array of objects of the form \
    {\"kind\",\"name\",\"schema\",\"spec\"}. The write is conditional on the version that was read; with \
    a \"revision\" in the file it is conditional on that revision (0: must not exist). \
    Example: deckctl --object-api 127.0.0.1:7000 apply pool.json jobs.json";

/// What to do.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub enum Command {
    /// Creates or changes objects from files.
    ///
    /// A file holds one object or a JSON array of objects of the form
    /// {"kind","name","schema","spec"}. The write is conditional on the version that was read; with
    /// a "revision" in the file it is conditional on that revision (0: must not exist).
    #[bpaf(command, footer(APPLY_HELP))]
    Apply {
        /// Check and compare, but write nothing
        #[bpaf(long("dry-run"))]
        dry_run: bool,
        /// Files with objects
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Shows objects in short.
    #[bpaf(command, footer("Example: deckctl --object-api 127.0.0.1:7000 get TargetPool"))]
    Get {
        /// Kind: RolloutJob, OrganisationShare, TargetPool or ServiceObjective
        #[bpaf(positional("KIND"))]
        kind: Kind,
        /// Name; all objects of the kind if it is left out
        #[bpaf(positional("NAME"))]
        name: Option<String>,
    },
    /// Shows one object with its status.
    #[bpaf(
        command,
        footer("Example: deckctl --object-api 127.0.0.1:7000 describe RolloutJob seats")
    )]
    Describe {
        /// Kind
        #[bpaf(positional("KIND"))]
        kind: Kind,
        /// Name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Compares files with the stored objects; exits with 7 if they differ.
    #[bpaf(command, footer("Example: deckctl --object-api 127.0.0.1:7000 diff pool.json"))]
    Diff {
        /// Files with objects
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Shows objects and status as they change.
    #[bpaf(command, footer("Example: deckctl --object-api 127.0.0.1:7000 watch RolloutJob seats"))]
    Watch {
        /// End after this many changes
        #[bpaf(long("count"), argument("N"), optional)]
        count: Option<u64>,
        /// Kind
        #[bpaf(positional("KIND"))]
        kind: Kind,
        /// Name; all objects of the kind if it is left out
        #[bpaf(positional("NAME"))]
        name: Option<String>,
    },
    /// Deletes one object.
    #[bpaf(command, footer("Example: deckctl --object-api 127.0.0.1:7000 delete RolloutJob seats"))]
    Delete {
        /// Delete only if the object still has this revision
        #[bpaf(long("revision"), argument("REVISION"), optional)]
        revision: Option<Revision>,
        /// Kind
        #[bpaf(positional("KIND"))]
        kind: Kind,
        /// Name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Checks object files and settings files (.ini) without the object API.
    #[bpaf(
        command,
        footer("Example: deckctl check examples/vitosha/objects/*.json examples/vitosha/*.ini")
    )]
    Check {
        /// Program of the settings files; without it their names say it, such as deckentry.ini
        #[bpaf(long("program"), argument("NAME"), optional)]
        program: Option<String>,
        /// Files with objects or settings
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Checks a configuration of the users' platform before it is sent.
    ///
    /// Finds errors, entries that can never match, values that contradict each other, and with
    /// --against what differs from the version in force. Keys are never shown.
    #[bpaf(
        command("check-configuration"),
        footer("Example: deckctl check-configuration new.json --against in-force.json")
    )]
    CheckConfiguration {
        /// File with the configuration in force
        #[bpaf(long("against"), argument("FILE"), optional)]
        in_force: Option<PathBuf>,
        /// File with the configuration, or with its stored object
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Explains from logs what happened to a request, an item or a batch job.
    ///
    /// Reads the logs of several nodes, orders them by time, and says in plain words what went wrong.
    #[bpaf(command, footer("Example: deckctl explain 7511ad0296c836b8 logs/*.log"))]
    Explain {
        /// Id of a request, an item or a batch job
        #[bpaf(positional("ID"))]
        id: String,
        /// Files with log lines; lines may begin with a time and the name of their node
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Reports on service levels.
    #[bpaf(command, footer("Example: deckctl report burn --history history.jsonl objectives.json"))]
    Report {
        /// Which report
        #[bpaf(external(report))]
        report: Report,
    },
}

/// Reports on service levels.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub enum Report {
    /// Scrapes the daemons' metrics into a history file.
    #[bpaf(
        command,
        footer("Example: deckctl report record --admin 127.0.0.1:7104 --history history.jsonl")
    )]
    Record {
        /// Address of a daemon's admin endpoints; may be repeated
        #[bpaf(long("admin"), argument("IP:PORT"), some("name at least one daemon"))]
        admin: Vec<SocketAddr>,
        /// File to which scrapes are appended
        #[bpaf(long("history"), argument("FILE"))]
        history: PathBuf,
        /// Time between scrapes, in milliseconds
        #[bpaf(long("interval-ms"), argument("MS"), fallback(15_000))]
        interval_ms: u64,
        /// End after this many scrapes of each daemon
        #[bpaf(long("count"), argument("N"), optional)]
        count: Option<u64>,
    },
    /// Shows error budgets and burn rates.
    #[bpaf(
        command,
        footer("Example: deckctl report burn --history history.jsonl --html burn.html slo.json")
    )]
    Burn {
        /// File with scrapes, written by `report record`
        #[bpaf(long("history"), argument("FILE"))]
        history: PathBuf,
        /// Write an HTML page with plots
        #[bpaf(long("html"), argument("FILE"), optional)]
        html: Option<PathBuf>,
        /// A longer time between two scrapes of a daemon is shown as a gap, in milliseconds
        #[bpaf(long("gap-after-ms"), argument("MS"), fallback(60_000))]
        gap_after_ms: u64,
        /// Files with ServiceObjective objects; without them they are read from the object API
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
}
