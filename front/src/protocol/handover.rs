//! What the processes of one front leave for each other in a shared folder: empty files whose names carry the endpoints that
//! are cordoned, and one file with the health that was learned of endpoints. No I/O here.
use super::admin::endpoint_id;
use super::stored_file::{self, StoredFileError};
use crate::protocol::cache_node::endpoint_name;
use cranesill::api::{EndpointId, LearnedHealth, Timestamp};

/// The version of these files; one of another version is treated as absent.
const FORMAT_VERSION: &str = "v1";
const FILE_KIND: &str = "learned";
/// The largest file of learned health, in bytes: some thousand endpoints.
pub const MAX_LEARNED_BYTES: usize = 256 * 1024;

/// Returns the name of the file whose presence says that the endpoint is cordoned.
pub fn cordon_file_name(endpoint: EndpointId) -> String {
    format!("{FORMAT_VERSION}.out.{}", endpoint_name(endpoint))
}

/// Returns the endpoint that a file of this name cordons; `None` if it is another file.
pub fn cordoned_endpoint(file_name: &str) -> Option<EndpointId> {
    let name = file_name
        .strip_prefix(FORMAT_VERSION)?
        .strip_prefix(".out.")?;
    endpoint_id(name)
}

/// Encodes the health that was learned up to `at`: a header with version and checksum, and a line for each endpoint.
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

/// Decodes learned health, and the time up to which it was learned.
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
