//! Processor time and memory of a process, read from `/proc`.

use deckdemo::error::DemoError;

/// Clock ticks a second in which Linux reports processor time (`USER_HZ`, 100 on all platforms).
const TICKS_PER_S: f64 = 100.0;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// User and system time since the process started.
    pub cpu_ms: f64,
    /// Resident memory (`VmRSS`).
    pub memory_kb: f64,
}

/// Reads the usage of the process `id`.
pub fn read_usage(id: u32) -> Result<Usage, DemoError> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    // The program name in parentheses may contain spaces, so fields are counted from the closing
    // parenthesis: 0 is the state, 11 the user time and 12 the system time.
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
        _ => Err(DemoError::Program(
            "proc".to_owned(),
            format!("/proc does not show processor time and memory of process {id}"),
        )),
    }
}
