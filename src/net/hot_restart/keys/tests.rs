use super::*;

const THIS_BOOT: [u8; 16] = [1; 16];
const OTHER_BOOT: [u8; 16] = [2; 16];

fn mark(boot_id: [u8; 16]) -> Record {
    Record::Mark(Mark { at: 1_000.0, blocked_until: None, boot_id })
}

fn send(key: u8) -> Record {
    Record::KeySend([key; 16], KeySend { at: 2_000.0, window: 12_000.0 })
}

/// The file of keys of another process.
struct PeerFile {
    folder: tempfile::TempDir,
    file: File,
}

impl PeerFile {
    fn with(records: &[Record]) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let mut file = File::create(folder.path().join("keys-1")).expect("a file");
        file.write_all(&idempotency_log::header()).expect("written");
        let mut peer = Self { folder, file };
        peer.append(records);
        peer
    }

    fn append(&mut self, records: &[Record]) {
        for record in records {
            self.file.write_all(&record.bytes()).expect("written");
        }
    }

    fn reader(&self) -> KeyReader {
        KeyReader::open(&self.folder.path().join("keys-1")).expect("the file exists")
    }
}

fn keys(reader: &mut KeyReader) -> Vec<u8> {
    reader.read_new_sends(THIS_BOOT).into_iter().map(|(key, _)| key[0]).collect()
}

#[test]
fn sends_are_read_once_as_they_are_appended() {
    let mut peer = PeerFile::with(&[mark(THIS_BOOT), send(1)]);
    let mut reader = peer.reader();
    assert_eq!(keys(&mut reader), [1]);
    peer.append(&[send(2)]);
    assert_eq!(keys(&mut reader), [2]);
    assert_eq!(keys(&mut reader), [0; 0]);
}

#[test]
fn sends_of_another_boot_are_skipped_on_every_read() {
    let mut peer = PeerFile::with(&[mark(OTHER_BOOT), send(1)]);
    let mut reader = peer.reader();
    assert_eq!(keys(&mut reader), [0; 0]);
    assert_eq!(keys(&mut reader), [0; 0], "nothing was appended");
    peer.append(&[send(2)]);
    assert_eq!(keys(&mut reader), [0; 0], "no mark of this boot precedes the appended send");
    peer.append(&[mark(THIS_BOOT), send(3)]);
    assert_eq!(keys(&mut reader), [3]);
}
