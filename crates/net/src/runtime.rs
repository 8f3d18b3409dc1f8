//! Async runtime and signal handling of a process.

use std::{
    future::Future,
    sync::{Arc, atomic::AtomicBool},
};

use deck_core::CancellationToken;
use monoio::{LegacyDriver, RuntimeBuilder, io::AsyncReadRent, net::UnixStream};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::turns::run_with_turns;

/// Runs `main` to completion on a new runtime in the current thread.
///
/// All runtimes of the daemons are built here, so that none of them uses io_uring, the default
/// driver of `monoio`, which is forbidden. The driver is epoll.
///
/// # Errors
///
/// Returns an error if the runtime cannot be built.
pub fn run<F: Future>(main: F) -> std::io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(run_with_turns(main)))
}

/// Installs a handler for SIGHUP and returns the flag that it sets; the caller clears the flag.
/// Without a handler, SIGHUP terminates the process.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be registered.
pub fn sighup_flag() -> std::io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGHUP, flag.clone())?;
    Ok(flag)
}

/// Returns a token that is cancelled by the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be registered.
pub fn stop_token() -> std::io::Result<CancellationToken> {
    let stop_token = CancellationToken::new();
    let (receiver, sender) = std::os::unix::net::UnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGTERM, sender.try_clone()?)?;
    signal_hook::low_level::pipe::register(SIGINT, sender)?;
    receiver.set_nonblocking(true)?;
    let mut receiver = UnixStream::from_std(receiver)?;
    let task_token = stop_token.clone();
    monoio::spawn(async move {
        let (result, _) = receiver.read(vec![0_u8; 1]).await;
        if result.is_ok() {
            task_token.cancel();
        }
    });
    Ok(stop_token)
}
