use super::*;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};

fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("local port is bound");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    (client, listener.accept().expect("accepted").0)
}

#[test]
fn close_is_noticed_behind_unread_bytes() {
    let (mut client, stream) = connection();
    client.write_all(b"unread").expect("sent");
    assert!(!is_closed_by_peer(&stream));
    client.shutdown(Shutdown::Write).expect("closed");
    assert!(is_closed_by_peer(&stream));
}

#[test]
fn reset_is_noticed() {
    let (client, mut stream) = connection();
    stream.write_all(b"unread by the client").expect("sent");
    // Closing a socket with unread bytes resets the connection.
    drop(client);
    assert!(is_closed_by_peer(&stream));
}
