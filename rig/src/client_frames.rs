//! Frames that clients send, encoded without limits so that tests can also send invalid ones.

/// Type of a request frame.
const REQUEST: u8 = 10;
/// Bytes of a frame that its length counts besides the payload: type and stream.
const TYPE_AND_STREAM_BYTES: usize = 5;

/// Encodes a frame.
pub fn client_frame(frame_type: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (TYPE_AND_STREAM_BYTES + payload.len()) as u32;
    let mut frame = length.to_be_bytes().to_vec();
    frame.push(frame_type);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

/// Encodes a request with the given names and values of fields.
pub fn request_frame(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.bytes());
    }
    payload.extend(body);
    client_frame(REQUEST, stream, &payload)
}

#[cfg(test)]
mod tests;
