//! Property tests of the backoff and of the frame encoding.

use {
    crate::{
        pool::backoff,
        wire::{ReplyFrame, append_reply_frame, decode_reply_frame},
    },
    bytes::{Bytes, BytesMut},
    gullglade_units::SeededRandom,
    quickcheck::quickcheck,
    std::time::Duration,
};

const INITIAL: Duration = Duration::from_millis(50);
const MAX: Duration = Duration::from_secs(2);

quickcheck! {
    fn backoff_jitter_stays_between_half_and_the_full_delay(failures: u32, seed: u64) -> bool {
        let full = INITIAL.saturating_mul(2_u32.saturating_pow(failures)).min(MAX);
        let wait = backoff(INITIAL, MAX, failures, &SeededRandom::new(seed));
        full / 2 <= wait && wait <= full
    }

    fn any_message_round_trips_through_a_frame(message: Vec<u8>) -> bool {
        let frame = ReplyFrame::Message(Bytes::from(message));
        let mut bytes = BytesMut::new();
        append_reply_frame(&frame, &mut bytes);
        let body = bytes.split_off(size_of::<u32>());
        let length = u32::from_be_bytes(bytes[..].try_into().unwrap());
        length as usize == body.len() && decode_reply_frame(body.freeze()).unwrap() == frame
    }

    fn decoding_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) -> bool {
        match decode_reply_frame(Bytes::from(bytes.clone())) {
            Ok(ReplyFrame::Message(message)) => message == bytes[1..],
            Ok(_) | Err(_) => true,
        }
    }
}
