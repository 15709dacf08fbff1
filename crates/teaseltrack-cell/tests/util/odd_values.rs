//! Table of odd inputs: a good JSON text with each of its values replaced by each of the odd ones.

use serde_json::Value;

/// Text in place of which an odd value is put.
const PLACEHOLDER: &str = "\u{1}";

/// Texts that aren't JSON.
const NO_JSON: [&str; 5] = ["", "%%", "\"", "[", "{\""];

/// JSON texts, also some that a decoder refuses for their numbers, depth or escapes.
pub fn odd_values() -> Vec<String> {
    let nested =
        |open: &str, close: &str| format!("{}1{}", open.repeat(5_000), close.repeat(5_000));
    let mut values = vec![nested("[", "]"), nested("{\"a\":", "}")];
    let texts = [
        "null",
        "true",
        "0",
        "5",
        "-1",
        "0.5",
        "1e999",
        "-1e308",
        "4294967295",
        "9007199254740993",
        "18446744073709551615",
        "99999999999999999999999",
        "\"\"",
        "\"x\"",
        "\"\\ud800\"",
        "\"\\u0000\"",
        "[]",
        "{}",
        "[null]",
        "[[],5,\"x\"]",
        "{\"a\":{}}",
    ];
    values.extend(texts.map(str::to_owned));
    values
}

/// Variants of a good text, as [`odd_json_variants`], and texts that aren't JSON.
#[allow(dead_code, reason = "not all test programs use it")]
pub fn odd_variants(good: &str) -> Vec<String> {
    let mut variants = odd_json_variants(good);
    variants.extend(NO_JSON.map(str::to_owned));
    variants.extend(NO_JSON.map(|odd| good.replacen(':', odd, 1)));
    variants
}

/// Variants of a good text: each odd value instead of the whole or of one of its values, and the
/// text without one of them, or with an element twice.
pub fn odd_json_variants(good: &str) -> Vec<String> {
    let good: Value = serde_json::from_str(good).expect("valid JSON");
    let mut pointers = Vec::new();
    collect_pointers(&good, String::new(), &mut pointers);
    let mut variants = odd_values();
    for pointer in &pointers {
        let mut marked = good.clone();
        *marked.pointer_mut(pointer).expect("existing value") = PLACEHOLDER.into();
        let marked = marked.to_string();
        let placeholder = Value::from(PLACEHOLDER).to_string();
        variants.extend(odd_values().iter().map(|odd| marked.replace(&placeholder, odd)));
        let (parent, name) = pointer.rsplit_once('/').expect("not the whole");
        let mut shortened = good.clone();
        match shortened.pointer_mut(parent).expect("existing value") {
            Value::Object(members) => drop(members.remove(name)),
            Value::Array(elements) => {
                let index = name.parse().expect("index");
                let mut lengthened = good.clone();
                if let Some(Value::Array(longer)) = lengthened.pointer_mut(parent) {
                    longer.insert(index, elements[index].clone());
                }
                variants.push(lengthened.to_string());
                elements.remove(index);
            }
            _ => {}
        }
        variants.push(shortened.to_string());
    }
    variants
}

fn collect_pointers(value: &Value, pointer: String, pointers: &mut Vec<String>) {
    let mut visit = |name: String, child: &Value| {
        let pointer = format!("{pointer}/{name}");
        pointers.push(pointer.clone());
        collect_pointers(child, pointer, pointers);
    };
    match value {
        Value::Object(members) => {
            members.iter().for_each(|(name, child)| visit(name.clone(), child));
        }
        Value::Array(elements) => {
            (0..).zip(elements).for_each(|(index, child): (usize, _)| {
                visit(index.to_string(), child);
            });
        }
        _ => {}
    }
}
