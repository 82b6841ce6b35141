//! Finds the ends of events in the pieces of an event stream.

/// Most bytes of an event, with the comments before it. Events of inference engines have a few
/// hundred bytes to some kilobytes; a whole answer in one event, with token probabilities, stays
/// below a mebibyte.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Position in an event stream, which comes in pieces of any size.
///
/// A blank line ends an event. An event needs a field: lines that begin with a colon are comments,
/// which backend servers send to keep a connection open before they have anything to answer.
#[derive(Default)]
pub struct EventBoundary {
    line: LineState,
    has_field: bool,
    has_event: bool,
    /// Number of events that ended in the last piece.
    events: u32,
    /// Bytes since the last event.
    pending: usize,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum LineState {
    #[default]
    Start,
    Comment,
    Field,
}

impl EventBoundary {
    /// Reads the next piece, and returns `true` if an event ends in it.
    pub fn read(&mut self, piece: &[u8]) -> bool {
        self.events = 0;
        let mut pending = self.pending;
        for byte in piece {
            pending += 1;
            match (byte, self.line) {
                (b'\n', LineState::Start) => {
                    let is_event = std::mem::take(&mut self.has_field);
                    self.events += u32::from(is_event);
                    pending = if is_event { 0 } else { pending };
                }
                (b'\n', line) => {
                    self.has_field |= line == LineState::Field;
                    self.line = LineState::Start;
                }
                (b'\r', _) => {}
                (b':', LineState::Start) => self.line = LineState::Comment,
                (_, LineState::Start) => self.line = LineState::Field,
                _ => {}
            }
        }
        self.has_event |= self.events > 0;
        self.pending = pending;
        self.events > 0
    }

    /// Returns the number of events that ended in the last piece.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Returns whether a complete event has been read.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns the number of bytes since the last event. Comments count.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Returns whether the position is inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line != LineState::Start
    }
}
