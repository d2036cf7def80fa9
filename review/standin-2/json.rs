//! Reads the JSON bodies that routers send to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

static NULL: Value = Value::Null;

impl Value {
    pub fn parse(bytes: &[u8]) -> Self {
        Parser { bytes, at: 0 }.value().unwrap_or(Self::Null)
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Table(table) => table.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn list(&self) -> &[Self] {
        if let Self::List(list) = self { list } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn skip(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                while self.peek()? != b'}' {
                    let Value::Text(name) = self.value()? else { return None };
                    self.skip(b':')?;
                    table.insert(name, self.value()?);
                    let _ = self.skip(b',');
                }
                self.at += 1;
                Some(Value::Table(table))
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while self.peek()? != b']' {
                    list.push(self.value()?);
                    let _ = self.skip(b',');
                }
                self.at += 1;
                Some(Value::List(list))
            }
            b'"' => {
                self.at += 1;
                let mut text = Vec::new();
                while *self.bytes.get(self.at)? != b'"' {
                    if self.bytes[self.at] == b'\\' {
                        self.at += 1;
                    }
                    text.push(*self.bytes.get(self.at)?);
                    self.at += 1;
                }
                self.at += 1;
                Some(Value::Text(String::from_utf8_lossy(&text).into_owned()))
            }
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b))
                {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.bytes[start..self.at]).ok()? {
                    "true" => Some(Value::Bool(true)),
                    "false" => Some(Value::Bool(false)),
                    "null" => Some(Value::Null),
                    number => number.parse().ok().map(Value::Number),
                }
            }
        }
    }
}
