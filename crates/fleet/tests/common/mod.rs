//! Minimal protocol and object writes for the tests of this crate.

use bytes::Bytes;
use deck_core::id::{RequestId, TargetId, WeightVersion};
use deck_fleet::{
    BatchCall, BatchJob, CallerLimits, Configuration, DispatchMetadata, Organisations,
    PlatformProtocol, RequestMetadata, ResponseMetadata, ResultPage, ScalingOrder, ScalingReply,
    Target, TargetReport, TargetState, UsageReply, UsageReport, WeightLoadOrder, WeightLoadReply,
    config::ModelName,
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

/// Creates a configuration that has organisations, without keys.
pub async fn write_configuration_with_organisations(objects: &MemoryObjects, version: u64) {
    let value = json!({ "version": version, "organisations": [] });
    let store = objects.store();
    store.put("config", "main", Precondition::Absent, &value).await.expect("write");
}

/// Protocol for objects written by [`write`]: decodes configurations and targets from a version.
#[derive(Debug, Default)]
pub struct VersionOnlyProtocol;

impl PlatformProtocol for VersionOnlyProtocol {
    fn decode_configuration(&self, value: &Value) -> Result<Configuration, String> {
        let version = value["version"].as_u64().ok_or("version is missing")?;
        let organisations = value["organisations"].is_array().then(Organisations::default);
        let limits = CallerLimits::default();
        let configuration = Configuration::new(version, Vec::new(), Vec::new(), limits);
        Ok(configuration.with_organisations(organisations))
    }

    fn decode_target(&self, id: &str, value: &Value) -> Result<Target, String> {
        let version = value["version"].as_u64().ok_or("version is missing")?;
        Ok(Target {
            id: id.to_owned(),
            service: "s".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "a".to_owned(),
            state: TargetState::Ready,
            software_version: Some("v1".to_owned()),
            slots: 4,
            models: vec![("m".to_owned(), version), ("n".to_owned(), 1)],
            started_at_ms: 7,
            lifetime: Default::default(),
        })
    }

    fn decode_published_version(
        &self,
        _value: &Value,
    ) -> Result<(ModelName, WeightVersion), String> {
        Err("not used".to_owned())
    }

    fn is_retirement_request(&self, _value: &Value) -> bool {
        false
    }

    fn encode_completed_retirement(&self) -> Value {
        Value::Null
    }

    fn decode_request_metadata(&self, _headers: &HeaderMap) -> RequestMetadata {
        RequestMetadata::default()
    }

    fn remove_credentials(&self, _headers: &mut HeaderMap) {}

    fn parse_batch_call(
        &self,
        _method: &Method,
        _path: &str,
        _query: Option<&str>,
    ) -> Option<BatchCall> {
        None
    }

    fn decode_batch_job(
        &self,
        _id: RequestId,
        _host: &str,
        _path: &str,
        _body: &[u8],
    ) -> Result<BatchJob, String> {
        Err("not used".to_owned())
    }

    fn decode_batch_model(&self, _body: &[u8]) -> Option<ModelName> {
        None
    }

    fn encode_result_page(&self, _page: ResultPage<'_>) -> Bytes {
        Bytes::new()
    }

    fn decode_item_body(&self, _encoded: &str) -> Result<Bytes, String> {
        Ok(Bytes::new())
    }

    fn build_item_headers(&self, _host: &str, _headers: &[(String, String)]) -> HeaderMap {
        HeaderMap::new()
    }

    fn set_dispatch_headers(&self, _headers: &mut HeaderMap, _dispatch: &DispatchMetadata<'_>) {}

    fn decode_response_metadata(
        &self,
        _status: StatusCode,
        _headers: &HeaderMap,
    ) -> ResponseMetadata {
        ResponseMetadata::default()
    }

    fn stream_version_field(&self) -> &'static str {
        "version"
    }

    fn weight_load_request(&self, _target: &TargetId, _order: &WeightLoadOrder) -> Request<Bytes> {
        Request::new(Bytes::new())
    }

    fn decode_weight_load_reply(&self, _status: StatusCode) -> WeightLoadReply {
        WeightLoadReply::Accepted
    }

    fn usage_report_request(&self, _report: &UsageReport<'_>) -> Request<Bytes> {
        Request::new(Bytes::new())
    }

    fn decode_usage_reply(&self, _status: StatusCode) -> UsageReply {
        UsageReply::Accepted
    }

    fn target_report_request(&self, _target: &TargetId) -> Request<Bytes> {
        Request::new(Bytes::new())
    }

    fn decode_target_report(&self, _body: &[u8]) -> Result<TargetReport, String> {
        Err("not used".to_owned())
    }

    fn scaling_request(&self, _order: &ScalingOrder) -> Request<Bytes> {
        Request::new(Bytes::new())
    }

    fn decode_scaling_reply(&self, status: StatusCode) -> ScalingReply {
        ScalingReply::Unknown(status.as_u16())
    }

    fn is_readiness_request(&self, _method: &Method, _path: &str) -> bool {
        false
    }
}
