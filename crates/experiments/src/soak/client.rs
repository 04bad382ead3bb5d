//! A client in a closed loop, on connections that it uses again, rests on, or leaves. It writes down every request.

use super::ledger::{Answer, Class, RequestEnd, RequestRecord};
use super::Stage;
use rand::Rng;
use starlingplank_test_doubles::thrift::{self, Answer as ThriftAnswer};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time between two requests, in milliseconds.
const THINKS_MS: std::ops::Range<u64> = 5..80;
/// Time for which a client rests now and then.
const RESTS_MS: std::ops::Range<u64> = 500..3_500;
/// Past its limit an answer is waited for so long, to tell a late one from none.
const OVERTIME: Duration = Duration::from_secs(4);
/// An answer that nobody waits for is listened to for so long.
const AFTERTHOUGHT: Duration = Duration::from_millis(2);
/// Bytes of an answer at most.
const LONGEST: usize = 1 << 20;

/// A connection, and the number of its last call.
struct Connection {
    stream: TcpStream,
    last: i32,
    incarnation: u32,
}

/// One client.
pub struct Client {
    stage: Rc<Stage>,
    gateway: usize,
    connection: Option<Connection>,
}

/// What a client means to do with a request.
enum Intention {
    Wait,
    CancelAfter(Duration),
    LeaveAfter(Duration),
}

impl Client {
    /// A client of that gateway.
    pub fn new(stage: Rc<Stage>, gateway: usize) -> Self {
        Self { stage, gateway, connection: None }
    }

    /// Asks one after the other until the play is over.
    pub async fn run(mut self) {
        while !self.stage.over.get() {
            let intention = self.draw_intention();
            let refused = self.ask(intention).await.is_none_or(|end| {
                !matches!(end, RequestEnd::Answered(_, Answer::Served) | RequestEnd::Gone(_))
            });
            self.pause(refused).await;
        }
    }

