//! A disk in memory that fails on request. At a stop each file keeps any part of its unsynced appends, truncated anywhere, and
//! each creation, renaming or removal that was not synced may or may not have happened. Bit rot is not modelled: tests change
//! bytes themselves.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use starlingplank_persistence::disk::Disk;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// How a call fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The program stops before the call.
    StopBefore,
    /// It stops after it.
    StopAfter,
    /// The call fails, having done nothing.
    Fail,
    /// It fails after all or part of its work.
    FailAfter,
    /// There is no space from this call on.
    Full,
}

#[derive(Debug, Clone, Default)]
struct Content {
    durable: Vec<u8>,
    /// Unsynced appends, one for each call.
    unsynced: Vec<Vec<u8>>,
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
    /// Names that were synced.
    durable: BTreeMap<String, usize>,
    /// Names as the program sees them.
    names: BTreeMap<String, usize>,
    changes: Vec<NameChange>,
    calls: usize,
    fault: Option<(usize, Fault)>,
    full: bool,
    stopped: bool,
    /// The bytes that an append writes at most.
    max_append: usize,
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
            max_append: usize::MAX,
            rng: Pcg64Mcg::seed_from_u64(seed),
        })))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        // A test that panicked elsewhere has failed already.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Fails a later call in that way, where the next call is number 0.
    pub fn fault(&self, call: usize, fault: Fault) {
        let mut state = self.state();
        state.fault = Some((state.calls + call, fault));
    }

    /// Limits appends to so many bytes.
    pub fn short_writes(&self, max_append: usize) {
        self.state().max_append = max_append;
    }

    /// The number of calls that changed or synced something.
    pub fn calls(&self) -> usize {
        self.state().calls
    }

    /// Whether the program has been stopped by a fault.
    pub fn stopped(&self) -> bool {
        self.state().stopped
    }

    /// Restarts after the program and its machine have stopped: durable bytes and names remain, and of the others any part, as
    /// drawn from the seed. The disk works again and has space.
    pub fn restart(&self) {
        let mut guard = self.state();
        let state = &mut *guard;
        let mut names = state.durable.clone();
        for change in std::mem::take(&mut state.changes) {
            if state.rng.random_bool(0.5) {
                apply(&mut names, &change);
            }
        }
        for file in &mut state.files {
            // The bytes of a call are durable, truncated, lost, or zeros. Bytes that are lost before durable ones are zeros.
            let mut hole = 0;
            for append in std::mem::take(&mut file.unsynced) {
                let kept = match state.rng.random_range(0..4) {
                    0 => 0,
                    1 => state.rng.random_range(0..=append.len()),
                    2 => {
                        hole += append.len();
                        continue;
                    }
                    _ => append.len(),
                };
                if kept > 0 {
                    file.durable.extend(std::iter::repeat_n(0, std::mem::take(&mut hole)));
                    file.durable.extend(&append[..kept]);
                }
                hole += append.len() - kept;
            }
        }
        (state.durable, state.names) = (names.clone(), names);
        (state.fault, state.full, state.stopped) = (None, false, false);
    }

    /// The bytes of a file as a reader sees them now.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.names.get(name).map(|index| {
            [state.files[*index].durable.clone(), state.files[*index].unsynced.concat()].concat()
        })
    }

    /// Creates a durable file.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        state.files.push(Content { durable: bytes, unsynced: Vec::new() });
        let at = state.files.len() - 1;
        state.names.insert(name.to_owned(), at);
        state.durable.insert(name.to_owned(), at);
    }

    /// Makes a call, with the fault that is due.
    fn call(&self, act: impl FnOnce(&mut State) -> io::Result<usize>) -> io::Result<usize> {
        let mut state = self.state();
        if state.stopped {
            return Err(io::Error::other("the program has stopped"));
        }
        let number = state.calls;
        state.calls += 1;
        let fault = state.fault.filter(|(at, _)| *at == number).map(|(_, fault)| fault);
        match fault {
            Some(Fault::StopBefore) => {
                state.stopped = true;
                Err(io::Error::other("stopped"))
            }
            Some(Fault::StopAfter) => {
                let done = act(&mut state);
                state.stopped = true;
                done.and(Err(io::Error::other("stopped")))
            }
            Some(Fault::Fail) => Err(io::Error::other("the disk failed")),
            Some(Fault::FailAfter) => act(&mut state).and(Err(io::Error::other("the disk failed"))),
            Some(Fault::Full) => {
                state.full = true;
                Err(io::ErrorKind::StorageFull.into())
            }
            None => act(&mut state),
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
        let made = self.call(|state| {
            if state.full {
                return Err(io::ErrorKind::StorageFull.into());
            }
            state.files.push(Content::default());
            let at = state.files.len() - 1;
            state.change(NameChange::Set(name.to_owned(), at));
            Ok(0)
        });
        made.map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        self.call(|state| {
            if state.full {
                return Err(io::ErrorKind::StorageFull.into());
            }
            let at = state.find(name)?;
            let taken = bytes.len().min(state.max_append);
            state.files[at].unsynced.push(bytes[..taken].to_vec());
            Ok(taken)
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let synced = self.call(|state| {
            let at = state.find(name)?;
            let unsynced = std::mem::take(&mut state.files[at].unsynced);
            state.files[at].durable.extend(unsynced.concat());
            Ok(0)
        });
        synced.map(drop)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let renamed = self.call(|state| {
            state.find(from)?;
            state.change(NameChange::Move(from.to_owned(), to.to_owned()));
            Ok(0)
        });
        renamed.map(drop)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let removed = self.call(|state| {
            state.find(name)?;
            state.change(NameChange::Remove(name.to_owned()));
            Ok(0)
        });
        removed.map(drop)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let synced = self.call(|state| {
            state.changes.clear();
            state.durable = state.names.clone();
            Ok(0)
        });
        synced.map(drop)
    }
}
