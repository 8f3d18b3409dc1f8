//! Rate-limited log output under load and with readers that do not read.

use std::{
    io::{Read, Write},
    os::unix::net::UnixStream,
    time::{Duration, Instant},
};

use deck_obs::rate_limited::{LogRateLimit, RateLimitedWriter};

/// Returns a rate limit that the tests do not reach.
fn high_limit() -> LogRateLimit {
    LogRateLimit { lines_per_s: 1e9, burst: Duration::from_secs(1) }
}

/// Returns the text that can be read without blocking.
fn read_available(stream: &mut UnixStream) -> String {
    stream.set_nonblocking(true).expect("nonblocking");
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8(text).expect("text")
}

/// Guards against a program that blocks because nothing reads its log.
#[test]
fn full_output_does_not_block() {
    let (output, mut log_reader) = UnixStream::pair().expect("pair");
    let mut writer = RateLimitedWriter::new(output, high_limit());
    let started = Instant::now();
    let line = format!("[INFO] {}\n", "x".repeat(500));
    for _ in 0..20_000 {
        writer.write_all(line.as_bytes()).expect("write");
    }
    assert!(started.elapsed() < Duration::from_secs(20));
    assert!(writer.dropped_lines() > 0);
    read_available(&mut log_reader);
    writer.write_all(b"[INFO] after\n").expect("write");
    let text = read_available(&mut log_reader);
    assert!(text.contains("lines left out") && text.ends_with("[INFO] after\n"), "{text}");
}

/// Guards against a program that fails because the reader of its log has closed the pipe.
#[test]
fn closed_output_is_no_error() {
    let (output, log_reader) = UnixStream::pair().expect("pair");
    drop(log_reader);
    let mut writer = RateLimitedWriter::new(output, high_limit());
    for _ in 0..10 {
        writer.write_all(b"[INFO] x\n").expect("write");
    }
    assert!(writer.dropped_lines() > 0);
}

/// Guards against a log that grows with the load, and against warnings that are dropped because
/// other lines have used up the rate limit.
#[test]
fn rate_limit_reserves_lines_for_warnings() {
    let (output, mut log_reader) = UnixStream::pair().expect("pair");
    let rate_limit = LogRateLimit { lines_per_s: 0.001, burst: Duration::from_secs(40_000) };
    let mut writer = RateLimitedWriter::new(output, rate_limit);
    for _ in 0..100 {
        writer.write_all(b"[INFO] ordinary\n").expect("write");
    }
    writer.write_all(b"[WARN] failure\n").expect("write");
    let text = read_available(&mut log_reader);
    assert_eq!(text.matches("ordinary").count(), 30);
    assert!(text.contains("lines left out count=70"), "{text}");
    assert!(text.contains("[WARN] failure"), "{text}");
}

/// Guards against lines that are written in parts because the logger writes them in parts.
#[test]
fn lines_are_written_whole() {
    let (output, mut log_reader) = UnixStream::pair().expect("pair");
    let mut writer = RateLimitedWriter::new(output, high_limit());
    for fragment in ["[INFO]", " a=", "1", "\n"] {
        writer.write_all(fragment.as_bytes()).expect("write");
        if fragment != "\n" {
            assert_eq!(read_available(&mut log_reader), "");
        }
    }
    assert_eq!(read_available(&mut log_reader), "[INFO] a=1\n");
}
