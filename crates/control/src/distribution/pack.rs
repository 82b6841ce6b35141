//! Encoding of replies, with compression where it pays.
//!
//! A changed document is sent to every gateway of a region through its relay, so the saved bytes
//! count many times. Long replies (a first configuration) are not compressed: that would block the
//! streams of the sending gateway for 12 ms per 256 KiB.

use {
    bytes::Bytes,
    gullglade_peer::PeerFault,
    gullglade_units::{decode, encode},
    miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit},
    serde::{Serialize, de::DeserializeOwned},
};

/// Shorter replies are not compressed, since they would not shrink.
const MIN_DEFLATE_BYTES: usize = 256;

/// Longer replies are not compressed, since that takes too long: about 1 ms for 32 KiB.
const MAX_DEFLATE_BYTES: usize = 32 << 10;

/// The compression level of Deflate, out of 10.
const DEFLATE_LEVEL: u8 = 6;

/// The first byte of a reply: the encoding of the remaining bytes.
const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;

/// Encodes a reply.
pub(super) fn pack<T: Serialize>(answer: &T) -> Bytes {
    let plain = encode(answer);
    if !(MIN_DEFLATE_BYTES..=MAX_DEFLATE_BYTES).contains(&plain.len()) {
        return with_tag(PLAIN, &plain);
    }
    let deflated = compress_to_vec(&plain, DEFLATE_LEVEL);
    if deflated.len() < plain.len() {
        with_tag(DEFLATED, &deflated)
    } else {
        with_tag(PLAIN, &plain)
    }
}

fn with_tag(tag: u8, bytes: &[u8]) -> Bytes {
    [&[tag], bytes].concat().into()
}

/// Decodes a reply.
pub(super) fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerFault> {
    let malformed = || {
        PeerFault::malformed(
            "the reply has an unknown encoding; run the same version on both processes",
        )
    };
    let (tag, rest) = bytes.split_first().ok_or_else(malformed)?;
    match *tag {
        PLAIN => decode(rest).map_err(PeerFault::malformed),
        DEFLATED => {
            let plain = decompress_to_vec_with_limit(rest, MAX_DEFLATE_BYTES)
                .map_err(PeerFault::malformed)?;
            decode(&plain).map_err(PeerFault::malformed)
        }
        _ => Err(malformed()),
    }
}
