//! The folder that the processes of one gateway share: who of them lives and how far each is, engines out by hand, keys
//! that were sent, and what was learned. Each call here takes microseconds on the memory that `$TMPDIR` is. What cannot
//! be read costs its knowledge and a line in the log, never the start.

use crate::core::Core;
use crate::interface::Milliseconds;
use crate::limits::Limits;
use crate::net::log;
use starlingplank_admin::inherited_membership::{self, InheritedMembership};
use starlingplank_admin::operator_overrides::{self, OperatorOverrides, OverrideError};
use starlingplank_admin::process_lifecycle::{PeerProcess, Stage};
use starlingplank_persistence::clock_offset::ClockOffset;
use starlingplank_persistence::deduplication_window::{Key, KeySend, KeySends};
use starlingplank_persistence::idempotency_log::{self, Record};
use starlingplank_persistence::recovery::{RestoredState, Rules};
use starlingplank_persistence::snapshot;
use starlingplank_persistence::snapshot_records::Snapshot;
use starlingplank_storage::boot_time::BootTime;
use starlingplank_storage::disk::{self, Disk};
use starlingplank_storage::folder::Files;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::{DirBuilder, File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::{DirBuilderExt, FileExt, MetadataExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tracing::{error, info, warn};

/// Processes of one gateway that are looked at; far more than ever run.
const LIVES: usize = 64;
/// Records after which the file of keys is written anew: 80 KiB.
const REWRITE_AFTER: usize = 2_048;
/// Bytes of a file of keys that are read at most.
const KEY_BYTES: u64 = 8 << 20;
/// Times that the folder's lock is tried, a millisecond apart: others hold it for microseconds.
const TRIES: usize = 50;

/// Another process of this gateway.
#[derive(Debug)]
struct Peer {
    /// Locked for as long as it lives.
    life: File,
    stage: Stage,
    /// Its keys, as far as they were read.
    keys: Option<(File, u64)>,
    /// What was learned was written for it.
    passed: bool,
}

/// What a look brought.
#[derive(Debug, Default)]
pub struct Seen {
    /// Engines out by hand, where that changed.
    pub hand: Option<OperatorOverrides>,
    /// Keys that others sent.
    pub keys: Vec<(Key, KeySends)>,
    /// Later processes that wait for what was learned.
    pub newcomers: Vec<u64>,
}

/// This process's side of the folder.
#[derive(Debug)]
pub struct HotRestart {
    path: PathBuf,
    own: u64,
    life: File,
    keys: File,
    /// Records in it.
    recorded: usize,
    /// It may end inside a record, as a write failed.
    torn: bool,
    /// All keys that may still matter, by this clock.
    held: HashMap<Key, KeySends>,
    offset: ClockOffset,
    peers: BTreeMap<u64, Peer>,
    hand: OperatorOverrides,
    hand_bytes: Option<Vec<u8>>,
}

fn named(kind: &str, life: u64) -> String {
    format!("{kind}-{life:016x}")
}

fn number(name: &str, kind: &str) -> Option<u64> {
    let digits = name.strip_prefix(kind)?.strip_prefix('-')?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// Whether a locked file's owner has ended. The lock is let go at once.
fn has_ended(life: &File) -> bool {
    let free = life.try_lock().is_ok();
    if free {
        let _ = life.unlock();
    }
    free
}

fn stage_of(life: &mut File) -> Stage {
    let mut text = String::new();
    let read = life.seek(SeekFrom::Start(0)).and_then(|_| life.take(64).read_to_string(&mut text));
    read.map_or(Stage::Starting, |_| Stage::read(&text))
}

/// The folder of a gateway of that name that listens there.
pub fn folder(under: &Path, name: &str, listen: std::net::SocketAddr) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let name: String = format!("starlingplank-{name}-{listen}").chars().map(plain).take(200).collect();
    under.join(name)
}

impl HotRestart {
    /// Takes its place after all that were there before. What those that have ended left is taken over.
    ///
    /// # Errors
    /// The folder cannot be made, locked or written, or others may use it.
    pub fn open(path: &Path, now: Milliseconds) -> io::Result<Self> {
        DirBuilder::new().mode(0o700).recursive(true).create(path)?;
        let meta = std::fs::metadata(path)?;
        if !meta.is_dir() || meta.permissions().mode() & 0o077 != 0 {
            return Err(io::Error::other("it is no folder, or others may use it: chmod 700 it"));
        }
        let _lock = lock(path)?;
        let lives = lives(path)?;
        let own = lives.last().map_or(1, |n| n.saturating_add(1));
        let life = create(&path.join(named("life", own)))?;
        hold(&life)?;
        let boot = BootTime::read();
        let offset = ClockOffset { by: boot.now - now, boot_id: boot.boot_id.unwrap_or_default() };
        let keys = create(&path.join(named("keys", own)))?;
        let mut hot_restart = Self {
            path: path.to_owned(),
            own,
            life,
            keys,
            recorded: 0,
            torn: false,
            held: HashMap::new(),
            offset,
            peers: BTreeMap::new(),
            hand: OperatorOverrides::default(),
            hand_bytes: None,
        };
        hot_restart.say(Stage::Starting)?;
        hot_restart.begin_keys(now)?;
        // Past the bound the oldest are left alone: they ended long ago, or nobody could make sense of them.
        for life in lives.into_iter().rev().take(LIVES) {
            hot_restart.meet(life);
        }
        hot_restart.read_hand();
        Ok(hot_restart)
    }

    /// This process's number.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// The others that live.
    pub fn others(&self) -> Vec<PeerProcess> {
        self.peers.iter().map(|(life, p)| PeerProcess { life: *life, stage: p.stage }).collect()
    }

    /// Engines out by hand.
    pub fn hand(&self) -> &OperatorOverrides {
        &self.hand
    }

    /// Says how far this process is.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn say(&self, stage: Stage) -> io::Result<()> {
        self.life.write_all_at(stage.word().as_bytes(), 0)
    }

    fn meet(&mut self, life: u64) {
        if life == self.own || self.peers.contains_key(&life) {
            return;
        }
        match OpenOptions::new().read(true).open(self.path.join(named("life", life))) {
            Ok(file) => {
                let peer = Peer { life: file, stage: Stage::Starting, keys: None, passed: false };
                self.peers.insert(life, peer);
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => log::seldom_error("another version cannot be looked at", e),
        }
    }

    /// Looks at what the others do now.
    pub fn look(&mut self, now: Milliseconds) -> Seen {
        let mut seen = Seen::default();
        match lives(&self.path) {
            Ok(lives) => lives.into_iter().rev().take(LIVES).for_each(|life| self.meet(life)),
            Err(e) => log::seldom_error("the folder that versions share cannot be read", e),
        }
        // Keys before the word that it has ended: what it wrote last is read.
        seen.keys = self.peer_keys(now);
        let mut ended = Vec::new();
        for (life, peer) in &mut self.peers {
            peer.stage = stage_of(&mut peer.life);
            if has_ended(&peer.life) {
                ended.push(*life);
            } else if *life > self.own && peer.stage == Stage::Starting && !peer.passed {
                peer.passed = true;
                seen.newcomers.push(*life);
            }
        }
        // One that has just made its file holds the folder until it has locked it.
        if let Some(_lock) = Some(&ended).filter(|e| !e.is_empty()).and_then(|_| lock(&self.path).ok()) {
            ended.retain(|life| self.peers.get(life).is_some_and(|p| has_ended(&p.life)));
            seen.keys.extend(self.peer_keys(now));
            ended.into_iter().for_each(|life| self.inherit(life, now));
        }
        seen.hand = self.read_hand().then(|| self.hand.clone());
        seen
    }

    /// One that has ended leaves its keys to this process, and nothing else.
    fn inherit(&mut self, life: u64, now: Milliseconds) {
        self.peers.remove(&life);
        // Its keys are in this one's file before its own goes.
        if let Err(e) = self.begin_keys(now) {
            return log::seldom_error("the keys of an earlier process stay in its own file", e);
        }
        // Those that it left half written as well.
        let kinds = ["keys", "learned", "heard", "life"].map(|kind| named(kind, life));
        for name in Files::new(&self.path).names().unwrap_or_default() {
            if kinds.iter().any(|kind| name.starts_with(kind)) {
                let _ = std::fs::remove_file(self.path.join(name));
            }
        }
    }

    /// What others have sent since this was last asked.
    pub fn peer_keys(&mut self, now: Milliseconds) -> Vec<(Key, KeySends)> {
        let mut heard = Vec::new();
        for (life, peer) in &mut self.peers {
            let path = self.path.join(named("keys", *life));
            // Written anew, the file is another under the same name.
            let same = |file: &File| -> Option<bool> {
                Some(file.metadata().ok()?.ino() == std::fs::metadata(&path).ok()?.ino())
            };
            if !peer.keys.as_ref().is_some_and(|(file, _)| same(file).unwrap_or(true)) {
                peer.keys = File::open(&path).ok().map(|file| (file, 0));
            }
            let Some((file, at)) = &mut peer.keys else { continue };
            let mut bytes = Vec::new();
            let read =
                file.seek(SeekFrom::Start(*at)).and_then(|_| file.take(KEY_BYTES).read_to_end(&mut bytes));
            if read.is_err() || bytes.is_empty() {
                continue;
            }
            let mut rest = bytes.as_slice();
            if *at == 0 {
                let head = idempotency_log::header();
                match rest.strip_prefix(head.as_slice()) {
                    Some(records) => rest = records,
                    // It has just been made, or no process of this release made it.
                    None => continue,
                }
                *at += head.len() as u64;
            }
            // A record that is being written is read when it is whole. So is one that was changed: never.
            for record in rest.chunks_exact(idempotency_log::RECORD_BYTES).map_while(Record::read) {
                *at += idempotency_log::RECORD_BYTES as u64;
                match record {
                    Record::KeySend(key, sent) => {
                        let sends = self.offset.restored_sends(KeySends::one(sent));
                        let held = self.held.get(&key).copied();
                        let both =
                            held.map_or(sends, |h| h.and(KeySend { at: sends.first, window: sends.window }));
                        if now < both.end() {
                            self.held.insert(key, both);
                            heard.push((key, both));
                        }
                    }
                    // Times of another start of the machine cannot be compared.
                    Record::Mark(mark) if mark.boot_id != self.offset.boot_id => break,
                    Record::Mark(_) => {}
                }
            }
        }
        heard
    }

    /// Records that a key is about to be sent.
    ///
    /// # Errors
    /// It is not recorded, and must not leave.
    pub fn record(&mut self, key: Key, sent: KeySend) -> io::Result<()> {
        let before = self.held.get(&key).copied();
        self.held.insert(key, before.map_or(KeySends::one(sent), |held| held.and(sent)));
        let written = self.write_record(key, sent);
        if written.is_err() {
            // It is not sent, and binds nobody.
            match before {
                Some(sends) => self.held.insert(key, sends),
                None => self.held.remove(&key),
            };
        }
        written
    }

    /// Appends a record, or begins the file anew where it has grown long or may end inside a record: its readers stop there.
    fn write_record(&mut self, key: Key, sent: KeySend) -> io::Result<()> {
        if self.torn || self.recorded >= REWRITE_AFTER {
            return self.begin_keys(sent.at);
        }
        let written = self.keys.write_all(&Record::KeySend(key, self.offset.stored_send(sent)).bytes());
        self.torn = written.is_err();
        written?;
        self.recorded += 1;
        Ok(())
    }

    /// Begins the file of keys anew, with those that still matter.
    fn begin_keys(&mut self, now: Milliseconds) -> io::Result<()> {
        self.held.retain(|_, sends| now < sends.end());
        let mark = idempotency_log::Mark {
            at: self.offset.by + now,
            blocked_until: None,
            boot_id: self.offset.boot_id,
        };
        let mut bytes = idempotency_log::header().to_vec();
        bytes.extend(Record::Mark(mark).bytes());
        for (key, sends) in &self.held {
            let sends = self.offset.stored_sends(*sends);
            let record = |at| Record::KeySend(*key, KeySend { at, window: sends.window }).bytes();
            bytes.extend(record(sends.first));
            if sends.last > sends.first {
                bytes.extend(record(sends.last));
            }
        }
        let (name, mut files) = (named("keys", self.own), Files::new(&self.path));
        disk::replace(&mut files, &name, &bytes)?;
        self.keys = OpenOptions::new().append(true).open(self.path.join(name))?;
        self.recorded = 2 * self.held.len();
        self.torn = false;
        Ok(())
    }

    /// Reads which engines are out by hand. True: that changed.
    fn read_hand(&mut self) -> bool {
        let read = Files::new(&self.path).read("hand", operator_overrides::BYTES);
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(e) => {
                log::seldom_error("engines out by hand cannot be read", e);
                return false;
            }
        };
        if bytes == self.hand_bytes {
            return false;
        }
        let hand = bytes.as_deref().map_or(Ok(OperatorOverrides::default()), OperatorOverrides::decode);
        self.hand_bytes = bytes;
        match hand {
            Ok(hand) => {
                let changed = hand != self.hand;
                self.hand = hand;
                changed
            }
            // What was known stays.
            Err(e) => {
                error!("engines out by hand: {}: {e}", self.path.join("hand").display());
                false
            }
        }
    }

    /// Changes which engines are out by hand, for this process and those that come after it.
    ///
    /// # Errors
    /// The call means nothing, or cannot be kept for a successor; the line says which.
    pub fn change(
        &mut self,
        change: impl FnOnce(&mut OperatorOverrides) -> Result<bool, OverrideError>,
    ) -> Result<Option<OperatorOverrides>, ChangeError> {
        let _lock = lock(&self.path).map_err(ChangeError::NotStored)?;
        self.read_hand();
        let mut hand = self.hand.clone();
        if !change(&mut hand).map_err(ChangeError::Invalid)? {
            return Ok(None);
        }
        let bytes = hand.encode().map_err(|e| ChangeError::NotStored(io::Error::other(e)))?;
        disk::replace(&mut Files::new(&self.path), "hand", &bytes).map_err(ChangeError::NotStored)?;
        (self.hand, self.hand_bytes) = (hand.clone(), Some(bytes));
        Ok(Some(hand))
    }

    /// Writes what was learned for a later process.
    pub fn pass_on(&self, to: u64, name: &str, core: &Core, now: Milliseconds, limits: &Limits) {
        // Before what was learned, which is what the other waits for.
        if let Some(heard) = core.heard() {
            let file = format!("{}-for-{to:016x}", named("heard", self.own));
            let written = heard.encode().map_err(io::Error::other);
            let written = written.and_then(|bytes| disk::replace(&mut Files::new(&self.path), &file, &bytes));
            if let Err(e) = written {
                warn!("a new version has started; what the list service said is not passed on: {e}");
            }
        }
        let learned = Snapshot::new(name, &core.learned(now), &core.addresses());
        let bytes = snapshot::encode(&learned, limits.max_inherited_state_bytes);
        let file = format!("{}-for-{to:016x}", named("learned", self.own));
        let written = bytes
            .map_err(io::Error::other)
            .and_then(|bytes| disk::replace(&mut Files::new(&self.path), &file, &bytes));
        match written {
            Ok(()) => info!("a new version has started; what was learned is passed on to it"),
            Err(e) => warn!("a new version has started; what was learned is not passed on: {e}"),
        }
    }

    /// Waits for what the last of the earlier processes learned, if any lives. None: nothing came in time.
    pub async fn learned(
        &mut self,
        now: Milliseconds,
        rules: Rules,
        limits: &Limits,
    ) -> Option<RestoredState> {
        let (from, _) = self.peers.range(..self.own).next_back()?;
        let file = format!("{}-for-{:016x}", named("learned", *from), self.own);
        let mut waited = Duration::ZERO;
        let step = Duration::from_millis(5);
        let bytes = loop {
            match Files::new(&self.path).read(&file, limits.max_inherited_state_bytes as u64) {
                Ok(Some(bytes)) => break bytes,
                Ok(None) if waited < limits.inherited_state_wait => {}
                Ok(None) => {
                    info!("the running version has not passed on what it learned; starting without");
                    return None;
                }
                Err(e) => {
                    warn!("what the running version learned cannot be read: {e}");
                    return None;
                }
            }
            tokio::time::sleep(step).await;
            waited += step;
        };
        let _ = std::fs::remove_file(self.path.join(&file));
        let snapshot = snapshot::decode(&bytes).map_err(|e| e.to_string());
        let now = now + waited.as_secs_f64() * 1000.0;
        let recall = snapshot.and_then(|s| RestoredState::new(&s, now, rules).map_err(|e| e.to_string()));
        match &recall {
            Ok(_) => info!("taking over what the running version learned, {} bytes", bytes.len()),
            Err(why) => warn!("what the running version learned cannot be used: {why}"),
        }
        recall.ok()
    }

    /// What the last of the earlier processes that has passed that on heard of the list service. One that is itself
    /// starting has not.
    pub fn heard(&self) -> Option<InheritedMembership> {
        self.peers.range(..self.own).rev().find_map(|(from, _)| self.heard_from(*from))
    }

    fn heard_from(&self, from: u64) -> Option<InheritedMembership> {
        let file = format!("{}-for-{:016x}", named("heard", from), self.own);
        let bytes =
            Files::new(&self.path).read(&file, inherited_membership::BYTES).map_err(|e| e.to_string());
        let _ = std::fs::remove_file(self.path.join(&file));
        let heard = bytes.and_then(|bytes| {
            bytes.map(|b| InheritedMembership::decode(&b)).transpose().map_err(|e| e.to_string())
        });
        heard.inspect_err(|e| warn!("what the running version heard of the list cannot be used: {e}")).ok()?
    }

    /// Which lives there have been, for the log.
    pub fn describe(&self) -> String {
        let others: BTreeSet<_> = self.peers.keys().collect();
        let out: Vec<_> = self.hand.out().collect();
        format!("process {} of this gateway, others {others:?}, engines out by hand {out:?}", self.own)
    }
}

/// Why a call is answered with no.
#[derive(Debug)]
pub enum ChangeError {
    /// It means nothing.
    Invalid(OverrideError),
    /// It cannot be kept for a successor.
    NotStored(io::Error),
}

fn create(path: &Path) -> io::Result<File> {
    OpenOptions::new().create_new(true).read(true).write(true).mode(0o600).open(path)
}

/// All lives of which there is a file, the earliest first.
fn lives(path: &Path) -> io::Result<Vec<u64>> {
    let names = Files::new(path).names()?;
    let mut all: Vec<u64> = names.iter().filter_map(|n| number(n, "life")).collect();
    all.sort_unstable();
    Ok(all)
}

/// Holds the folder for a moment.
fn lock(path: &Path) -> io::Result<File> {
    let file =
        OpenOptions::new().create(true).truncate(false).write(true).mode(0o600).open(path.join("lock"))?;
    hold(&file)?;
    Ok(file)
}

fn hold(file: &File) -> io::Result<()> {
    for _ in 0..TRIES {
        match file.try_lock() {
            Ok(()) => return Ok(()),
            Err(TryLockError::WouldBlock) => std::thread::sleep(Duration::from_millis(1)),
            Err(TryLockError::Error(e)) => return Err(e),
        }
    }
    Err(io::Error::other("another process has held the lock too long"))
}
