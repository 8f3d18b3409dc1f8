//! Log output that never blocks and stays within a budget.

use std::{
    io::Write,
    os::fd::AsFd,
    time::{Duration, Instant},
};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

/// Longest line. A pipe that is writable takes this much without blocking.
const MAX_LINE_BYTES: usize = 4096;

/// Budget of a log.
#[derive(Debug, Clone, Copy)]
pub struct LogBudget {
    /// Lines a second. Warnings and errors may use all of it, other lines three quarters.
    pub lines_per_s: f64,
    /// Time whose lines may come at once.
    pub burst: Duration,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self { lines_per_s: 400.0, burst: Duration::from_secs(5) }
    }
}

/// Writer of whole lines that leaves out what the output does not take at once or the budget does
/// not allow, and says how many lines it has left out.
pub struct BoundedWriter<W> {
    output: W,
    budget: LogBudget,
    /// Lines that may be written now.
    balance: f64,
    last_at: Instant,
    /// Beginning of the current line; at most `MAX_LINE_BYTES`.
    line: Vec<u8>,
    left_out: u64,
}

impl<W: Write + AsFd> BoundedWriter<W> {
    /// Returns a writer to `output`.
    pub fn new(output: W, budget: LogBudget) -> Self {
        let balance = budget.lines_per_s * budget.burst.as_secs_f64();
        let (last_at, line) = (Instant::now(), Vec::new());
        Self { output, budget, balance, last_at, line, left_out: 0 }
    }

    /// Returns how many lines were left out since the last line that says so.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    fn end_line(&mut self, now: Instant) {
        let most = self.budget.lines_per_s * self.budget.burst.as_secs_f64();
        let earned = now.saturating_duration_since(self.last_at).as_secs_f64();
        self.balance = (self.balance + earned * self.budget.lines_per_s).min(most);
        self.last_at = now;
        let line = std::mem::take(&mut self.line);
        let reserve = if is_urgent(&line) { 0.0 } else { most / 4.0 };
        if self.balance < reserve + 1.0 || !self.is_writable() {
            self.left_out += 1;
            return;
        }
        self.balance -= 1.0;
        if self.left_out > 0 {
            let notice = format!("[WARN] log: lines left out count={}\n", self.left_out);
            if self.output.write_all(notice.as_bytes()).is_ok() {
                self.left_out = 0;
            }
            if !self.is_writable() {
                self.left_out += 1;
                return;
            }
        }
        if self.output.write_all(&line).and_then(|()| self.output.flush()).is_err() {
            // A closed output cannot be reported anywhere.
            self.left_out += 1;
        }
    }

    /// Returns whether a line can be written without blocking.
    fn is_writable(&self) -> bool {
        let mut fds = [PollFd::new(self.output.as_fd(), PollFlags::POLLOUT)];
        matches!(poll(&mut fds, PollTimeout::ZERO), Ok(1))
            && fds[0].revents().is_some_and(|events| events.contains(PollFlags::POLLOUT))
    }
}

fn is_urgent(line: &[u8]) -> bool {
    let contains = |level: &[u8]| line.windows(level.len()).any(|window| window == level);
    contains(b"[WARN]") || contains(b"[ERROR]")
}

impl<W: Write + AsFd> Write for BoundedWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        for &byte in bytes {
            if byte == b'\n' {
                self.line.push(byte);
                self.end_line(Instant::now());
            } else if self.line.len() < MAX_LINE_BYTES - 1 {
                self.line.push(byte);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
