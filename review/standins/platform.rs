//! The platform's protocol for the stand-ins: framed Thrift from clients, RESP commands to engines, the configuration.
#![allow(dead_code)]

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

fn string(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes()[..], bytes].concat()
}

/// A framed `call` with its fields and its body.
pub fn call(sequence: i32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut message = vec![0x80, 1, 0, 1];
    message.extend(string(b"call"));
    message.extend(sequence.to_be_bytes());
    message.extend([13, 0, 1, 11, 11]);
    message.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        message.extend(string(name.as_bytes()));
        message.extend(string(value.as_bytes()));
    }
    message.extend([11, 0, 2]);
    message.extend(string(body));
    message.push(0);
    string(&message)
}

/// A whole answer of the gateway.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed,
}

/// Reads one whole answer to the call with this number.
pub fn answer(stream: &mut TcpStream, sequence: i32) -> io::Result<Answer> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame)?;
    let unreadable = || io::Error::from(io::ErrorKind::InvalidData);
    let name_length = u32::from_be_bytes(frame.get(4..8).ok_or_else(unreadable)?.try_into().unwrap()) as usize;
    let rest = frame.get(8 + name_length..).ok_or_else(unreadable)?;
    let number = i32::from_be_bytes(rest.get(..4).ok_or_else(unreadable)?.try_into().unwrap());
    if number != sequence {
        return Err(unreadable());
    }
    if frame[3] != 2 {
        return Ok(Answer::Failed);
    }
    // The field of the result: 0 the struct Answer, 1 Overloaded, 2 Internal.
    match u16::from_be_bytes(rest.get(5..7).ok_or_else(unreadable)?.try_into().unwrap()) {
        0 => {
            // In the struct, the body is field 1.
            let inner = rest.get(7..).ok_or_else(unreadable)?;
            let is_body = inner.get(..3) == Some(&[11, 0, 1][..]);
            let size = inner.get(3..7).filter(|_| is_body).ok_or_else(unreadable)?;
            let size = u32::from_be_bytes(size.try_into().unwrap()) as usize;
            Ok(Answer::Served(inner.get(7..7 + size).ok_or_else(unreadable)?.to_vec()))
        }
        1 => Ok(Answer::Refused),
        _ => Ok(Answer::Failed),
    }
}

/// One request as an engine receives it.
pub struct Want {
    pub id: String,
    pub fields: String,
    pub body: Vec<u8>,
}

/// Serves RESP connections: `run` runs a query in a thread of its own and returns its row, or `None` to say nothing.
pub fn serve_engine<F>(listener: TcpListener, run: F)
where
    F: Fn(&Want) -> Option<String> + Send + Sync + 'static,
{
    let run = Arc::new(run);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let run = run.clone();
            thread::spawn(move || drop(serve_connection(stream, run)));
        }
    });
}

fn serve_connection<F>(stream: TcpStream, run: Arc<F>) -> io::Result<()>
where
    F: Fn(&Want) -> Option<String> + Send + Sync + 'static,
{
    stream.set_nodelay(true)?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let mut reader = BufReader::new(stream);
    loop {
        let parts = command(&mut reader)?;
        let word = |i: usize| parts.get(i).map(|part| String::from_utf8_lossy(part).into_owned()).unwrap_or_default();
        match word(0).as_str() {
            "want" => {
                let want = Want { id: word(1), fields: word(2), body: parts.get(3).cloned().unwrap_or_default() };
                let (run, writer) = (run.clone(), writer.clone());
                thread::spawn(move || {
                    let Some(row) = run(&want) else { return };
                    let fields = "pages=1,cost=150,need=64,use=util:0.20";
                    let _ = reply(&writer, &[want.id.as_bytes(), b"served", fields.as_bytes(), row.as_bytes()]);
                });
            }
            "there" | "busy" => reply(&writer, &[word(1).as_bytes(), b"green", b"use=util:0.20"])?,
            // A query that is given up ends without an answer here when it has run; its answer is dropped by its reader.
            _ => {}
        }
    }
}

fn command(reader: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let count = number(reader, '*')?;
    (0..count)
        .map(|_| {
            let mut part = vec![0; number(reader, '$')? + 2];
            reader.read_exact(&mut part)?;
            part.truncate(part.len() - 2);
            Ok(part)
        })
        .collect()
}

fn number(reader: &mut impl BufRead, sign: char) -> io::Result<usize> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let digits = line.trim_end().strip_prefix(sign).and_then(|digits| digits.parse().ok());
    digits.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn reply(writer: &Mutex<TcpStream>, parts: &[&[u8]]) -> io::Result<()> {
    let mut message = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        message.extend(format!("${}\r\n", part.len()).into_bytes());
        message.extend_from_slice(part);
        message.extend_from_slice(b"\r\n");
    }
    writer.lock().unwrap().write_all(&message)
}

pub fn nap(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

/// A configuration as the platform gives it, with the figures of the deployment `harbwr-main`.
pub fn configuration(listen: SocketAddr, engines: &[SocketAddr], memory_mb: u32, sockets: u32) -> String {
    let members: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(i, at)| {
            let zone = ["room-a", "room-b"][i % 2];
            format!(
                r#"{{"id":"s-{i:08x}","host_port":"{at}","locality":"{zone}","flavor":"std-12","cell":0,"phase":"ready","size":1,"up_since_ms":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
 "known":{{"cursor":1,"cmds":[{{"cursor":1,"nodes":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
 "settings":{{"balancers":1,"rank":0,"zones":["room-a","room-b"],"locality":"room-a","skus":["std-12"],"tick":5.0,
  "classes":[
   {{"name":"lookup","on_time":1200,"aim_stretch":2,"give_up":6000,"idempotency":"idempotent","dedup_scope":"all","late_worth":0,"worth":1,"stream":false,"window":5000}},
   {{"name":"report","on_time":1500,"aim_stretch":2.5,"give_up":20000,"idempotency":"idempotent","dedup_scope":"all","late_worth":0.4,"worth":5,"stream":false,"window":5000}},
   {{"name":"load","on_time":3000,"aim_stretch":3,"give_up":20000,"idempotency":"deduplicated","dedup_scope":"all","late_worth":0.6,"worth":4,"stream":false,"window":12000}}],
  "clients":{{"marks_retry":false}},"discovery":"push","kind_of_service":"queries",
  "limits":{{"cancelling":true,"connect_timeout":250,"cpu_us_per_request":0,"cpu_us_per_s":50000,"idle_close":15000,"max_open":20000,"max_retry_after":1000,"may_duplicate":false,"peers":false,"probes":true,"retry_after":true,"send_cap":3,"streams_per_conn":32}},
  "reporting":{{"columns":["load_share"],"how":"answers"}},
  "rules":{{"answer_slack":20,"ask_within":10000,"cold_from":0.31,"drain_grace":2000,"extra_free":2,"extra_per_request":0.2,"fall_multiple":3,"ratio_span":10000,"tip_after":2000,"warm_within":15000}},
  "specifics":{{"bills":true,"class_waits":[true,false,false],"cpu_of_kind":[12],"grants_count":true,"is_load":[false,false,true],"memory_by_kind_mb":[24576],"most_grant":0.4,"note_period":0,"out_of_memory":"overcommit","takes_priority":true,"width_by_class":[1,3,2]}}}}}}"#,
        members.join(",")
    )
}
