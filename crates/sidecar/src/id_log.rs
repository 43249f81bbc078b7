//! The ids of requests that must not run twice, shared between the processes of an upgrade.
//!
//! Every process appends the id of such a request to a file of its own before the request can run, and reads what the others
//! have appended before it accepts one. Of two processes that accept the same id at the same time, each sees the other's
//! entry. A file has one id a line; a process writes to a new file when its file is full and keeps the one before. It locks its
//! files, so those of a process that has ended can be told.

use std::fs::{self, File, OpenOptions};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// Maximum size of a file, in bytes. The directory may count as memory.
const MAX_FILE_BYTES: u64 = 128 * 1024;
/// Number of files of former processes that are kept.
const KEPT_FILES: usize = 3;
const PREFIX: &str = "cometcroft-ids-";

/// The log of one process.
#[derive(Debug)]
pub struct IdLog {
    directory: PathBuf,
    /// Name of the files of this process, without their number.
    name: String,
    number: u64,
    file: Option<File>,
    written: u64,
    /// The last entry was not written completely.
    is_torn: bool,
    /// The file before the current one, which stays locked.
    previous_file: Option<File>,
    has_read: bool,
    others: Vec<OtherFile>,
}

/// A file of another process.
#[derive(Debug)]
struct OtherFile {
    name: String,
    file: File,
    /// The beginning of a line whose end has not been read.
    partial: Vec<u8>,
}

impl IdLog {
    /// Creates the log of a process. Its file is created with the first entry.
    pub fn new(directory: PathBuf) -> IdLog {
        let unique = RandomState::new().hash_one(std::process::id());
        remove_old_files(&directory);
        IdLog {
            directory,
            name: format!("{PREFIX}{unique:016x}"),
            number: 0,
            file: None,
            written: 0,
            is_torn: false,
            previous_file: None,
            has_read: false,
            others: Vec::new(),
        }
    }

    /// Appends an id. An error leaves the log usable; the other processes may not learn of the id then.
    pub fn append(&mut self, id: &[u8]) -> io::Result<()> {
        let mut line = Vec::with_capacity(id.len() + 2);
        if self.is_torn {
            line.push(b'\n');
        }
        line.extend_from_slice(id);
        line.push(b'\n');
        let appended = self.current_file().and_then(|mut file| file.write_all(&line));
        self.is_torn = appended.is_err();
        self.written += line.len() as u64;
        appended
    }

    /// The file to append to.
    fn current_file(&mut self) -> io::Result<&File> {
        if self.file.is_none() || self.written >= MAX_FILE_BYTES {
            let path = |number: u64| self.directory.join(format!("{}.{number}", self.name));
            let next = self.number + 1;
            let file = OpenOptions::new().create_new(true).append(true).open(path(next))?;
            // Without the lock the file may be removed sooner, but it is read until then.
            let _ = file.try_lock();
            if next > 2 {
                let _ = fs::remove_file(path(next - 2));
            }
            self.previous_file = self.file.replace(file);
            (self.number, self.written) = (next, 0);
        }
        self.file.as_ref().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Whether the ids of the other processes have been read before.
    pub fn has_read(&self) -> bool {
        self.has_read
    }

    /// Passes the ids that other processes have appended since the last call to `take`.
    pub fn read_others(&mut self, mut take: impl FnMut(&[u8])) -> io::Result<()> {
        let mut present = file_names(&self.directory)?;
        // The newest come last: they stay where there is room for some only.
        present.sort_by_cached_key(|name| modified(&self.directory, name));
        self.has_read = true;
        self.others.retain_mut(|other| {
            // What was appended before the file was removed is read.
            let is_present = present.contains(&other.name);
            let read = other.read(&mut take);
            is_present && read.is_ok()
        });
        for name in present {
            let is_known = self.others.iter().any(|other| other.name == name);
            if is_known || name.starts_with(&self.name) {
                continue;
            }
            let file = match File::open(self.directory.join(&name)) {
                Ok(file) => file,
                Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
                Err(error) => return Err(error),
            };
            let mut other = OtherFile { name, file, partial: Vec::new() };
            other.read(&mut take)?;
            self.others.push(other);
        }
        Ok(())
    }
}

impl OtherFile {
    fn read(&mut self, take: &mut impl FnMut(&[u8])) -> io::Result<()> {
        self.file.read_to_end(&mut self.partial)?;
        let Some(end) = self.partial.iter().rposition(|&byte| byte == b'\n') else { return Ok(()) };
        self.partial[..end].split(|&byte| byte == b'\n').filter(|id| !id.is_empty()).for_each(take);
        self.partial.drain(..=end);
        self.partial.shrink_to_fit();
        Ok(())
    }
}

/// The names of all logs in the directory.
fn file_names(directory: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(directory)? {
        names.extend(entry?.file_name().into_string().ok().filter(|name| name.starts_with(PREFIX)));
    }
    Ok(names)
}

/// When a log was written to. The wall clock may have been set since, so this orders files and decides nothing else.
fn modified(directory: &Path, name: &str) -> SystemTime {
    let metadata = fs::metadata(directory.join(name));
    metadata.and_then(|metadata| metadata.modified()).unwrap_or(SystemTime::UNIX_EPOCH)
}

/// Whether the process that wrote a log has ended.
fn is_abandoned(path: &Path) -> bool {
    File::open(path).is_ok_and(|file| file.try_lock().is_ok())
}

/// Removes the files of processes that have ended, except for the newest.
fn remove_old_files(directory: &Path) {
    let mut names = file_names(directory).unwrap_or_default();
    names.retain(|name| is_abandoned(&directory.join(name)));
    names.sort_by_cached_key(|name| std::cmp::Reverse(modified(directory, name)));
    for name in names.iter().skip(KEPT_FILES) {
        let _ = fs::remove_file(directory.join(name));
    }
}
