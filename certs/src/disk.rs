//! Storage of keys, certificates, the account and unfinished orders in one folder.
//!
//! | file | content |
//! | --- | --- |
//! | `account.json` | the account: directory URL, key and account URL |
//! | `state.json` | times of recent orders, and names that the authority refused |
//! | `NAME.pem` | private key and chain of a certificate, in one file so that they always match |
//! | `NAME.order` | an unfinished order: its URL, names and private key |
//!
//! A file is replaced by writing a temporary file, syncing it, renaming it and syncing the folder, so that a crash at any
//! time leaves either the old or the new content. All files have mode 0600. File operations go through [`Files`], which
//! tests replace to interrupt each step.
use crate::identity::Identity;
use crate::planner::Refusal;
use crate::{sanitize, UnixTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, Permissions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::PathBuf;

/// Larger files are not read.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Files of the folder beyond this number are ignored.
const MAX_FILES: usize = 50_000;
/// Version of the file format. Files of a newer version are neither loaded nor replaced.
const VERSION: u32 = 1;
const ACCOUNT: &str = "account.json";
const STATE: &str = "state.json";

/// The file operations on the folder. Names are relative to it.
pub trait Files {
    /// Creates or truncates a file with mode 0600 and writes it, without syncing.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Syncs the content of a file.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Atomically renames a file, replacing an existing one.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file. A missing file is not an error.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Syncs the folder, so that renames and removals are durable.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Reads a file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Returns the names of the files.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// The suffix of temporary file names, which is unique among the writers that share the folder.
    fn writer_id(&self) -> &str;
}

/// A folder in the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    writer_id: String,
}

impl Folder {
    /// Opens a folder, which is created with mode 0700 if it does not exist. `writer_id` has to be unique among the fronts
    /// that share the folder.
    pub fn open(path: PathBuf, writer_id: &str) -> io::Result<Self> {
        use std::os::unix::fs::DirBuilderExt;
        if !path.is_dir() {
            std::fs::DirBuilder::new()
                .recursive(true)
                .mode(0o700)
                .create(&path)?;
        }
        let safe_char = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
        Ok(Folder {
            path,
            writer_id: writer_id.chars().map(safe_char).collect(),
        })
    }

    fn file_path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Files for Folder {
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .mode(0o600)
            .open(self.file_path(name))?;
        // `mode` applies to a new file only.
        file.set_permissions(Permissions::from_mode(0o600))?;
        file.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        File::open(self.file_path(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.file_path(from), self.file_path(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match std::fs::remove_file(self.file_path(name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let file = File::open(self.file_path(name))?;
        let mode = file.metadata()?.permissions().mode();
        if mode & 0o077 != 0 {
            // Best effort: a read-only folder is reported by the next write.
            let _ = file.set_permissions(Permissions::from_mode(0o600));
        }
        let mut bytes = Vec::new();
        file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(io::Error::other(format!(
                "file exceeds {MAX_FILE_BYTES} bytes"
            )));
        }
        Ok(bytes)
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)?.take(MAX_FILES) {
            names.extend(entry?.file_name().into_string());
        }
        names.sort();
        Ok(names)
    }

    fn writer_id(&self) -> &str {
        &self.writer_id
    }
}

/// The stored account.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Directory URL of the authority at which the account is registered.
    pub directory_url: String,
    /// Account key in PEM. Must not be logged.
    pub key: String,
    /// New account key in PEM during a key rollover.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next_key: Option<String>,
    /// Account URL, once the account is registered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub url: Option<String>,
}

impl std::fmt::Debug for Account {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Account({}, {:?})", self.directory_url, self.url)
    }
}

/// A stored order that is not finished.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingOrder {
    /// Order URL at the authority.
    pub url: String,
    /// Names in the order.
    pub names: Vec<String>,
    /// Private key of the certificate in PEM. Must not be logged.
    pub key: String,
    /// Time at which the order was created.
    pub began: UnixTime,
}

impl std::fmt::Debug for PendingOrder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PendingOrder({}, {:?})", self.url, self.names)
    }
}

/// State of the planner that survives a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Times of the orders within the order window.
    #[serde(default)]
    pub orders: Vec<UnixTime>,
    /// Names that the authority refused, with the end of their backoff.
    #[serde(default)]
    pub refused: BTreeMap<String, Refusal>,
}

#[derive(Serialize, Deserialize)]
struct Versioned<T> {
    version: u32,
    #[serde(flatten)]
    body: T,
}

/// The content of a folder.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The stored account.
    pub account: Option<Account>,
    /// The stored state of the planner.
    pub state: State,
    /// Certificates with the id from the file name.
    pub identities: Vec<(String, Identity)>,
    /// Unfinished orders with the id from the file name.
    pub pending: Vec<(String, PendingOrder)>,
    /// Files that cannot be used, with the reason.
    pub faults: Vec<(String, String)>,
}

/// Reads all files of a folder. Unreadable files are returned as faults. Temporary files of this writer, left by a crash,
/// are removed.
pub fn load(files: &mut dyn Files) -> Result<Loaded, String> {
    let temporary_suffix = format!(".{}.tmp", files.writer_id());
    for name in list(files)? {
        if name.starts_with('.') && name.ends_with(&temporary_suffix) {
            let _ = files.remove(&name);
        }
    }
    load_unchanged(files)
}

