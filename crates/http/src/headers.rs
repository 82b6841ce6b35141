//! Headers that belong to one connection and are never passed on (RFC 9110, section 7.6.1).

use http::{
    HeaderMap, HeaderName,
    header::{
        CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING,
        UPGRADE,
    },
};

pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop headers and those that `connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).into_iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|option| HeaderName::try_from(option.trim()).ok())
        .collect()
}
