//! The parts of OpenAI-compatible bodies that the gateway interprets. Everything else passes
//! through unchanged.

use {
    crate::refusal, gullglade_backend::PromptBlocks, gullglade_http::ApiError,
    gullglade_units::ModelName, serde::Deserialize, std::borrow::Cow,
};

/// Maximum answer length, in tokens, if the request sets none.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// The fields of a completion request that the gateway interprets.
#[derive(Debug)]
pub(crate) struct CompletionRequest {
    pub(crate) model: ModelName,
    pub(crate) streamed: bool,
    pub(crate) max_tokens: u64,
    pub(crate) prompt: PromptBlocks,
}

#[derive(Deserialize)]
struct RawCompletion<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default, borrow)]
    messages: Vec<RawMessage<'a>>,
    prompt: Option<RawPrompt>,
}

#[derive(Deserialize)]
struct RawMessage<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(default)]
    content: Option<RawContent>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawContent {
    Text(String),
    Parts(Vec<RawPart>),
}

#[derive(Deserialize)]
struct RawPart {
    #[serde(default)]
    text: String,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawPrompt {
    Text(String),
    Texts(Vec<String>),
}

impl TryFrom<&[u8]> for CompletionRequest {
    type Error = ApiError;

    fn try_from(body: &[u8]) -> Result<Self, ApiError> {
        let raw: RawCompletion<'_> =
            serde_json::from_slice(body).map_err(|e| refusal::bad_body(&e))?;
        let model = ModelName::try_from(&*raw.model).map_err(|e| refusal::bad_body(&e))?;
        let prompt = PromptBlocks::new(model.as_str(), &raw.text());
        let max_tokens = raw.max_completion_tokens.or(raw.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
        Ok(Self { model, streamed: raw.stream, max_tokens, prompt })
    }
}

impl RawCompletion<'_> {
    /// Returns the text of the prompt in the form that [`PromptBlocks::new`] expects.
    fn text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push_str(": ");
            match &message.content {
                Some(RawContent::Text(content)) => text.push_str(content),
                Some(RawContent::Parts(parts)) => parts.iter().for_each(|p| text.push_str(&p.text)),
                None => {}
            }
            text.push('\n');
        }
        match &self.prompt {
            Some(RawPrompt::Text(prompt)) => text.push_str(prompt),
            Some(RawPrompt::Texts(prompts)) => prompts.iter().for_each(|p| text.push_str(p)),
            None => {}
        }
        text
    }
}

/// The fields that the gateway interprets in an event of a streamed answer or in a complete answer.
#[derive(Debug, Deserialize)]
pub(crate) struct AnswerChunk<'a> {
    /// The id that the inference engine gave the answer.
    #[serde(default, borrow)]
    pub(crate) id: Cow<'a, str>,
    /// Index of this event's token in the answer, if the engine states it.
    #[serde(default)]
    pub(crate) token_index: Option<u64>,
    #[serde(default, borrow)]
    pub(crate) choices: Vec<AnswerChoice<'a>>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct AnswerChoice<'a> {
    #[serde(default, borrow)]
    pub(crate) text: Option<Cow<'a, str>>,
    #[serde(default, borrow)]
    pub(crate) delta: Option<AnswerDelta<'a>>,
    #[serde(default, borrow)]
    pub(crate) finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct AnswerDelta<'a> {
    #[serde(default, borrow)]
    pub(crate) content: Option<Cow<'a, str>>,
}

impl AnswerChunk<'_> {
    /// Returns whether this event carries a token.
    pub(crate) fn has_token(&self) -> bool {
        self.choices.iter().any(|choice| {
            let content = choice.delta.as_ref().and_then(|d| d.content.as_deref());
            content.or(choice.text.as_deref()).is_some_and(|text| !text.is_empty())
        })
    }

    /// Returns whether this event carries a finish reason.
    pub(crate) fn is_finish(&self) -> bool {
        self.choices.iter().any(|choice| choice.finish_reason.is_some())
    }
}
