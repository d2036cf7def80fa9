//! Chat completion requests and the pieces of their answers.
//!
//! The router always asks the engine for a stream, also when the caller wants one JSON answer: a stream shows
//! progress, so a silent connection is found, service is charged while it is rendered, and a broken stream can be
//! resumed. [`Collector`] joins the pieces for callers that want one answer.

use {
    serde::Deserialize,
    serde_json::{Map, Value, json},
    siskin_types::cost::Units,
};

/// The last event of a stream.
pub const DONE: &str = "[DONE]";

/// A request body that cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is not a chat completion request.
    #[error(
        "the body is not a chat completion request ({0}); send JSON with 'model' and 'messages'"
    )]
    Malformed(#[from] serde_json::Error),
    /// A field has an unusable value.
    #[error("field '{field}' is missing or has the wrong type; {remedy}")]
    Field {
        /// Name of the field.
        field: &'static str,
        /// What to do.
        remedy: &'static str,
    },
}

/// A chat completion request. Fields that the router does not know are passed on unchanged.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Name of the model.
    pub model: String,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// Whether the caller wants the usage in the stream.
    pub include_usage: bool,
    /// Largest number of output tokens that the caller wants.
    pub max_tokens: Option<Units>,
    /// All text of the prompt, for estimates, prefixes and fingerprints.
    pub prompt: String,
    body: Map<String, Value>,
}

impl Chat {
    /// Reads a request body.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] with the field that is missing or has the wrong type.
    ///
    /// ```
    /// use {siskin_router::caller::chat::Chat, siskin_types::cost::Units};
    /// let body = br#"{"model": "plan", "messages": [{"role": "user", "content": "Plan a gala."}]}"#;
    /// let chat = Chat::parse(body).unwrap();
    /// assert_eq!(chat.model, "plan");
    /// assert!(!chat.stream);
    /// let forwarded = chat.forwarded(Units(100));
    /// assert!(String::from_utf8(forwarded).unwrap().contains("\"max_tokens\":100"));
    /// ```
    pub fn parse(body: &[u8]) -> Result<Self, Error> {
        let body: Map<String, Value> = serde_json::from_slice(body)?;
        let model = body
            .get("model")
            .and_then(Value::as_str)
            .ok_or(Error::Field { field: "model", remedy: "name a model" })?
            .to_owned();
        let messages = body
            .get("messages")
            .and_then(Value::as_array)
            .filter(|messages| !messages.is_empty())
            .ok_or(Error::Field { field: "messages", remedy: "send at least one message" })?;
        let mut prompt = String::new();
        for message in messages {
            collect_text(message, &mut prompt);
        }
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(value) => value
                .as_bool()
                .ok_or(Error::Field { field: "stream", remedy: "use true or false" })?,
        };
        Ok(Self {
            model,
            stream,
            include_usage: body
                .get("stream_options")
                .and_then(|options| options.get("include_usage"))
                .and_then(Value::as_bool)
                .unwrap_or(false),
            max_tokens: limit(&body)?,
            prompt,
            body,
        })
    }

    /// The body to send to an engine: a stream with usage and at most `limit` output tokens.
    #[must_use]
    pub fn forwarded(&self, limit: Units) -> Vec<u8> {
        let mut body = self.body.clone();
        body.insert("stream".to_owned(), Value::Bool(true));
        body.insert("stream_options".to_owned(), json!({ "include_usage": true }));
        body.remove("max_completion_tokens");
        let limit = self.max_tokens.map_or(limit, |wanted| wanted.min(limit));
        body.insert("max_tokens".to_owned(), json!(limit.0));
        Value::Object(body).to_string().into_bytes()
    }
}

/// Reads the output limit under either of its two names.
fn limit(body: &Map<String, Value>) -> Result<Option<Units>, Error> {
    for field in ["max_completion_tokens", "max_tokens"] {
        match body.get(field) {
            None | Some(Value::Null) => {}
            Some(value) => {
                let tokens = value
                    .as_u64()
                    .filter(|&tokens| tokens > 0)
                    .ok_or(Error::Field { field, remedy: "use a number above 0" })?;
                return Ok(Some(Units(tokens)));
            }
        }
    }
    Ok(None)
}

/// Appends all text below `value`.
fn collect_text(value: &Value, text: &mut String) {
    match value {
        Value::String(part) => {
            text.push_str(part);
            text.push('\n');
        }
        Value::Array(parts) => parts.iter().for_each(|part| collect_text(part, text)),
        Value::Object(fields) => fields.values().for_each(|part| collect_text(part, text)),
        Value::Null | Value::Bool(_) | Value::Number(_) => {}
    }
}

/// Token counts that an engine reports at the end of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Details of the prompt's tokens.
    #[serde(default)]
    pub prompt_tokens_details: Option<PromptDetails>,
}

