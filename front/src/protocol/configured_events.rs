//! The events that a front is given at its start, as JSON.
use super::discovery::{EndpointRecord, WatchEvent};
use super::hex16;
use cranesill::api::EndpointState;
use cranesill_settings::Names;
use serde_json::Value;

/// Reads `known`: the number of the last event, and the events.
pub fn read(known: &Value, names: &Names) -> Result<(u64, Vec<WatchEvent>), String> {
    let last = known["n"].as_u64().ok_or("known: no number")?;
    let events = known["events"].as_array().ok_or("known: no events")?;
    let read = |event| news(event, names).ok_or_else(|| format!("known: unusable event {event}"));
    Ok((last, events.iter().map(read).collect::<Result<_, _>>()?))
}

fn news(event: &Value, names: &Names) -> Option<WatchEvent> {
    if let Some(purge) = event.get("purge") {
        let object = purge["key"]
            .as_str()
            .map(|key| hex16(key).ok_or(()))
            .transpose()
            .ok()?;
        let group = purge["group"]
            .as_u64()
            .map_or(Some(0), |g| u32::try_from(g).ok())?;
        (object.is_some() || purge.get("group").is_some()).then_some(())?;
        return Some(WatchEvent::Purge {
            object,
            group,
            at_ms: purge["at"].as_u64()?,
        });
    }
    let members = event.get("members")?;
    let list = members["instances"]
        .as_array()?
        .iter()
        .map(|m| listing(m, names))
        .collect::<Option<_>>()?;
    // The complete list stands in the first event, whatever its mark says.
    let complete = members["reset"].as_bool().unwrap_or(false) || event["n"].as_u64() == Some(1);
    Some(WatchEvent::Endpoints { complete, list })
}

fn listing(member: &Value, names: &Names) -> Option<EndpointRecord> {
    let place =
        |list: &[String], name: &Value| list.iter().position(|n| Some(n.as_str()) == name.as_str());
    Some(EndpointRecord {
        id: u32::from_str_radix(member["instanceId"].as_str()?.strip_prefix("s-")?, 16).ok()?,
        address: member["hostPort"].as_str()?.parse().ok()?,
        state: match member["lifecycle"].as_str()? {
            "in_service" => EndpointState::Ready,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Removed,
            _ => return None,
        },
        zone: u16::try_from(place(&names.zones, &member["zone"])?).ok()?,
        kind: u8::try_from(place(&names.kinds, &member["machineType"])?).ok()?,
        cell: u16::try_from(member["cell"].as_u64().unwrap_or(0)).ok()?,
        weight: member["weight"].as_f64().unwrap_or(0.0),
        started_ms: member["startedAtMs"].as_u64().unwrap_or(0),
    })
}

#[cfg(test)]
mod tests;
