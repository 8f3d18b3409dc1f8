//! Checks of invariants on the records of a running scenario.

use serde_json::Value;

use crate::{
    command::{Invariant, Source},
    error::CommandError,
    invariants,
    records::{Booking, Entry, Received, Write, read_journal},
    runner::Runner,
};

impl Runner {
    /// Checks an invariant on the records so far.
    pub(crate) async fn check(
        &self,
        invariant: Invariant,
        arguments: &[String],
    ) -> Result<(), CommandError> {
        let violations = match invariant {
            Invariant::Executions => invariants::executions(&self.journals(arguments)?),
            Invariant::Bookings => {
                let (load, services) = first(arguments, "a load")?;
                let bookings = self.report(load)?["bookings"].clone();
                let bookings: Vec<Booking> = serde_json::from_value(bookings)?;
                invariants::bookings(&bookings, &self.journals(services)?)
            }
            Invariant::Samples => invariants::samples(&self.journals(arguments)?),
            Invariant::Spans => {
                let mut sides = arguments.splitn(2, |word| word == "from");
                let trainers = self.journals(sides.next().unwrap_or_default())?;
                let engines = self.journals(sides.next().unwrap_or_default())?;
                invariants::spans(&trainers, &engines)
            }
            Invariant::Staleness => {
                let (bound, trainers) = number(arguments, "a bound")?;
                invariants::staleness(&self.journals(trainers)?, bound)
            }
            Invariant::Versions => {
                let mut violations = Vec::new();
                for engine in arguments {
                    let found = invariants::versions(&self.journals(std::slice::from_ref(engine))?);
                    violations.extend(found.iter().map(|found| format!("{engine}: {found}")));
                }
                violations
            }
            Invariant::LoadFactor => {
                let (factor, rest) = number(arguments, "a factor")?;
                let (constant, rest) = number(rest, "a constant")?;
                let (load, services) = first(rest, "a load")?;
                let sent = self.report(load)?["sent"].as_u64().unwrap_or(0);
                invariants::load_factor(factor, constant, sent, &self.journals(services)?)
            }
            Invariant::Share => {
                let (organisation, rest) = first(arguments, "an organisation")?;
                let (percent, rest) = number(rest, "a percentage")?;
                let (tolerance, rest) = number(rest, "a tolerance")?;
                let (load, _) = first(rest, "a load")?;
                let received = Received::of_report(self.report(load)?);
                invariants::share(organisation, percent, tolerance, &received)
            }
            Invariant::Configuration => {
                let (store, _) = first(arguments, "a store")?;
                let path = "/admin/records".to_owned();
                let records = self.read(&Source { name: store.to_owned(), path }).await?;
                let history: Vec<Write> = serde_json::from_value(records["history"].clone())?;
                invariants::configuration(&history)
            }
        };
        if violations.is_empty() {
            return Ok(());
        }
        let shown: Vec<&str> = violations.iter().take(10).map(String::as_str).collect();
        let count = violations.len();
        Err(format!("{invariant:?}: {count} violations: {}", shown.join("; ")).into())
    }

    fn report(&self, load: &str) -> Result<&Value, CommandError> {
        self.reports.get(load).ok_or_else(|| format!("there is no finished load {load}").into())
    }

    fn journals(&self, names: &[String]) -> Result<Vec<Entry>, CommandError> {
        if names.is_empty() {
            return Err("a check needs the names of stand-ins".to_owned().into());
        }
        let mut entries = Vec::new();
        for name in names {
            let path = self.world.journal(name);
            let read = read_journal(&path);
            entries.extend(read.map_err(|error| format!("{}: {error}", path.display()))?);
        }
        Ok(entries)
    }
}

fn first<'a>(arguments: &'a [String], what: &str) -> Result<(&'a str, &'a [String]), CommandError> {
    let split = arguments.split_first().ok_or_else(|| format!("check: expected {what}"))?;
    Ok((split.0, split.1))
}

fn number<'a, T: std::str::FromStr>(
    arguments: &'a [String],
    what: &str,
) -> Result<(T, &'a [String]), CommandError> {
    let (word, rest) = first(arguments, what)?;
    let number = word.parse().map_err(|_| format!("{word:?} is not {what}"))?;
    Ok((number, rest))
}
