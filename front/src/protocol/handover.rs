//! The files by which the processes of one front exchange state in a shared directory: an empty file for each cordoned
//! endpoint, named after it, and one file with the learned health of the endpoints.
use super::admin::endpoint_id;
use super::stored_file::{self, StoredFileError};
use crate::protocol::cache_node::endpoint_name;
use cranesill::api::{EndpointId, LearnedHealth, Timestamp};

/// Format version of these files. Files of other versions are ignored.
const FORMAT_VERSION: &str = "v1";
const FILE_KIND: &str = "learned";
/// Maximum size of a file of learned health in bytes, sufficient for several thousand endpoints.
pub const MAX_LEARNED_BYTES: usize = 256 * 1024;

/// Returns the name of the file whose presence marks the endpoint as cordoned.
pub fn cordon_file_name(endpoint: EndpointId) -> String {
    format!("{FORMAT_VERSION}.out.{}", endpoint_name(endpoint))
}

/// Returns the endpoint that a file of this name marks as cordoned; `None` for other files.
pub fn cordoned_endpoint(file_name: &str) -> Option<EndpointId> {
    let name = file_name
        .strip_prefix(FORMAT_VERSION)?
        .strip_prefix(".out.")?;
    endpoint_id(name)
}

/// Encodes the health learned up to `at`: a header line with version and checksum, the time, and a line for each endpoint.
pub fn encode_learned(at: Timestamp, endpoints: &[LearnedHealth]) -> String {
    let mut body = format!("at {at}\n");
    for health in endpoints {
        body += &encode_health(health);
    }
    stored_file::encode(FILE_KIND, FORMAT_VERSION, &body)
}

fn encode_health(health: &LearnedHealth) -> String {
    let name = endpoint_name(health.endpoint);
    let started = health.started;
    let slow_start_at = health.slow_start_at;
    let down = u8::from(health.down);
    let connection_lost = u8::from(health.connection_lost);
    format!("{name} {started} {slow_start_at} {down} {connection_lost}\n")
}

/// Decodes learned health, and the time at which it was recorded.
pub fn decode_learned(text: &[u8]) -> Result<(Timestamp, Vec<LearnedHealth>), StoredFileError> {
    let (header, body) = stored_file::split(text)?;
    stored_file::check_header(header, FILE_KIND, FORMAT_VERSION, body)?;
    let mut lines = body.lines();
    let at = lines
        .next()
        .and_then(|line| line.strip_prefix("at ")?.parse().ok())
        .ok_or(StoredFileError::TimeMissing)?;
    let endpoints = lines
        .map(decode_health)
        .collect::<Option<_>>()
        .ok_or(StoredFileError::MalformedLine)?;
    Ok((at, endpoints))
}

fn decode_health(line: &str) -> Option<LearnedHealth> {
    let mut fields = line.split(' ');
    let endpoint = endpoint_id(fields.next()?)?;
    let mut next_number = || fields.next()?.parse::<u64>().ok();
    Some(LearnedHealth {
        endpoint,
        started: next_number()?,
        slow_start_at: next_number()?,
        down: next_number()? == 1,
        connection_lost: next_number()? == 1,
    })
}

#[cfg(test)]
mod tests;
