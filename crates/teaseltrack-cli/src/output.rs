//! Output for people and for programs.

use std::time::{Duration, UNIX_EPOCH};

use serde::Serialize;
use serde_json::{Value, json};
use teaseltrack::record::Record;

/// How output is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Output in both formats.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    json: Value,
    text: String,
}

impl Output {
    /// Output of a value, with its text for people.
    pub fn new<T: Serialize>(value: &T, text: String) -> Self {
        Self { json: serde_json::to_value(value).unwrap_or_default(), text }
    }

    /// Output of a record.
    pub fn record(what: &str, record: &Record) -> Self {
        let Record { kind, name, revision, author, schema_version, .. } = record;
        let text = format!(
            "{what}: {} {name}, revision {revision} by {author}, schema version {schema_version}\n{}\n",
            kind.as_str(),
            serde_json::to_string_pretty(&record.body).unwrap_or_default()
        );
        Self::new(record, text)
    }

    /// Adds a field and its text.
    pub fn append<T: Serialize>(&mut self, field: &str, value: &T, text: &str) {
        self.json[field] = json!(value);
        self.text.push_str(text);
    }

    /// The output in a format.
    pub fn text(&self, format: Format) -> String {
        match format {
            Format::Text => self.text.clone(),
            Format::Json => format!("{}\n", self.json),
        }
    }
}

/// A table for people.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with a head.
    pub fn new<const N: usize>(head: [&str; N]) -> Self {
        Self { rows: vec![head.iter().map(|&cell| cell.to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    /// The table as aligned text.
    pub fn text(&self) -> String {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            self.rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}", width = *width))
                .collect();
            text.push_str(cells.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}

/// A time for people, in UTC to the millisecond.
pub fn time_text(at_ms: u64) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(at_ms)).to_string()
}
