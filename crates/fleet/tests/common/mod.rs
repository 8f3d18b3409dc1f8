//! Minimal protocol and object writes for the tests of this crate.

use bytes::Bytes;
use deck_core::id::{RequestId, TargetId, WeightVersion};
use deck_fleet::{
    BatchCall, BatchJob, CallHead, CallerLimits, Configuration, Dispatch, Order, OrderReply,
    Protocol, ReplyHead, ResultPage, Target, TargetReport, TargetState, config::ModelName,
};
use deck_plat::Precondition;
use deck_testkit::memory::MemoryObjects;
use http::{HeaderMap, Method, Request, StatusCode};
use serde_json::{Value, json};

/// Creates or replaces an object that contains only the given version.
pub async fn write(objects: &MemoryObjects, kind: &str, name: &str, version: u64) {
    let store = objects.store();
    let condition = match store.get(kind, name).await.expect("read") {
        Some(object) => Precondition::Revision(object.revision),
        None => Precondition::Absent,
    };
    let value = json!({ "version": version });
    store.put(kind, name, condition, &value).await.expect("write");
}

/// Protocol for objects written by [`write`]: decodes configurations and targets from a version.
#[derive(Debug, Default)]
pub struct VersionOnlyProtocol;

impl Protocol for VersionOnlyProtocol {
    fn configuration(&self, value: &Value) -> Result<Configuration, String> {
        let version = value["version"].as_u64().ok_or("version is missing")?;
        Ok(Configuration::new(version, Vec::new(), Vec::new(), CallerLimits::default()))
    }

    fn target(&self, id: &str, value: &Value) -> Result<Target, String> {
        let version = value["version"].as_u64().ok_or("version is missing")?;
        Ok(Target {
            id: id.to_owned(),
            service: "s".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "a".to_owned(),
            state: TargetState::Ready,
            slots: 4,
            models: vec![("m".to_owned(), version), ("n".to_owned(), 1)],
            started_at_ms: 7,
        })
    }

    fn named_version(&self, _value: &Value) -> Result<(ModelName, WeightVersion), String> {
        Err("not used".to_owned())
    }

    fn retirement_completed(&self) -> Value {
        Value::Null
    }

    fn call_head(&self, _headers: &HeaderMap) -> CallHead {
        CallHead::default()
    }

    fn batch_call(&self, _method: &Method, _path: &str, _query: Option<&str>) -> Option<BatchCall> {
        None
    }

    fn batch_job(
        &self,
        _id: RequestId,
        _host: &str,
        _path: &str,
        _body: &[u8],
    ) -> Result<BatchJob, String> {
        Err("not used".to_owned())
    }

    fn batch_model(&self, _body: &[u8]) -> Option<ModelName> {
        None
    }

    fn result_page(&self, _page: ResultPage<'_>) -> Bytes {
        Bytes::new()
    }

    fn item_body(&self, _encoded: &str) -> Result<Bytes, String> {
        Ok(Bytes::new())
    }

    fn item_headers(&self, _host: &str, _headers: &[(String, String)]) -> HeaderMap {
        HeaderMap::new()
    }

    fn dispatch(&self, _headers: &mut HeaderMap, _dispatch: &Dispatch<'_>) {}

    fn reply_head(&self, _status: StatusCode, _headers: &HeaderMap) -> ReplyHead {
        ReplyHead::default()
    }

    fn version_field(&self) -> &'static str {
        "version"
    }

    fn order(&self, _target: &TargetId, _order: &Order) -> Request<Bytes> {
        Request::new(Bytes::new())
    }

    fn order_reply(&self, _status: StatusCode) -> OrderReply {
        OrderReply::Accepted
    }

    fn report_request(&self, _target: &TargetId) -> Request<Bytes> {
        Request::new(Bytes::new())
    }

    fn report(&self, _body: &[u8]) -> Result<TargetReport, String> {
        Err("not used".to_owned())
    }

    fn is_ready_request(&self, _method: &Method, _path: &str) -> bool {
        false
    }
}