    /// Asks until served, so many times at most.
    pub async fn is_served_within(&mut self, tries: usize) -> bool {
        for _ in 0..tries {
            let end = self.ask(Intention::Wait).await;
            if matches!(end, Some(RequestEnd::Answered(_, Answer::Served))) {
                return true;
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    fn draw_intention(&self) -> Intention {
        let share = if self.stage.clients_leave.get() { 0.3 } else { 0.05 };
        self.stage.draw(|rng| {
            let after = Duration::from_millis(rng.random_range(0..200));
            match rng.random_range(0.0..1.0) {
                x if x < share / 2.0 => Intention::CancelAfter(after),
                x if x < share => Intention::LeaveAfter(after),
                _ => Intention::Wait,
            }
        })
    }

    async fn pause(&mut self, refused: bool) {
        let (thinks, rests, leaves) = self.stage.draw(|rng| {
            let rests = (rng.random_range(0..25) == 0).then(|| rng.random_range(RESTS_MS));
            (rng.random_range(THINKS_MS), rests, rng.random_range(0..6) == 0)
        });
        if leaves {
            self.connection = None;
        }
        let backs_off = if refused { 200 } else { 0 };
        sleep(Duration::from_millis(rests.unwrap_or(thinks) + backs_off)).await;
    }

    /// One request. None: nobody listens. A request that crosses the close of a resting connection is sent once more.
    async fn ask(&mut self, intention: Intention) -> Option<RequestEnd> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        connection.last += 1;
        let (class, limit) = self.stage.draw(draw_request);
        let txn = format!("{:016x}", self.stage.draw(|rng| rng.random::<u64>()));
        let key = format!("k{txn}");
        let milliseconds = format!("{:.0}", limit * 1000.0);
        let mut fields =
            vec![("verb", class.name()), ("txn", txn.as_str()), ("limit", milliseconds.as_str())];
        if class == Class::Keyed {
            fields.push(("unique", key.as_str()));
        }
        let message = thrift::encode_call(connection.last, &fields, "select 1");
        if connection.stream.write_all(&message).await.is_err() {
            return None;
        }
        let sent = self.stage.now();
        let end = self.wait(&mut connection, limit, intention).await;
        let further_answers = u32::from(self.more_is_said(&mut connection, end).await);
        let record = RequestRecord {
            gateway: self.gateway,
            incarnation: connection.incarnation,
            class,
            sent,
            limit,
            end,
            further_answers,
            on_used_connection: connection.last > 1,
        };
        self.stage.ledger.borrow_mut().requests.insert(txn, record);
        let goes_on = matches!(end, RequestEnd::Answered(..)) && further_answers == 0;
        self.connection = goes_on.then_some(connection);
        Some(end)
    }

    async fn connect(&self) -> Option<Connection> {
        let incarnation = self.stage.incarnation(self.gateway);
        let connecting = TcpStream::connect(self.stage.addresses[self.gateway]);
        let connected = timeout(Duration::from_secs(2), connecting).await;
        let Ok(Ok(stream)) = connected else {
            sleep(Duration::from_millis(50)).await;
            return None;
        };
        let _ = stream.set_nodelay(true);
        Some(Connection { stream, last: 0, incarnation })
    }

    async fn wait(&self, connection: &mut Connection, limit: f64, intention: Intention) -> RequestEnd {
        let answer = timeout(Duration::from_secs_f64(limit) + OVERTIME, read_answer(connection));
        match intention {
            Intention::Wait => self.ended(answer.await),
            Intention::CancelAfter(after) => tokio::select! {
                answer = answer => self.ended(answer),
                () = sleep(after) => {
                    let cancel = cancel(connection.last);
                    let _ = connection.stream.write_all(&cancel).await;
                    RequestEnd::Gone(self.stage.now())
                }
            },
            Intention::LeaveAfter(after) => tokio::select! {
                answer = answer => self.ended(answer),
                () = sleep(after) => RequestEnd::Gone(self.stage.now()),
            },
        }
    }

    fn ended(&self, answer: Result<Option<Answer>, tokio::time::error::Elapsed>) -> RequestEnd {
        let now = self.stage.now();
        match answer {
            Ok(Some(answer)) => RequestEnd::Answered(now, answer),
            Ok(None) => RequestEnd::ConnectionLost(now),
            Err(_) => RequestEnd::Nothing(now),
        }
    }

    /// Whether another answer follows the first.
    async fn more_is_said(&self, connection: &mut Connection, end: RequestEnd) -> bool {
        matches!(end, RequestEnd::Answered(..))
            && matches!(timeout(AFTERTHOUGHT, read_answer(connection)).await, Ok(Some(_)))
    }
}

fn draw_request(rng: &mut rand_pcg::Pcg64Mcg) -> (Class, f64) {
    let class = match rng.random_range(0..10) {
        0..5 => Class::Safe,
        5..8 => Class::Unsafe,
        _ => Class::Keyed,
    };
    let limit = match rng.random_range(0..12) {
        0 => rng.random_range(0.03..0.2),
        _ => rng.random_range(0.8..3.5),
    };
    (class, limit)
}

/// The `cancel` of a call.
fn cancel(seq: i32) -> Vec<u8> {
    let mut out = vec![0x80, 1, 0, 4, 0, 0, 0, 6];
    out.extend(b"cancel");
    out.extend(0_i32.to_be_bytes());
    out.extend([8, 0, 1]);
    out.extend(seq.to_be_bytes());
    out.push(0);
    [&(out.len() as u32).to_be_bytes()[..], &out].concat()
}

/// The next answer; none: the connection ends first.
async fn read_answer(connection: &mut Connection) -> Option<Answer> {
    let mut len = [0; 4];
    connection.stream.read_exact(&mut len).await.ok()?;
    let len = u32::from_be_bytes(len) as usize;
    let mut frame = vec![0; len.min(LONGEST)];
    connection.stream.read_exact(&mut frame).await.ok()?;
    match thrift::parse_reply(&frame)?.answer {
        ThriftAnswer::Served => Some(Answer::Served),
        ThriftAnswer::Refused(_) => Some(Answer::Refused),
        ThriftAnswer::Failed => Some(Answer::Failed),
        ThriftAnswer::Lost => None,
    }
}
