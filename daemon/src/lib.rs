//! The daemon's settings: a JSON file that is passed by `cranesill serve --settings FILE`. Without it every subsystem that
//! it can enable is off.
//!
//! Keys end in their unit: `_ms` and `_s` for durations, `_bytes` for sizes, `_percent` for percentages. Unknown keys are
//! rejected. [`read`] reports all faults of a file, each with its JSON path.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod check;
mod diff;
mod types;

pub use check::{read, Fault};
pub use diff::{changes, Changes};
pub use types::*;

/// Returns the JSON Schema of the settings file, as printed by `cranesill schema`.
pub fn schema() -> serde_json::Value {
    let mut schema = schemars::schema_for!(Daemon).to_value();
    plain(&mut schema);
    schema
}

/// Replaces each `oneOf` of constants by an `enum`, so that a validation error lists the allowed values.
fn plain(schema: &mut serde_json::Value) {
    let words = schema
        .get("oneOf")
        .and_then(|v| v.as_array())
        .and_then(|all| {
            let word = |s: &serde_json::Value| s.get("const").cloned();
            all.iter().map(word).collect::<Option<Vec<_>>>()
        });
    match schema {
        serde_json::Value::Object(object) => {
            if let Some(words) = words {
                object.remove("oneOf");
                object.insert("enum".into(), words.into());
            }
            object.values_mut().for_each(plain);
        }
        serde_json::Value::Array(all) => all.iter_mut().for_each(plain),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
