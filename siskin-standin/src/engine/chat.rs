//! Messages of `POST /v1/chat/completions`.

use {
    super::cache::TOKEN_BYTES,
    serde::Deserialize,
    serde_json::{Value, json},
};

/// Bytes of the last message that an answer repeats.
const ECHO_BYTES: usize = 64;

/// The part of a chat request that matters to the stand-in.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct Request {
    #[serde(default)]
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) max_completion_tokens: Option<u32>,
    /// Test field: tokens the answer has, unless `max_tokens` cuts it.
    #[serde(default)]
    pub(crate) standin_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) user: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct Message {
    #[serde(default)]
    pub(crate) role: String,
    #[serde(default)]
    pub(crate) content: Value,
}

/// What is to be answered.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) request: String,
    pub(crate) model: String,
    pub(crate) echo: String,
    pub(crate) tokens: u32,
    /// Whether `max_tokens` cut the answer.
    pub(crate) limited: bool,
    pub(crate) prompt_tokens: u64,
}

/// Tokens of an engine's answer and of its prompt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) completion: u32,
    pub(crate) cached: u64,
}

impl Request {
    /// The prompt as one text.
    pub(crate) fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push('\n');
            prompt.push_str(&message.text());
            prompt.push('\n');
        }
        prompt
    }

    /// The answer this request gets under the identifier `request`.
    pub(crate) fn answer(&self, request: &str, prompt: &str, default_tokens: u32) -> Answer {
        let limit = self.max_tokens.or(self.max_completion_tokens);
        let wanted = self.standin_tokens.or(limit).unwrap_or(default_tokens);
        let tokens = limit.map_or(wanted, |limit| wanted.min(limit)).max(1);
        let last = self.messages.last().map(Message::text).unwrap_or_default();
        Answer {
            request: request.to_owned(),
            model: self.model.clone(),
            echo: super::echo(&last).to_owned(),
            tokens,
            limited: limit == Some(tokens),
            prompt_tokens: prompt.len().div_ceil(TOKEN_BYTES) as u64,
        }
    }
}

impl Message {
    /// The text of the message; parts of other kinds than text are left out.
    fn text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            Value::Array(parts) => {
                parts.iter().filter_map(|part| part["text"].as_str()).collect::<Vec<_>>().join("\n")
            }
            _ => String::new(),
        }
    }
}

impl Answer {
    /// Token `index`, counted from 0.
    pub(crate) fn token(&self, index: u32) -> String {
        super::token(&self.request, &self.echo, index)
    }

    /// The whole answer as JSON.
    pub(crate) fn whole(&self, usage: Usage) -> Value {
        let text: String = (0..usage.completion).map(|index| self.token(index)).collect();
        json!({
            "id": self.request,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": self.finish_reason(),
            }],
            "usage": self.usage(usage),
        })
    }

    /// Event with token `index`; its number is `index + 1`.
    pub(crate) fn event(&self, index: u32) -> String {
        let delta = json!({"content": self.token(index)});
        self.chunk(index + 1, &json!([{"index": 0, "delta": delta, "finish_reason": null}]), None)
    }

    /// The last numbered event, with the usage.
    pub(crate) fn last_event(&self, usage: Usage) -> String {
        let choices = json!([{"index": 0, "delta": {}, "finish_reason": self.finish_reason()}]);
        self.chunk(self.tokens + 1, &choices, Some(&self.usage(usage)))
    }

    fn chunk(&self, number: u32, choices: &Value, usage: Option<&Value>) -> String {
        let data = json!({
            "id": self.request,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": choices,
            "usage": usage,
        });
        format!("id: {number}\ndata: {data}\n\n")
    }

    const fn finish_reason(&self) -> &'static str {
        if self.limited { "length" } else { "stop" }
    }

    fn usage(&self, usage: Usage) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": usage.completion,
            "total_tokens": self.prompt_tokens + u64::from(usage.completion),
            "prompt_tokens_details": {"cached_tokens": usage.cached},
        })
    }
}

/// The start of `message` that an answer repeats.
pub(crate) fn echo(message: &str) -> &str {
    let mut end = message.len().min(ECHO_BYTES);
    while !message.is_char_boundary(end) {
        end -= 1;
    }
    &message[..end]
}
