//! A JSON reader that is large enough for the calls of the store, and base64.

use std::{collections::BTreeMap, iter::Peekable, str::Chars};

#[derive(Clone, Debug, Default, PartialEq)]
pub enum Value {
    #[default]
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Map(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        const NULL: &Value = &Value::Null;
        match self {
            Self::Map(map) => map.get(name).unwrap_or(NULL),
            _ => NULL,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

pub fn parse(text: &str) -> Value {
    value(&mut text.chars().peekable()).unwrap_or_default()
}

fn skip(chars: &mut Peekable<Chars<'_>>) {
    while chars.next_if(|char| char.is_whitespace()).is_some() {}
}

fn value(chars: &mut Peekable<Chars<'_>>) -> Option<Value> {
    skip(chars);
    match *chars.peek()? {
        '{' => {
            chars.next();
            let mut map = BTreeMap::new();
            loop {
                skip(chars);
                match chars.peek()? {
                    '}' => {
                        chars.next();
                        return Some(Value::Map(map));
                    }
                    ',' => drop(chars.next()),
                    _ => {
                        let name = string(chars)?;
                        skip(chars);
                        chars.next_if_eq(&':')?;
                        map.insert(name, value(chars)?);
                    }
                }
            }
        }
        '[' => {
            chars.next();
            let mut list = Vec::new();
            loop {
                skip(chars);
                match chars.peek()? {
                    ']' => {
                        chars.next();
                        return Some(Value::List(list));
                    }
                    ',' => drop(chars.next()),
                    _ => list.push(value(chars)?),
                }
            }
        }
        '"' => Some(Value::Text(string(chars)?)),
        _ => {
            let mut word = String::new();
            while let Some(char) = chars.next_if(|char| !",]} \n\r\t".contains(*char)) {
                word.push(char);
            }
            Some(match word.as_str() {
                "true" => Value::Bool(true),
                "false" => Value::Bool(false),
                "null" => Value::Null,
                number => Value::Number(number.parse().ok()?),
            })
        }
    }
}

fn string(chars: &mut Peekable<Chars<'_>>) -> Option<String> {
    chars.next_if_eq(&'"')?;
    let mut text = String::new();
    loop {
        match chars.next()? {
            '"' => return Some(text),
            '\\' => match chars.next()? {
                'n' => text.push('\n'),
                't' => text.push('\t'),
                'r' => text.push('\r'),
                'u' => {
                    let hex: String = chars.by_ref().take(4).collect();
                    text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                }
                char => text.push(char),
            },
            char => text.push(char),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            let index = (bits >> (18 - 6 * position)) & 63;
            let digit = if position <= chunk.len() { ALPHABET[index as usize] } else { b'=' };
            text.push(char::from(digit));
        }
    }
    text
}
