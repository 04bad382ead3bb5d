//! The loop that feeds the reducer and performs its effects: one thread, as the machine has one core.

use crate::config::{Config, EngineWire};
use crate::core::{Answer, Core, Effect, End, Event, Send};
use crate::interface::{Outcome, Repeat, Settings, Why};
use crate::net::engine::clickhouse::HttpEngines;
use crate::net::engine::pool::RespEngines;
use crate::net::engine::Engines;
use crate::net::front::{clickhouse, thrift, Desk, Leaving, Listens, Seat};
use crate::net::handover::{self, Handover, Refused};
use crate::net::keep::{self, Keep};
use crate::net::log;
use crate::net::names;
use crate::net::operate;
use starlingplank_knowledge::gate::{self, Sent};
use starlingplank_knowledge::recall;
use starlingplank_operation::calls::{Call, Reply};
use starlingplank_operation::figures::{Count, Now};
use starlingplank_operation::hand::{Hand, No};
use starlingplank_operation::heard::Heard;
use starlingplank_operation::lives::{self, Stage};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch, AcquireError, OwnedSemaphorePermit};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant, MissedTickBehavior};

/// Serves until SIGTERM, then until all that was taken is answered. At SIGHUP `reload` reads the configuration
/// again: the name service may have moved, while connections, requests and all that was learned stay.
///
/// # Errors
/// An address cannot be listened at, or the settings contradict themselves.
pub async fn serve(config: Config, reload: impl Fn() -> Result<Config, String>) -> io::Result<()> {
    // Before anything else: a signal without a handler would end the program.
    let (mut term, mut hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let limits = Rc::new(config.limits.clone());
    let settings = Rc::new(config.settings.clone());
    let (sender, mut receiver) = mpsc::channel(limits.queue);
    let desk = Desk::new(settings.clone(), limits.clone(), sender.clone());
    let core = Core::new(config.settings.clone(), config.limits.clone(), desk.clock.now());
    let mut core = core.map_err(io::Error::other)?;
    let mut keep = Keep::open(&config, &mut core, desk.clock.now(), &sender)?;
    let (common, events) = (desk.common.clone(), sender.clone());
    let engines: Box<dyn Engines> = match config.engines {
        EngineWire::Resp => Box::new(RespEngines::new(limits.clone(), common, events)),
        EngineWire::ClickHouse => Box::new(HttpEngines::new(limits.clone(), common, events)),
    };
    let mut handover = None;
    let (call, mut calls) = mpsc::channel(limits.callers);
    let callers = Rc::new(Cell::new(0));
    if let Some(at) = config.operator {
        let folder = handover::folder(&std::env::temp_dir(), &config.name, config.listen);
        let listener = TcpListener::bind(at).await?;
        tracing::info!("{} listens at {} for its operators", config.name, listener.local_addr()?);
        let (limits, common) = (limits.clone(), desk.common.clone());
        tokio::task::spawn_local(operate::listen(listener, limits, common, call.clone(), callers.clone()));
        match Handover::open(&folder, desk.clock.now()) {
            Ok(opened) => {
                tracing::info!("{}", opened.describe());
                handover = Some(opened);
            }
            Err(e) => tracing::error!("nothing is shared with other versions: {}: {e}", folder.display()),
        }
    }
    let mut taken_over = Vec::new();
    if let Some(h) = &mut handover {
        taken_over.push(Event::Heard(h.look(desk.clock.now()).keys));
        // A folder that an earlier process of this gateway has is followed; one that another gateway has is not.
        if !h.others().is_empty() {
            keep.follow(&config, &mut core, desk.clock.now());
        }
        taken_over.push(Event::Hand(h.hand().clone()));
        let rules = recall::Rules { tip_after: config.settings.tip_after, ..recall::DEFAULT };
        if let Some(recall) = h.learned(desk.clock.now(), rules, &limits).await {
            core.remember(recall);
        }
        // Where there is no list service, the list at the start is the list.
        let heard = h.heard().filter(|_| config.names.is_some());
        taken_over.extend(heard.map(Event::Earlier));
    }
    let shared = handover.as_ref().is_some_and(|h| !h.others().is_empty());
    if keep.waits() && !shared && !keep.take_over(&config, &mut core, desk.clock.now(), &sender) {
        keep.refuse(&config)?;
    }
    let started = Instant::now();
    let mut gateway = Runtime {
        name: config.name.clone(),
        core,
        engines,
        desk: desk.clone(),
        handover,
        exit: false,
        heard_list: false,
        told_to_end: false,
    };
    let look = gateway.look();
    let mut known = config.known.clone();
    // What the former life heard of the service: all that there is where the configuration names no engine; else its
    // drains and stops bind until the service is heard.
    if let Some(kept) = keep.found_list().filter(|_| config.names.is_some()) {
        let age = (desk.clock.now() - kept.heard) / 1000.0;
        if known.is_empty() {
            known = keep::listed(kept, &config.settings);
            tracing::info!("starting with the list of {age:.1} s ago: {} engines", known.len());
        } else {
            let drained = kept.engines.iter().filter(|e| !e.live).map(|e| e.id.clone());
            let out = drained.chain(kept.gone.iter().cloned());
            taken_over.push(Event::Earlier(Heard::new(kept.heard, out)));
        }
    }
    let first = [Event::List(config.serial, known), Event::Tend];
    gateway.handle(taken_over.into_iter().chain(first).chain(look), &keep);
    if config.names.is_some() {
        gateway.core.await_list(desk.clock.now());
        desk.awaits_list.set(gateway.core.awaits_list());
    }
    // Without a name service the list at start is the list.
    gateway.heard_list = config.names.is_none();

    let mut listening = false;
    let (names, asked) = watch::channel(config.names);
    {
        let (settings, limits, sender, known) =
            (settings.clone(), limits.clone(), sender.clone(), config.serial);
        tokio::task::spawn_local(async move { names::poll(asked, known, &settings, &limits, &sender).await });
    }
    let mut sweep = tokio::time::interval(limits.sweep);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tend = tokio::time::interval(limits.tend);
    tend.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let every = config.knowledge.as_ref().map_or(limits.tend, |k| Duration::from_secs_f64(k.every / 1000.0));
    let mut snapshots = tokio::time::interval_at(Instant::now() + every, every);
    snapshots.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut look = tokio::time::interval(limits.look);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut longest, mut latest) = (Duration::ZERO, 0.0_f64);
    let mut terminated = None;
    loop {
        if !listening && gateway.may_listen(started.elapsed()) {
            listen_to_clients(&config, &desk).await?;
            listening = true;
            gateway.say(Stage::Listening);
        }
        if terminated.is_some_and(|at| gateway.has_left(at)) {
            break;
        }
        let due_at = gateway.core.next_due();
        let due = due_at.map_or_else(|| Instant::now() + limits.sweep, |at| desk.clock.instant(at).into());
        let mut events = Vec::new();
        tokio::select! {
            event = receiver.recv() => events.extend(event),
            () = sleep_until(due) => {}
            _ = sweep.tick() => gateway.engines.maintain(&mut events),
            _ = look.tick(), if gateway.handover.is_some() || keep.waits() => {
                events.extend(gateway.look());
                if keep.waits() && keep.take_over(&config, &mut gateway.core, desk.clock.now(), &sender) {
                    events.push(Event::Tend);
                }
            }
            Some((call, to)) = calls.recv() => drop(to.send(gateway.call(call, listening, &mut events))),
            _ = tend.tick(), if keep.is_on() => events.push(Event::Tend),
            _ = snapshots.tick(), if keep.is_on() => {
                let begun = Instant::now();
                keep.snapshot(&gateway.core, desk.clock.now());
                keep.list(&gateway.core, &settings);
                longest = longest.max(begun.elapsed());
            }
            _ = hangup.recv() => match reload() {
                Ok(new) => {
                    tracing::info!("SIGHUP: the name service is at {:?}", new.names);
                    if (new.listen, new.operator, &new.limits, &new.knowledge)
                        != (config.listen, config.operator, &config.limits, &config.knowledge)
                        || (Settings { seed: config.settings.seed, ..new.settings }) != config.settings
                    {
                        tracing::warn!("SIGHUP: what else is new in the configuration waits for the next start");
                    }
                    names.send_replace(new.names);
                }
                Err(why) => tracing::warn!("SIGHUP: the old configuration stays: {why}"),
            },
            _ = term.recv() => {
                tracing::info!("SIGTERM: answering what was taken");
                terminated = Some(Instant::now());
                gateway.told_to_end = true;
                desk.leave_by(Leaving::Alone);
                events.push(Event::Terminate);
                events.extend(gateway.look());
                keep.snapshot(&gateway.core, desk.clock.now());
            }
        }
        while let Ok(event) = receiver.try_recv() {
            events.push(event);
            if events.len() >= limits.queue {
                break;
            }
        }
        // Answers that were due meanwhile are late through no decision: the log should tell.
        let late = due_at.map_or(0.0, |at| desk.clock.now() - at);
        if late > limits.stall {
            tracing::warn!("stood still for {late:.0} ms");
        }
        while let Ok((call, to)) = calls.try_recv() {
            drop(to.send(gateway.call(call, listening, &mut events)));
        }
        let turn = Instant::now();
        gateway.exit = false;
        gateway.handle(events, &keep);
        longest = longest.max(turn.elapsed());
        latest = latest.max(late);
    }
    // Staff whose call is under way are told that it ends; who says nothing is not waited for.
    drop(calls);
    let told = async {
        loop {
            sleep(limits.look / 10).await;
            if callers.get() == 0 {
                break;
            }
        }
    };
    if config.operator.is_some() {
        let _ = timeout(limits.look, told).await;
    }
    tracing::info!("loop: longest turn {:.3} ms, latest {latest:.3} ms", longest.as_secs_f64() * 1000.0);
    // What the last answers taught is in the last snapshot, if the disk takes it in time.
    keep.snapshot(&gateway.core, desk.clock.now());
    let by_class = settings.classes.iter().zip(gateway.core.counts()).zip(gateway.core.waits());
    for (i, ((class, c), waits)) in by_class.enumerate() {
        let figure = |count| desk.common.figures.get(i, count);
        tracing::info!(
            "{}: {} taken, {} attempts, ended {:?}, answered {:?}",
            class.name,
            c.taken,
            figure(Count::Sends),
            c.outcomes,
            [figure(Count::Answered), figure(Count::Deferred), figure(Count::Errored), c.left]
        );
        let waits = Why::ALL.iter().map(|w| (w.name(), waits[*w as usize])).filter(|(_, n)| *n > 0);
        let waits: BTreeMap<_, _> = waits.collect();
        tracing::info!("{}: refused for {:?}, waited for {waits:?}", class.name, c.refusals);
    }
    if keep.is_on() {
        let _ = timeout(limits.term_snapshot, keep.finish()).await;
        keep.say(gateway.core.gate().refused());
    }
    Ok(())
}

