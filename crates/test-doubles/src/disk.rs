//! A disk in memory that fails on request. What was not synced is lost at a stop, or kept, in any part: each file
//! keeps some of its unsynced appends and not others, cut anywhere, and each name that was made, changed or removed
//! without a sync of the names may or may not be so. It does not rot by itself; tests change its bytes.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use starlingplank_persistence::disk::Disk;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// What a call does in place of what it should.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The program stops before the call.
    StopBefore,
    /// It stops after it.
    StopAfter,
    /// The call fails, having done nothing.
    Fail,
    /// It fails, having done all or part of its work: nobody knows.
    FailAfter,
    /// No space is left, from this call on.
    Full,
}

#[derive(Debug, Clone, Default)]
struct Content {
    durable: Vec<u8>,
    /// Appended since, a call each.
    later: Vec<Vec<u8>>,
}

#[derive(Debug, Clone)]
enum NameChange {
    Set(String, usize),
    Move(String, String),
    Remove(String),
}

#[derive(Debug)]
struct State {
    files: Vec<Content>,
    /// Names that a stop cannot take away.
    durable: BTreeMap<String, usize>,
    /// Names as the program sees them.
    names: BTreeMap<String, usize>,
    changes: Vec<NameChange>,
    calls: usize,
    fault: Option<(usize, Fault)>,
    full: bool,
    stopped: bool,
    /// An append takes so many bytes at most.
    short: usize,
    rng: Pcg64Mcg,
}

/// The disk; clones are the same disk.
#[derive(Debug, Clone)]
pub struct FaultyDisk(Arc<Mutex<State>>);

impl FaultyDisk {
    /// An empty disk.
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(State {
            files: Vec::new(),
            durable: BTreeMap::new(),
            names: BTreeMap::new(),
            changes: Vec::new(),
            calls: 0,
            fault: None,
            full: false,
            stopped: false,
            short: usize::MAX,
            rng: Pcg64Mcg::seed_from_u64(seed),
        })))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        // A test that panicked elsewhere has failed already.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The call that has this number from now, the next being 0, does that.
    pub fn fault(&self, call: usize, fault: Fault) {
        let mut s = self.state();
        s.fault = Some((s.calls + call, fault));
    }

    /// Appends take so many bytes at most.
    pub fn short_writes(&self, most: usize) {
        self.state().short = most;
    }

    /// Calls that changed or synced something, so far.
    pub fn calls(&self) -> usize {
        self.state().calls
    }

    /// Whether the program has been stopped by a fault.
    pub fn stopped(&self) -> bool {
        self.state().stopped
    }

    /// What a start finds after the program, and the machine with it, stopped: durable bytes and names, and of the
    /// rest any part, as the seed has it. The disk works again, and there is space.
    pub fn restart(&self) {
        let mut s = self.state();
        let state = &mut *s;
        let mut names = state.durable.clone();
        for change in std::mem::take(&mut state.changes) {
            if state.rng.random_bool(0.5) {
                apply(&mut names, &change);
            }
        }
        for file in &mut state.files {
            // A call's bytes got there whole, in part, not at all, or as zeros. Where later bytes did, the file is as
            // long as that, with zeros for those that did not.
            let mut hole = 0;
            for later in std::mem::take(&mut file.later) {
                let kept = match state.rng.random_range(0..4) {
                    0 => 0,
                    1 => state.rng.random_range(0..=later.len()),
                    2 => {
                        hole += later.len();
                        continue;
                    }
                    _ => later.len(),
                };
                if kept > 0 {
                    file.durable.extend(std::iter::repeat_n(0, std::mem::take(&mut hole)));
                    file.durable.extend(&later[..kept]);
                }
                hole += later.len() - kept;
            }
        }
        (state.durable, state.names) = (names.clone(), names);
        (state.fault, state.full, state.stopped) = (None, false, false);
    }

    /// The bytes of a file as a reader sees them now.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let s = self.state();
        s.names.get(name).map(|i| [s.files[*i].durable.clone(), s.files[*i].later.concat()].concat())
    }

    /// Puts bytes there, durable.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut s = self.state();
        s.files.push(Content { durable: bytes, later: Vec::new() });
        let at = s.files.len() - 1;
        s.names.insert(name.to_owned(), at);
        s.durable.insert(name.to_owned(), at);
    }

    /// Runs a call under whatever fault is due.
    fn call(&self, act: impl FnOnce(&mut State) -> io::Result<usize>) -> io::Result<usize> {
        let mut s = self.state();
        if s.stopped {
            return Err(io::Error::other("the program has stopped"));
        }
        let number = s.calls;
        s.calls += 1;
        let fault = s.fault.filter(|(at, _)| *at == number).map(|(_, f)| f);
        match fault {
            Some(Fault::StopBefore) => {
                s.stopped = true;
                Err(io::Error::other("stopped"))
            }
            Some(Fault::StopAfter) => {
                let done = act(&mut s);
                s.stopped = true;
                done.and(Err(io::Error::other("stopped")))
            }
            Some(Fault::Fail) => Err(io::Error::other("the disk failed")),
            Some(Fault::FailAfter) => act(&mut s).and(Err(io::Error::other("the disk failed"))),
            Some(Fault::Full) => {
                s.full = true;
                Err(io::ErrorKind::StorageFull.into())
            }
            None => act(&mut s),
        }
    }
}

fn apply(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Set(name, at) => {
            names.insert(name.clone(), *at);
        }
        NameChange::Move(from, to) => {
            if let Some(at) = names.remove(from) {
                names.insert(to.clone(), at);
            }
        }
        NameChange::Remove(name) => {
            names.remove(name);
        }
    }
}

impl State {
    fn change(&mut self, change: NameChange) {
        apply(&mut self.names, &change);
        self.changes.push(change);
    }

    fn find(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for FaultyDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
        match self.bytes(name) {
            Some(bytes) if bytes.len() as u64 > most => Err(io::Error::other("it is too large")),
            bytes => Ok(bytes),
        }
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let made = self.call(|s| {
            if s.full {
                return Err(io::ErrorKind::StorageFull.into());
            }
            s.files.push(Content::default());
            let at = s.files.len() - 1;
            s.change(NameChange::Set(name.to_owned(), at));
            Ok(0)
        });
        made.map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        self.call(|s| {
            if s.full {
                return Err(io::ErrorKind::StorageFull.into());
            }
            let at = s.find(name)?;
            let taken = bytes.len().min(s.short);
            s.files[at].later.push(bytes[..taken].to_vec());
            Ok(taken)
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let synced = self.call(|s| {
            let at = s.find(name)?;
            let later = std::mem::take(&mut s.files[at].later);
            s.files[at].durable.extend(later.concat());
            Ok(0)
        });
        synced.map(drop)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let renamed = self.call(|s| {
            s.find(from)?;
            s.change(NameChange::Move(from.to_owned(), to.to_owned()));
            Ok(0)
        });
        renamed.map(drop)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let removed = self.call(|s| {
            s.find(name)?;
            s.change(NameChange::Remove(name.to_owned()));
            Ok(0)
        });
        removed.map(drop)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let synced = self.call(|s| {
            s.changes.clear();
            s.durable = s.names.clone();
            Ok(0)
        });
        synced.map(drop)
    }
}
