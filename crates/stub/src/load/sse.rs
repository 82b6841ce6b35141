//! Checking a streamed answer, event by event.

use {crate::token::TokenSource, serde::Deserialize};

#[derive(Deserialize)]
struct ChunkBody<'a> {
    #[serde(default, borrow)]
    id: Option<std::borrow::Cow<'a, str>>,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct ChunkDelta {
    #[serde(default)]
    content: Option<String>,
}

/// What an event was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// A token, as expected.
    Token,
    /// Nothing that counts.
    Other,
    /// The end marker.
    Done,
    /// An error that says that the answer is not whole.
    Failed,
    /// Not what this answer may hold: another text, another id, something after the end.
    Wrong,
}

/// Holds the events of one answer against what the stand-in engine must give.
pub(crate) struct StreamCheck {
    source: TokenSource,
    tokens: u64,
    next: u64,
    id: Option<String>,
    finished: bool,
    done: bool,
}

impl StreamCheck {
    pub(crate) fn new(source: TokenSource, tokens: u64) -> Self {
        Self { source, tokens, next: 0, id: None, finished: false, done: false }
    }

    /// Tokens seen so far.
    pub(crate) fn seen(&self) -> u64 {
        self.next
    }

    /// Whether every token and both end marks came.
    pub(crate) fn whole(&self) -> bool {
        self.next == self.tokens && self.finished && self.done
    }

    /// Takes the data of the next event.
    pub(crate) fn take(&mut self, data: &str) -> EventKind {
        if self.done {
            return EventKind::Wrong;
        }
        if data == "[DONE]" {
            self.done = true;
            return EventKind::Done;
        }
        let Ok(chunk) = serde_json::from_str::<ChunkBody<'_>>(data) else {
            return EventKind::Wrong;
        };
        if chunk.error.is_some() {
            return EventKind::Failed;
        }
        if !self.same_id(chunk.id.as_deref()) {
            return EventKind::Wrong;
        }
        let Some(choice) = chunk.choices.first() else { return EventKind::Other };
        self.finished |= choice.finish_reason.is_some();
        match choice.delta.content.as_deref() {
            None | Some("") => EventKind::Other,
            Some(text) if text == self.source.text(self.next) => {
                self.next += 1;
                EventKind::Token
            }
            Some(_) => EventKind::Wrong,
        }
    }

    fn same_id(&mut self, id: Option<&str>) -> bool {
        match (&self.id, id) {
            (_, None) => false,
            (Some(known), Some(id)) => known == id,
            (None, Some(id)) => {
                self.id = Some(id.to_owned());
                true
            }
        }
    }
}
