//! The `check` command: collects the records that an invariant is checked on.

use serde_json::Value;

use crate::{
    command::{Invariant, RecordSource},
    error::CommandError,
    invariants,
    records::{Booking, JournalEntry, ObjectWrite, OrganisationTokens, read_journal},
    runner::Runner,
};

impl Runner {
    /// Checks an invariant on the records and journals that exist so far.
    pub(crate) async fn check(
        &self,
        invariant: Invariant,
        arguments: &[String],
    ) -> Result<(), CommandError> {
        let violations = match invariant {
            Invariant::Executions => invariants::check_executions(&self.journals(arguments)?),
            Invariant::Bookings => {
                let (load, services) = split_argument(arguments, "a load")?;
                let bookings = self.report(load)?["bookings"].clone();
                let bookings: Vec<Booking> = serde_json::from_value(bookings)?;
                invariants::check_bookings(&bookings, &self.journals(services)?)
            }
            Invariant::Samples => invariants::check_samples(&self.journals(arguments)?),
            Invariant::Spans => {
                let mut lists = arguments.splitn(2, |word| word == "from");
                let trainers = self.journals(lists.next().unwrap_or_default())?;
                let engines = self.journals(lists.next().unwrap_or_default())?;
                invariants::check_spans(&trainers, &engines)
            }
            Invariant::Staleness => {
                let (bound, trainers) = split_number(arguments, "a bound")?;
                invariants::check_staleness(&self.journals(trainers)?, bound)
            }
            Invariant::Versions => {
                let mut violations = Vec::new();
                for engine in arguments {
                    let found =
                        invariants::check_versions(&self.journals(std::slice::from_ref(engine))?);
                    violations
                        .extend(found.iter().map(|violation| format!("{engine}: {violation}")));
                }
                violations
            }
            Invariant::LoadFactor => {
                let (factor, rest) = split_number(arguments, "a factor")?;
                let (constant, rest) = split_number(rest, "a constant")?;
                let (load, services) = split_argument(rest, "a load")?;
                let sent = self.report(load)?["sent"].as_u64().unwrap_or(0);
                invariants::check_load_factor(factor, constant, sent, &self.journals(services)?)
            }
            Invariant::Share => {
                let (organisation, rest) = split_argument(arguments, "an organisation")?;
                let (percent, rest) = split_number(rest, "a percentage")?;
                let (tolerance, rest) = split_number(rest, "a tolerance")?;
                let (load, _) = split_argument(rest, "a load")?;
                let token_counts = OrganisationTokens::from_report(self.report(load)?);
                invariants::check_share(organisation, percent, tolerance, &token_counts)
            }
            Invariant::Configuration => {
                let (store, _) = split_argument(arguments, "a store")?;
                let path = "/admin/records".to_owned();
                let records =
                    self.read_record(&RecordSource { name: store.to_owned(), path }).await?;
                let history: Vec<ObjectWrite> = serde_json::from_value(records["history"].clone())?;
                invariants::check_configuration(&history)
            }
        };
        if violations.is_empty() {
            return Ok(());
        }
        let first_violations: Vec<&str> = violations.iter().take(10).map(String::as_str).collect();
        let count = violations.len();
        Err(format!("{invariant:?}: {count} violations: {}", first_violations.join("; ")).into())
    }

    /// Returns the report of a finished load.
    fn report(&self, load: &str) -> Result<&Value, CommandError> {
        self.reports.get(load).ok_or_else(|| format!("load {load} has not finished").into())
    }

    /// Reads the journals of stand-ins one after the other.
    fn journals(&self, names: &[String]) -> Result<Vec<JournalEntry>, CommandError> {
        if names.is_empty() {
            return Err("check: expected the names of stand-ins".to_owned().into());
        }
        let mut entries = Vec::new();
        for name in names {
            let path = self.environment.journal(name);
            let journal = read_journal(&path);
            entries.extend(journal.map_err(|error| format!("{}: {error}", path.display()))?);
        }
        Ok(entries)
    }
}

/// Splits off the first argument; `expected` describes it in the error message.
fn split_argument<'a>(
    arguments: &'a [String],
    expected: &str,
) -> Result<(&'a str, &'a [String]), CommandError> {
    let split = arguments.split_first().ok_or_else(|| format!("check: expected {expected}"))?;
    Ok((split.0, split.1))
}

/// Splits off the first argument like [`split_argument`] and parses it as a number.
fn split_number<'a, T: std::str::FromStr>(
    arguments: &'a [String],
    expected: &str,
) -> Result<(T, &'a [String]), CommandError> {
    let (word, rest) = split_argument(arguments, expected)?;
    let number = word.parse().map_err(|_| format!("{word:?} is not {expected}"))?;
    Ok((number, rest))
}
