//! The OpenAI-compatible requests that the stand-in reads.

use {serde::Deserialize, snafu::Snafu};

/// Tokens in an answer whose request names no limit.
pub(super) const DEFAULT_ANSWER_TOKENS: u64 = 64;

/// The most tokens one request may ask for.
const MAX_ANSWER_TOKENS: u64 = 1 << 20;

/// Which of the two completion calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionKind {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

#[derive(Deserialize)]
struct RawRequest {
    model: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    prompt: Option<TextContent>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: Option<TextContent>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum TextContent {
    One(String),
    Many(Vec<TextPart>),
}

#[derive(Deserialize)]
#[serde(untagged)]
enum TextPart {
    Plain(String),
    Typed {
        #[serde(default)]
        text: String,
    },
}

#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Why a body is not a completion request.
#[derive(Debug, Snafu)]
pub(super) enum CompletionError {
    /// Not JSON of this form.
    #[snafu(display("the request body is not a completion request: {reason}"))]
    Malformed {
        /// The parser's words.
        reason: String,
    },
    /// Nothing to answer.
    #[snafu(display("the request has no text; give `{field}`"))]
    Empty {
        /// The field that must not be empty.
        field: &'static str,
    },
    /// Too long an answer.
    #[snafu(display("max_tokens is {asked}; give {MAX_ANSWER_TOKENS} or fewer"))]
    TooLong {
        /// The tokens asked for.
        asked: u64,
    },
}

/// A checked completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CompletionRequest {
    /// Which call.
    pub(super) kind: CompletionKind,
    /// The model asked for.
    pub(super) model: String,
    /// The prompt as one text; a chat is written `role: content` line by line.
    pub(super) prompt: String,
    /// Tokens to answer with.
    pub(super) max_tokens: u64,
    /// Whether the caller set the number, so that the answer ends by it.
    pub(super) limited: bool,
    /// Whether to stream.
    pub(super) stream: bool,
    /// Whether a stream ends with its usage.
    pub(super) include_usage: bool,
}

impl TryFrom<(CompletionKind, &[u8])> for CompletionRequest {
    type Error = CompletionError;

    fn try_from((kind, body): (CompletionKind, &[u8])) -> Result<Self, CompletionError> {
        let raw: RawRequest = serde_json::from_slice(body)
            .map_err(|e| CompletionError::Malformed { reason: e.to_string() })?;
        let asked = raw.max_completion_tokens.or(raw.max_tokens);
        let max_tokens = asked.unwrap_or(DEFAULT_ANSWER_TOKENS);
        if max_tokens > MAX_ANSWER_TOKENS {
            return Err(CompletionError::TooLong { asked: max_tokens });
        }
        let prompt = match kind {
            CompletionKind::Chat => raw.messages.into_iter().map(chat_line).collect(),
            CompletionKind::Text => raw.prompt.map(join_content).unwrap_or_default(),
        };
        if prompt.is_empty() {
            let field = if kind == CompletionKind::Chat { "messages" } else { "prompt" };
            return Err(CompletionError::Empty { field });
        }
        Ok(Self {
            kind,
            model: raw.model,
            prompt,
            max_tokens,
            limited: asked.is_some(),
            stream: raw.stream,
            include_usage: raw.stream_options.include_usage,
        })
    }
}

fn chat_line(message: ChatMessage) -> String {
    format!("{}: {}\n", message.role, message.content.map(join_content).unwrap_or_default())
}

fn join_content(content: TextContent) -> String {
    match content {
        TextContent::One(text) => text,
        TextContent::Many(parts) => parts
            .into_iter()
            .map(|part| match part {
                TextPart::Plain(text) | TextPart::Typed { text } => text,
            })
            .collect(),
    }
}
