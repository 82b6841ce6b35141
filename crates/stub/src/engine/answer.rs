//! Replies of the stand-in engine, whole and streamed, with the fault that was switched on.

use {
    crate::{
        engine::{
            answer_writer::{AnswerWriter, TokenUsage},
            batch::TokenSequence,
        },
        face::{break_off, broken_body, first_half},
        fault::FaultKind,
        stats::RunGuard,
    },
    bytes::Bytes,
    futures::{future::pending, stream},
    gullglade_http::{BodyError, ReplyBody},
};

/// One answer on its way out. Dropping it cancels the run.
pub(super) struct EngineAnswer {
    pub(super) writer: AnswerWriter,
    pub(super) sequence: TokenSequence,
    pub(super) guard: RunGuard,
    pub(super) fault: Option<FaultKind>,
    pub(super) prompt_tokens: u64,
    pub(super) include_usage: bool,
}

/// What a fault makes of one token.
enum TokenFate {
    Send,
    SendTwice,
    Break,
    Stop,
    Hang,
}

impl EngineAnswer {
    /// The answer as server-sent events, each written as soon as its token is there.
    pub(super) fn into_stream(self) -> ReplyBody {
        let events = stream::unfold(Some(StreamState { answer: self, sent: 0, last: 0 }), step);
        ReplyBody::stream(events)
    }

    /// The answer as one JSON object, after its last token.
    pub(super) async fn into_whole(mut self) -> ReplyBody {
        let mut text = String::new();
        let mut count = 0;
        while let Some(token) = self.sequence.next().await {
            append_token(&mut text, token.index, token.word);
            count = token.index + 1;
        }
        self.guard.finish();
        let usage = TokenUsage::new(self.prompt_tokens, count);
        let whole = self.writer.whole(&text, usage);
        match self.fault {
            Some(FaultKind::Die { .. }) => broken_body(first_half(&whole)),
            Some(FaultKind::Truncate { .. }) => ReplyBody::full(first_half(&whole)),
            Some(FaultKind::Duplicate { .. }) => {
                ReplyBody::full(Bytes::from([&whole[..], &whole[..]].concat()))
            }
            Some(FaultKind::Freeze { .. }) => pending().await,
            _ => ReplyBody::full(whole),
        }
    }

    fn fate(&self, sent: u64) -> TokenFate {
        match self.fault {
            Some(FaultKind::Die { after_tokens }) if after_tokens == sent => TokenFate::Break,
            Some(FaultKind::Truncate { after_tokens }) if after_tokens == sent => TokenFate::Stop,
            Some(FaultKind::Freeze { after_tokens }) if after_tokens == sent => TokenFate::Hang,
            Some(FaultKind::Duplicate { after_tokens }) if after_tokens == sent => {
                TokenFate::SendTwice
            }
            _ => TokenFate::Send,
        }
    }
}

struct StreamState {
    answer: EngineAnswer,
    sent: u64,
    last: u64,
}

type StreamStep = Option<(Result<Bytes, BodyError>, Option<StreamState>)>;

async fn step(state: Option<StreamState>) -> StreamStep {
    let mut state = state?;
    let Some(token) = state.answer.sequence.next().await else {
        return Some((Ok(state.end()), None));
    };
    let fate = state.answer.fate(state.sent);
    state.sent += 1;
    state.last = token.index + 1;
    let mut text = String::new();
    append_token(&mut text, token.index, token.word);
    let mut event = state.answer.writer.token_event(token.index, &text);
    match fate {
        TokenFate::Send => {}
        TokenFate::SendTwice => event.extend_from_within(..),
        TokenFate::Break => return Some((break_off().await, None)),
        TokenFate::Stop => return None,
        TokenFate::Hang => pending().await,
    }
    Some((Ok(Bytes::from(event)), Some(state)))
}

impl StreamState {
    fn end(&mut self) -> Bytes {
        self.answer.guard.finish();
        let usage = TokenUsage::new(self.answer.prompt_tokens, self.last);
        let usage = self.answer.include_usage.then_some(usage);
        Bytes::from(self.answer.writer.end_events(usage))
    }
}

fn append_token(text: &mut String, index: u64, word: &str) {
    if index > 0 {
        text.push(' ');
    }
    text.push_str(word);
}
