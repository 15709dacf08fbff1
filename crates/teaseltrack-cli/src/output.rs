//! Output formats: text and JSON.

use std::time::{Duration, UNIX_EPOCH};

use serde::Serialize;
use serde_json::{Value, json};
use teaseltrack::record::Record;

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Text,
    /// JSON, for programs.
    Json,
}

/// Result in both formats.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    json: Value,
    text: String,
}

impl Output {
    /// Creates an output from a value and its text.
    pub fn new<T: Serialize>(value: &T, text: String) -> Self {
        Self { json: serde_json::to_value(value).unwrap_or_default(), text }
    }

    /// Creates the output for a record after an action.
    pub fn record(action: &str, record: &Record) -> Self {
        let Record { kind, name, revision, author, schema_version, .. } = record;
        let text = format!(
            "{action}: {} {name}, revision {revision} by {author}, schema version {schema_version}\n{}\n",
            kind.as_str(),
            serde_json::to_string_pretty(&record.body).unwrap_or_default()
        );
        Self::new(record, text)
    }

    /// Adds a field to the JSON form, and `text` to the text form.
    pub fn append<T: Serialize>(&mut self, field: &str, value: &T, text: &str) {
        self.json[field] = json!(value);
        self.text.push_str(text);
    }

    /// Renders the output in a format.
    pub fn render(&self, format: Format) -> String {
        match format {
            Format::Text => self.text.clone(),
            Format::Json => format!("{}\n", self.json),
        }
    }
}

/// Text table with aligned columns.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header row.
    pub fn new<const N: usize>(header: [&str; N]) -> Self {
        Self { rows: vec![header.iter().map(|&cell| cell.to_owned()).collect()] }
    }

    /// Appends a row with one cell per column.
    pub fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    /// Renders the table, with columns padded to equal width.
    pub fn render(&self) -> String {
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

/// Formats a time in UTC as RFC 3339, with milliseconds.
pub fn format_time(at_ms: u64) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(at_ms)).to_string()
}
