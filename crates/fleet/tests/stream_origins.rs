//! Bounds of the records of stream origins.

use std::time::{Duration, Instant};

use deck_fleet::{
    OriginRecord, StreamOrigin, StreamOriginStore, stream_origins::MAX_RECORDED_ID_BYTES,
};
use deck_net::cbor;

fn record(id: &str, version: &str, lifetime: Duration) -> OriginRecord {
    let software_version = Some(version.to_owned());
    let origin = StreamOrigin { service: "streams".to_owned(), software_version };
    OriginRecord { request_id: id.to_owned(), origin, lifetime }
}

/// Guards against records that are lost before their stream can have ended, or kept after it.
#[test]
fn record_is_kept_for_its_lifetime() {
    let (store, now) = (StreamOriginStore::default(), Instant::now());
    let after = |seconds| now + Duration::from_secs(seconds);
    store.insert(record("a", "v1", Duration::from_secs(10)), now);
    store.insert(record("a", "v1", Duration::from_secs(20)), after(5));
    assert_eq!(store.find("a", after(24)), Some(record("a", "v1", Duration::ZERO).origin));
    assert_eq!(store.find("a", after(25)), None);
    store.insert(record("b", "v1", Duration::from_secs(10)), after(25));
    assert_eq!(store.len(), 1, "the expired record is removed");
}

/// Guards against memory that grows with the number or the lifetime of streams or with the length
/// of their ids. The records that are still needed longest stay.
#[test]
fn records_are_bounded() {
    let (store, now) = (StreamOriginStore::default(), Instant::now());
    for index in 0..25_000 {
        let lifetime = Duration::from_secs(60) + Duration::from_millis(index);
        store.insert(record(&format!("id-{index}"), "v1", lifetime), now);
    }
    assert_eq!(store.len(), 20_000);
    assert!(store.find("id-4999", now).is_none() && store.find("id-5000", now).is_some());
    let store = StreamOriginStore::default();
    store.insert(record(&"x".repeat(MAX_RECORDED_ID_BYTES + 1), "v1", Duration::MAX), now);
    assert!(store.is_empty());
    store.insert(record("forever", "v1", Duration::from_secs(u64::MAX / 2)), now);
    assert_eq!(store.find("forever", now + Duration::from_secs(3600)), None);
}

/// Guards against records that cost more to send than needed: one with ids of the usual length
/// takes at most 50 bytes.
#[test]
fn encoded_record_is_short() {
    let record = record("9c41d07be2a35f68", "2026.12.1", Duration::from_secs(40));
    let encoded = cbor::encode(&[&record]).expect("encode");
    assert!(encoded.len() <= 50, "{} bytes", encoded.len());
    let decoded: Vec<OriginRecord> = cbor::decode(&encoded).expect("decode");
    assert_eq!(decoded, [record]);
}
