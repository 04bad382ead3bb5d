//! The loop that feeds the reducer and performs its effects: one thread, as the machine has one core.

use crate::config::{Config, EngineWire};
use crate::core::{Answer, Core, Effect, Event};
use crate::interface::{Settings, Why};
use crate::net::engine::clickhouse::HttpEngines;
use crate::net::engine::pool::{Engines, RespEngines};
use crate::net::front::{clickhouse, thrift, Desk, Seat};
use crate::net::keep::Keep;
use crate::net::log;
use crate::net::names;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout, Instant, MissedTickBehavior};

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
    let (total, events) = (desk.total.clone(), sender.clone());
    let engines: Box<dyn Engines> = match config.engines {
        EngineWire::Resp => Box::new(RespEngines::new(limits.clone(), total, events)),
        EngineWire::ClickHouse => Box::new(HttpEngines::new(limits.clone(), total, events)),
    };
    let mut gateway = Runtime { core, engines, desk: desk.clone(), exit: false };
    gateway.handle([Event::List(config.serial, config.known.clone()), Event::Tend], &keep);

    let listener = TcpListener::bind(config.listen).await?;
    tracing::info!("{} listens at {}", config.name, listener.local_addr()?);
    let serve_thrift = {
        let desk = desk.clone();
        move |stream, seat| thrift::serve(stream, seat, desk.clone())
    };
    tokio::task::spawn_local(accept(listener, desk.clone(), serve_thrift));
    if let Some((at, rules)) = config.clickhouse {
        let listener = TcpListener::bind(at).await?;
        tracing::info!("{} listens at {} for ClickHouse HTTP", config.name, listener.local_addr()?);
        let (desk, rules) = (desk.clone(), Rc::new(rules));
        let serve_http = {
            let desk = desk.clone();
            move |stream, seat| clickhouse::serve(stream, seat, desk.clone(), rules.clone())
        };
        tokio::task::spawn_local(accept(listener, desk, serve_http));
    }
    let (names, asked) = watch::channel(config.names);
    {
        let (settings, limits, sender) = (settings.clone(), limits.clone(), sender.clone());
        tokio::task::spawn_local(async move { names::poll(asked, &settings, &limits, &sender).await });
    }
    let mut sweep = tokio::time::interval(limits.sweep);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tend = tokio::time::interval(limits.tend);
    tend.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let every = config.knowledge.as_ref().map_or(limits.tend, |k| Duration::from_secs_f64(k.every / 1000.0));
    let mut snapshots = tokio::time::interval_at(Instant::now() + every, every);
    snapshots.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut longest, mut latest) = (Duration::ZERO, 0.0_f64);
    while !gateway.exit {
        let due_at = gateway.core.next_due();
        let due = due_at.map_or_else(|| Instant::now() + limits.sweep, |at| desk.clock.instant(at).into());
        let mut events = Vec::new();
        tokio::select! {
            event = receiver.recv() => events.extend(event),
            () = sleep_until(due) => {}
            _ = sweep.tick() => gateway.engines.sweep(&mut events),
            _ = tend.tick(), if keep.is_on() => events.push(Event::Tend),
            _ = snapshots.tick(), if keep.is_on() => {
                let begun = Instant::now();
                keep.snapshot(&gateway.core, desk.clock.now());
                longest = longest.max(begun.elapsed());
            }
            _ = hangup.recv() => match reload() {
                Ok(new) => {
                    tracing::info!("SIGHUP: the name service is at {:?}", new.names);
                    if (new.listen, &new.limits, &new.knowledge) != (config.listen, &config.limits, &config.knowledge)
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
                desk.terminating.set(true);
                keep.snapshot(&gateway.core, desk.clock.now());
                events.push(Event::Terminate);
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
        let turn = Instant::now();
        gateway.handle(events, &keep);
        longest = longest.max(turn.elapsed());
        latest = latest.max(late);
    }
    tracing::info!("loop: longest turn {:.3} ms, latest {latest:.3} ms", longest.as_secs_f64() * 1000.0);
    // What the last answers taught is in the last snapshot, if the disk takes it in time.
    keep.snapshot(&gateway.core, desk.clock.now());
    for ((class, c), waits) in settings.classes.iter().zip(gateway.core.counts()).zip(gateway.core.waits()) {
        tracing::info!(
            "{}: {} taken, {} attempts, ended {:?}, answered {:?}",
            class.name,
            c.taken,
            c.attempts,
            c.outcomes,
            c.answers
        );
        let waits = Why::ALL.iter().map(|w| (w.name(), waits[*w as usize])).filter(|(_, n)| *n > 0);
        let waits: BTreeMap<_, _> = waits.collect();
        tracing::info!("{}: refused for {:?}, waited for {waits:?}", class.name, c.refusals);
    }
    if keep.is_on() {
        let _ = timeout(limits.term_snapshot, keep.finish()).await;
        keep.say(gateway.core.gate().refused());
    }
    // The last answers leave before the program does.
    let flushed = async {
        while desk.writing() {
            tokio::task::yield_now().await;
        }
    };
    let _ = timeout(limits.term_flush, flushed).await;
    Ok(())
}

struct Runtime {
    core: Core,
    engines: Box<dyn Engines>,
    desk: Rc<Desk>,
    exit: bool,
}

impl Runtime {
    /// Hands events to the reducer, lets it decide, and performs what it asks for, until that brings no news.
    fn handle(&mut self, events: impl IntoIterator<Item = Event>, keep: &Keep) {
        let mut effects = Vec::new();
        let mut news: Vec<Event> = events.into_iter().collect();
        loop {
            let now = self.desk.clock.now();
            for event in news.drain(..).chain([Event::Clock, Event::Turn]) {
                trace(&event);
                self.core.handle(now, event, &mut effects);
            }
            self.core.spent(self.desk.clock.now() - now);
            for effect in effects.drain(..) {
                self.perform(effect, keep, &mut news);
            }
            if news.is_empty() {
                return;
            }
        }
    }

    fn perform(&mut self, effect: Effect, keep: &Keep, news: &mut Vec<Event>) {
        trace_effect(&effect);
        match effect {
            Effect::Send(send) => self.engines.send(send, news),
            Effect::GiveUp(id, _) => self.engines.give_up(id),
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

/// Accepts connections, each served on its own.
async fn accept<S, F>(listener: TcpListener, desk: Rc<Desk>, serve: S)
where
    S: Fn(TcpStream, Rc<Seat>) -> F,
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(seat) = desk.connect().await else {
                    log::seldom(&desk.limits, "a connection was closed: all others have requests open");
                    continue;
                };
                let (desk, served) = (desk.clone(), serve(stream, seat.clone()));
                tokio::task::spawn_local(async move {
                    served.await;
                    desk.disconnect(&seat);
                });
            }
            // Out of descriptors, or the client left again: others may still be served.
            Err(e) => {
                tracing::error!("accept: {e}");
                tokio::time::sleep(desk.limits.names_poll).await;
            }
        }
    }
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
        Effect::GiveUp((id, n), engine) => tracing::trace!("give up {}.{n} on {}", id.0, engine.0),
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
