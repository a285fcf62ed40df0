//! Reads tables of a bundle and records every fault with its line and column.

use std::ops::{Range, RangeInclusive};
use std::sync::Arc;

use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue};

use super::message::Fault;
use crate::code::Code;

/// Collects faults while tables are read.
pub struct Reader<'t> {
    text: &'t str,
    /// Faults found so far.
    pub faults: Vec<Fault>,
}

/// One table with the keys that were looked up, so that all others can be reported.
pub struct Section<'a, 't> {
    table: &'a DeTable<'t>,
    span: Range<usize>,
    looked_up: Vec<&'static str>,
}

impl<'a, 't> Section<'a, 't> {
    /// Starts reading the table at `span`.
    pub fn new(table: &'a DeTable<'t>, span: Range<usize>) -> Self {
        Self { table, span, looked_up: Vec::new() }
    }

    /// Returns the range of the table in the text.
    pub fn span(&self) -> &Range<usize> {
        &self.span
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'t>>> {
        self.looked_up.push(key);
        self.table.iter().find(|(name, _)| name.get_ref().as_ref() == key).map(|(_, value)| value)
    }
}

impl<'t> Reader<'t> {
    /// Creates a reader of one text.
    pub fn new(text: &'t str) -> Self {
        Self { text, faults: Vec::new() }
    }

    /// Records a fault at a range of the text.
    pub fn fault(&mut self, code: Code, span: &Range<usize>, text: String) {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        let line = before.iter().filter(|&&byte| byte == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|&&byte| byte != b'\n').count() + 1;
        self.faults.push(Fault::new(code, line, column, text));
    }

    /// Reads a whole number; returns the default if the key is missing.
    pub fn number(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
        allowed: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(value) = section.get(key) else {
            return default;
        };
        let parsed = value
            .get_ref()
            .as_integer()
            .and_then(|number| u64::from_str_radix(&number.as_str().replace('_', ""), number.radix()).ok());
        match parsed.filter(|number| allowed.contains(number)) {
            Some(number) => number,
            None => {
                let (low, high) = (allowed.start(), allowed.end());
                let text = format!("{key} must be a whole number from {low} to {high}");
                self.fault(Code::BundleValueInvalid, &value.span(), text);
                default
            }
        }
    }

    /// Reads true or false; returns the default if the key is missing.
    pub fn flag(&mut self, section: &mut Section<'_, '_>, key: &'static str, default: bool) -> bool {
        let Some(value) = section.get(key) else {
            return default;
        };
        value.get_ref().as_bool().unwrap_or_else(|| {
            self.fault(Code::BundleValueInvalid, &value.span(), format!("{key} must be true or false"));
            default
        })
    }

    /// Reads a string that `allowed` accepts.
    pub fn text(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
        expected: &str,
        allowed: impl Fn(&str) -> bool,
    ) -> Option<Arc<str>> {
        let value = section.get(key)?;
        let found = value.get_ref().as_str().filter(|found| allowed(found));
        if found.is_none() {
            self.fault(Code::BundleValueInvalid, &value.span(), format!("{key} must be {expected}"));
        }
        found.map(Arc::from)
    }

    /// Reads a list of strings that `allowed` accepts.
    pub fn texts(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
        expected: &str,
        allowed: impl Fn(&str) -> bool,
    ) -> Option<Vec<Arc<str>>> {
        let value = section.get(key)?;
        let text = |item: &Spanned<DeValue<'_>>| item.get_ref().as_str().filter(|text| allowed(text)).map(Arc::from);
        let texts: Option<Vec<Arc<str>>> =
            value.get_ref().as_array().and_then(|items| items.iter().map(text).collect());
        if texts.is_none() {
            self.fault(Code::BundleValueInvalid, &value.span(), format!("{key} must be {expected}"));
        }
        texts
    }

    /// Records a fault if a required key is missing.
    pub fn require<T>(&mut self, section: &Section<'_, '_>, key: &'static str, value: Option<T>) -> Option<T> {
        let absent = !section.table.iter().any(|(name, _)| name.get_ref().as_ref() == key);
        if value.is_none() && absent {
            self.fault(Code::BundleKeyMissing, &section.span, format!("{key} is missing"));
        }
        value
    }

    /// Returns the table at a key.
    pub fn table<'a, 'x>(&mut self, section: &mut Section<'a, 'x>, key: &'static str) -> Option<Section<'a, 'x>> {
        let value = section.get(key)?;
        let table = value.get_ref().as_table();
        if table.is_none() {
            self.fault(Code::BundleValueInvalid, &value.span(), format!("{key} must be a table, [{key}]"));
        }
        table.map(|table| Section::new(table, value.span()))
    }

    /// Returns the tables of the array at a key.
    pub fn tables<'a, 'x>(&mut self, section: &mut Section<'a, 'x>, key: &'static str) -> Vec<Section<'a, 'x>> {
        let Some(value) = section.get(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.fault(Code::BundleValueInvalid, &value.span(), format!("{key} must be an array of tables, [[{key}]]"));
            return Vec::new();
        };
        let mut sections = Vec::new();
        for item in array.iter() {
            match item.get_ref().as_table() {
                Some(table) => sections.push(Section::new(table, item.span())),
                None => self.fault(Code::BundleValueInvalid, &item.span(), format!("{key} must contain tables only")),
            }
        }
        sections
    }

    /// Records a fault for every key of the table that was not looked up.
    pub fn finish(&mut self, section: &Section<'_, '_>) {
        let unknown = |(name, _): &(&Spanned<DeString<'_>>, &Spanned<DeValue<'_>>)| {
            !section.looked_up.contains(&name.get_ref().as_ref())
        };
        let names: Vec<_> = section.table.iter().filter(unknown).map(|(name, _)| name).collect();
        for name in names {
            let allowed = section.looked_up.join(", ");
            let text = format!("unknown key {}; allowed are {allowed}", name.get_ref());
            self.fault(Code::BundleKeyUnknown, &name.span(), text);
        }
    }
}
