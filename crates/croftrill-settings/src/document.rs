//! Reads the file into values by key, with the place of each.

use crate::findings::{Finding, Place};
use crate::keys;
use crate::values::{self, Value};
use std::collections::BTreeMap;
use std::ops::Range;
use toml_edit::{ImDocument, Item, TableLike};

/// A value and where it stands.
#[derive(Clone, Debug)]
pub(crate) struct Located {
    pub value: Value,
    pub place: Place,
    /// Whether it was given rather than taken from the defaults.
    pub given: bool,
}

/// What a file says, and every problem found in it.
#[derive(Debug, Default)]
pub(crate) struct Document {
    pub values: BTreeMap<&'static str, Located>,
    /// Keys that are there but unreadable; they are not missing as well.
    pub unreadable: Vec<&'static str>,
    /// Places of the tables.
    pub tables: BTreeMap<String, Place>,
    pub findings: Vec<Finding>,
}

/// Reads a file's text.
pub(crate) fn read(path: &str, text: &str) -> Document {
    let mut reader = Reader {
        path,
        text,
        document: Document::default(),
    };
    match ImDocument::parse(text) {
        Ok(parsed) => reader.read_tables(parsed.as_table()),
        Err(error) => {
            let problem = format!("not valid TOML: {}", first_line(error.message()));
            reader.report(error.span(), problem);
        }
    }
    reader.document
}

fn first_line(message: &str) -> &str {
    message.lines().next().unwrap_or("")
}

struct Reader<'a> {
    path: &'a str,
    text: &'a str,
    document: Document,
}

impl Reader<'_> {
    fn place(&self, span: Option<Range<usize>>) -> Place {
        let before = &self.text[..self.start(span)];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Place::File {
            path: self.path.to_string(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }

    /// The start of a span, moved back to the start of a character.
    fn start(&self, span: Option<Range<usize>>) -> usize {
        let wanted = span.map_or(0, |span| span.start).min(self.text.len());
        (0..=wanted)
            .rev()
            .find(|&at| self.text.is_char_boundary(at))
            .unwrap_or(0)
    }

    fn report(&mut self, span: Option<Range<usize>>, problem: String) {
        let place = self.place(span);
        self.document.findings.push(Finding { place, problem });
    }

    fn read_tables(&mut self, root: &toml_edit::Table) {
        for (name, item) in root.iter() {
            let span = root.key(name).and_then(|key| key.span());
            if !keys::is_table(name) {
                self.report(span, format!("unknown key {name}"));
                continue;
            }
            let place = self.place(span.clone());
            self.document.tables.insert(name.to_string(), place);
            match item.as_table_like() {
                Some(table) => self.read_table(name, table),
                None => self.report(span, format!("{name} must be a table")),
            }
        }
    }

    fn read_table(&mut self, name: &str, table: &dyn TableLike) {
        for (key, item) in table.iter() {
            let span = table.key(key).and_then(|key| key.span());
            self.read_key(&format!("{name}.{key}"), item, span);
        }
    }

    fn read_key(&mut self, path: &str, item: &Item, key_span: Option<Range<usize>>) {
        let Some(key) = keys::find(path) else {
            self.report(key_span, format!("unknown key {path}"));
            return;
        };
        let span = item.span().or(key_span);
        match values::read(key.kind, item) {
            Ok(value) => {
                let place = self.place(span);
                let located = Located {
                    value,
                    place,
                    given: true,
                };
                self.document.values.insert(key.path, located);
            }
            Err(problem) => {
                self.document.unreadable.push(key.path);
                self.report(span, format!("{path} {problem}"));
            }
        }
    }
}
