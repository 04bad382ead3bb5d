//! An in-memory disk that injects faults. After a crash each file retains an arbitrary part of its unsynced appends, which may be
//! truncated at any byte, and each creation, rename or removal that was not synced may or may not have taken effect. Bit rot
//! is not modelled; tests modify the bytes themselves.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use starlingplank_persistence::disk::Disk;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// A fault that is injected into a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The program stops before the call takes effect.
    StopBefore,
    /// The program stops after the call has taken effect.
    StopAfter,
    /// The call fails without any effect.
    Fail,
    /// The call fails although all or part of it has taken effect.
    FailAfter,
    /// The disk is full: this call fails, and later calls that need space do.
    Full,
}

#[derive(Debug, Clone, Default)]
struct Content {
    durable: Vec<u8>,
    /// Appends that were not synced, one element per call.
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
    /// Names that were synced, with the indices of their files.
    durable: BTreeMap<String, usize>,
    /// Names as the running program sees them, with the indices of their files.
    names: BTreeMap<String, usize>,
    changes: Vec<NameChange>,
    calls: usize,
    fault: Option<(usize, Fault)>,
    full: bool,
    stopped: bool,
    /// Maximum number of bytes that one append writes.
    max_append: usize,
    rng: Pcg64Mcg,
}

/// An in-memory disk that injects faults. Clones share the same files and faults.
#[derive(Debug, Clone)]
pub struct FaultyDisk(Arc<Mutex<State>>);

impl FaultyDisk {
    /// Creates an empty disk. The seed determines what survives a restart.
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
        // Poisoning is ignored: a test whose thread panicked while holding the lock has already failed.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Injects a fault into a later call that changes or syncs something; the next such call has the number 0.
    pub fn inject_fault(&self, call: usize, fault: Fault) {
        let mut state = self.state();
        state.fault = Some((state.calls + call, fault));
    }

    /// Limits the number of bytes that one append writes.
    pub fn limit_appends(&self, max_append: usize) {
        self.state().max_append = max_append;
    }

    /// Returns the number of calls that were made to change or sync something.
    pub fn calls(&self) -> usize {
        self.state().calls
    }

    /// Returns whether a fault has stopped the program.
    pub fn has_stopped(&self) -> bool {
        self.state().stopped
    }

    /// Restarts after a crash of the machine: durable bytes and names remain, and a random part of the others, as drawn from the
    /// seed. The disk then works without faults and has space.
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
            // The bytes of an append are retained, truncated or lost. Lost bytes before retained ones read as zeros.
            let mut zeros_before = 0;
            for append in std::mem::take(&mut file.unsynced) {
                let retained = match state.rng.random_range(0..4) {
                    0 => 0,
                    1 => state.rng.random_range(0..=append.len()),
                    2 => {
                        zeros_before += append.len();
                        continue;
                    }
                    _ => append.len(),
                };
                if retained > 0 {
                    file.durable.extend(std::iter::repeat_n(0, std::mem::take(&mut zeros_before)));
                    file.durable.extend(&append[..retained]);
                }
                zeros_before += append.len() - retained;
            }
        }
        (state.durable, state.names) = (names.clone(), names);
        (state.fault, state.full, state.stopped) = (None, false, false);
    }

    /// Returns the bytes of a file as a reader sees them now, unsynced ones included.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.names.get(name).map(|index| {
            [state.files[*index].durable.clone(), state.files[*index].unsynced.concat()].concat()
        })
    }

    /// Creates a file whose name and bytes are durable.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        state.files.push(Content { durable: bytes, unsynced: Vec::new() });
        let index = state.files.len() - 1;
        state.names.insert(name.to_owned(), index);
        state.durable.insert(name.to_owned(), index);
    }

    /// Performs a call, and injects the fault that is set for its number.
    fn call(&self, operation: impl FnOnce(&mut State) -> io::Result<usize>) -> io::Result<usize> {
        let mut state = self.state();
        if state.stopped {
            return Err(io::Error::other("the program has stopped"));
        }
        let number = state.calls;
        state.calls += 1;
        let fault = state.fault.filter(|(call, _)| *call == number).map(|(_, fault)| fault);
        match fault {
            Some(Fault::StopBefore) => {
                state.stopped = true;
                Err(io::Error::other("stopped"))
            }
            Some(Fault::StopAfter) => {
                let result = operation(&mut state);
                state.stopped = true;
                result.and(Err(io::Error::other("stopped")))
            }
            Some(Fault::Fail) => Err(io::Error::other("the disk failed")),
            Some(Fault::FailAfter) => operation(&mut state).and(Err(io::Error::other("the disk failed"))),
            Some(Fault::Full) => {
                state.full = true;
                Err(io::ErrorKind::StorageFull.into())
            }
            None => operation(&mut state),
        }
    }
}

fn apply(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Set(name, index) => {
            names.insert(name.clone(), *index);
        }
        NameChange::Move(from, to) => {
            if let Some(index) = names.remove(from) {
                names.insert(to.clone(), index);
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

    fn read(&self, name: &str, limit: u64) -> io::Result<Option<Vec<u8>>> {
        match self.bytes(name) {
            Some(bytes) if bytes.len() as u64 > limit => Err(io::Error::other("the file exceeds the limit")),
            bytes => Ok(bytes),
        }
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let created = self.call(|state| {
            if state.full {
                return Err(io::ErrorKind::StorageFull.into());
            }
            state.files.push(Content::default());
            let index = state.files.len() - 1;
            state.change(NameChange::Set(name.to_owned(), index));
            Ok(0)
        });
        created.map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<usize> {
        self.call(|state| {
            if state.full {
                return Err(io::ErrorKind::StorageFull.into());
            }
            let index = state.find(name)?;
            let written = bytes.len().min(state.max_append);
            state.files[index].unsynced.push(bytes[..written].to_vec());
            Ok(written)
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let synced = self.call(|state| {
            let index = state.find(name)?;
            let unsynced = std::mem::take(&mut state.files[index].unsynced);
            state.files[index].durable.extend(unsynced.concat());
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
