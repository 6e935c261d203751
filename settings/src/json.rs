//! Accessors for values of a JSON object. A missing value, or one of another type, yields the default.
use cranesill::api::Micros;
use serde_json::Value;

/// Returns a number; the default is 0.
pub fn number(object: &Value, key: &str) -> f64 {
    object[key].as_f64().unwrap_or(0.0)
}

/// Returns a duration in microseconds; the default is 0.
pub fn duration(object: &Value, key: &str) -> Micros {
    number(object, key).max(0.0) as Micros
}

/// Returns a boolean; the default is false.
pub fn flag(object: &Value, key: &str) -> bool {
    object[key].as_bool().unwrap_or(false)
}

/// Returns an index into the list of kinds, or `None` if it is negative.
pub fn kind(object: &Value, key: &str) -> Option<u8> {
    object[key]
        .as_i64()
        .and_then(|kind| u8::try_from(kind).ok())
}

/// Returns the entries of an array; the default is an empty array.
pub fn array<'a>(object: &'a Value, key: &str) -> &'a [Value] {
    object[key].as_array().map_or(&[], Vec::as_slice)
}

/// Returns the strings of an array; an entry of another type yields an empty string.
pub fn strings(object: &Value, key: &str) -> Vec<String> {
    array(object, key).iter().map(string).collect()
}

/// Returns a string; the default is an empty string.
pub fn string(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_string()
}
