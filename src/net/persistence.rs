//! The edge of what is kept through restarts: opens the folder, reads it, and hands what is to be written to the
//! threads that write. Off unless the operator's file sets it up.

use crate::config::{describe, Config, KnowledgeSettings};
use crate::core::{Core, Endpoint, Event};
use crate::interface::{Availability, Idempotency, Milliseconds, Settings};
use starlingplank_persistence::boot_time::BootTime;
use starlingplank_persistence::cached_endpoints::{self, CachedEndpoints};
use starlingplank_persistence::deduplication_window::{
    self as knowledge, DeduplicationWindow, Key, KeySend, KeySends, Rewrite,
};
use starlingplank_persistence::disk::Disk;
use starlingplank_persistence::idempotency_log;
use starlingplank_persistence::recovery::{RestoredState, Rules};
use starlingplank_persistence::snapshot_records::Snapshot;
use starlingplank_persistence::snapshot_store::{self, Store};
use starlingplank_persistence::writers::{
    EndpointCacheWriter, IdempotencyLogEvent, IdempotencyLogWriter, Offset, SnapshotEvent, SnapshotWriter,
    Written,
};
use starlingplank_storage::folder::{Files, Folder, FolderError};
use std::cell::Cell;
use std::fs::File;
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc::{unbounded_channel, Sender};
use tracing::{error, info, warn};

/// Snapshots left out in a row after which the disk is said to hang.
const HANGS: u32 = 3;

/// What has been written, and whether it goes well: told by the threads that write.
#[derive(Debug, Default)]
struct State {
    snapshots: Written,
    keys: Written,
    snapshots_failing: bool,
    keys_failing: bool,
}

/// Keeps what the gateway knows.
pub struct Persistence {
    gateway: String,
    snapshots: Option<SnapshotWriter>,
    keys: Option<IdempotencyLogWriter>,
    lists: Option<EndpointCacheWriter>,
    /// The list of the former life, as it counts now.
    found: Option<CachedEndpoints>,
    left_out: Cell<u32>,
    state: Arc<Mutex<State>>,
    folder: Option<Folder>,
    /// Another process has the folder, and leaves it to this one.
    waits: bool,
    /// Says that this process sends beside the log of the one that has the folder.
    beside: Option<Beside>,
    /// Taking it over failed, and that was said.
    failing: bool,
}