/// Listens for clients. Where a new version may take over, both listen at the same address.
async fn listen_to_clients(config: &Config, desk: &Rc<Desk>) -> io::Result<()> {
    let shared = config.operator.is_some();
    let listener = bind(config.listen, shared).await?;
    tracing::info!("{} listens at {}", config.name, listener.local_addr()?);
    let serve_thrift = {
        let desk = desk.clone();
        move |stream, seat| thrift::serve(stream, seat, desk.clone())
    };
    tokio::task::spawn_local(accept(listener, desk.clone(), serve_thrift, desk.listens()));
    if let Some((at, rules)) = &config.clickhouse {
        let listener = bind(*at, shared).await?;
        tracing::info!("{} listens at {} for ClickHouse HTTP", config.name, listener.local_addr()?);
        let (desk, rules) = (desk.clone(), Rc::new(rules.clone()));
        let serve_http = {
            let desk = desk.clone();
            move |stream, seat| clickhouse::serve(stream, seat, desk.clone(), rules.clone())
        };
        let listens = desk.listens();
        tokio::task::spawn_local(accept(listener, desk, serve_http, listens));
    }
    Ok(())
}

/// Connections that may wait to be accepted: as many as the library's own listener takes.
const BACKLOG: u32 = 1024;

async fn bind(at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    if !shared {
        return TcpListener::bind(at).await;
    }
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

struct Runtime {
    name: String,
    core: Core,
    engines: Box<dyn Engines>,
    desk: Rc<Desk>,
    /// What is shared with other processes of this gateway, if anything.
    handover: Option<Handover>,
    /// All that was taken is answered, and the window is over.
    exit: bool,
    /// The name service has answered.
    heard_list: bool,
    told_to_end: bool,
}

impl Runtime {
    /// Whether clients may come.
    fn may_listen(&self, waited: Duration) -> bool {
        let Some(h) = &self.handover else { return true };
        lives::may_listen(h.own(), &h.others(), self.heard_list, !self.core.awaits_list(), waited)
    }

    fn say(&self, stage: Stage) {
        if let Some(Err(e)) = self.handover.as_ref().map(|h| h.say(stage)) {
            tracing::error!("other versions cannot see how far this one is: {e}");
        }
    }

    /// Looks at what other processes of this gateway do, and goes by it.
    fn look(&mut self) -> Vec<Event> {
        let now = self.desk.clock.now();
        let Some(h) = &mut self.handover else { return Vec::new() };
        let seen = h.look(now);
        for to in seen.newcomers {
            h.pass_on(to, &self.name, &self.core, now, &self.desk.limits);
        }
        let (own, others) = (h.own(), h.others());
        let mut events = Vec::new();
        events.extend(seen.hand.map(Event::Hand));
        if !seen.keys.is_empty() {
            events.push(Event::Heard(seen.keys));
        }
        let processes = lives::processes(&others);
        if self.desk.common.processes.replace(processes) != processes {
            events.push(Event::Processes(processes));
        }
        if self.desk.leaving() == Leaving::Alone && lives::hands_over(own, &others) {
            tracing::info!("a new version listens: what is open is answered, and the rest is for it");
            self.desk.leave_by(Leaving::AfterAnswer);
            self.say(Stage::Leaving);
            events.push(Event::HandOver);
        }
        events
    }

    /// Whether one that was told to end then has nothing more to do: no more connections are taken, what waited to be
    /// accepted has been, and each connection was closed once nothing was open on it and nothing was left to read.
    fn has_left(&mut self, told: Instant) -> bool {
        let (limits, leaving) = (self.desk.limits.clone(), self.desk.leaving());
        let handed = matches!(leaving, Leaving::AfterAnswer | Leaving::Idle);
        let (waited, last) = (told.elapsed(), if handed { limits.leave_answer } else { limits.term_answer });
        let most = Duration::from_secs_f64(last / 1000.0);
        // Connections that are in use to the end are answered and closed before the program ends.
        let last = waited >= most + limits.leave_close;
        let awaited =
            || self.handover.as_ref().is_some_and(|h| lives::awaited(h.own(), &h.others(), waited, most));
        match leaving {
            Leaving::Alone if self.exit && !awaited() => self.desk.leave_by(Leaving::Last),
            Leaving::AfterAnswer if waited >= limits.leave_idle => self.desk.leave_by(Leaving::Idle),
            _ => {}
        }
        let closes = matches!(self.desk.leaving(), Leaving::Idle | Leaving::Last);
        self.exit && (last || closes && self.desk.empty())
    }

    /// Answers a call of staff. What it changes is news for the reducer.
    fn call(&mut self, call: Call, listening: bool, events: &mut Vec<Event>) -> Reply {
        match call {
            Call::Ready if self.told_to_end => Reply::line(503, "ending"),
            Call::Ready if !listening || self.core.awaits_list() => {
                Reply::line(503, "starting: the list of engines is awaited")
            }
            Call::Ready => Reply::line(200, "ready"),
            Call::Telemetry => {
                let names: Vec<_> = self.desk.settings.classes.iter().map(|c| c.name.as_str()).collect();
                let (cluster_size, cluster_unhealthy) = self.core.engines();
                let now = Now { current: self.desk.current(), cluster_size, cluster_unhealthy };
                Reply { status: 200, text: self.desk.common.figures.text(&names, now) }
            }
            Call::Exclude(id) => {
                let (listed, now) = (self.core.lists(&id), self.desk.clock.now());
                self.change(&id, "out", events, |hand| hand.exclude(&id, listed, now))
            }
            Call::Include(id) => {
                let (listed, now) = (self.core.lists(&id), self.desk.clock.now());
                self.change(&id, "in use", events, |hand| hand.include(&id, listed, now))
            }
        }
    }

    fn change(
        &mut self,
        id: &str,
        what: &str,
        events: &mut Vec<Event>,
        change: impl FnOnce(&mut Hand) -> Result<bool, No>,
    ) -> Reply {
        let Some(h) = &mut self.handover else {
            return Reply::line(503, "the call cannot be kept for the next version: no folder is open");
        };
        match h.change(change) {
            Ok(changed) => {
                tracing::info!("by hand: {id} is {what}{}", if changed.is_some() { "" } else { " already" });
                events.extend(changed.map(Event::Hand));
                Reply::line(200, format_args!("{id} is {what}"))
            }
            Err(Refused::No(why @ No::Unknown)) => Reply::line(404, format_args!("{id}: {why}")),
            Err(Refused::No(why)) => Reply::line(503, format_args!("{id}: {why}")),
            Err(Refused::Disk(why)) => {
                tracing::error!("by hand: {id} is not {what}: {why}");
                Reply::line(503, format_args!("{id}: the call cannot be kept for the next version: {why}"))
            }
        }
    }

    /// Records a keyed send for other processes of this gateway; false: it is not recorded, and must not leave.
    fn record(&mut self, send: &Send) -> bool {
        let (Some(h), Some(key)) = (&mut self.handover, &send.statement.key) else { return true };
        let Repeat::Keyed { window, .. } = self.desk.settings.classes[send.class.0].repeat else {
            return true;
        };
        let recorded = h.record(gate::key(key), Sent { at: self.desk.clock.now(), window });
        if let Err(e) = &recorded {
            tracing::error!("a keyed request was not sent, as other versions would not hear of it: {e}");
        }
        recorded.is_ok()
    }

    /// Hands events to the reducer, lets it decide, and performs what it asks for, until that brings no news.
    fn handle(&mut self, events: impl IntoIterator<Item = Event>, keep: &Keep) {
        let mut effects = Vec::new();
        let serial = self.core.serial();
        let mut news: Vec<Event> = events.into_iter().collect();
        loop {
            let now = self.desk.clock.now();
            for event in news.drain(..).chain([Event::Clock, Event::Turn]) {
                trace(&event);
                match &event {
                    Event::List(..) => self.heard_list = true,
                    // What another process has just sent under this key counts.
                    Event::Taken(ask) if ask.statement.key.is_some() => {
                        let heard = self.handover.as_mut().map(|h| h.peer_keys(now)).unwrap_or_default();
                        if !heard.is_empty() {
                            self.core.handle(now, Event::Heard(heard), &mut effects);
                        }
                    }
                    _ => {}
                }
                self.core.handle(now, event, &mut effects);
            }
            self.core.spent(self.desk.clock.now() - now);
            self.desk.awaits_list.set(self.core.awaits_list());
            for effect in effects.drain(..) {
                self.perform(effect, keep, &mut news);
            }
            if news.is_empty() {
                break;
            }
        }
        // A drain that was heard is heard by the next life as well.
        if self.core.serial() != serial {
            keep.list(&self.core, &self.desk.settings);
        }
    }

    fn perform(&mut self, effect: Effect, keep: &Keep, news: &mut Vec<Event>) {
        trace_effect(&effect);
        match effect {
            Effect::Send(send) if self.record(&send) => self.engines.send(send, news),
            Effect::Send(send) => news.push(Event::Ended(send.id, End::plain(Outcome::Moot))),
            Effect::GiveUp(id, _, outcome) => self.engines.give_up(id, outcome == Outcome::Timeout),
            Effect::Hurry(id, _, priority) => self.engines.hurry(id, priority),
            Effect::Probe(tag, engine, address) => self.engines.probe(tag, &engine, address, news),
            Effect::Shut(engine) => self.engines.shut(&engine, news),
            Effect::Begin(id, rows) => self.desk.begin(id, rows),
            Effect::Part(id, bytes) => self.desk.part(id, bytes),
            Effect::Answer(id, answer) => self.desk.answer(id, answer),
            Effect::Refused(id, class, why, waited) => tracing::debug!(
                "request {} of {} was refused after {waited:.1} ms: {why}",
                id.0,
                self.desk.settings.classes[class.0].name
            ),
            Effect::Record(number, key, sent) => {
                if !keep.record(number, key, sent) {
                    news.push(Event::RecordsFailed(vec![number]));
                }
            }
            // One that does not fit is not there: the log then is trusted for less long.
            Effect::Mark(at, shut_until) => drop(keep.mark((at, shut_until))),
            Effect::Rewrite(rewrite) => {
                if !keep.rewrite(rewrite) {
                    news.push(Event::RecordsFailed(Vec::new()));
                }
            }
            Effect::Exit => self.exit = true,
        }
    }
}

/// Accepts connections, each served on its own, until another process takes over or this one is about to end. A few may
/// wait for room at once, so that one client that waits keeps out nobody for whom there is some.
async fn accept<S, F>(listener: TcpListener, desk: Rc<Desk>, serve: S, listens: Listens)
where
    S: Fn(TcpStream, Rc<Seat>) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    let mut closing = desk.closing.subscribe();
    let waiting = desk.waiting_places.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = closing.wait_for(|c| *c) => break,
            accepted = async { (waiting.clone().acquire_owned().await, listener.accept().await) } => accepted,
        };
        match accepted {
            (place, Ok((stream, _))) => {
                tokio::task::spawn_local(seat(stream, desk.clone(), serve.clone(), place, listens.clone()));
            }
            // Out of descriptors, or the client left again: others may still be served.
            (_, Err(e)) => {
                tracing::error!("accept: {e}");
                tokio::time::sleep(desk.limits.names_poll).await;
            }
        }
    }
    // What lies in the queue as it is closed would be reset. It is emptied first, and closed in the call after the one
    // that found it empty.
    let until = Instant::now() + desk.limits.front_wait;
    let Ok(queue) = listener.into_std() else { return };
    loop {
        let Ok(place) = timeout_at(until, waiting.clone().acquire_owned()).await else {
            tracing::warn!("more connections came than could be taken before this process stopped listening");
            break;
        };
        let Ok((stream, _)) = queue.accept() else { break };
        if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            tokio::task::spawn_local(seat(stream, desk.clone(), serve.clone(), place, listens.clone()));
        }
    }
}

