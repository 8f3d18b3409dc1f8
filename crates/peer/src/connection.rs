//! WebSocket connections between VMs: opening, accepting, and the exchange of hello messages.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use monoio::{io::IntoPollIo, net::TcpStream};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{self, protocol::WebSocketConfig},
};

use crate::{
    peer::SharedState,
    wire::{ConnectionPurpose, Hello, MemberRecord, Message, PROTOCOL_VERSION},
};

/// Size of the read and write buffers of a connection. A VM has dozens of connections and small
/// messages; the library's default of 128 KiB would use megabytes.
const BUFFER_BYTES: usize = 4 * 1024;

/// TCP stream that implements tokio's `AsyncRead` and `AsyncWrite`, which the WebSocket library
/// requires.
type PollStream = <TcpStream as IntoPollIo>::PollIo;
type WebSocket = WebSocketStream<PollStream>;

/// An open connection on which the hello messages have been exchanged.
pub(crate) struct Connection {
    /// Member record that the other VM sent in its hello.
    pub(crate) remote: MemberRecord,
    pub(crate) purpose: ConnectionPurpose,
    pub(crate) sender: MessageSender,
    pub(crate) receiver: MessageReceiver,
}

/// Sending half of a connection.
pub(crate) struct MessageSender(SplitSink<WebSocket, tungstenite::Message>);

/// Receiving half of a connection.
pub(crate) struct MessageReceiver(SplitStream<WebSocket>);

impl MessageSender {
    /// Sends an encoded message as one binary frame.
    pub(crate) async fn send(&mut self, bytes: Bytes) -> Result<(), String> {
        self.0.send(tungstenite::Message::Binary(bytes)).await.map_err(|error| error.to_string())
    }
}

impl MessageReceiver {
    /// Returns the next message; `None` after the other side closed the connection.
    pub(crate) async fn next(&mut self, shared: &SharedState) -> Result<Option<Message>, String> {
        while let Some(frame) = self.0.next().await {
            match frame.map_err(|error| error.to_string())? {
                tungstenite::Message::Binary(bytes) => {
                    let message = Message::decode(&bytes)?;
                    shared.traffic.count_received(&message, bytes.len());
                    return Ok(Some(message));
                }
                tungstenite::Message::Close(_) => return Ok(None),
                tungstenite::Message::Text(_) => return Err("text message".to_owned()),
                _ => {}
            }
        }
        Ok(None)
    }
}

/// Opens a connection to the VM at `address` and performs the handshakes, within the connect
/// timeout.
pub(crate) async fn dial(
    shared: &Rc<SharedState>,
    address: SocketAddr,
    purpose: ConnectionPurpose,
) -> Result<Connection, String> {
    let open_and_handshake = async {
        let stream = TcpStream::connect_addr(address).await.map_err(|error| error.to_string())?;
        let stream = into_poll_stream(stream)?;
        let (stream, _) =
            client_async_with_config(upgrade_url(shared), stream, websocket_config(shared))
                .await
                .map_err(|error| error.to_string())?;
        let (mut sender, mut receiver) = split_websocket(stream);
        send_hello(shared, &mut sender, purpose).await?;
        let hello = receive_hello(shared, &mut receiver).await?;
        Ok(Connection { remote: hello.member, purpose, sender, receiver })
    };
    match monoio::time::timeout(shared.options.connect_timeout, open_and_handshake).await {
        Ok(result) => result,
        Err(_) => Err("connect timeout".to_owned()),
    }
}

/// Performs the handshakes on a connection that another VM opened, within the connect timeout.
pub(crate) async fn accept(
    shared: &Rc<SharedState>,
    stream: TcpStream,
) -> Result<Connection, String> {
    let accept_and_handshake = async {
        let stream = accept_async_with_config(into_poll_stream(stream)?, websocket_config(shared))
            .await
            .map_err(|error| error.to_string())?;
        let (mut sender, mut receiver) = split_websocket(stream);
        let hello = receive_hello(shared, &mut receiver).await?;
        send_hello(shared, &mut sender, hello.purpose).await?;
        Ok(Connection { remote: hello.member, purpose: hello.purpose, sender, receiver })
    };
    match monoio::time::timeout(shared.options.connect_timeout, accept_and_handshake).await {
        Ok(result) => result,
        Err(_) => Err("handshake timeout".to_owned()),
    }
}

/// Returns the URL of the upgrade request. Its path names the VM that opens the connection, for
/// packet captures and for test programs that block traffic between given VMs.
fn upgrade_url(shared: &SharedState) -> String {
    let is_url_safe = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
    let vm: String = shared.options.vm.chars().filter(|c| is_url_safe(*c)).collect();
    format!("ws://peer/{vm}")
}

/// Disables Nagle's algorithm, which would delay small messages, and converts the stream for the
/// WebSocket library.
fn into_poll_stream(stream: TcpStream) -> Result<PollStream, String> {
    let _ = stream.set_nodelay(true);
    stream.into_poll_io().map_err(|error| error.to_string())
}

/// Returns the WebSocket settings: small buffers and the message size limit.
fn websocket_config(shared: &SharedState) -> Option<WebSocketConfig> {
    let limit_bytes = Some(shared.options.max_message_bytes);
    let config = WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(limit_bytes)
        .max_frame_size(limit_bytes);
    Some(config)
}

/// Splits a WebSocket into its sending and receiving halves.
fn split_websocket(stream: WebSocket) -> (MessageSender, MessageReceiver) {
    let (sink, stream) = stream.split();
    (MessageSender(sink), MessageReceiver(stream))
}

/// Sends the hello of this VM.
async fn send_hello(
    shared: &SharedState,
    sender: &mut MessageSender,
    purpose: ConnectionPurpose,
) -> Result<(), String> {
    let member = shared.members.borrow().own_record();
    let hello = Message::Hello(Hello { protocol_version: PROTOCOL_VERSION, purpose, member });
    let bytes = hello.encode()?;
    shared.traffic.count_sent(&hello, bytes.len());
    sender.send(bytes).await
}

/// Receives the first message, which must be a hello with the same protocol version.
async fn receive_hello(
    shared: &SharedState,
    receiver: &mut MessageReceiver,
) -> Result<Hello, String> {
    match receiver.next(shared).await? {
        Some(Message::Hello(hello)) if hello.protocol_version == PROTOCOL_VERSION => Ok(hello),
        Some(Message::Hello(hello)) => {
            let remote_version = hello.protocol_version;
            Err(format!("protocol version {remote_version}; this build has {PROTOCOL_VERSION}"))
        }
        Some(message) => Err(format!("message {} before hello", message.label())),
        None => Err("closed before hello".to_owned()),
    }
}
