//! Tests of reading the idempotency log while a gateway writes it.

use starlingplank_persistence::disk::Disk;
use starlingplank_persistence::idempotency_log::{last, IdempotencyLog, Mark};
use starlingplank_test_doubles::disk::FaultyDisk;
use std::cell::Cell;
use std::io;

/// A disk whose log is rewritten directly after the folder was first listed: the first listing returns the old names. The
/// fields are the disk, the old names, and whether the folder was listed.
struct RewrittenAfterListing(FaultyDisk, Vec<String>, Cell<bool>);

impl Disk for RewrittenAfterListing {
    fn names(&self) -> io::Result<Vec<String>> {
        match self.2.replace(true) {
            false => Ok(self.1.clone()),
            true => self.0.names(),
        }
    }
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        self.0.read(name, max_bytes)
    }
    fn create(&mut self, _: &str) -> io::Result<()> {
        unreachable!("the test only reads")
    }
    fn append(&mut self, _: &str, _: &[u8]) -> io::Result<usize> {
        unreachable!("the test only reads")
    }
    fn sync(&mut self, _: &str) -> io::Result<()> {
        unreachable!("the test only reads")
    }
    fn rename(&mut self, _: &str, _: &str) -> io::Result<()> {
        unreachable!("the test only reads")
    }
    fn remove(&mut self, _: &str) -> io::Result<()> {
        unreachable!("the test only reads")
    }
    fn sync_names(&mut self) -> io::Result<()> {
        unreachable!("the test only reads")
    }
}

#[test]
fn log_rewritten_between_listing_and_reading_is_found() {
    let disk = FaultyDisk::new(1);
    let mut log = IdempotencyLog::open(Box::new(disk.clone())).expect("the folder can be read");
    let mark = |at| Some(Mark { at, blocked_until: None, boot_id: [1; 16] });
    log.rewrite(&[], mark(1.0)).expect("the log is written");
    let names = disk.names().expect("the folder can be listed");
    log.rewrite(&[], mark(2.0)).expect("the log is rewritten");
    let disk = RewrittenAfterListing(disk, names, Cell::new(false));
    let (_, contents) = last(&disk).expect("the log can be read").expect("there is a log");
    assert_eq!(contents.mark.map(|m| m.at), Some(2.0));
}
