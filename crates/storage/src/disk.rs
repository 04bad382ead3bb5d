//! The file operations that storage needs. A trait, so that tests can stop the program before and after every call,
//! run out of space, and lose what was not yet synced.

use std::io;
use thiserror::Error;

/// Ending of the names of files that are being written.
pub const TEMPORARY_SUFFIX: &str = ".writing";
/// Hexadecimal digits of the number in the name of a numbered file.
const NUMBER_DIGITS: usize = 16;

/// The files of one folder, by name. File contents are durable only after [`sync`](Disk::sync) has returned, file names
/// only after [`sync_names`](Disk::sync_names) has.
pub trait Disk: Send {
    /// The names of all files in the folder.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn names(&self) -> io::Result<Vec<String>>;

    /// The contents of a file, or `None` if there is no such file.
    ///
    /// # Errors
    /// The file cannot be read, or holds more than `max_bytes` ([`FileTooLarge`]).
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>>;

    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    /// The file cannot be created.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to a file. Returns how many bytes were written, which may be fewer than were given.
    ///
    /// # Errors
    /// Nothing was written, or it is unknown how much was.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize>;

    /// Makes the contents of a file durable.
    ///
    /// # Errors
    /// The contents may not be durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing any file that has the new name.
    ///
    /// # Errors
    /// The file still has its old name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The file still exists.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    /// They may not be durable.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A file holds more bytes than its reader accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("it has more than {max_bytes} bytes")]
pub struct FileTooLarge {
    /// The bound.
    pub max_bytes: u64,
}

impl From<FileTooLarge> for io::Error {
    fn from(error: FileTooLarge) -> Self {
        io::Error::other(error)
    }
}

/// Appends all bytes, however few a single call writes.
///
/// # Errors
/// A write failed, or wrote nothing.
pub fn append_all(disk: &mut dyn Disk, name: &str, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match disk.append(name, bytes)? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            written => bytes = bytes.get(written..).unwrap_or_default(),
        }
    }
    Ok(())
}

/// Replaces a file atomically: writes a temporary file, makes it durable, and renames it.
///
/// # Errors
/// A call failed. The file under `name` then holds either its old contents or all of the new.
pub fn replace(disk: &mut dyn Disk, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    disk.create(&temporary)?;
    append_all(disk, &temporary, bytes)?;
    disk.sync(&temporary)?;
    disk.rename(&temporary, name)?;
    disk.sync_names()
}

/// Removes the temporary files of an earlier process. A file that cannot be removed is harmless: the next write
/// truncates it.
pub fn remove_temporary_files(disk: &mut dyn Disk) {
    let names = disk.names().unwrap_or_default();
    for name in names.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
        let _ = disk.remove(name);
    }
}

/// The name of a numbered file, such as `PREFIX-000000000000000c.EXTENSION`.
pub fn numbered_name(prefix: &str, number: u64, extension: &str) -> String {
    format!("{prefix}-{number:016x}.{extension}")
}

/// The number in the name of a numbered file; `None` for any other name.
pub fn number_of(name: &str, prefix: &str, extension: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?.strip_prefix('-')?.strip_suffix(extension)?.strip_suffix('.')?;
    (digits.len() == NUMBER_DIGITS).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// The numbers of all files with this prefix and extension, in descending order.
///
/// # Errors
/// The folder cannot be read.
pub fn numbers(disk: &dyn Disk, prefix: &str, extension: &str) -> io::Result<Vec<u64>> {
    let names = disk.names()?;
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| number_of(name, prefix, extension)).collect();
    numbers.sort_unstable_by(|first, second| second.cmp(first));
    Ok(numbers)
}
