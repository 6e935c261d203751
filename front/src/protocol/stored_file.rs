//! The header line of text files written by the front: `cranesill KIND VERSION CHECKSUM`. The checksum is the CRC-32 of
//! everything after the line, in hexadecimal.

const PROGRAM: &str = "cranesill";

/// Why a stored file is rejected. Callers treat such a file as absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoredFileError {
    /// The file is larger than the maximum for its kind.
    #[error("too long")]
    TooLong,
    /// The file is not valid UTF-8.
    #[error("not valid UTF-8")]
    NotText,
    /// The file has no complete header line.
    #[error("no header line")]
    HeaderMissing,
    /// The header does not name the program, or names another kind of file.
    #[error("wrong kind of file in the header")]
    OtherKind,
    /// The file was written by another version of the format.
    #[error("unsupported format version")]
    OtherVersion,
    /// The checksum does not match the body: the file was truncated or modified.
    #[error("checksum mismatch: truncated or modified")]
    Checksum,
    /// The file contains no time of writing.
    #[error("no time of writing")]
    TimeMissing,
    /// The file contains no revision.
    #[error("no revision")]
    RevisionMissing,
    /// A line of the body is malformed.
    #[error("malformed line")]
    MalformedLine,
}

/// Encodes a file of this kind and version: the header line and the body.
pub fn encode(kind: &str, version: &str, body: &str) -> String {
    let checksum = crc32fast::hash(body.as_bytes());
    format!("{PROGRAM} {kind} {version} {checksum:08x}\n{body}")
}

/// Splits a file into its header line and its body.
pub fn split(text: &[u8]) -> Result<(&str, &str), StoredFileError> {
    let text = std::str::from_utf8(text).map_err(|_| StoredFileError::NotText)?;
    text.split_once('\n').ok_or(StoredFileError::HeaderMissing)
}

/// Checks that a header line has this kind and version and that its checksum matches the body.
pub fn check_header(
    header: &str,
    kind: &str,
    version: &str,
    body: &str,
) -> Result<(), StoredFileError> {
    let mut fields = header.split(' ');
    if fields.next() != Some(PROGRAM) || fields.next() != Some(kind) {
        return Err(StoredFileError::OtherKind);
    }
    if fields.next() != Some(version) {
        return Err(StoredFileError::OtherVersion);
    }
    let checksum = fields
        .next()
        .and_then(|digits| u32::from_str_radix(digits, 16).ok());
    if checksum != Some(crc32fast::hash(body.as_bytes())) {
        return Err(StoredFileError::Checksum);
    }
    Ok(())
}
