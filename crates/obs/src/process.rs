//! Resource usage of this process, read from `/proc`.

use std::{fs, io};

/// Returns the resident set size of this process in bytes.
///
/// # Errors
///
/// Returns an error if `/proc/self/status` cannot be read or has no valid `VmRSS`.
pub fn resident_bytes() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok());
    let kilobytes: u64 = kilobytes.ok_or_else(|| io::Error::other("no resident size"))?;
    Ok(kilobytes * 1024)
}