/// Serves a connection, once there is room for it.
async fn seat<S, F>(
    stream: TcpStream,
    desk: Rc<Desk>,
    serve: S,
    place: Result<OwnedSemaphorePermit, AcquireError>,
    _listens: Listens,
) where
    S: Fn(TcpStream, Rc<Seat>) -> F,
    F: Future<Output = ()>,
{
    let Some(seat) = desk.connect().await else {
        return log::seldom(&desk.limits, "a connection was closed: all others have requests open");
    };
    drop(place);
    serve(stream, seat.clone()).await;
    desk.disconnect(&seat);
}

/// What comes in, a line each, at the level `trace`; where that is off, a test of one flag.
fn trace(event: &Event) {
    match event {
        Event::Ended((id, n), end) => {
            tracing::trace!("end {}.{n} {:?} work {:?} {:?}", id.0, end.outcome, end.work, end.report);
        }
        Event::Probed(tag, ok, report) => tracing::trace!("probed {tag} {ok} {report:?}"),
        Event::List(serial, list) => tracing::trace!("list {serial} of {}", list.len()),
        Event::Taken(ask) => {
            tracing::trace!("taken {} class {} work {:?}", ask.asked.id.0, ask.asked.class.0, ask.asked.work);
        }
        Event::Left(id) => tracing::trace!("left {}", id.0),
        _ => {}
    }
}

/// What is asked for, a line each, at the level `trace`.
fn trace_effect(effect: &Effect) {
    match effect {
        Effect::Send(s) => {
            tracing::trace!("send {}.{} to {} for {:.0} ms", s.id.0 .0, s.id.1, s.engine.0, s.budget)
        }
        Effect::GiveUp((id, n), engine, _) => tracing::trace!("give up {}.{n} on {}", id.0, engine.0),
        Effect::Probe(tag, engine, _) => tracing::trace!("probe {tag} to {}", engine.0),
        Effect::Shut(engine) => tracing::trace!("shut {}", engine.0),
        Effect::Answer(id, answer) => {
            let kind = match answer {
                Answer::Served(_) | Answer::Finished => "served",
                Answer::Refused(_) => "refused",
                Answer::Cut | Answer::Failed(_) => "failed",
                Answer::Expired => "expired",
            };
            tracing::trace!("answer {} {kind}", id.0);
        }
        _ => {}
    }
}