fn locked(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    // It holds figures alone: whatever a thread that panicked left there can be used.
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The rules by which old knowledge is judged.
pub fn rules(settings: &KnowledgeSettings, overload_collapse_after: Milliseconds) -> Rules {
    Rules {
        restart_within: settings.restart_within,
        keep_for: settings.keep_for,
        list_wait: settings.list_wait,
        overload_collapse_after,
    }
}

/// The longest window of the classes; 0: none is keyed.
fn window(config: &Config) -> Milliseconds {
    let window = |c: &crate::interface::Class| match c.idempotency {
        Idempotency::Keyed { window, .. } => Some(window),
        _ => None,
    };
    config.settings.classes.iter().filter_map(window).fold(0.0, f64::max)
}

/// A file in the folder that says that a process sends keyed requests which the log there does not hold. It is locked
/// for as long as that process lives.
struct Beside {
    path: PathBuf,
    _lock: File,
}

impl Beside {
    fn say(folder: &Path) -> io::Result<Self> {
        let path = folder.join(format!("{}{}", idempotency_log::BESIDE, std::process::id()));
        let file = File::options().create(true).truncate(true).write(true).mode(0o600).open(&path)?;
        file.try_lock()?;
        file.sync_all()?;
        File::open(folder)?.sync_all()?;
        Ok(Self { path, _lock: file })
    }
}

/// Such files of processes that have ended.
fn dead_words(folder: &Folder) -> Vec<PathBuf> {
    let names = folder.disk().names().unwrap_or_default();
    let words =
        names.iter().filter(|n| n.starts_with(idempotency_log::BESIDE)).map(|n| folder.path().join(n));
    words.filter(|path| File::open(path).is_ok_and(|file| file.try_lock().is_ok())).collect()
}

/// What a log of keys tells in this life's time.
struct Log {
    trusted: Option<(Vec<(Key, KeySends)>, Milliseconds)>,
    why: String,
    offset: Offset,
}

impl Log {
    /// Of the life before.
    fn read(disk: &dyn Disk, window: Milliseconds, now: Milliseconds) -> Self {
        let boot = BootTime::read();
        Self::of(idempotency_log::recover(disk, boot.now, boot.boot_id, window), &boot, now)
    }

    /// Of a process that is taken over from, by one that knows what was sent beside it.
    fn beside(disk: &dyn Disk, window: Milliseconds, now: Milliseconds) -> Self {
        let boot = BootTime::read();
        Self::of(idempotency_log::recover_beside(disk, boot.now, boot.boot_id, window), &boot, now)
    }

    fn of(found: idempotency_log::Recovered, boot: &BootTime, now: Milliseconds) -> Self {
        let offset = Offset { by: boot.now - now, boot: boot.boot_id.unwrap_or_default() };
        let back = |(sends, shut): (Vec<(Key, KeySends)>, Milliseconds)| {
            let shut = if shut > 0.0 { shut - offset.by } else { 0.0 };
            (sends.into_iter().map(|(k, s)| (k, offset.back(s))).collect(), shut)
        };
        Self { trusted: found.trusted.map(back), why: found.why.unwrap_or_default(), offset }
    }

    fn say(&self, window: Milliseconds) {
        match &self.trusted {
            Some((sends, _)) => info!("the log of keys is whole: {} keys", sends.len()),
            None => {
                info!("keyed requests are refused for {window:.0} ms, as others may still run: {}", self.why)
            }
        }
    }
}

impl Persistence {
    /// Nothing is kept.
    pub fn off() -> Self {
        Self {
            gateway: String::new(),
            snapshots: None,
            keys: None,
            lists: None,
            found: None,
            left_out: Cell::new(0),
            state: Arc::default(),
            folder: None,
            waits: false,
            beside: None,
            failing: false,
        }
    }

    /// Opens the folder, and has the reducer resume from what is in it. A folder that can't be used is said once,
    /// and the gateway serves without it.
    ///
    /// # Errors
    /// It can't be used, and is required.
    pub fn open(
        config: &Config,
        core: &mut Core,
        now: Milliseconds,
        events: &Sender<Event>,
    ) -> io::Result<Self> {
        let Some(settings) = &config.knowledge else { return Ok(Self::off()) };
        let window = window(config);
        let keyed = settings.keys && window > 0.0;
        let gate = |log| DeduplicationWindow::new(log, window, settings.most_keys, now);
        let opened = Folder::open(&settings.folder).and_then(|folder| {
            let read = Store::open(Box::new(folder.disk().closing_written_files()), settings.most_bytes);
            let read = read.map_err(|source| FolderError::Io { path: settings.folder.clone(), source });
            read.map(|(store, loaded)| (folder, store, loaded))
        });
        let (folder, store, loaded) = match opened {
            Ok(opened) => opened,
            // Where versions take over from each other the folder is the other's until it ends.
            Err(e @ FolderError::Locked { .. }) if config.operator.is_some() => {
                info!("what is kept follows once the other process has ended: {e}");
                core.resume(gate(if keyed { knowledge::Log::Held } else { knowledge::Log::Off }), None);
                return Ok(Self { gateway: config.name.clone(), waits: true, ..Self::off() });
            }
            Err(e) if settings.required => {
                return Err(io::Error::other(format!("knowledge is required: {e}")))
            }
            Err(e) => {
                let held = matches!(e, FolderError::Locked { .. });
                match (keyed, held) {
                    (false, _) => error!("serving without knowledge: {e}"),
                    (true, true) => error!("serving without knowledge, and refusing all keyed requests: {e}"),
                    (true, false) => {
                        error!(
                            "serving without knowledge, and refusing keyed requests for {window:.0} ms: {e}"
                        )
                    }
                }
                let log = match (keyed, held) {
                    (false, _) => knowledge::Log::Off,
                    (true, true) => knowledge::Log::Held,
                    (true, false) => knowledge::Log::Missing,
                };
                core.resume(gate(log), None);
                return Ok(Self::off());
            }
        };
        for fault in &loaded.faults {
            warn!("{}/{fault}", settings.folder.display());
        }
        let recall = loaded.snapshot.and_then(|(generation, snapshot)| {
            let recall =
                RestoredState::new(&snapshot, now, rules(settings, config.settings.overload_collapse_after));
            match &recall {
                Ok(_) => info!(
                    "knowledge of generation {generation} is whole: {} engines, {:.1} s old",
                    snapshot.engines.len(),
                    (now - snapshot.taken) / 1000.0
                ),
                Err(why) => warn!("knowledge of generation {generation} counts as nothing: {why}"),
            }
            recall.ok()
        });
        if recall.is_none() {
            info!("starting with no knowledge of an earlier life");
        }
        let mut persistence = Self { gateway: config.name.clone(), ..Self::off() };
        let gate = if keyed {
            let mut gate = gate(knowledge::Log::Open { required: settings.required });
            let log = Log::read(&folder.disk(), window, now);
            log.say(window);
            if let Some((sends, shut)) = log.trusted {
                gate.trust(sends, shut, now);
            }
            // Those of processes that have ended have done their part once this life's own log begins.
            persistence.keep_keys(&folder, log.offset, events, dead_words(&folder))?;
            gate
        } else {
            DeduplicationWindow::off()
        };
        core.resume(gate, recall);
        persistence.found = match cached_endpoints::load(&folder.disk()) {
            Ok(found) => found.and_then(|l| l.now(now, settings.restart_within, settings.keep_for)),
            Err(why) => {
                warn!("{}/{}: {why}", settings.folder.display(), cached_endpoints::FILE);
                None
            }
        };
        persistence.keep_learned(&folder, store)?;
        persistence.folder = Some(folder);
        Ok(persistence)
    }

    /// While another version of this gateway has the folder: keyed requests leave as that one's keys allow, and each is
    /// recorded where both look. Where the folder is required they wait for it.
    pub fn follow(&mut self, config: &Config, core: &mut Core, now: Milliseconds) {
        let Some(settings) = config.knowledge.as_ref().filter(|k| self.waits && k.keys && !k.required) else {
            return;
        };
        let files = Files::new(&settings.folder);
        // Whose it is stands in its snapshots; each life writes one as it ends, and one a second.
        let of = snapshot_store::load(&files, settings.most_bytes).ok().and_then(|l| l.snapshot);
        if of.is_none_or(|(_, s)| s.gateway != config.name) {
            return error!(
                "refusing keyed requests until {} is free: no snapshot in it is of {}",
                settings.folder.display(),
                config.name
            );
        }
        // Before anything keyed leaves: a next life that finds this word, and not what was sent, waits.
        match Beside::say(&settings.folder) {
            Ok(word) => self.beside = Some(word),
            Err(e) => {
                return error!(
                    "refusing keyed requests until {} is free: it cannot be written: {e}",
                    settings.folder.display()
                )
            }
        }
        let window = window(config);
        let log = Log::beside(&files, window, now);
        log.say(window);
        let kind = if log.trusted.is_some() { knowledge::Log::Off } else { knowledge::Log::Missing };
        let mut gate = DeduplicationWindow::new(kind, window, settings.most_keys, now);
        if let Some((sends, shut)) = log.trusted {
            gate.trust(sends, shut, now);
        }
        core.resume(gate, None);
    }

    /// Whether the folder is awaited from a process that has it.
    pub fn waits(&self) -> bool {
        self.waits
    }

    /// No other process of this gateway lives: who has the folder is another gateway, and its log tells of its sends
    /// alone. Nothing keyed is sent, and nothing kept.
    ///
    /// # Errors
    /// The folder is required.
    pub fn refuse(&mut self, config: &Config) -> io::Result<()> {
        self.waits = false;
        let Some(settings) = &config.knowledge else { return Ok(()) };
        let held = FolderError::Locked { path: settings.folder.clone() };
        if settings.required {
            return Err(io::Error::other(format!("knowledge is required: {held}")));
        }
        match settings.keys && window(config) > 0.0 {
            true => error!("serving without knowledge, and refusing all keyed requests: {held}"),
            false => error!("serving without knowledge: {held}"),
        }
        Ok(())
    }

    /// Takes the folder once the process that had it has ended. True: it is this one's now. What fails is said once,
    /// and tried again at the next look.
    pub fn take_over(
        &mut self,
        config: &Config,
        core: &mut Core,
        now: Milliseconds,
        events: &Sender<Event>,
    ) -> bool {
        let Some(settings) = &config.knowledge else { return false };
        let folder = match Folder::open(&settings.folder) {
            Err(FolderError::Locked { .. }) => return false,
            opened => opened,
        };
        let taken = folder.map_err(io::Error::other).and_then(|folder| {
            let (store, _) =
                Store::open(Box::new(folder.disk().closing_written_files()), settings.most_bytes)?;
            let (window, keyed) = (window(config), settings.keys);
            // One that refused all keyed requests knows of none that was sent beside the log.
            let read = if self.beside.is_some() { Log::beside } else { Log::read };
            let log = (keyed && window > 0.0).then(|| read(&folder.disk(), window, now));
            self.keep_learned(&folder, store)?;
            if let Some(log) = &log {
                let own = self.beside.as_ref().map(|b| b.path.clone());
                let words = dead_words(&folder).into_iter().chain(own).collect();
                self.keep_keys(&folder, log.offset, events, words)?;
            }
            Ok((folder, log))
        });
        match taken {
            Ok((folder, log)) => {
                info!("the other process has ended: {} is this one's", settings.folder.display());
                if let Some(log) = log {
                    log.say(window(config));
                    core.take_log(settings.required, log.trusted, now);
                }
                (self.folder, self.waits) = (Some(folder), false);
                true
            }
            Err(e) => {
                (self.snapshots, self.lists, self.keys) = (None, None, None);
                if !std::mem::replace(&mut self.failing, true) {
                    error!("{}: what was kept is not taken over yet: {e}", settings.folder.display());
                }
                false
            }
        }
    }

    /// `words`: files that say what the first file of this life makes void.
    fn keep_keys(
        &mut self,
        folder: &Folder,
        offset: Offset,
        events: &Sender<Event>,
        words: Vec<PathBuf>,
    ) -> io::Result<()> {
        // The thread that writes and the reducer's thread share this channel alone. What is in it was asked for,
        // so it is bounded by what may wait.
        let (tell, mut told) = unbounded_channel();
        let (events, shared) = (events.clone(), self.state.clone());
        tokio::task::spawn_local(async move {
            while let Some((news, written)) = told.recv().await {
                if events.send(key_news(news, written, &shared)).await.is_err() {
                    return;
                }
            }
        });
        let words = Mutex::new(words);
        let tell = move |news: IdempotencyLogEvent, written: Written| {
            if matches!(news, IdempotencyLogEvent::Rewritten(_)) {
                // One that stays costs the next life a wait.
                let words = std::mem::take(&mut *words.lock().unwrap_or_else(PoisonError::into_inner));
                words.iter().for_each(|word| drop(std::fs::remove_file(word)));
            }
            drop(tell.send((news, written)));
        };
        self.keys = Some(IdempotencyLogWriter::start(Box::new(folder.disk()), offset, tell)?);
        Ok(())
    }

    fn keep_learned(&mut self, folder: &Folder, store: Store) -> io::Result<()> {
        let tell = |failed: Option<String>| match failed {
            Some(why) => warn!("the list of engines is not kept: {why}"),
            None => info!("the list of engines is kept again"),
        };
        self.lists = Some(EndpointCacheWriter::start(Box::new(folder.disk()), tell)?);
        let told = self.state.clone();
        self.snapshots = Some(SnapshotWriter::start(store, move |news| tell_snapshots(&news, &told))?);
        Ok(())
    }

    /// Has a snapshot written, unless two wait already.
    pub fn snapshot(&self, core: &Core, now: Milliseconds) {
        let Some(keeper) = &self.snapshots else { return };
        let snapshot = Snapshot::new(&self.gateway, &core.learned(now), &core.addresses());
        if keeper.save(snapshot) {
            self.left_out.set(0);
            return;
        }
        self.left_out.set(self.left_out.get().saturating_add(1));
        if self.left_out.get() == HANGS {
            warn!(
                "the disk hangs: {HANGS} snapshots in a row were left out, and more will be until it goes on"
            );
        }
    }

    /// The list that the former life last heard, if it still counts.
    pub fn found_list(&self) -> Option<&CachedEndpoints> {
        self.found.as_ref()
    }

    /// Has the list kept as the service last told it. One that does not fit is said again with the next snapshot.
    pub fn list(&self, core: &Core, settings: &Settings) {
        let (Some(keeper), Some((heard, told, gone))) = (&self.lists, core.service_list()) else { return };
        let engine = |l: &Endpoint| cached_endpoints::Engine {
            id: l.member.engine.0.to_string(),
            address: l.address.to_string(),
            zone: l.member.zone.and_then(|z| settings.zones.get(z.0)).cloned().unwrap_or_default(),
            kind: l
                .member
                .kind
                .and_then(|k| settings.kinds.get(k.0))
                .map(|k| k.name.clone())
                .unwrap_or_default(),
            cell: l.member.cell,
            live: l.member.availability == Availability::Live,
            started: l.member.started.unwrap_or(0.0),
        };
        let gone = gone.ids().map(str::to_owned).collect();
        keeper.save(CachedEndpoints { heard, engines: told.iter().map(engine).collect(), gone });
    }

    /// Has a record written; what cannot be is told of at once.
    pub fn record(&self, number: u64, key: Key, sent: KeySend) -> bool {
        self.keys.as_ref().is_some_and(|keys| keys.record(number, key, sent))
    }

    /// Has a mark written.
    pub fn mark(&self, mark: (Milliseconds, Milliseconds)) -> bool {
        self.keys.as_ref().is_some_and(|keys| keys.mark(mark))
    }

    /// Has the log begun anew.
    pub fn rewrite(&self, rewrite: Rewrite) -> bool {
        self.keys.as_ref().is_some_and(|keys| keys.rewrite(rewrite))
    }

    /// Whether this keeps anything.
    pub fn is_on(&self) -> bool {
        self.snapshots.is_some()
    }

    /// Waits until the last snapshot is written.
    pub async fn finish(&mut self) {
        while self.snapshots.as_mut().is_some_and(|s| !s.finished()) {
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        }
    }

    /// What was written, for the last lines.
    pub fn say(&self, refused: u64) {
        let state = locked(&self.state);
        info!(
            "knowledge: {} snapshots of {} bytes in all, {} syncs of {} bytes of keys, {refused} keyed requests refused",
            state.snapshots.writes, state.snapshots.bytes, state.keys.writes, state.keys.bytes
        );
    }
}

/// Engines of a kept list, as a list names them. One whose address is none is left out.
pub fn listed(kept: &CachedEndpoints, settings: &Settings) -> Vec<Endpoint> {
    let engine = |e: &cached_endpoints::Engine| {
        let state = if e.live { Availability::Live } else { Availability::Draining };
        let member = describe(settings, &e.id, &e.zone, &e.kind, e.cell, state, e.started);
        Some(Endpoint { member, address: e.address.parse().ok()? })
    };
    kept.engines.iter().filter_map(engine).collect()
}

/// News of the log, for the reducer. How the log does is said when it changes, not each time.
fn key_news(news: IdempotencyLogEvent, written: Written, state: &Mutex<State>) -> Event {
    let mut state = locked(state);
    state.keys = written;
    match news {
        IdempotencyLogEvent::Recorded(numbers) => Event::RecordsDurable(numbers),
        IdempotencyLogEvent::Rewritten(keys) => {
            if std::mem::replace(&mut state.keys_failing, false) {
                info!("the log of keys works again");
            }
            Event::LogRewritten(keys)
        }
        IdempotencyLogEvent::Failed(numbers, why) => {
            if !std::mem::replace(&mut state.keys_failing, true) {
                error!("the log of keys failed, and keyed requests are refused for a while: {why}");
            }
            Event::RecordsFailed(numbers)
        }
    }
}

fn tell_snapshots(news: &SnapshotEvent, state: &Mutex<State>) {
    let mut state = locked(state);
    match news {
        SnapshotEvent::Saved(written) => {
            state.snapshots = *written;
            if std::mem::replace(&mut state.snapshots_failing, false) {
                info!("snapshots are written again");
            }
        }
        SnapshotEvent::Failed(why) => {
            if !std::mem::replace(&mut state.snapshots_failing, true) {
                warn!("what was learned is not kept: {why}");
            }
        }
    }
}
