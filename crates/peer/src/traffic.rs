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

/// Maximum size of the WebSocket frame header, including the mask, of a message below 64 KiB.
const FRAME_HEADER_BYTES: usize = 8;

/// Number and size of the messages of one type, since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MessageTraffic {
    /// Label of the message type, as in the metrics.
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
    /// Returns whether the messages are control traffic: all except requests and responses between
    /// VMs, which belong to the data path.
    pub fn is_control_traffic(&self) -> bool {
        !matches!(self.message_type, "request" | "response")
    }
}

/// Traffic counters of one process.
pub(crate) struct Traffic {
    /// Counts by message type, in the order of `Message::LABELS`.
    by_type: RefCell<Vec<MessageTraffic>>,
    sent_bytes_counter: Option<Counter<u64>>,
    received_bytes_counter: Option<Counter<u64>>,
    store_calls: Cell<u64>,
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
            store_calls: Cell::new(0),
            store_call_counter: counter(STORE_CALLS),
        }
    }

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
        self.store_calls.set(self.store_calls.get() + 1);
        if let Some(counter) = &self.store_call_counter {
            counter.add(1, &[]);
        }
    }

    pub(crate) fn by_type(&self) -> Vec<MessageTraffic> {
        self.by_type.borrow().clone()
    }

    pub(crate) fn store_calls(&self) -> u64 {
        self.store_calls.get()
    }
}

/// Adds bytes of a message type to a metric counter, if metrics are enabled.
fn add_bytes(counter: &Option<Counter<u64>>, label: &'static str, size_bytes: u64) {
    if let Some(counter) = counter {
        counter.add(size_bytes, &[KeyValue::new("type", label)]);
    }
}
