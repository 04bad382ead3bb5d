//! The file operations that storage needs. They form a trait, so that tests can stop the program before and after every
//! call, simulate a full disk, and discard data that was not yet synced.

use std::io;
use thiserror::Error;

/// Suffix of the names of temporary files, which are files that are still being written.
pub const TEMPORARY_SUFFIX: &str = ".writing";
/// Number of hexadecimal digits in the name of a numbered file.
const NUMBER_DIGITS: usize = 16;

/// Access to the files of one folder by name. File contents are durable only after [`sync`](Disk::sync) has returned, file
/// names only after [`sync_names`](Disk::sync_names) has returned.
pub trait Disk: Send {
    /// Returns the names of all files in the folder.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be read.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Returns the contents of a file, or `None` if the file does not exist.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or has more than `max_bytes` ([`FileTooLarge`]).
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>>;

    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    /// Returns an error if the file cannot be created.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to a file. Returns the number of bytes written, which may be smaller than the length of `bytes`.
    ///
    /// # Errors
    /// Returns an error if nothing was written, or if it is unknown how many bytes were written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize>;

    /// Makes the contents of a file durable.
    ///
    /// # Errors
    /// Returns an error if the contents may not be durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing any file that has the new name.
    ///
    /// # Errors
    /// Returns an error if the file may not have been renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Returns an error if the file may not have been removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    /// Returns an error if the changes may not be durable.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// Error of reading a file that has more bytes than the reader accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the file has more than {max_bytes} bytes")]
pub struct FileTooLarge {
    /// Maximum size that the reader accepts, in bytes.
    pub max_bytes: u64,
}

impl From<FileTooLarge> for io::Error {
    fn from(error: FileTooLarge) -> Self {
        io::Error::other(error)
    }
}

/// Appends all bytes, with further calls if one call writes only some of them.
///
/// # Errors
/// Returns an error if a call fails or writes nothing.
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
/// Returns an error if a call fails. The file `name` then has either its old contents or the complete new contents.
pub fn replace(disk: &mut dyn Disk, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    disk.create(&temporary)?;
    append_all(disk, &temporary, bytes)?;
    disk.sync(&temporary)?;
    disk.rename(&temporary, name)?;
    disk.sync_names()
}

/// Removes the temporary files of an earlier process. A file that cannot be removed is harmless, as it is never read, and the
/// next write of a file of the same name truncates it.
pub fn remove_temporary_files(disk: &mut dyn Disk) {
    let names = disk.names().unwrap_or_default();
    for name in names.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
        let _ = disk.remove(name);
    }
}

/// Returns the name of a numbered file, such as `PREFIX-000000000000000c.EXTENSION`.
pub fn numbered_name(prefix: &str, number: u64, extension: &str) -> String {
    format!("{prefix}-{number:016x}.{extension}")
}

/// Returns the number in the name of a numbered file, or `None` for any other name.
pub fn number_of(name: &str, prefix: &str, extension: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?.strip_prefix('-')?.strip_suffix(extension)?.strip_suffix('.')?;
    (digits.len() == NUMBER_DIGITS).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// Returns the numbers of all files with this prefix and extension, in descending order.
///
/// # Errors
/// Returns an error if the folder cannot be read.
pub fn numbers(disk: &dyn Disk, prefix: &str, extension: &str) -> io::Result<Vec<u64>> {
    let names = disk.names()?;
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| number_of(name, prefix, extension)).collect();
    numbers.sort_unstable_by(|first, second| second.cmp(first));
    Ok(numbers)
}
