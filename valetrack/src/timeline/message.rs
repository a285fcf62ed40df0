//! An event as one line of key=value pairs.

use std::fmt;

use serde::Serialize;

use crate::code::Code;

/// One event of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Event {
    /// Hybrid clock: milliseconds since 1970 in the upper 48 bits, a counter in the lower 16.
    pub hlc: u64,
    /// Name of the VM.
    pub vm: String,
    /// Name of the event.
    pub event: String,
    /// Identifier of the call that it belongs to, if any.
    pub call: Option<String>,
    /// All other pairs, in their order.
    pub fields: Vec<Field>,
}

/// One pair of an event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Field {
    /// Its name, with its unit as a suffix.
    pub key: String,
    /// Its value.
    pub value: String,
}

/// Error of parsing a line as an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineError {
    /// Reason of the error.
    pub reason: &'static str,
}

impl LineError {
    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        Code::EventInvalid
    }
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code(), self.reason)
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "hlc={} vm={} event={}", self.hlc, Quoted(&self.vm), Quoted(&self.event))?;
        if let Some(call) = &self.call {
            write!(f, " call={}", Quoted(call))?;
        }
        for field in &self.fields {
            write!(f, " {}={}", field.key, Quoted(&field.value))?;
        }
        Ok(())
    }
}

/// Displays an optional value, and `none` if it is missing.
pub struct OrNone<T>(pub Option<T>);

impl<T: fmt::Display> fmt::Display for OrNone<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("none"),
        }
    }
}

/// Displays a value of a pair, in quotes if it is empty or holds white space, control characters, quotes or
/// backslashes.
pub struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '\\';
        if !self.0.is_empty() && self.0.chars().all(plain) {
            return f.write_str(self.0);
        }
        f.write_str("\"")?;
        for c in self.0.chars() {
            match c {
                '"' => f.write_str("\\\"")?,
                '\\' => f.write_str("\\\\")?,
                '\n' => f.write_str("\\n")?,
                c if c.is_control() => f.write_str("?")?,
                c => write!(f, "{c}")?,
            }
        }
        f.write_str("\"")
    }
}

/// Parses one line.
///
/// # Errors
///
/// Returns an error if a pair is malformed or a required one is missing.
pub fn parse(line: &str) -> Result<Event, LineError> {
    let mut event = Event { hlc: 0, vm: String::new(), event: String::new(), call: None, fields: Vec::new() };
    let mut rest = line.trim();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=').ok_or(LineError { reason: "a word is not a key=value pair" })?;
        let (value, after) = parse_value(after)?;
        match key {
            "hlc" => event.hlc = value.parse().map_err(|_| LineError { reason: "hlc is not a number" })?,
            "vm" => event.vm = value,
            "event" => event.event = value,
            "call" => event.call = Some(value),
            _ => event.fields.push(Field { key: key.to_owned(), value }),
        }
        rest = after.trim_start();
    }
    if event.hlc == 0 || event.vm.is_empty() || event.event.is_empty() {
        return Err(LineError { reason: "hlc, vm or event is missing" });
    }
    Ok(event)
}

fn parse_value(text: &str) -> Result<(String, &str), LineError> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(char::is_whitespace).unwrap_or(text.len());
        return Ok((text[..end].to_owned(), &text[end..]));
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Ok((value, &quoted[at + 1..])),
            '\\' => match chars.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, escaped)) => value.push(escaped),
                None => break,
            },
            c => value.push(c),
        }
    }
    Err(LineError { reason: "a quote is not closed" })
}