/// Details of a prompt's tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct PromptDetails {
    /// Tokens that came from the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// A cached prompt token costs this part of an uncached one, as a divisor.
const CACHED_TOKEN_DIVISOR: u64 = 10;

impl Usage {
    /// Service in units: tokens, of which cached prompt tokens count a tenth.
    ///
    /// ```
    /// use {siskin_router::caller::chat::{PromptDetails, Usage}, siskin_types::cost::Units};
    /// let usage = Usage {
    ///     prompt_tokens: 100,
    ///     completion_tokens: 20,
    ///     prompt_tokens_details: Some(PromptDetails { cached_tokens: 50 }),
    /// };
    /// assert_eq!(usage.cost(), Units(75));
    /// ```
    #[must_use]
    pub fn cost(&self) -> Units {
        let cached =
            self.prompt_tokens_details.unwrap_or_default().cached_tokens.min(self.prompt_tokens);
        let uncached = self.prompt_tokens - cached;
        Units(uncached + cached.div_ceil(CACHED_TOKEN_DIVISOR) + self.completion_tokens)
    }
}

/// One event of an engine's stream.
#[derive(Clone, Debug)]
pub struct Chunk {
    value: Value,
}

impl Chunk {
    /// Reads the data of an event.
    ///
    /// # Errors
    ///
    /// Returns an error if the data is not JSON.
    pub fn parse(data: &str) -> Result<Self, serde_json::Error> {
        Ok(Self { value: serde_json::from_str(data)? })
    }

    /// The usage, if this event carries it.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        let usage = self.value.get("usage").filter(|usage| !usage.is_null())?;
        serde_json::from_value(usage.clone()).ok()
    }

    /// Whether the event carries a part of an answer.
    #[must_use]
    pub fn has_choices(&self) -> bool {
        self.value
            .get("choices")
            .and_then(Value::as_array)
            .is_some_and(|choices| !choices.is_empty())
    }
}

/// Joins the events of a stream to one answer.
#[derive(Debug, Default)]
pub struct Collector {
    answer: Map<String, Value>,
    choices: Vec<Value>,
}

impl Collector {
    /// Adds an event.
    ///
    /// ```
    /// use siskin_router::caller::chat::{Chunk, Collector};
    /// let mut collector = Collector::default();
    /// for word in ["red", " carpet"] {
    ///     let event = format!(r#"{{"choices": [{{"index": 0, "delta": {{"content": "{word}"}}}}]}}"#);
    ///     collector.add(Chunk::parse(&event).unwrap());
    /// }
    /// let answer = collector.finish();
    /// assert_eq!(answer["choices"][0]["message"]["content"], "red carpet");
    /// ```
    pub fn add(&mut self, chunk: Chunk) {
        let Value::Object(fields) = chunk.value else { return };
        for (name, value) in fields {
            match value {
                Value::Array(choices) if name == "choices" => {
                    merge_indexed(&mut self.choices, choices);
                }
                Value::Null => {}
                value => {
                    self.answer.insert(name, value);
                }
            }
        }
    }

    /// The whole answer.
    #[must_use]
    pub fn finish(mut self) -> Value {
        for choice in &mut self.choices {
            if let Value::Object(fields) = choice {
                let message = fields.remove("delta").unwrap_or_else(|| json!({}));
                fields.insert("message".to_owned(), message);
            }
        }
        self.answer.insert("object".to_owned(), json!("chat.completion"));
        self.answer.insert("choices".to_owned(), Value::Array(self.choices));
        Value::Object(self.answer)
    }
}

/// Fields whose text is replaced by a later event; all other text is appended.
const REPLACED_FIELDS: [&str; 5] = ["id", "type", "role", "name", "finish_reason"];

/// Merges the fields of a later event into those of earlier ones.
fn merge(before: &mut Map<String, Value>, later: Map<String, Value>) {
    for (name, value) in later {
        match (before.get_mut(&name), value) {
            (_, Value::Null) => {
                before.entry(name).or_insert(Value::Null);
            }
            (Some(Value::String(text)), Value::String(more))
                if !REPLACED_FIELDS.contains(&name.as_str()) =>
            {
                text.push_str(&more);
            }
            (Some(Value::Object(fields)), Value::Object(more)) => merge(fields, more),
            (Some(Value::Array(items)), Value::Array(more)) => merge_indexed(items, more),
            (_, value) => {
                before.insert(name, value);
            }
        }
    }
}

/// Merges list items that carry the same `index`; items without one are appended.
fn merge_indexed(items: &mut Vec<Value>, more: Vec<Value>) {
    for item in more {
        let index = item.get("index").cloned();
        let same =
            items.iter_mut().find(|known| index.is_some() && known.get("index") == index.as_ref());
        match (same, item) {
            (Some(Value::Object(fields)), Value::Object(more)) => merge(fields, more),
            (_, item) => items.push(item),
        }
    }
}
