//! Golden tests of the wire format. A change of these bytes is a protocol change and requires a new
//! `PROTOCOL_VERSION`, because processes of both versions run at the same time during an upgrade.

use {
    super::raw::{config, identity},
    crate::{
        FaultKind, PeerFault, SessionRefusal,
        handshake::{Admission, Challenge, Hello, Proof, ProofRole, ProofTranscript, Welcome},
        wire::{
            CallHeader, CallKind, PROTOCOL_VERSION, ReplyFrame, ReplyTrailer, append_reply_frame,
        },
    },
    bytes::{Bytes, BytesMut},
    gullglade_units::{HybridStamp, WallMillis, decode, encode},
    serde::{Serialize, de::DeserializeOwned},
    std::fmt::Debug,
};

const STAMP: HybridStamp = HybridStamp { wall: WallMillis(1_750_000_000_000), counter: 3 };

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn challenge(byte: u8) -> Challenge {
    decode(&[byte; 16]).unwrap()
}

#[track_caller]
fn assert_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, golden: &str) {
    let bytes = encode(&value);
    assert_eq!(hex(&bytes), golden, "{value:?}");
    assert_eq!(decode::<T>(&bytes).unwrap(), value);
}

#[test]
fn handshake_messages_match_golden_bytes() {
    assert_eq!(PROTOCOL_VERSION, 1);
    let cluster = config("a").cluster;
    let challenge = challenge(0xc1);
    let identity = identity("vm-a");
    let hello = Hello { protocol: 1, cluster, identity: identity.clone(), challenge };
    assert_golden(hello, HELLO);
    let proof: Proof = decode(&[0xaa; 32]).unwrap();
    assert_golden(Ok::<_, SessionRefusal>(Welcome { identity, challenge, proof }), WELCOME);
    assert_golden(Err::<Welcome, _>(SessionRefusal::Protocol { ours: 2, theirs: 1 }), REFUSED);
    assert_golden(Ok::<_, SessionRefusal>(Admission { stamp: STAMP }), ADMISSION);
}

#[test]
fn proof_matches_golden_bytes() {
    let config = config("a");
    let transcript = ProofTranscript {
        role: ProofRole::Dialer,
        cluster: &config.cluster,
        dialer: &identity("vm-a"),
        server: &identity("vm-b"),
        challenges: [challenge(1), challenge(2)],
    };
    assert_eq!(hex(&encode(&transcript.prove(&config.secret))), PROOF);
}

#[test]
fn call_headers_and_reply_trailers_match_golden_bytes() {
    assert_golden(CallHeader { stamp: STAMP, kind: CallKind::Single }, SINGLE_HEADER);
    assert_golden(CallHeader { stamp: STAMP, kind: CallKind::Stream }, STREAM_HEADER);
    assert_golden(ReplyTrailer { stamp: STAMP, outcome: Ok(()) }, COMPLETE_TRAILER);
    let kinds = [
        FaultKind::UnknownMethod,
        FaultKind::Malformed,
        FaultKind::Refused,
        FaultKind::Unavailable,
        FaultKind::Cancelled,
        FaultKind::Internal,
    ];
    for (index, kind) in kinds.into_iter().enumerate() {
        let outcome = Err(PeerFault::new(kind, "why"));
        let golden = format!("{ENCODED_STAMP}01{index:02x}03776879");
        assert_golden(ReplyTrailer { stamp: STAMP, outcome }, &golden);
    }
}

#[test]
fn reply_frames_match_golden_bytes() {
    let frames = [
        ReplyFrame::Header(STAMP),
        ReplyFrame::Message(Bytes::from_static(b"one")),
        ReplyFrame::Message(Bytes::new()),
        ReplyFrame::Trailer(ReplyTrailer { stamp: STAMP, outcome: Ok(()) }),
    ];
    let mut bytes = BytesMut::new();
    frames.iter().for_each(|frame| append_reply_frame(frame, &mut bytes));
    assert_eq!(hex(&bytes), REPLY);
}

const HELLO: &str = "010762616c6c61737404766d2d610570756765740770756765742d6107c1c1c1c1c1c1c1c1c1c1\
    c1c1c1c1c1c1";
const WELCOME: &str = "0004766d2d610570756765740770756765742d6107c1c1c1c1c1c1c1c1c1c1c1c1c1c1c1c1aaaa\
    aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
const REFUSED: &str = "01000201";
const ADMISSION: &str = "00fd00dc20749701000003";
const PROOF: &str = "4dbd5c7b483ff4004f718d957d88cccccc327b62298917265e9e8f680faa87e7";
const SINGLE_HEADER: &str = "fd00dc2074970100000300";
const STREAM_HEADER: &str = "fd00dc2074970100000301";
const COMPLETE_TRAILER: &str = "fd00dc2074970100000300";
const ENCODED_STAMP: &str = "fd00dc20749701000003";
const REPLY: &str = "0000000b00fd00dc2074970100000300000004016f6e6500000001010000000c02fd00dc207497\
    0100000300";
