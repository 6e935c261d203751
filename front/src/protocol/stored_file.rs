//! The header line that the front's own text files begin with: `cranesill KIND VERSION CHECKSUM`, where the checksum is the
//! CRC-32 of everything behind the line, in hexadecimal.

const PROGRAM: &str = "cranesill";

/// Why a file that the front wrote cannot be used. It is then treated as absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoredFileError {
    /// The file is larger than any that is written.
    #[error("it is too long")]
    TooLong,
    /// The file is not UTF-8.
    #[error("it is no text")]
    NotText,
    /// The file has no complete header line.
    #[error("it has no head")]
    HeaderMissing,
    /// The header names another kind of file.
    #[error("it is of something else")]
    OtherKind,
    /// The file was written by another version of the format.
    #[error("it is of another version")]
    OtherVersion,
    /// The checksum does not fit the body: the file was cut off or changed.
    #[error("its checksum is wrong")]
    Checksum,
    /// The file does not state when it was written.
    #[error("it has no time")]
    TimeMissing,
    /// The file does not state its revision.
    #[error("it has no number")]
    RevisionMissing,
    /// A line of the body is malformed.
    #[error("a line can't be read")]
    MalformedLine,
}

/// Writes a file of this kind and version: the header line and the body.
pub fn encode(kind: &str, version: &str, body: &str) -> String {
    let checksum = crc32fast::hash(body.as_bytes());
    format!("{PROGRAM} {kind} {version} {checksum:08x}\n{body}")
}

/// Splits a file into its header line and its body.
pub fn split(text: &[u8]) -> Result<(&str, &str), StoredFileError> {
    let text = std::str::from_utf8(text).map_err(|_| StoredFileError::NotText)?;
    text.split_once('\n').ok_or(StoredFileError::HeaderMissing)
}

/// Checks that a header line is of this kind and version and that its checksum fits the body.
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
