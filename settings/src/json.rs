//! Values of a JSON object, with the wire's defaults for what is missing.
use cranesill::api::Micros;
use serde_json::Value;

/// A number; 0 by default.
pub fn number(object: &Value, key: &str) -> f64 {
    object[key].as_f64().unwrap_or(0.0)
}

/// A duration; 0 by default.
pub fn duration(object: &Value, key: &str) -> Micros {
    number(object, key).max(0.0) as Micros
}

/// A flag; false by default.
pub fn flag(object: &Value, key: &str) -> bool {
    object[key].as_bool().unwrap_or(false)
}

/// An index into the list of kinds; none where it is negative.
pub fn kind(object: &Value, key: &str) -> Option<u8> {
    object[key]
        .as_i64()
        .and_then(|kind| u8::try_from(kind).ok())
}

/// The entries of a list; none by default.
pub fn list<'a>(object: &'a Value, key: &str) -> &'a [Value] {
    object[key].as_array().map_or(&[], Vec::as_slice)
}

/// The texts of a list; what is none is empty.
pub fn texts(object: &Value, key: &str) -> Vec<String> {
    list(object, key).iter().map(text).collect()
}

/// A text; empty by default.
pub fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_string()
}
