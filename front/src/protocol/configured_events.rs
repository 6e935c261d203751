//! The initial watch events in the configuration, in JSON.
use super::discovery::{EndpointRecord, WatchEvent};
use super::hex16;
use cranesill::api::EndpointState;
use cranesill_settings::Names;
use serde_json::Value;

/// Why the configured events are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfiguredEventsError {
    /// The revision is missing or not a number.
    #[error("known: n is missing or not a number")]
    RevisionMissing,
    /// The list of events is missing or not an array.
    #[error("known: events is missing or not an array")]
    EventsMissing,
    /// An event is malformed.
    #[error("known: malformed event {0}")]
    MalformedEvent(Value),
}

/// Reads the value of `known`: the revision of the endpoint list and the events that produce it.
pub fn read(known: &Value, names: &Names) -> Result<(u64, Vec<WatchEvent>), ConfiguredEventsError> {
    let revision = known["n"]
        .as_u64()
        .ok_or(ConfiguredEventsError::RevisionMissing)?;
    let events = known["events"]
        .as_array()
        .ok_or(ConfiguredEventsError::EventsMissing)?;
    let parse = |event: &Value| {
        parse_event(event, names)
            .ok_or_else(|| ConfiguredEventsError::MalformedEvent(event.clone()))
    };
    let events = events.iter().map(parse).collect::<Result<_, _>>()?;
    Ok((revision, events))
}

fn parse_event(event: &Value, names: &Names) -> Option<WatchEvent> {
    match event.get("purge") {
        Some(purge) => parse_purge(purge),
        None => parse_endpoints(event, names),
    }
}

fn parse_purge(purge: &Value) -> Option<WatchEvent> {
    let object = match purge["key"].as_str() {
        Some(key) => Some(hex16(key)?),
        None => None,
    };
    let group = match purge["group"].as_u64() {
        Some(group) => u32::try_from(group).ok()?,
        None => 0,
    };
    let names_target = object.is_some() || purge.get("group").is_some();
    if !names_target {
        return None;
    }
    Some(WatchEvent::Purge {
        object,
        group,
        at_ms: purge["at"].as_u64()?,
    })
}

fn parse_endpoints(event: &Value, names: &Names) -> Option<WatchEvent> {
    let members = event.get("members")?;
    let list = members["instances"]
        .as_array()?
        .iter()
        .map(|instance| parse_endpoint(instance, names))
        .collect::<Option<_>>()?;
    // The first event always contains the complete list, even if `reset` is not set.
    let is_first = event["n"].as_u64() == Some(1);
    let is_reset = members["reset"].as_bool().unwrap_or(false);
    Some(WatchEvent::Endpoints {
        complete: is_first || is_reset,
        list,
    })
}

fn parse_endpoint(instance: &Value, names: &Names) -> Option<EndpointRecord> {
    let zone = position_of(&names.zones, &instance["zone"])?;
    let kind = position_of(&names.kinds, &instance["machineType"])?;
    Some(EndpointRecord {
        id: parse_id(&instance["instanceId"])?,
        address: instance["hostPort"].as_str()?.parse().ok()?,
        state: parse_state(&instance["lifecycle"])?,
        zone: u16::try_from(zone).ok()?,
        kind: u8::try_from(kind).ok()?,
        cell: u16::try_from(instance["cell"].as_u64().unwrap_or(0)).ok()?,
        weight: instance["weight"].as_f64().unwrap_or(0.0),
        started_ms: instance["startedAtMs"].as_u64().unwrap_or(0),
    })
}

fn parse_id(value: &Value) -> Option<u32> {
    let digits = value.as_str()?.strip_prefix("s-")?;
    u32::from_str_radix(digits, 16).ok()
}

fn parse_state(value: &Value) -> Option<EndpointState> {
    match value.as_str()? {
        "in_service" => Some(EndpointState::Ready),
        "terminating" => Some(EndpointState::Draining),
        "terminated" => Some(EndpointState::Removed),
        _ => None,
    }
}

/// Returns the index of a name in a list from the settings.
fn position_of(list: &[String], name: &Value) -> Option<usize> {
    let name = name.as_str()?;
    list.iter().position(|listed| listed == name)
}

#[cfg(test)]
mod tests;
