//! Chunked bodies, merged into chunks of the size in which they arrive.
//!
//! A caller may put each byte into a chunk of its own, and `hyper` hands on one chunk at a time,
//! which costs far more than the byte. The framing is taken off here and one chunk is made of
//! whatever arrived together.

use bytes::{BufMut, BytesMut};

/// The most bytes of chunk extensions, and of trailers, of one body.
const ANNEX_BYTES: usize = 16 << 10;

/// The most hexadecimal digits of a chunk's size.
const SIZE_DIGITS: u32 = 16;

/// What a malformed body is replaced by, so that `hyper` finds it malformed, too.
const MALFORMED_CHUNK: &[u8] = b"malformed\r\n";

/// The last chunk, without trailers: nothing in the system uses them.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Takes the framing off one chunked body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChunkDecoder {
    part: ChunkPart,
    /// Bytes of extensions or trailers so far.
    annexed: usize,
}

/// The part of the framing that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkPart {
    Size {
        size: u64,
        digits: u32,
    },
    Extension {
        size: u64,
    },
    SizeEnd {
        size: u64,
    },
    Data {
        remaining: u64,
    },
    DataReturn,
    DataEnd,
    /// A line of the trailers, and how long it is so far.
    Trailer {
        length: usize,
    },
    TrailerEnd {
        length: usize,
    },
    Done,
}

impl Default for ChunkPart {
    fn default() -> Self {
        Self::Size { size: 0, digits: 0 }
    }
}

/// The framing is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChunkError;

impl ChunkDecoder {
    /// Decodes what has arrived and returns it as one chunk, which may be empty. The bytes after
    /// the body's end are dropped.
    pub(crate) fn merge(&mut self, arrived: &[u8]) -> BytesMut {
        let mut data = BytesMut::with_capacity(arrived.len());
        let outcome = self.decode(arrived, &mut data);
        let mut merged = BytesMut::with_capacity(data.len() + 2 * SIZE_DIGITS as usize);
        if !data.is_empty() {
            merged.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
            merged.put_slice(&data);
            merged.put_slice(b"\r\n");
        }
        match outcome {
            Ok(true) => merged.put_slice(LAST_CHUNK),
            Ok(false) => {}
            Err(ChunkError) => merged.put_slice(MALFORMED_CHUNK),
        }
        merged
    }

    /// Whether the end of the body, or malformed framing, was read.
    pub(crate) fn is_done(&self) -> bool {
        self.part == ChunkPart::Done
    }

    /// Appends the data in `arrived` to `data`. Returns true if the body has ended.
    fn decode(&mut self, mut arrived: &[u8], data: &mut BytesMut) -> Result<bool, ChunkError> {
        while let (Some(&byte), false) = (arrived.first(), self.is_done()) {
            if let ChunkPart::Data { remaining } = self.part {
                let length = usize::try_from(remaining)
                    .map_or(arrived.len(), |remaining| remaining.min(arrived.len()));
                data.extend_from_slice(&arrived[..length]);
                arrived = &arrived[length..];
                self.part = match remaining - length as u64 {
                    0 => ChunkPart::DataReturn,
                    remaining => ChunkPart::Data { remaining },
                };
                continue;
            }
            arrived = &arrived[1..];
            match self.next_part(byte) {
                Ok(part) => self.part = part,
                Err(error) => {
                    self.part = ChunkPart::Done;
                    return Err(error);
                }
            }
        }
        Ok(self.is_done())
    }

    /// The part that follows a byte of the framing.
    fn next_part(&mut self, byte: u8) -> Result<ChunkPart, ChunkError> {
        use ChunkPart::*;
        match (self.part, byte) {
            (Size { digits: 0, .. }, b'\r' | b';' | b' ' | b'\t') => Err(ChunkError),
            (Size { size, .. }, b'\r') => Ok(SizeEnd { size }),
            (Size { size, .. }, b';' | b' ' | b'\t') => Ok(Extension { size }),
            (Size { size, digits }, _) if digits < SIZE_DIGITS => {
                let digit = char::from(byte).to_digit(16).ok_or(ChunkError)?;
                Ok(Size { size: size << 4 | u64::from(digit), digits: digits + 1 })
            }
            (Extension { size }, b'\r') => Ok(SizeEnd { size }),
            (Extension { .. }, b'\n') => Err(ChunkError),
            (Extension { size }, _) => self.annex(Extension { size }),
            (SizeEnd { size: 0 }, b'\n') => Ok(Trailer { length: 0 }),
            (SizeEnd { size }, b'\n') => Ok(Data { remaining: size }),
            (DataReturn, b'\r') => Ok(DataEnd),
            (DataEnd, b'\n') => Ok(ChunkPart::default()),
            (Trailer { length }, b'\r') => Ok(TrailerEnd { length }),
            (Trailer { length }, _) => self.annex(Trailer { length: length + 1 }),
            (TrailerEnd { length: 0 }, b'\n') => Ok(Done),
            (TrailerEnd { .. }, b'\n') => Ok(Trailer { length: 0 }),
            _ => Err(ChunkError),
        }
    }

    fn annex(&mut self, part: ChunkPart) -> Result<ChunkPart, ChunkError> {
        self.annexed += 1;
        if self.annexed > ANNEX_BYTES { Err(ChunkError) } else { Ok(part) }
    }
}
