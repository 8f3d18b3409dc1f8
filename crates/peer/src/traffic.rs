//! Counters of the messages and bytes exchanged with other VMs and of calls on the object API.

use std::cell::{Cell, RefCell};

use deck_obs::{define_metrics, metrics::Metrics, reference::MetricDescription};
use opentelemetry::{KeyValue, metrics::Counter};

use crate::wire::Message;

define_metrics! {
    SENT = "peer_sent_bytes_total", "counter", "bytes", "type",
        "Bytes sent to other VMs, by type of message.";
    RECEIVED = "peer_received_bytes_total", "counter", "bytes", "type",
        "Bytes received from other VMs, by type of message.";
    STORE_CALLS = "peer_store_calls_total", "counter", "calls", "",
        "Calls on the object API for configuration and status.";
}

/// Size that is counted for the WebSocket frame header of each message: the maximum for messages
/// below 64 KiB, mask included.
const FRAME_HEADER_BYTES: usize = 8;

/// Number and size of the messages of one type, since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MessageTraffic {
    /// Message type, as in the label `type` of the metrics.
    pub message_type: &'static str,
    /// Number of messages queued for sending.
    pub sent_count: u64,
    /// Bytes queued for sending, WebSocket frame headers included, TCP and IP headers excluded.
    pub sent_bytes: u64,
    /// Number of messages received.
    pub received_count: u64,
    /// Bytes received, counted as for `sent_bytes`.
    pub received_bytes: u64,
}

impl MessageTraffic {
    /// Returns whether the messages are control traffic, which all are except requests to topic
    /// handlers and their responses.
    pub fn is_control_traffic(&self) -> bool {
        !matches!(self.message_type, "request" | "response")
    }
}

/// Counters of the messages of one process and of its calls on the object API.
pub(crate) struct Traffic {
    /// One element for each message type, in the order of `Message::LABELS`.
    by_type: RefCell<Vec<MessageTraffic>>,
    /// Metrics of the bytes sent and received; `None` if metrics are disabled.
    sent_bytes_counter: Option<Counter<u64>>,
    received_bytes_counter: Option<Counter<u64>>,
    store_call_count: Cell<u64>,
    /// Metric of `store_call_count`.
    store_call_counter: Option<Counter<u64>>,
}

impl Traffic {
    pub(crate) fn new(metrics: Option<&Metrics>) -> Self {
        let by_type = Message::LABELS
            .iter()
            .map(|&message_type| MessageTraffic { message_type, ..MessageTraffic::default() })
            .collect();
        let meter = metrics.map(|metrics| metrics.meter("peer"));
        let counter = |metric: MetricDescription| meter.as_ref().map(|meter| metric.counter(meter));
        Self {
            by_type: RefCell::new(by_type),
            sent_bytes_counter: counter(SENT),
            received_bytes_counter: counter(RECEIVED),
            store_call_count: Cell::new(0),
            store_call_counter: counter(STORE_CALLS),
        }
    }

    /// Counts a message of `size_bytes` that has been queued for sending.
    pub(crate) fn count_sent(&self, message: &Message, size_bytes: usize) {
        let size_bytes = (size_bytes + FRAME_HEADER_BYTES) as u64;
        if let Some(entry) = self.by_type.borrow_mut().get_mut(message.type_index()) {
            entry.sent_count += 1;
            entry.sent_bytes += size_bytes;
        }
        add_bytes(&self.sent_bytes_counter, message.label(), size_bytes);
    }

    pub(crate) fn count_received(&self, message: &Message, size_bytes: usize) {
        let size_bytes = (size_bytes + FRAME_HEADER_BYTES) as u64;
        if let Some(entry) = self.by_type.borrow_mut().get_mut(message.type_index()) {
            entry.received_count += 1;
            entry.received_bytes += size_bytes;
        }
        add_bytes(&self.received_bytes_counter, message.label(), size_bytes);
    }

    pub(crate) fn count_store_call(&self) {
        self.store_call_count.set(self.store_call_count.get() + 1);
        if let Some(counter) = &self.store_call_counter {
            counter.add(1, &[]);
        }
    }

    pub(crate) fn by_type(&self) -> Vec<MessageTraffic> {
        self.by_type.borrow().clone()
    }

    pub(crate) fn store_call_count(&self) -> u64 {
        self.store_call_count.get()
    }
}

/// Adds bytes of a message type to a metric counter, if metrics are enabled.
fn add_bytes(counter: &Option<Counter<u64>>, label: &'static str, size_bytes: u64) {
    if let Some(counter) = counter {
        counter.add(size_bytes, &[KeyValue::new("type", label)]);
    }
}
