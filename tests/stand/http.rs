//! Reads and writes HTTP messages for test clients and engines.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

/// Reads an HTTP message. Returns the lines of its head, and its body. If a chunked body is truncated, the part that was received
/// is followed by `<cut>`.
pub(crate) fn read_http(reader: &mut impl BufRead) -> Option<(Vec<String>, String)> {
    let mut head: Vec<String> = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        match line.trim_end() {
            "" => break,
            line => head.push(line.to_owned()),
        }
    }
    let headers: BTreeMap<String, String> = head[1..]
        .iter()
        .filter_map(|l| l.split_once(": "))
        .map(|(n, v)| (n.to_lowercase(), v.to_owned()))
        .collect();
    let mut body = Vec::new();
    if let Some(length) = headers.get("content-length") {
        body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    } else if headers.contains_key("transfer-encoding") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                body.extend(b"<cut>");
                break;
            }
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                body.extend(b"<cut>");
                break;
            }
            if size == 0 {
                break;
            }
            body.extend(&chunk[..size]);
        }
    }
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

/// Encodes an HTTP response.
pub(crate) fn encode_http(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns the query id in the target of a request to an engine, or an empty text.
pub(crate) fn query_id_of(target: &str) -> &str {
    let (_, query) = target.split_once('?').unwrap_or_default();
    query.split('&').find_map(|pair| pair.strip_prefix("query_id=")).unwrap_or_default()
}

/// Encodes the result of a query as an engine does, with the query id of the request.
pub(crate) fn encode_result(target: &str, rows: &str) -> String {
    encode_http("200 OK", &format!("X-ClickHouse-Query-Id: {}\r\n", query_id_of(target)), rows)
}

/// Sends a request and reads the response. Returns the status line and headers as one text, and the body.
pub(crate) fn http_request(stream: &mut TcpStream, request: &str) -> (String, String) {
    stream.write_all(request.as_bytes()).expect("sent");
    let mut reader = BufReader::new(stream);
    let (head, body) = read_http(&mut reader).expect("an answer");
    (head.join("\n"), body)
}
