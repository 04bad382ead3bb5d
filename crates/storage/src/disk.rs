//! What the files need of a disk. A trait, so that tests can stop the program before and after every call, run out
//! of space, and reorder what was not yet synced.

use std::io;

/// The files of one folder, by their names. Nothing is durable before [`sync`](Disk::sync) has returned, nor the
/// name of a file before [`sync_names`](Disk::sync_names) has.
pub trait Disk: Send {
    /// The names that are there.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn names(&self) -> io::Result<Vec<String>>;

    /// The bytes of a file; none: there is no such file.
    ///
    /// # Errors
    /// It cannot be read, or holds more than `most` bytes.
    fn read(&self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>>;

    /// Makes an empty file, or empties one that is there.
    ///
    /// # Errors
    /// It cannot be made.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Adds to the end of a file; how many bytes it took, which may be fewer than were given.
    ///
    /// # Errors
    /// Nothing was written, or nobody knows how much.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize>;

    /// Makes the bytes of a file durable.
    ///
    /// # Errors
    /// They may not be.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, in place of any that has the new name.
    ///
    /// # Errors
    /// It has its old name still.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// It is there still.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the names durable: files made, renamed and removed.
    ///
    /// # Errors
    /// They may not be.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// Adds all of the bytes, however few a call takes.
///
/// # Errors
/// The disk fails, or takes nothing any more.
pub fn append_all(disk: &mut dyn Disk, name: &str, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match disk.append(name, bytes)? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            n => bytes = bytes.get(n..).unwrap_or_default(),
        }
    }
    Ok(())
}

/// Writes a file whole or not at all: under another name first, made durable, then renamed.
///
/// # Errors
/// A call failed. The file under `name` is what it was, or the new one whole.
pub fn replace(disk: &mut dyn Disk, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = format!("{name}{TEMPORARY}");
    disk.create(&temporary)?;
    append_all(disk, &temporary, bytes)?;
    disk.sync(&temporary)?;
    disk.rename(&temporary, name)?;
    disk.sync_names()
}

/// The end of the names of files that are being written.
pub const TEMPORARY: &str = ".writing";

/// Removes what an earlier life left half written. A file that cannot be removed harms nothing: it is written anew.
pub fn clear_temporary(disk: &mut dyn Disk) {
    let names = disk.names().unwrap_or_default();
    for name in names.iter().filter(|n| n.ends_with(TEMPORARY)) {
        let _ = disk.remove(name);
    }
}

/// The number in the name of a file of a numbered kind: `PREFIX-0000000000000012.EXT`.
pub fn number(name: &str, prefix: &str, extension: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?.strip_prefix('-')?.strip_suffix(extension)?.strip_suffix('.')?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// The name of that number.
pub fn numbered(prefix: &str, number: u64, extension: &str) -> String {
    format!("{prefix}-{number:016x}.{extension}")
}

/// All numbers of a kind that are there, the latest first.
///
/// # Errors
/// The folder cannot be read.
pub fn numbers(disk: &dyn Disk, prefix: &str, extension: &str) -> io::Result<Vec<u64>> {
    let names = disk.names()?;
    let mut all: Vec<u64> = names.iter().filter_map(|n| number(n, prefix, extension)).collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    Ok(all)
}
