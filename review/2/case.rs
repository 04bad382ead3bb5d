//! Case 2: a crowd of clients begins messages and stops half way, while the usual clients go on.

#[path = "../standins/bench.rs"]
mod bench;
#[path = "../standins/platform.rs"]
mod platform;

use bench::*;
use platform::{Answer, Want};
use std::collections::{HashMap, HashSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENGINES: usize = 6;
const MEMORY_MB: u32 = 96;
const SOCKETS: u32 = 512;
/// Usual clients and crowd together stay under a third of the descriptors (170).
const USUAL_CLIENTS: u64 = 20;
const CROWD_WITH_LONG_MESSAGES: usize = 36;
const CROWD_WITH_SHORT_MESSAGES: usize = 60;
/// Length that the crowd's messages claim, under 1 MiB, and how much of it comes.
const CLAIMED: u32 = 1_048_000;
const LONG_PART: usize = 1_040_000;
const SHORT_PART: usize = 40_000;
/// Time after which a client of the crowd that was turned away comes again.
const REST_MS: u64 = 500;
const TRAFFIC: Duration = Duration::from_secs(20);
const CROWD_FROM: Duration = Duration::from_secs(5);
const CROWD_FOR: Duration = Duration::from_secs(10);
/// What clients wait for a lookup, and the rule's half second and 50 ms on top.
const LIMIT_MS: u64 = 6_000;
const SLACK_MS: u64 = 550;

#[derive(Default)]
struct Seen {
    served: u64,
    refused: u64,
    failed: u64,
    /// Requests whose connection ended with no answer, by name.
    cut: HashMap<String, f64>,
    late: Vec<String>,
}

fn usual_client(number: u64, gateway: SocketAddr, record: &Record, seen: &Mutex<Seen>, began: Instant) {
    let mut random = Random(0x2545_f491 + number * 104_729);
    'connections: while began.elapsed() < TRAFFIC {
        let Ok(mut stream) = TcpStream::connect(gateway) else {
            platform::nap(50);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(LIMIT_MS + SLACK_MS)));
        let mut sequence = 0;
        while began.elapsed() < TRAFFIC {
            sequence += 1;
            let name = format!("{:016x}", random.next());
            let fields = [
                ("verb", "lookup".to_owned()),
                ("txn", name.clone()),
                ("limit", LIMIT_MS.to_string()),
                ("cpu", "200.0".to_owned()),
                ("mem", "64".to_owned()),
            ];
            let body = format!("select state from bookings_{}.slots", random.between(1, 40));
            record.line(&format!("client {number}: sends {name}"));
            let sent = Instant::now();
            let result = stream
                .write_all(&platform::call(sequence, &fields, body.as_bytes()))
                .and_then(|()| platform::answer(&mut stream, sequence));
            let waited = sent.elapsed().as_secs_f64();
            record.line(&format!("client {number}: {name} {} after {waited:.3} s", text_of(&result)));
            let mut seen = seen.lock().unwrap();
            match result {
                Ok(Answer::Served(_)) => seen.served += 1,
                Ok(Answer::Refused) => seen.refused += 1,
                Ok(Answer::Failed) => seen.failed += 1,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    seen.late.push(name);
                    continue 'connections;
                }
                Err(_) => {
                    seen.cut.insert(name, began.elapsed().as_secs_f64());
                    drop(seen);
                    platform::nap(50);
                    continue 'connections;
                }
            }
            drop(seen);
            platform::nap(random.between(100, 200));
        }
    }
}

fn text_of(result: &std::io::Result<Answer>) -> String {
    match result {
        Ok(Answer::Served(_)) => "served".to_owned(),
        Ok(Answer::Refused) => "refused".to_owned(),
        Ok(Answer::Failed) => "failed".to_owned(),
        Err(error) => format!("has no answer: {error}"),
    }
}

/// Connects, begins a message, stops half way and reads what comes; once turned away, the same again after a rest.
fn crowd_client(part: usize, gateway: SocketAddr, until: Instant, turned_away: &AtomicU64) {
    let mut message = CLAIMED.to_be_bytes().to_vec();
    message.extend([0x80, 1, 0, 1]);
    message.resize(part, b'x');
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(gateway) else {
            platform::nap(50);
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
        if stream.write_all(&message).is_ok() {
            let mut bytes = [0; 4096];
            while matches!(stream.read(&mut bytes), Ok(count) if count > 0) {}
        }
        turned_away.fetch_add(1, Ordering::Relaxed);
        platform::nap(REST_MS);
    }
}

fn main() {
    let case = Case::read();
    let record = case.record.clone();
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    let engines: Vec<SocketAddr> = (0..ENGINES)
        .map(|engine| {
            let (listener, ran, record) = (listen(), ran.clone(), record.clone());
            let at = listener.local_addr().unwrap();
            platform::serve_engine(listener, move |want: &Want| {
                ran.lock().unwrap().insert(want.id.clone());
                let digits = u64::from_str_radix(&want.id, 16).unwrap_or(0);
                platform::nap(80 + digits % 120);
                record.line(&format!("engine {engine}: ran {}, answers", want.id));
                Some(format!("{}\tslot\tfree\n", want.id))
            });
            at
        })
        .collect();
    let [gateway] = free_ports();
    let config = case.file("config.json", &platform::configuration(gateway, &engines, MEMORY_MB, SOCKETS));
    let mut process = case.start_gateway("PROXY_CONFIG", &config, gateway);

    let (seen, began) = (Arc::new(Mutex::new(Seen::default())), Instant::now());
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (record, seen) = (record.clone(), seen.clone());
            thread::spawn(move || usual_client(number, gateway, &record, &seen, began))
        })
        .collect();
    let turned_away: Arc<AtomicU64> = Arc::default();
    let mut crowd = Vec::new();
    if case.trouble {
        thread::sleep(CROWD_FROM);
        record.say("the crowd comes");
        let until = Instant::now() + CROWD_FOR;
        let long = std::iter::repeat_n(LONG_PART, CROWD_WITH_LONG_MESSAGES);
        for part in long.chain(std::iter::repeat_n(SHORT_PART, CROWD_WITH_SHORT_MESSAGES)) {
            let turned_away = turned_away.clone();
            crowd.push(thread::spawn(move || crowd_client(part, gateway, until, &turned_away)));
        }
    }
    for client in usual.into_iter().chain(crowd) {
        let _ = client.join();
    }
    let ended = process.has_ended();
    process.copy_warnings(&record);
    let (seen, ran) = (seen.lock().unwrap(), ran.lock().unwrap());
    let Seen { served, refused, failed, cut, late } = &*seen;
    record.say(&format!("usual clients: {served} served, {refused} refused, {failed} failed, {} late", late.len()));
    record.say(&format!("crowd: {} connections turned away", turned_away.load(Ordering::Relaxed)));
    let lost: Vec<_> = cut.keys().filter(|name| ran.contains(*name)).collect();
    record.say(&format!(
        "connections of usual clients that ended with a request open: {}, {} of these requests an engine had run",
        cut.len(),
        lost.len()
    ));
    lost.iter().take(5).for_each(|name| record.say(&format!("  {name} ran and has no answer")));
    if *served < 100 {
        record.say("could not run: too little traffic");
        drop(process);
        std::process::exit(COULD_NOT_RUN);
    }
    // Only requests that an engine has run count: these were read and sent on, and no crossing close excuses them.
    let broken = !lost.is_empty() || !late.is_empty() || ended;
    record.say(if broken { "the rule was broken" } else { "the rule held" });
    drop(process);
    std::process::exit(if broken { BROKEN } else { HELD });
}