/// Reads all files of a folder in which another process with the same writer id may write. Unreadable files are returned as faults.
pub fn load_unchanged(files: &mut dyn Files) -> Result<Loaded, String> {
    let mut loaded = Loaded::default();
    for name in list(files)? {
        if name.starts_with('.') {
            continue;
        }
        let fault = match files.read(&name) {
            Err(e) => Err(e.to_string()),
            Ok(bytes) => load_file(&name, &bytes, &mut loaded),
        };
        if let Err(error) = fault {
            loaded.faults.push((sanitize(&name, 300), error));
        }
    }
    Ok(loaded)
}

fn list(files: &mut dyn Files) -> Result<Vec<String>, String> {
    let names = files.list();
    names.map_err(|error| format!("cannot list the folder: {error}"))
}

/// Reads a certificate that another front may have renewed. Returns `None` if there is no usable file.
pub fn reread(files: &mut dyn Files, id: &str) -> Option<Identity> {
    let bytes = files.read(&format!("{id}.pem")).ok()?;
    Identity::from_pem(std::str::from_utf8(&bytes).ok()?).ok()
}

/// Returns the format version of a file.
fn version(bytes: &[u8]) -> Result<u32, serde_json::Error> {
    serde_json::from_slice::<Versioned<serde_json::Value>>(bytes).map(|file| file.version)
}

/// Whether the folder has a file of this name in a newer format. Such a file belongs to a later release, which is used again after
/// this one.
fn has_newer_version(files: &mut dyn Files, name: &str) -> bool {
    let is_versioned = !name.ends_with(".pem");
    let newer = |bytes: Vec<u8>| version(&bytes).is_ok_and(|version| version > VERSION);
    is_versioned && files.read(name).is_ok_and(newer)
}

/// Parses a file by its name and adds it to `loaded`. Files with other names are ignored.
fn load_file(name: &str, bytes: &[u8], loaded: &mut Loaded) -> Result<(), String> {
    fn read<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, String> {
        // The message of serde may quote the file, which contains a key, so only the position is reported.
        let position =
            |e: serde_json::Error| format!("damaged at line {} column {}", e.line(), e.column());
        if version(bytes).map_err(position)? > VERSION {
            return Err("written by a newer version of this program; not loaded".into());
        }
        serde_json::from_slice::<Versioned<T>>(bytes)
            .map(|v| v.body)
            .map_err(position)
    }
    match name.rsplit_once('.') {
        _ if name == ACCOUNT => loaded.account = Some(read(bytes)?),
        _ if name == STATE => loaded.state = read(bytes)?,
        Some((id, "order")) => loaded.pending.push((id.into(), read(bytes)?)),
        Some((id, "pem")) => {
            let text = std::str::from_utf8(bytes).map_err(|_| "damaged: not UTF-8")?;
            loaded
                .identities
                .push((id.into(), Identity::from_pem(text)?));
        }
        _ => {}
    }
    Ok(())
}

/// A change to a file of the folder. The strings are certificate ids.
#[derive(Clone, Debug)]
pub enum FileUpdate {
    /// Saves the account.
    Account(Account),
    /// Saves the state of the planner.
    State(State),
    /// Saves an unfinished order.
    PendingOrder(String, PendingOrder),
    /// Removes an order.
    RemoveOrder(String),
    /// Saves a certificate and removes its order.
    Identity(String, Identity),
}

/// Carries out an update, which is durable when this function returns without an error. The error contains the file and
/// the failed step.
pub fn save(files: &mut dyn Files, update: &FileUpdate) -> Result<(), String> {
    fn text<T: Serialize>(body: &T) -> Result<Vec<u8>, String> {
        serde_json::to_vec_pretty(&Versioned {
            version: VERSION,
            body,
        })
        .map_err(|e| e.to_string())
    }
    match update {
        FileUpdate::Account(account) => write_file(files, ACCOUNT, &text(account)?),
        FileUpdate::State(state) => write_file(files, STATE, &text(state)?),
        FileUpdate::PendingOrder(id, pending) => {
            write_file(files, &format!("{id}.order"), &text(pending)?)
        }
        FileUpdate::RemoveOrder(id) => remove_file(files, &format!("{id}.order")),
        FileUpdate::Identity(id, identity) => {
            write_file(files, &format!("{id}.pem"), identity.bundle().as_bytes())?;
            remove_file(files, &format!("{id}.order"))
        }
    }
}

/// Atomically replaces a file, unless it has a newer format.
fn write_file(files: &mut dyn Files, name: &str, bytes: &[u8]) -> Result<(), String> {
    if has_newer_version(files, name) {
        return Err(format!(
            "{name}: written by a newer version of this program; not overwritten"
        ));
    }
    let temporary = format!(".{name}.{}.tmp", files.writer_id());
    let step = |step: &'static str| move |e: io::Error| format!("{step}: {e}");
    let written = files.write(&temporary, bytes).map_err(step("write"));
    let done = written
        .and_then(|()| files.sync(&temporary).map_err(step("sync")))
        .and_then(|()| files.rename(&temporary, name).map_err(step("rename")))
        .and_then(|()| files.sync_folder().map_err(step("sync the folder")));
    if done.is_err() {
        // Best effort: temporary files are removed at the next start.
        let _ = files.remove(&temporary);
    }
    done.map_err(|e| format!("{name}: {e}"))
}

/// Removes a file, unless it has a newer format.
fn remove_file(files: &mut dyn Files, name: &str) -> Result<(), String> {
    if has_newer_version(files, name) {
        return Ok(());
    }
    let done = files.remove(name).and_then(|()| files.sync_folder());
    done.map_err(|e| format!("{name}: remove: {e}"))
}
