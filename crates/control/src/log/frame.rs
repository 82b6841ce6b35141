//! Framing: each append to a file is a checksummed frame.
//!
//! One batch of records forms one frame, and a frame is written only after the preceding one has
//! been synced. A frame that is followed by a valid frame has therefore been synced: if it is
//! damaged, the disk has lost accepted state. A damaged frame at the end of the file may be the
//! remains of an append that a crash interrupted. Every frame ends with non-zero bytes, so zeros in
//! their place show that the file system never wrote the end of the frame, and that the frame was
//! never synced.

/// The header: length, checksum of the length and checksum of the payload, as three little-endian
/// 32-bit integers.
const HEADER_BYTES: usize = 12;

/// The last bytes of each frame.
const TRAILER: [u8; 4] = *b"END\n";

/// The maximum payload size in bytes. A greater length in a header is treated as damage.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 48 << 20;

/// Encodes `payload` as a frame.
pub(crate) fn frame(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX).to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len() + TRAILER.len());
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes.extend_from_slice(&TRAILER);
    bytes
}

/// The state of the end of a file of frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FileEnd {
    /// The file ends with a complete frame.
    Complete,
    /// The file ends within a frame whose remaining bytes were never written: they are missing or
    /// zero. A flipped bit causes neither, so the frame was never synced and never acknowledged.
    Truncated,
    /// The last frame is damaged and no valid frame follows. Either a power loss left the blocks of
    /// an unfinished append partly written, or a bit flipped in the last acknowledged frame; the
    /// two cases cannot be told apart.
    Ambiguous,
}

/// A damaged frame that is followed by a valid frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DamagedFrame {
    /// The offset of the damaged frame, in bytes.
    pub(crate) offset: usize,
}

/// The result of scanning a file of frames.
#[derive(Debug)]
pub(crate) struct FrameScan<'a> {
    /// The payloads of the valid frames, in order.
    pub(crate) payloads: Vec<&'a [u8]>,
    /// The length in bytes of the valid prefix.
    pub(crate) valid_bytes: usize,
    /// The state of the file after the valid prefix.
    pub(crate) end: FileEnd,
}

enum Frame<'a> {
    Complete(&'a [u8]),
    Incomplete,
    Damaged,
}

/// Scans all frames of a file. Returns an error if a damaged frame is followed by a valid one.
pub(crate) fn scan(bytes: &[u8]) -> Result<FrameScan<'_>, DamagedFrame> {
    let mut payloads = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        match read_frame(&bytes[offset..]) {
            Frame::Complete(payload) => {
                payloads.push(payload);
                offset += HEADER_BYTES + payload.len() + TRAILER.len();
            }
            Frame::Incomplete => {
                return Ok(FrameScan { payloads, valid_bytes: offset, end: FileEnd::Truncated });
            }
            Frame::Damaged if contains_frame(&bytes[offset + 1..]) => {
                return Err(DamagedFrame { offset });
            }
            Frame::Damaged => {
                let is_zeroed = bytes.ends_with(&[0; TRAILER.len()]);
                let end = if is_zeroed { FileEnd::Truncated } else { FileEnd::Ambiguous };
                return Ok(FrameScan { payloads, valid_bytes: offset, end });
            }
        }
    }
    Ok(FrameScan { payloads, valid_bytes: offset, end: FileEnd::Complete })
}

fn read_frame(bytes: &[u8]) -> Frame<'_> {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Frame::Incomplete;
    };
    let read_u32 = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    let length = read_u32(0) as usize;
    if crc32fast::hash(&header[..4]) != read_u32(4) || length > MAX_PAYLOAD_BYTES {
        return Frame::Damaged;
    }
    let Some((payload, rest)) = rest.split_at_checked(length) else { return Frame::Incomplete };
    match rest.get(..TRAILER.len()) {
        None => Frame::Incomplete,
        Some(end) if end == TRAILER && crc32fast::hash(payload) == read_u32(8) => {
            Frame::Complete(payload)
        }
        Some(_) => Frame::Damaged,
    }
}

/// Returns whether a valid frame begins at any offset of `bytes`. The checksum of the length
/// rejects almost every offset after eight bytes.
fn contains_frame(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|at| matches!(read_frame(&bytes[at..]), Frame::Complete(_)))
}
