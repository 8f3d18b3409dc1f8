//! Log output that never blocks and has a maximum line rate.

use std::{
    io::Write,
    os::fd::AsFd,
    time::{Duration, Instant},
};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

/// Maximum length of a line; the rest is cut off. A pipe that polls as writable takes this many
/// bytes without blocking.
const MAX_LINE_BYTES: usize = 4096;

/// Rate limit of a log.
#[derive(Debug, Clone, Copy)]
pub struct LogRateLimit {
    /// Maximum average rate of lines. A quarter of the burst capacity is reserved for warnings and
    /// errors.
    pub lines_per_s: f64,
    /// Burst capacity as a duration: up to `lines_per_s * burst` lines may be written at once.
    pub burst: Duration,
}

impl Default for LogRateLimit {
    fn default() -> Self {
        Self { lines_per_s: 400.0, burst: Duration::from_secs(5) }
    }
}

/// Writer of whole lines that drops a line if writing it would block or exceed the rate limit. The
/// number of dropped lines is written before the next line that is not dropped.
pub struct RateLimitedWriter<W> {
    output: W,
    rate_limit: LogRateLimit,
    /// Level of the token bucket of the rate limit: number of lines that may be written now.
    bucket_level_lines: f64,
    /// Time at which `bucket_level_lines` was last updated.
    updated_at: Instant,
    /// Received part of the current line. Invariant: at most `MAX_LINE_BYTES` bytes.
    line: Vec<u8>,
    /// Number of lines dropped since the last notice of dropped lines in the output.
    dropped_lines: u64,
}

impl<W: Write + AsFd> RateLimitedWriter<W> {
    /// Creates a writer to `output`, with the whole burst capacity available.
    pub fn new(output: W, rate_limit: LogRateLimit) -> Self {
        let bucket_level_lines = rate_limit.lines_per_s * rate_limit.burst.as_secs_f64();
        let (updated_at, line) = (Instant::now(), Vec::new());
        Self { output, rate_limit, bucket_level_lines, updated_at, line, dropped_lines: 0 }
    }

    /// Returns the number of lines dropped since the last notice of dropped lines in the output.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines
    }

    /// Writes or drops the current line.
    fn end_line(&mut self, now: Instant) {
        let burst_lines = self.rate_limit.lines_per_s * self.rate_limit.burst.as_secs_f64();
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.bucket_level_lines =
            (self.bucket_level_lines + elapsed_s * self.rate_limit.lines_per_s).min(burst_lines);
        self.updated_at = now;
        let line = std::mem::take(&mut self.line);
        let reserved_lines = if is_warning_or_error(&line) { 0.0 } else { burst_lines / 4.0 };
        if self.bucket_level_lines < reserved_lines + 1.0 || !self.is_writable() {
            self.dropped_lines += 1;
            return;
        }
        self.bucket_level_lines -= 1.0;
        if self.dropped_lines > 0 {
            let notice = format!("[WARN] log: lines left out count={}\n", self.dropped_lines);
            if self.output.write_all(notice.as_bytes()).is_ok() {
                self.dropped_lines = 0;
            }
            if !self.is_writable() {
                self.dropped_lines += 1;
                return;
            }
        }
        if self.output.write_all(&line).and_then(|()| self.output.flush()).is_err() {
            // There is no other output to report the error to.
            self.dropped_lines += 1;
        }
    }

    /// Returns whether a line can be written without blocking.
    fn is_writable(&self) -> bool {
        let mut fds = [PollFd::new(self.output.as_fd(), PollFlags::POLLOUT)];
        matches!(poll(&mut fds, PollTimeout::ZERO), Ok(1))
            && fds[0].revents().is_some_and(|events| events.contains(PollFlags::POLLOUT))
    }
}

fn is_warning_or_error(line: &[u8]) -> bool {
    let contains = |level: &[u8]| line.windows(level.len()).any(|window| window == level);
    contains(b"[WARN]") || contains(b"[ERROR]")
}

impl<W: Write + AsFd> Write for RateLimitedWriter<W> {
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
