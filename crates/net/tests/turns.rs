//! Turns of tasks on the event loop while clients keep connections busy.

use std::{
    cell::{Cell, RefCell},
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    sync::mpsc,
    thread,
    time::Duration,
};

use deck_core::CancellationToken;
use deck_net::{
    ServerOptions, bind,
    http::Request,
    runtime,
    server::{read_body, text_response},
    turns::{FairTask, yield_turn},
};

/// Number of clients that send bodies in chunks of one byte.
const CROWD_CLIENTS: usize = 30;
/// Number of chunks of each body.
const CHUNKS: usize = 60_000;

/// Starts a server that receives whole bodies; returns its address. It ends with the process.
fn start_server() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        runtime::run(async {
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
            sender.send(listener.local_addr().expect("address")).expect("receiver");
            let handler =
                async |request: Request<_>| match read_body(request.into_body(), 1 << 20).await {
                    Ok(_) => text_response(200, "whole"),
                    Err(error) => text_response(503, &error.to_string()),
                };
            let options = ServerOptions::default();
            deck_net::serve(listener, options, CancellationToken::new(), handler).await;
        })
        .expect("runtime");
    });
    receiver.recv().expect("address")
}

/// Guards against a server that handles nothing else until it has received all that a crowd has sent in
/// tiny chunks: the answer to an ordinary request that comes later is ahead of those to the crowd.
#[test]
fn bodies_in_tiny_chunks_do_not_hold_up_other_clients() {
    let address = start_server();
    let head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    let body = "1\r\nx\r\n".repeat(CHUNKS) + "0\r\n\r\n";
    let (sent, is_sent) = mpsc::channel();
    let (answered, answers) = mpsc::channel();
    for _ in 0..CROWD_CLIENTS {
        let request = format!("{head}{body}").into_bytes();
        let (sent, answered) = (sent.clone(), answered.clone());
        thread::spawn(move || {
            let mut stream = TcpStream::connect(address).expect("connection");
            // Two thirds are enough to keep the server busy; the rest may wait in the client.
            stream.write_all(&request[..request.len() * 2 / 3]).expect("sent");
            sent.send(()).expect("test");
            stream.write_all(&request[request.len() * 2 / 3..]).expect("sent");
            let read = stream.read(&mut [0; 64]);
            let _ = answered.send(read.is_ok_and(|count| count > 0));
        });
    }
    // At least one client has sent much, so that the server is busy now.
    is_sent.recv().expect("a client has sent");
    let mut stream = TcpStream::connect(address).expect("connection");
    let request = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx";
    stream.write_all(request).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let earlier_answers = answers.try_iter().count();
    assert!(earlier_answers < CROWD_CLIENTS / 2, "{earlier_answers} answers to the crowd before");
    drop(answered);
    assert_eq!(
        answers.iter().filter(|is_answered| *is_answered).count() + earlier_answers,
        CROWD_CLIENTS
    );
}

/// Guards against a task that runs again and again before others because it wakes itself.
#[test]
fn tasks_that_wake_themselves_take_turns() {
    runtime::run(async {
        let order = Rc::new(RefCell::new(String::new()));
        let tasks = ['a', 'b'].map(|name| {
            let order = order.clone();
            monoio::spawn(FairTask::new(async move {
                for _ in 0..4 {
                    order.borrow_mut().push(name);
                    wake_itself().await;
                }
            }))
        });
        for task in tasks {
            task.await;
        }
        assert_eq!(*order.borrow(), "abababab");
    })
    .expect("runtime");
}

/// Guards against timers that do not fire while tasks are always ready to run.
#[test]
fn timers_fire_while_tasks_are_busy() {
    runtime::run(async {
        let is_over = Rc::new(Cell::new(false));
        for _ in 0..3 {
            let is_over = is_over.clone();
            monoio::spawn(FairTask::new(async move {
                while !is_over.get() {
                    wake_itself().await;
                }
            }));
        }
        let busy = is_over.clone();
        let yielding = monoio::spawn(async move {
            while !busy.get() {
                yield_turn().await;
            }
        });
        monoio::time::sleep(Duration::from_millis(50)).await;
        is_over.set(true);
        yielding.await;
    })
    .expect("runtime");
}

/// Wakes its task while the task runs, as `hyper` does between requests that are sent ahead.
async fn wake_itself() {
    let mut is_woken = false;
    std::future::poll_fn(|cx| {
        if std::mem::replace(&mut is_woken, true) {
            return std::task::Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        std::task::Poll::Pending
    })
    .await;
}
