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
pub use diff::{changes, in_effect, Changes};
pub use types::*;

/// Returns the JSON Schema of the settings file, as printed by `cranesill schema`.
pub fn schema() -> serde_json::Value {
    let mut schema = schemars::schema_for!(Daemon).to_value();
    merge_constants(&mut schema);
    schema
}

/// Replaces each `oneOf` of constants by an `enum`, so that a validation error lists the allowed values.
fn merge_constants(schema: &mut serde_json::Value) {
    let constants = schema
        .get("oneOf")
        .and_then(|v| v.as_array())
        .and_then(|alternatives| {
            let constant = |s: &serde_json::Value| s.get("const").cloned();
            alternatives
                .iter()
                .map(constant)
                .collect::<Option<Vec<_>>>()
        });
    match schema {
        serde_json::Value::Object(object) => {
            if let Some(constants) = constants {
                object.remove("oneOf");
                object.insert("enum".into(), constants.into());
            }
            object.values_mut().for_each(merge_constants);
        }
        serde_json::Value::Array(entries) => entries.iter_mut().for_each(merge_constants),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
