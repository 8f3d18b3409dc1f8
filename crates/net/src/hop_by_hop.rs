//! Removal of headers that apply to a single connection.

use http::{HeaderMap, HeaderName, header};

/// Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the hop-by-hop headers and those that the `Connection` header lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed_names: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed_names.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
