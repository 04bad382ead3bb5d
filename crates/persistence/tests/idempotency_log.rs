//! The log of keys, looked into from outside while its gateway goes on.

use starlingplank_persistence::disk::Disk;
use starlingplank_persistence::idempotency_log::{last, IdempotencyLog, Mark};
use starlingplank_test_doubles::disk::FaultyDisk;
use std::cell::Cell;
use std::io;

/// A folder whose log is begun anew right after it was listed first.
struct Moving(FaultyDisk, Vec<String>, Cell<bool>);

impl Disk for Moving {
    fn names(&self) -> io::Result<Vec<String>> {
        match self.2.replace(true) {
            false => Ok(self.1.clone()),
            true => self.0.names(),
        }
    }
    fn read(&self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
        self.0.read(name, most)
    }
    fn create(&mut self, _: &str) -> io::Result<()> {
        unreachable!("it is only read")
    }
    fn append(&mut self, _: &str, _: &[u8]) -> io::Result<usize> {
        unreachable!("it is only read")
    }
    fn sync(&mut self, _: &str) -> io::Result<()> {
        unreachable!("it is only read")
    }
    fn rename(&mut self, _: &str, _: &str) -> io::Result<()> {
        unreachable!("it is only read")
    }
    fn remove(&mut self, _: &str) -> io::Result<()> {
        unreachable!("it is only read")
    }
    fn sync_names(&mut self) -> io::Result<()> {
        unreachable!("it is only read")
    }
}

#[test]
fn log_that_is_begun_anew_while_it_is_looked_for_is_found() {
    let disk = FaultyDisk::new(1);
    let mut log = IdempotencyLog::open(Box::new(disk.clone())).expect("empty");
    let mark = |at| Some(Mark { at, blocked_until: None, boot_id: [1; 16] });
    log.rewrite(&[], mark(1.0)).expect("written");
    let names = disk.names().expect("listed");
    log.rewrite(&[], mark(2.0)).expect("written anew");
    let moving = Moving(disk, names, Cell::new(false));
    let (_, read) = last(&moving).expect("it can be read").expect("there is one");
    assert_eq!(read.mark.map(|m| m.at), Some(2.0));
}
