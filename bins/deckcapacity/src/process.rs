//! Processor time and memory of a process.

use deckdemo::error::DemoError;

/// Clock ticks in a second, as Linux reports processor time (`USER_HZ`, 100 on all its platforms).
const TICKS_PER_S: f64 = 100.0;

/// Usage of a process.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Processor time since the start, user and system.
    pub cpu_ms: f64,
    /// Resident memory.
    pub memory_kb: f64,
}

/// Reads the usage of the process `id`.
pub fn usage(id: u32) -> Result<Usage, DemoError> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    // The name in parentheses may contain spaces; the fields after it start with the state.
    let fields: Vec<&str> =
        stat.rsplit_once(')').map_or(Vec::new(), |(_, rest)| rest.split_whitespace().collect());
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    let memory_kb = status.lines().find_map(|line| {
        line.strip_prefix("VmRSS:")?.trim().strip_suffix("kB")?.trim().parse().ok()
    });
    match (ticks(11), ticks(12), memory_kb) {
        (Some(user), Some(system), Some(memory_kb)) => {
            Ok(Usage { cpu_ms: (user + system) * 1000.0 / TICKS_PER_S, memory_kb })
        }
        _ => Err(DemoError::Program("proc".to_owned(), format!("no usage of process {id}"))),
    }
}
