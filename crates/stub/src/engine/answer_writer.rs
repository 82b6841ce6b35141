//! The OpenAI-compatible answers that the stand-in writes: whole, and as the events of a stream.

use {crate::engine::completion::CompletionKind, bytes::Bytes, serde::Serialize};

/// Tokens counted for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct TokenUsage {
    /// Tokens of the prompt.
    pub(super) prompt_tokens: u64,
    /// Tokens of the answer.
    pub(super) completion_tokens: u64,
    /// Both.
    pub(super) total_tokens: u64,
}

impl TokenUsage {
    /// The usage of a prompt and its whole answer.
    pub(super) fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
    }
}

#[derive(Serialize)]
struct AnswerText<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

/// One choice of either call: `message` and `delta` belong to chats, `text` to text completions.
#[derive(Default, Serialize)]
struct AnswerChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<AnswerText<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<AnswerText<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    /// Extension: the place of this chunk's token in the answer, so that a missing or doubled
    /// chunk shows. Stock clients pass over it.
    #[serde(skip_serializing_if = "Option::is_none")]
    token_index: Option<u64>,
    choices: &'a [AnswerChoice<'a>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

/// Writes the answer to one request, whole or in chunks.
#[derive(Clone, Debug)]
pub(super) struct AnswerWriter {
    /// Which call.
    pub(super) kind: CompletionKind,
    /// The id every part carries.
    pub(super) id: String,
    /// Seconds since the Unix epoch.
    pub(super) created: u64,
    /// The model that answers.
    pub(super) model: String,
    /// `length` or `stop`.
    pub(super) finish_reason: &'static str,
}

impl AnswerWriter {
    /// The event of token `index`, with `text` as it is to be appended.
    pub(super) fn token_event(&self, index: u64, text: &str) -> Vec<u8> {
        let role = (index == 0).then_some("assistant");
        let choice = match self.kind {
            CompletionKind::Chat => AnswerChoice {
                delta: Some(AnswerText { role, content: Some(text) }),
                ..AnswerChoice::default()
            },
            CompletionKind::Text => AnswerChoice { text: Some(text), ..AnswerChoice::default() },
        };
        self.event(Some(index), &[choice], None)
    }

    /// The events after the last token: the reason for the end, the usage if asked for, `[DONE]`.
    pub(super) fn end_events(&self, usage: Option<TokenUsage>) -> Vec<u8> {
        let empty = match self.kind {
            CompletionKind::Chat => AnswerChoice {
                delta: Some(AnswerText { role: None, content: None }),
                ..AnswerChoice::default()
            },
            CompletionKind::Text => AnswerChoice { text: Some(""), ..AnswerChoice::default() },
        };
        let choice = AnswerChoice { finish_reason: Some(self.finish_reason), ..empty };
        let mut events = self.event(None, &[choice], None);
        if usage.is_some() {
            events.extend(self.event(None, &[], usage));
        }
        events.extend_from_slice(b"data: [DONE]\n\n");
        events
    }

    /// The whole answer as one JSON object.
    pub(super) fn whole(&self, text: &str, usage: TokenUsage) -> Bytes {
        let choice = match self.kind {
            CompletionKind::Chat => AnswerChoice {
                message: Some(AnswerText { role: Some("assistant"), content: Some(text) }),
                ..AnswerChoice::default()
            },
            CompletionKind::Text => AnswerChoice { text: Some(text), ..AnswerChoice::default() },
        };
        let choice = AnswerChoice { finish_reason: Some(self.finish_reason), ..choice };
        let object = match self.kind {
            CompletionKind::Chat => "chat.completion",
            CompletionKind::Text => "text_completion",
        };
        let choices = [choice];
        Bytes::from(to_json(&self.body(object, None, &choices, Some(usage))))
    }

    fn event(
        &self,
        token_index: Option<u64>,
        choices: &[AnswerChoice<'_>],
        usage: Option<TokenUsage>,
    ) -> Vec<u8> {
        let object = match self.kind {
            CompletionKind::Chat => "chat.completion.chunk",
            CompletionKind::Text => "text_completion",
        };
        let mut event = b"data: ".to_vec();
        event.extend(to_json(&self.body(object, token_index, choices, usage)));
        event.extend_from_slice(b"\n\n");
        event
    }

    fn body<'a>(
        &'a self,
        object: &'a str,
        token_index: Option<u64>,
        choices: &'a [AnswerChoice<'a>],
        usage: Option<TokenUsage>,
    ) -> AnswerBody<'a> {
        AnswerBody {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            token_index,
            choices,
            usage,
        }
    }
}

fn to_json(body: &AnswerBody<'_>) -> Vec<u8> {
    serde_json::to_vec(body).expect("an answer holds only strings and numbers")
}
