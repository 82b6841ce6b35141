//! Finds the ends of events in the pieces of an event stream.

/// Position in an event stream, which comes in pieces of any size.
///
/// A blank line ends an event. An event needs a field: lines that begin with a colon are comments,
/// which backend servers send to keep a connection open before they have anything to answer.
#[derive(Default)]
pub(crate) struct EventBoundary {
    line: LineState,
    has_field: bool,
    has_event: bool,
    /// Number of events that ended in the last piece.
    events: u32,
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
    pub(crate) fn read(&mut self, piece: &[u8]) -> bool {
        self.events = 0;
        for byte in piece {
            match (byte, self.line) {
                (b'\n', LineState::Start) => {
                    self.events += u32::from(std::mem::take(&mut self.has_field));
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
        self.events > 0
    }

    /// Returns the number of events that ended in the last piece.
    pub(crate) fn events(&self) -> u32 {
        self.events
    }

    /// Returns whether a complete event has been read.
    pub(crate) fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns whether the position is inside an event.
    pub(crate) fn is_inside_event(&self) -> bool {
        self.has_field || self.line != LineState::Start
    }
}
