//! Keys, certificates, the account and orders under way in one folder.
//!
//! | file | holds |
//! | --- | --- |
//! | `account.json` | the account: its authority, key and URL |
//! | `state.json` | orders begun lately, and names that are held back |
//! | `NAME.pem` | key and chain of one certificate, in one file, so that they always belong together |
//! | `NAME.order` | an order under way: its URL, its names and the key that it is for |
//!
//! Each file is written aside, synced, renamed, and its folder synced: a kill at any moment leaves the old file or
//! the new one. All are 0600. The steps are those of [`Files`], so that tests stop at each of them.
use crate::identity::Identity;
use crate::planner::Refusal;
use crate::{sanitize, UnixTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, Permissions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::PathBuf;

/// Bytes that a file may have; files that are looked at.
const MAX_FILE_BYTES: u64 = 1 << 20;
const MAX_FILES: usize = 50_000;
/// Of the files' form; a newer one is left alone.
const VERSION: u32 = 1;
const ACCOUNT: &str = "account.json";
const STATE: &str = "state.json";

/// The steps of which all writing and reading consists. Names are those of files within the folder.
pub trait Files {
    /// Makes or empties a file of mode 0600 and writes it, without syncing.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Syncs a file's bytes.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Puts a file in the place of another, at once.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Takes a file away; one that is not there is no error.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Syncs the folder: which files there are.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// A file's bytes.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// The files that there are.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// What is added to the names of files written aside: no other writer's.
    fn writer_id(&self) -> &str;
}

/// A folder on disk.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    writer_id: String,
}

impl Folder {
    /// Opens a folder, and makes it (mode 0700) if it is not there. `writer_id` tells this writer from others that share
    /// the folder.
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
        // The mode above counts for a new file alone.
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
            // Best effort: a read-only folder is told of when something is written.
            let _ = file.set_permissions(Permissions::from_mode(0o600));
        }
        let mut bytes = Vec::new();
        file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(io::Error::other(format!(
                "more than {MAX_FILE_BYTES} bytes"
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

/// The account, as it is kept.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// URL of the directory of the authority that knows it.
    pub directory_url: String,
    /// Its key in PEM: a secret.
    pub key: String,
    /// The key that is to take the place of `key`, while that is under way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next_key: Option<String>,
    /// Its URL, once it is made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub url: Option<String>,
}

impl std::fmt::Debug for Account {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Account({}, {:?})", self.directory_url, self.url)
    }
}

/// An order under way, as it is kept.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingOrder {
    /// Its URL at the authority.
    pub url: String,
    /// Names in it.
    pub names: Vec<String>,
    /// Its key in PEM: a secret.
    pub key: String,
    /// When it was begun.
    pub began: UnixTime,
}

impl std::fmt::Debug for PendingOrder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Pending({}, {:?})", self.url, self.names)
    }
}

/// What the planner remembers over a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// When orders were begun, as far as they count.
    #[serde(default)]
    pub orders: Vec<UnixTime>,
    /// Names that the authority refused.
    #[serde(default)]
    pub refused: BTreeMap<String, Refusal>,
}

#[derive(Serialize, Deserialize)]
struct Versioned<T> {
    version: u32,
    #[serde(flatten)]
    body: T,
}

/// What a folder held.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The account.
    pub account: Option<Account>,
    /// The planner's memory.
    pub state: State,
    /// Certificates, by the name of their file.
    pub identities: Vec<(String, Identity)>,
    /// Orders under way, by the name of their file.
    pub pending: Vec<(String, PendingOrder)>,
    /// What can't be used: the file, and why.
    pub faults: Vec<(String, String)>,
}

/// Reads all that a folder holds. What can't be read is a fault and nothing more; files left behind in the midst
/// of a write are taken away.
pub fn load(files: &mut dyn Files) -> Result<Loaded, String> {
    let mut loaded = Loaded::default();
    let names = files.list().map_err(|e| e.to_string())?;
    for name in names {
        if name.starts_with('.') {
            if name.ends_with(&format!(".{}.tmp", files.writer_id())) {
                let _ = files.remove(&name);
            }
            continue;
        }
        let fault = match files.read(&name) {
            Err(e) => Err(e.to_string()),
            Ok(bytes) => load_file(&name, &bytes, &mut loaded),
        };
        if let Err(why) = fault {
            loaded.faults.push((sanitize(&name, 300), why));
        }
    }
    Ok(loaded)
}

/// Reads one certificate again: another front may have renewed it. `None`: there is none that can be used.
pub fn reread(files: &mut dyn Files, id: &str) -> Option<Identity> {
    let bytes = files.read(&format!("{id}.pem")).ok()?;
    Identity::from_pem(std::str::from_utf8(&bytes).ok()?).ok()
}

fn load_file(name: &str, bytes: &[u8], loaded: &mut Loaded) -> Result<(), String> {
    fn read<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, String> {
        let version = serde_json::from_slice::<Versioned<serde_json::Value>>(bytes);
        // serde's words may cite the text, which holds a key: its place is enough.
        let position =
            |e: serde_json::Error| format!("damaged at line {} column {}", e.line(), e.column());
        if version.map_err(position)?.version > VERSION {
            return Err("from a newer version of this program: left alone".into());
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
            let text = std::str::from_utf8(bytes).map_err(|_| "damaged: no text")?;
            loaded
                .identities
                .push((id.into(), Identity::from_pem(text)?));
        }
        _ => {}
    }
    Ok(())
}

/// Something to be kept.
#[derive(Clone, Debug)]
pub enum FileUpdate {
    /// The account.
    Account(Account),
    /// The planner's memory.
    State(State),
    /// An order under way, for the certificate of that id.
    PendingOrder(String, PendingOrder),
    /// An order that is over.
    RemoveOrder(String),
    /// A certificate; the order that it came from is over.
    Identity(String, Identity),
}

/// Keeps something, durably once this returns without an error. The error names the step that failed.
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

fn write_file(files: &mut dyn Files, name: &str, bytes: &[u8]) -> Result<(), String> {
    let temporary = format!(".{name}.{}.tmp", files.writer_id());
    let step = |step: &'static str| move |e: io::Error| format!("{step}: {e}");
    let written = files.write(&temporary, bytes).map_err(step("write"));
    let done = written
        .and_then(|()| files.sync(&temporary).map_err(step("sync")))
        .and_then(|()| files.rename(&temporary, name).map_err(step("rename")))
        .and_then(|()| files.sync_folder().map_err(step("sync of the folder")));
    if done.is_err() {
        // Best effort: it is taken away at the next start.
        let _ = files.remove(&temporary);
    }
    done.map_err(|e| format!("{name}: {e}"))
}

fn remove_file(files: &mut dyn Files, name: &str) -> Result<(), String> {
    let done = files.remove(name).and_then(|()| files.sync_folder());
    done.map_err(|e| format!("{name}: remove: {e}"))
}
